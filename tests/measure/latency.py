"""Latency that a proxy adds to a request: prints one JSON line.

First a closed loop through the proxy finds the capacity of this machine. Then two load tools run at
the same time, each at half of that rate divided by two: one sends to the upstreams through the proxy,
the other sends the same requests directly. Both see the same state of the machine.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "demo"))
import fleet  # noqa: E402  (needs the path above)

UPSTREAMS = 8
SLOTS = 64


def configuration(ports):
    """One service whose limits do not take part in the measurement."""
    return {
        "format": 1,
        "failure_domains": ["local"],
        "callers": {"load": {"account_prefixes": ["shop-"], "weight": 1}},
        "services": {"desk": {
            "slots_per_upstream": SLOTS, "max_connections_per_upstream": 400, "healthy_floor": 0,
            "max_concurrency": 4096, "queue_limit": 4096,
            "upstreams": {f"desk-{i + 1}": {
                "address": "127.0.0.1", "port": port, "failure_domain": "local"}
                for i, port in enumerate(ports)}}},
        "routes": {"all": {
            "path_prefix": "/", "methods": ["GET"], "callers": ["load"], "service": "desk",
            "deadline_ms": 5000, "max_body_bytes": 0}},
    }


def cpu_seconds(pid):
    """User and system time of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Measurement:
    def __init__(self, options, work):
        self.options = options
        self.work = work
        empty = work / "empty"
        empty.mkdir()
        self.fleet = fleet.Fleet(options.bin, work, empty)
        self.mix = work / "mix.json"
        self.mix.write_text(json.dumps({"calls": [{
            "name": "browse", "method": "GET", "target": "/catalog/{id}",
            "account": "shop-{n}", "accounts": 100}]}))

    def start(self):
        self.fleet.start_platform()
        upstreams = self.fleet.start(
            "upstreams", "upstream_standin", "--count", UPSTREAMS, "--id", "desk",
            "--slots", SLOTS, "--queue", 4096, "--service-ms", self.options.service_ms,
            "--sigma", 0).read_ports()
        listed = json.loads(upstreams.child.stdout.readline())["upstreams"]
        ports = [entry["port"] for entry in listed]
        (self.fleet.folder / "00-load.json").write_text(json.dumps(configuration(ports)))
        self.fleet.apply()
        self.proxy = self.fleet.start_proxy(
            "proxy-1", "local", port=0, admin_port=0, peer_port=0, log_level="warning",
            traffic_threads=self.options.threads)
        self.fleet.register_hosts()
        self.fleet.wait_ready()
        self.proxied = [f"127.0.0.1:{self.proxy.ports['port']}"]
        self.direct = [f"127.0.0.1:{port}" for port in ports]

    def load(self, targets, seed, *arguments):
        command = [self.options.bin / "load_tool", "--mix", self.mix, "--seed", seed,
                   "--connections", 256, "--warmup-s", 1,
                   "--duration-s", self.options.duration_s + 1, *arguments]
        for target in targets:
            command += ["--proxy", target]
        return subprocess.Popen([str(c) for c in command], stdout=subprocess.PIPE)

    @staticmethod
    def result(process):
        output, _ = process.communicate(timeout=120)
        summary = json.loads(output)
        if process.returncode != 0 or set(summary["statuses"]) != {"200"}:
            raise RuntimeError(f"load was not answered with 200 only: {output.decode()}")
        return summary

    def run(self):
        self.start()
        before = cpu_seconds(self.proxy.child.pid)
        full = self.result(self.load(self.proxied, 1, "--concurrency", self.options.concurrency))
        cpu = cpu_seconds(self.proxy.child.pid) - before
        rate = full["rate"] / 4
        loads = [self.load(targets, seed, "--rate", rate)
                 for seed, targets in ((2, self.proxied), (3, self.direct))]
        proxied, direct = [self.result(load) for load in loads]
        line = {
            "measure": "latency", "threads": self.options.threads,
            "capacity_per_s": round(full["rate"]),
            "requests_per_s_per_core": round(full["calls"] / cpu),
            "rate_per_s": round(proxied["rate"] + direct["rate"]),
            "samples": round(proxied["rate"] * proxied["seconds"]),
        }
        for name in ("p50", "p99", "p999"):
            line[f"direct_{name}_ms"] = round(direct[f"{name}_ms"], 3)
            line[f"added_{name}_ms"] = round(proxied[f"{name}_ms"] - direct[f"{name}_ms"], 3)
        line["load_average"] = os.getloadavg()[0]
        return line


def main():
    parser = argparse.ArgumentParser(description="Latency that a proxy adds to a request")
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build/release/bin")
    parser.add_argument("--threads", type=int, default=1, help="traffic threads of the proxy")
    parser.add_argument("--concurrency", type=int, default=32, help="calls in flight at capacity")
    parser.add_argument("--duration-s", type=float, default=10, help="of each of the two phases")
    parser.add_argument("--service-ms", type=float, default=1, help="service time of the upstreams")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as work:
        measurement = Measurement(options, pathlib.Path(work))
        try:
            print(json.dumps(measurement.run()))
        finally:
            measurement.fleet.stop_all()


if __name__ == "__main__":
    main()

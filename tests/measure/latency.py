"""Latency that a proxy adds to a request: prints one JSON line.

First a closed loop through the proxy finds the capacity of this machine. Then two load tools run at
the same time, each at a quarter of that rate: one sends to the upstreams through the proxy, the other
sends the same requests directly. Both see the same state of the machine. The comparison is repeated;
the added latency is the median over the rounds; each round is listed too.
"""

import argparse
import json
import os
import pathlib
import statistics
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

    def compare(self, rate, number):
        """Both loads at the same time. Returns the summaries (proxied, direct)."""
        loads = [self.load(targets, 2 * number + seed, "--rate", rate)
                 for seed, targets in ((2, self.proxied), (3, self.direct))]
        return [self.result(load) for load in loads]

    def run(self):
        self.start()
        before = cpu_seconds(self.proxy.child.pid)
        full = self.result(self.load(self.proxied, 1, "--concurrency", self.options.concurrency))
        cpu = cpu_seconds(self.proxy.child.pid) - before
        rounds = [self.compare(full["rate"] / 4, number) for number in range(self.options.rounds)]
        line = {
            "measure": "latency", "threads": self.options.threads,
            "capacity_per_s": round(full["rate"]),
            "requests_per_s_per_core": round(full["calls"] / cpu),
            "rate_per_s": round(full["rate"] / 2),
            "rounds": len(rounds),
            "samples": sum(round(p["rate"] * p["seconds"]) for p, _ in rounds),
        }
        for name in ("p50", "p99", "p999"):
            added = [p[f"{name}_ms"] - d[f"{name}_ms"] for p, d in rounds]
            line[f"direct_{name}_ms"] = round(
                statistics.median(d[f"{name}_ms"] for _, d in rounds), 3)
            line[f"added_{name}_ms"] = round(statistics.median(added), 3)
            line[f"added_{name}_rounds_ms"] = [round(value, 3) for value in added]
        line["load_average"] = os.getloadavg()[0]
        return line


def main():
    parser = argparse.ArgumentParser(description="Latency that a proxy adds to a request")
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build/release/bin")
    parser.add_argument("--threads", type=int, default=1, help="traffic threads of the proxy")
    parser.add_argument("--concurrency", type=int, default=32, help="calls in flight at capacity")
    parser.add_argument("--duration-s", type=float, default=4, help="of each round")
    parser.add_argument("--rounds", type=int, default=5)
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

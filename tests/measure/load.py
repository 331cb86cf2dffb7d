"""Measures routing policies on running processes, and how long a gray upstream gets work.

load:      latency and refused share per policy at 50, 80 and 110 % of the slots.
detection: an upstream of the same fleet fails half of its work or becomes ten times slower; prints
           the time until its last regular request and the number of requests it still got.
Prints one JSON line per result.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "demo"))
from fleet import Fleet, wait_for  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "order-desk"
UPSTREAMS = 30
SLOTS = 3
POLICIES = ("power_of_two", "round_robin", "least_loaded")
SHARES = (0.5, 0.8, 1.1)
FAULTS = {"half_failing": {"fail": True, "fraction": 0.5}, "ten_times_slower": {"slow_factor": 10}}
MIX = {"calls": [{"name": "browse", "weight": 1, "method": "GET", "target": "/catalog/notebooks",
                  "account": "shop-1", "deadline_ms": 2000}]}


def start_fleet(options, work, policy):
    fleet = Fleet(options.bin, work, ROOT / "examples" / "taller")
    limits = json.loads((fleet.folder / "10-callers.json").read_text())
    limits["callers"]["stationery-shops"].pop("max_requests_per_s", None)
    (fleet.folder / "10-callers.json").write_text(json.dumps(limits))
    fleet.start_platform()
    fleet.start_upstreams(service_ms=options.service_ms)
    domains = fleet.body["failure_domains"]
    for index in range(options.proxies):
        fleet.start_proxy(f"entry-{index + 1:02}", domains[index % len(domains)],
                          test_mode=True, test_balance_policy=policy, log_level="warning")
    fleet.register_hosts()
    fleet.apply()
    fleet.wait_ready(30)
    return fleet


def run_load(fleet, options, work, share, seconds):
    capacity = UPSTREAMS * SLOTS * 1000 / options.service_ms
    mix = work / "mix.json"
    mix.write_text(json.dumps(MIX))
    proxies = [a for p in fleet.proxies for a in ("--proxy", f"127.0.0.1:{p.ports['port']}")]
    return fleet.start(f"load-{share}-{time.time_ns()}", "load_tool", *proxies, "--mix", mix,
                       "--rate", capacity * share, "--duration-s", seconds, "--warmup-s", 2,
                       "--seed", options.seed)


def read_summary(load):
    text = load.child.stdout.read().decode()
    load.child.wait(30)
    return json.loads(text.strip().splitlines()[-1])


def measure_load(options, work):
    for policy in POLICIES:
        folder = work / policy
        folder.mkdir()
        fleet = start_fleet(options, folder, policy)
        try:
            for share in SHARES:
                summary = read_summary(run_load(fleet, options, folder, share, options.seconds))
                print(json.dumps({"measure": "load", "policy": policy, "share_of_slots": share,
                                  "proxies": options.proxies, "seed": options.seed,
                                  **summary}), flush=True)
        finally:
            fleet.stop_all()


def executions(fleet, upstream_id, since_ns):
    """Begin times of one upstream after a moment, in the histories of the stand-ins."""
    short = upstream_id.replace("-0", "-")
    times = []
    with open(fleet.work / f"executions-{SERVICE}.jsonl", encoding="utf-8") as lines:
        for line in lines:
            if '"begin"' in line and f'"{short}"' in line:
                entry = json.loads(line)
                if entry["upstream"] == short and entry["time_ns"] >= since_ns:
                    times.append(entry["time_ns"])
    return times


def measure_detection(options, work):
    fleet = start_fleet(options, work, "power_of_two")
    try:
        load = run_load(fleet, options, work, 0.5, 6 + 14 * len(FAULTS) * options.repeat)
        time.sleep(5)
        number = 0
        for _ in range(options.repeat):
            for fault, control in FAULTS.items():
                number += 1
                upstream = f"desk-{number:02}"
                fault_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
                fleet.upstream_control(SERVICE, upstream, control)
                time.sleep(4.5)  # Before the first trials, which start after 5 s.
                times = executions(fleet, upstream, fault_ns)
                states = [fleet.upstream_state(p, SERVICE, upstream) for p in fleet.proxies]
                print(json.dumps({
                    "measure": "detection", "fault": fault, "proxies": options.proxies,
                    "upstream": upstream, "requests_after_fault": len(times),
                    "last_request_s": round((times[-1] - fault_ns) / 1e9, 3) if times else 0,
                    "ejected_at_proxies": states.count("ejected"),
                    "avoided_at_proxies": states.count("avoided")}), flush=True)
                fleet.upstream_control(SERVICE, upstream, {"clear": True})
        wait_for("the load to end", lambda: load.child.poll() is not None, 120)
    finally:
        fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("load", "detection"))
    parser.add_argument("--bin", default="build/release/bin")
    parser.add_argument("--proxies", type=int, default=40)
    parser.add_argument("--service-ms", type=int, default=50)
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--seed", type=int, default=20261204)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="boragegauge-load-") as folder:
        work = pathlib.Path(folder)
        if options.what == "load":
            measure_load(options, work)
        else:
            measure_detection(options, work)


if __name__ == "__main__":
    main()

"""Runs a fleet of processes under seeded faults and checks the recorded histories.

python3 prove.py [PROMISE] [--seed N] [--runs N] [--seconds S] [--unprotected PROMISE]
"""

import argparse
import heapq
import json
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

from faults import MENU, Faults, start_fault
from fleet import SERVICE, Fleet
from processes import ROOT, ProcessError, ProcessGroup, find_program

PROMISES = ("whole", "notrun", "once", "leaving", "shutdown", "config", "floor")

# Mechanism that --unprotected switches off for each promise.
MECHANISMS = {
    "whole": ["truncation"], "notrun": ["notrun"], "once": ["once"], "leaving": ["leaving"],
    "shutdown": ["drain"], "config": ["config_monotonic"], "floor": ["floor"],
}

# Seconds that a fault lasts; others last 0.3 to 2.5 s.
DURATIONS = {"fail_all": (4.0, 7.0), "shed_all": (0.2, 0.6), "leave_upstream": (7.0, 8.0), "terminate_proxy": (1.0, 1.5), "fail": (2.0, 6.0),
             "slow": (2.0, 6.0), "pause_proxy": (0.3, 4.0), "platform_down": (0.5, 6.0)}
FLOOR = 4

# Seconds observed after the last fault: a configuration accepted last must still come into force.
SETTLE = {"config": 4.5}

# Without the limit on suspects, only the floor protects capacity. Long work is in flight when a
# proxy or an upstream leaves.
FLEETS = {
    "floor": {"max_bad_fraction": 1},
    "shutdown": {"service_ms": 150, "rate": 50},
    "once": {"order_weight": 100},
}


class FaultSchedule:
    """Starts a fault every 0.2 to 0.9 s until the time is over, and ends all of them."""

    def __init__(self, fleet, seed, promise):
        self.random = random.Random(seed)
        self.faults = Faults(fleet, self.random, max_upstreams=4 if promise == "floor" else 2)
        self.fleet = fleet
        self.menu = MENU[promise]
        self.open = []
        self.started = {}

    def run(self, seconds):
        limit = time.monotonic() + seconds
        order = 0
        while time.monotonic() < limit:
            self._end_due(time.monotonic())
            name = self.random.choice(self.menu)
            low, high = DURATIONS.get(name, (0.3, 2.5))
            duration = self.random.uniform(low, high)
            gap = self.random.uniform(0.2, 0.9)
            end = start_fault(self.faults, name)
            if end is not None:
                order += 1
                self.started[name] = self.started.get(name, 0) + 1
                self.fleet.log("fault", name=name, duration_s=duration)
                heapq.heappush(self.open, (time.monotonic() + duration, order, end))
            self._sleep(min(gap, max(limit - time.monotonic(), 0)))
        self._end_due(float("inf"))

    def _sleep(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._end_due(time.monotonic())
            time.sleep(0.01)

    def _end_due(self, now):
        while self.open and self.open[0][0] <= now:
            _, _, end = heapq.heappop(self.open)
            end()


def check(promise, folder, build):
    arguments = [find_program("history_checker", build), "--promise", promise,
                 "--calls", folder / "calls.jsonl", "--executions", folder / "executions.jsonl",
                 "--decisions", folder / "driver.jsonl", folder / "platform.jsonl",
                 "--floor", f"{SERVICE}={FLOOR}"]
    done = subprocess.run([str(part) for part in arguments], capture_output=True, text=True,
                          check=False, timeout=60)
    if done.returncode not in (0, 1):
        raise ProcessError(f"history_checker: {done.stderr}")
    return json.loads(done.stdout)


def run_once(promise, seed, options, disabled):
    """One fleet from start to end; returns the checker's result with the counts of faults."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="boragegauge-prove-"))
    keep = options.keep
    try:
        with ProcessGroup(folder, options.build) as group:
            fleet = Fleet(group, seed, floor=FLOOR, disabled=disabled, **FLEETS.get(promise, {}))
            fleet.start()
            settle = SETTLE.get(promise, 0)
            fleet.start_load(options.seconds + settle + 1)
            schedule = FaultSchedule(fleet, seed, promise)
            schedule.run(options.seconds)
            time.sleep(settle)
            summary = fleet.finish()
            # Before the group ends, so that the end of the run counts as no departure.
            result = check(promise, folder, options.build)
        result.update(faults=schedule.started, summary=summary)
        keep = keep or result["violations"] > 0 or result["evidence"] == 0
        result["folder"] = str(folder) if keep else ""
        return result
    except BaseException:
        keep = True
        print(f"prove: histories are kept in {folder}", file=sys.stderr)
        raise
    finally:
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)


def prove(promise, options):
    """Prints one line; returns whether the result is the expected one."""
    unprotected = options.unprotected == promise
    totals = {"calls": 0, "executions": 0, "evidence": 0, "violations": 0, "answered": 0}
    faults = {}
    excerpt = {}
    for run in range(options.runs):
        seed = options.seed + run
        result = run_once(promise, seed, options, MECHANISMS[promise] if unprotected else [])
        for name in ("calls", "executions", "evidence", "violations"):
            totals[name] += result[name]
        totals["answered"] += result["summary"]["checks"].get("ok", 0)
        for name, count in result["faults"].items():
            faults[name] = faults.get(name, 0) + count
        if "reason" in result and not excerpt:
            excerpt = {"seed": seed, "reason": result["reason"], "folder": result["folder"],
                       "excerpt": result.get("excerpt", [])}
    line = {"promise": promise, "unprotected": unprotected, "seed": options.seed,
            "runs": options.runs, "faults": sum(faults.values()), **totals, "kinds": faults, **(
                {"first": excerpt} if excerpt else {})}
    print(json.dumps(line), flush=True)
    holds = totals["violations"] == 0 and totals["evidence"] > 0
    return totals["violations"] > 0 if unprotected else holds


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("promise", nargs="?", choices=PROMISES, help="default: all")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1, help="runs per promise, with rising seeds")
    parser.add_argument("--seconds", type=float, default=12, help="time with faults in each run")
    parser.add_argument("--unprotected", choices=PROMISES,
                        help="switches the mechanism of this promise off; violations are expected")
    parser.add_argument("--keep", action="store_true", help="keep the histories of each run")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build/release")
    options = parser.parse_args()
    if options.unprotected and not MECHANISMS[options.unprotected]:
        parser.error(f"no mechanism can be switched off for {options.unprotected}")
    return options


def main():
    options = parse_options()
    only = options.unprotected or options.promise
    results = [prove(promise, options) for promise in ([only] if only else PROMISES)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

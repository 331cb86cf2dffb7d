import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import fleet as f  # noqa: E402

# Bounds and strong machines as in demands/sahel-sign-grown.toml.
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20
GRACE_S = 6.0
BOUNDS = {
    "retry_budget_ratio": 0.2, "budget_slack": 186, "retry_window": "10s", "grace": "6s",
    "quota_window": "5s", "quota_overshoot": OVERSHOOT, "quota_slack": SLACK,
}
MACHINE = {
    "cpu_share": 0.5, "cpus": 1, "memory_mb": 512, "max_fds": 8192, "bandwidth_mbps": 200.0,
}
RATE = 14
BURST = 14
HOT = ("hot0", "hot2", "hot9")  # Tenants whose clients send many times their usual.
HOT_PER_S = 56  # 6.4 times the usual, of which the quota is 1.6 times (quota_x).
HOT_S = 8.0
GAP_S = 1.0  # Between the SIGTERMs of two machines.
ROUTE = {
    "host": "seal.example", "prefix": "/seal/", "type": "unsafe", "timeout": "2s",
    "target_latency": "2000ms", "priority": 1, "service": "desk", "max_attempts": 2, "public": False,
}
TENANTS = {
    name: {"api_keys": [f"key-of-{name}"], "priority": 1, "rate_per_s": RATE, "burst": BURST}
    for name in HOT
}
TENANTS["calm"] = {"api_keys": ["key-of-calm"], "priority": 1, "rate_per_s": 400, "burst": 400}


ZONES = ["tunis", "bizerte"]


async def case(record, trouble):
    fleet = f.Fleet(record, ZONES, 2, BOUNDS, MACHINE)
    done = asyncio.Event()
    tasks = []
    statuses = {}
    rotation = set(fleet.nodes)  # As the platform sees it.

    async def one(name, tenant):
        place = random.choice(ZONES)
        zone = [node for node in fleet.nodes if node.zone == place]
        usable = [node for node in zone if node in rotation]
        # "If fewer than half of a zone's nodes are in rotation, the platform uses all of that zone's."
        node = random.choice(usable if 2 * len(usable) >= len(zone) else zone)
        key = TENANTS[tenant]["api_keys"][0]
        answer = await f.request(
            record, node.address, fleet.ports["frontend"], "POST", "seal.example", "/seal/x", name,
            2000, body=b"i" * 300, headers=[("Boragegauge-Key", key)],
        )
        statuses[name] = answer.status
        record.line(f"client {name} of {tenant} to {node.name} status={answer.status}")

    async def clients(tenant, per_s, until=1e9):
        number = 0
        while not done.is_set() and record.now() < until:
            await asyncio.sleep(random.uniform(0.5, 1.5) / per_s)
            number += 1
            tasks.append(asyncio.create_task(one(f"{tenant}-{number}", tenant)))

    async def balancer():
        """Asks each machine once a second; two misses in a row take it out."""
        misses = {node: 0 for node in fleet.nodes}
        while not done.is_set():
            for node in fleet.nodes:
                misses[node] = 0 if await node.is_ready() else misses[node] + 1
                if misses[node] == 0:
                    rotation.add(node)
                elif misses[node] >= 2:
                    rotation.discard(node)
            await asyncio.sleep(1)

    async def restart(node):
        node.send(signal.SIGTERM)
        await node.ended(GRACE_S)
        await asyncio.sleep(0.5)
        await node.start(False)

    try:
        await fleet.store.start()
        await fleet.add_instances("desk", 10, 1, work=0.05, slots=4)
        await fleet.configure(7, {"seal": ROUTE}, ["desk"], TENANTS)
        await fleet.start(10.0)
        tasks.append(asyncio.create_task(balancer()))
        tasks.append(asyncio.create_task(clients("calm", 20)))
        await asyncio.sleep(2)
        began = record.now()
        for tenant in HOT:
            tasks.append(asyncio.create_task(clients(tenant, HOT_PER_S, began + HOT_S)))
        restarts = []
        for node in fleet.nodes:
            await asyncio.sleep(GAP_S)
            if trouble:
                restarts.append(asyncio.create_task(restart(node)))
        await asyncio.gather(*restarts)
        await asyncio.sleep(3)
        done.set()
        await asyncio.gather(*tasks)
        if not any(status == 429 for status in statuses.values()):
            raise RuntimeError("no tenant was over its quota")
        limit = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
        broken = []
        for tenant in HOT:
            runs = sorted(
                (run[0], run[1])
                for instance in fleet.instances
                for run in instance.runs
                if run[2] == tenant
            )
            for at, name in runs:
                record.line(f"instance ran {name} at={at:.3f}")
            worst, start = 0, 0.0
            for index, (at, _) in enumerate(runs):
                count = sum(1 for other, _ in runs[index:] if other < at + WINDOW_S)
                if count > worst:
                    worst, start = count, at
            summary = (
                f"{tenant}: {worst} requests ran in the {WINDOW_S:g} s from {start - began:.2f} s "
                f"after its clients began; the bound is {limit:.1f}"
            )
            record.line(summary)
            print(summary)
            if worst > limit:
                broken.append(f"QUOTA: {summary}")
        return broken
    finally:
        done.set()
        await fleet.stop()


f.main(case, HERE)

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import fleet as f  # noqa: E402

# As in sites/cqt-gateway.toml: 48 machines in 4 zones, drain 2 s.
ZONES = {"xela-a": 16, "xela-b": 12, "toto-a": 8, "solola-a": 12}
DRAIN_S = 2.0
STAY_S = 0.5  # "and a little longer (at times many seconds)"
LONG_STAY_S = 4.5
BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 64, "retry_window": "10s", "grace": "6s"}
ROUTE = {
    "host": "shop.example", "prefix": "/order/", "type": "unsafe", "timeout": "3s",
    "target_latency": "600ms", "priority": 1, "service": "desk", "max_attempts": 2,
}
SURVIVOR = "edge-xela-a-4"


async def case(record, trouble):
    fleet = f.Fleet(record, list(ZONES), list(ZONES.values()), BOUNDS)
    done = asyncio.Event()
    tasks = []
    answers = {}

    async def one(node, name):
        answer = await f.request(
            record, node.address, fleet.ports["frontend"], "POST", "shop.example", "/order/x", name,
            4000, body=b"x" * 300,
        )
        answers[name] = answer
        record.line(f"client {name} sent={answer.sent_at:.3f} status={answer.status} end={answer.end}")

    async def clients(node):
        number = 0
        while not done.is_set():
            number += 1
            tasks.append(asyncio.create_task(one(node, f"r{number:04d}")))
            await asyncio.sleep(0.04)

    try:
        await fleet.store.start()
        await fleet.add_instances("desk", 12, 1, work=0.23)
        await fleet.configure(3, {"order": ROUTE}, ["desk"])
        await fleet.start()
        survivor = next(node for node in fleet.nodes if node.name == SURVIVOR)
        load = asyncio.create_task(clients(survivor))
        await asyncio.sleep(4)
        if trouble:
            others = [node for node in fleet.nodes if node is not survivor]
            for node in others:
                node.send(signal.SIGKILL)
            await asyncio.gather(*(node.process.wait() for node in others))
        # Two of twelve instances leave in order, both of the survivor's zone: one reports that it
        # drains, the other never does: its entry is removed, and it goes on for the same time.
        leaving = [instance for instance in fleet.instances if instance.zone == "xela-a"][:2]
        left = {leaving[0].name: await leaving[0].drain()}
        record.line(f"store acknowledges that {leaving[0].name} is draining")
        await fleet.store.put("servers", leaving[1].name, None)
        left[leaving[1].name] = record.now()
        record.line(f"store acknowledges that {leaving[1].name} is gone")
        await asyncio.sleep(DRAIN_S + STAY_S)
        leaving[0].exit()
        await asyncio.sleep(LONG_STAY_S - STAY_S)
        leaving[1].exit()
        await asyncio.sleep(1)
        done.set()
        await load
        await asyncio.gather(*tasks)
        broken = []
        for instance in leaving:
            for at, name in instance.arrivals:
                record.line(f"{name} reaches {instance.name} at={at:.3f}")
                if at - left[instance.name] > DRAIN_S:
                    answer = answers[name]
                    broken.append(
                        f"DRAIN: {name} reaches {instance.name} {at - left[instance.name]:.2f} s after "
                        f"the acknowledgement that it leaves; the client gets {answer.status}"
                    )
        served = sum(1 for answer in answers.values() if answer.status == 200)
        record.line(f"{served} of {len(answers)} requests were served")
        if served < len(answers) / 2:
            raise RuntimeError("less than half of the requests were served")
        return broken
    finally:
        done.set()
        await fleet.stop()


f.main(case, HERE)

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import fleet as f  # noqa: E402

# As in demands/teranga-replay-grown.toml: answers of 30,000 bytes at most, a deadline of 3 s.
ANSWER_BYTES = 30000
DEADLINE_MS = 3000
GRACE_S = 6.0
CLIENTS = 20
WINDOW = 4096
PIECE = 2000
PAUSE_S = 0.12  # 30,000 bytes take some 2 s.
BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 206, "retry_window": "10s", "grace": "6s"}
ROUTE = {
    "host": "pay.example", "prefix": "/pay/", "type": "unsafe", "timeout": "3s",
    "target_latency": "600ms", "priority": 1, "service": "payouts", "max_attempts": 2,
}


def body_of(name):
    return name.encode().ljust(ANSWER_BYTES if name.startswith("r") else 100, b".")


async def case(record, trouble):
    fleet = f.Fleet(record, ["dakar", "thies"], 2, BOUNDS)
    broken = []
    try:
        await fleet.store.start()
        await fleet.add_instances("payouts", 8, 1, work=0.14)
        for instance in fleet.instances:
            instance.body = body_of
        await fleet.configure(3, {"pay": ROUTE}, ["payouts"])
        await fleet.start()
        node = fleet.nodes[0]

        async def send(name, entry, **options):
            return await f.request(
                record, node.address, fleet.ports["frontend"], "POST", "pay.example", "/pay/x", name,
                DEADLINE_MS, body=b"p" * 300, entry=entry, **options,
            )

        async def client(number, term):
            """Sends a request, keeps the connection, and sends another one on it later."""
            entry = f.client_socket(WINDOW)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(entry, (node.address, fleet.ports["frontend"]))
            first = await send(f"a{number:03d}", entry, keep=True)
            if not first.complete or first.status != 200:
                raise RuntimeError(f"the first request got {first.status}")
            await term.wait()
            await asyncio.sleep(1.7 + 0.05 * number)
            name = f"r{number:03d}"
            answer = await send(name, entry, read_bytes=PIECE, read_pause=PAUSE_S)
            whole = answer.complete and answer.body == body_of(name)
            record.line(
                f"client {name} sent={answer.sent_at:.3f} status={answer.status} "
                f"bytes={len(answer.body)} whole={whole} end={answer.end} at={answer.ended_at:.3f}"
            )
            return name, answer, whole

        term = asyncio.Event()
        tasks = [asyncio.create_task(client(n, term)) for n in range(CLIENTS)]
        await asyncio.sleep(2.0)
        term_at = record.now()
        term.set()
        if trouble:
            node.send(signal.SIGTERM)
            await node.ended(GRACE_S)
            await asyncio.sleep(0.5)
            await node.start(False)
        results = await asyncio.gather(*tasks)
        runs = [run for instance in fleet.instances for run in instance.runs]
        for at, name, _, _ in runs:
            record.line(f"instance ran {name} at={at:.3f}")
        ran = {name for _, name, _, _ in runs}
        for name, answer, whole in results:
            # Counted: read by the proxy, passed on, and ended before the deadline and the timeout.
            if not whole and name in ran and answer.ended_at - answer.sent_at < DEADLINE_MS / 1000 - 0.1:
                broken.append(
                    f"LOST: {name} was sent {answer.sent_at - term_at:.2f} s after the SIGTERM and ran; "
                    f"its connection ended ({answer.end}) {answer.ended_at - term_at:.2f} s after it, "
                    f"with {len(answer.body)} of {ANSWER_BYTES} bytes"
                )
        if not trouble and any(not whole for _, _, whole in results):
            raise RuntimeError("without the disruption an answer was not whole")
        return broken
    finally:
        await fleet.stop()


f.main(case, HERE)

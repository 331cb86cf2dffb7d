"""Stand-ins for the cases of this review: the platform (store, settings, signals), instances and
clients, all in one asyncio process on loopback. The proxies are the project's own program, started
with the command and the template of deploy/system.toml. The stand-ins do what PROTOCOL.md and
DEPLOY.md say and nothing that these pages do not name."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]


def system():
    """The role's command and template, from the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    run = re.search(r'^run = "(.*)"$', text, re.M).group(1)
    template = re.search(r'^template = "(.*)"$', text, re.M).group(1)
    return run.split(), (ROOT / template).read_text()


def render(template, scopes):
    """Fills in a settings template as DEPLOY.md describes it."""

    def find(name):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(text, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, body = match.groups()
        value = find(name)
        if kind == "^":
            return render(body, scopes) if not value else ""
        if isinstance(value, list):
            pieces = []
            for index, entry in enumerate(value):
                comma = "," if index + 1 < len(value) else ""
                pieces.append(render(body.replace("{{,}}", comma), scopes + [entry]))
            return "".join(pieces)
        return render(body, scopes) if value is not None and value is not False else ""

    template = section.sub(expand, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(find(match.group(1))), template)


def free_port(addresses):
    """A port that is free at all of the addresses."""
    while True:
        port = random.SystemRandom().randrange(12000, 30000)
        sockets = []
        try:
            for address in addresses:
                entry = socket.socket()
                sockets.append(entry)
                entry.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for entry in sockets:
                entry.close()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's metadata store in its table form: linearizable, 4 ms an answer."""

    def __init__(self, record, address="127.99.0.1"):
        self.record = record
        self.address = address
        self.port = free_port([address])
        self.tables = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.calls = 0
        self.latency = 0.004

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=500)

    def rows(self, table):
        return self.tables.setdefault(table, {})

    async def put(self, table, key, value):
        """Writes a row (None removes it); returns when the write is acknowledged."""
        self.version += 1
        self.rows(table)[key] = (value, self.version)
        self.changes.append((table, key, value, self.version))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def row(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = start.split(" ", 2)
                self.calls += 1
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        await asyncio.sleep(self.latency)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        extra = {"now": int(time.monotonic() * 1000)}
        if url.path == "/-/rows-tx" and method == "POST":
            entries = json.loads(body)
            for entry in entries.get("expect", []):
                value, version = self.rows(entry["table"]).get(entry["key"], (None, 0))
                if (0 if value is None else version) != entry["ver"]:
                    return 412, {"rows": [], "ver": self.version, **extra}
            for entry in entries.get("writes", []):
                if entry["table"] in ("op", "servers"):
                    return 403, {}
                await self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
            for entry in entries.get("remove", []):
                await self.put(entry["table"], entry["key"], None)
            return 200, {"ver": self.version, **extra}
        if url.path == "/-/rows-get":
            first, last = query.get("from", ""), query.get("target", "")
            limit = min(int(query.get("limit", "500")), 500)
            rows = [
                self.row(query["table"], key, value, version)
                for key, (value, version) in sorted(self.rows(query["table"]).items())
                if value is not None and key >= first and (not last or key < last)
            ]
            return 200, {
                "rows": rows[:limit],
                "truncated": len(rows) > limit,
                "ver": self.version,
                **extra,
            }
        if url.path == "/-/rows-feed":
            after, table = int(query["after"]), query["table"]
            until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
            if after > self.version:
                return 410, {}

            def found():
                newest = {}
                for name, key, value, version in self.changes:
                    if name == table and version > after:
                        newest[key] = (value, version)
                ordered = sorted(newest.items(), key=lambda item: item[1][1])
                return [self.row(table, key, *entry) for key, entry in ordered]

            rows = found()
            while not rows and time.monotonic() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        break
                rows = found()
            return 200, {"rows": rows, "ver": self.version, **extra}
        return 404, {}


class Instance:
    """An instance of a service: a few slots and a short queue, a run for each request."""

    def __init__(self, record, store, name, service, zone, address, slots=3, work=0.2):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.port = free_port([address])
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queued = 0
        self.work = work
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, tenant, target)
        self.arrivals = []  # (time, request id)
        self.writers = set()
        self.body = lambda request: b"ok " + request.encode()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=400)
        await self.report()

    async def report(self):
        self.sequence += 1
        entry = {
            "address": f"{self.address}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "concurrency_limit": self.slot_count,
            },
            "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"},
        }
        await self.store.put("servers", self.name, json.dumps(entry).encode())

    async def drain(self):
        """Reports that it drains; returns the time of the store's acknowledgement."""
        self.state = "draining"
        await self.report()
        return self.record.now()

    def exit(self):
        """The end of its process: nothing listens any more, and its connections end."""
        self.record.line(f"instance {self.name} exits")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(start, headers, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, status, headers, body):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(
            f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )

    async def answer(self, start, headers, body, reader, writer):
        method, target, _ = start.split(" ", 2)
        request = headers.get("boragegauge-attempt-id", "")
        expected = headers.get("boragegauge-expected-instance", self.name)
        if expected != self.name:
            self.send(writer, 421, {"Boragegauge-Not-Executed": "1"}, b"")
            return True
        self.arrivals.append((self.record.now(), request))
        if not request or self.queued >= 12:
            self.send(writer, 503 if request else 400, {"Boragegauge-Not-Executed": "1"}, b"")
            return True
        deadline = time.monotonic() + int(headers.get("boragegauge-deadline-ms", "60000")) / 1000
        self.queued += 1
        await self.slots.acquire()
        self.queued -= 1
        try:
            if writer.is_closing():
                return False
            if time.monotonic() >= deadline:
                self.send(writer, 503, {"Boragegauge-Not-Executed": "1"}, b"")
                return True
            self.runs.append(
                (self.record.now(), request, headers.get("boragegauge-tenant", ""), target)
            )
            await asyncio.sleep(self.work)
        finally:
            self.slots.release()
        answer = self.body(request)
        self.send(
            writer,
            200,
            {
                "Boragegauge-Attempt-Id": request,
                "Boragegauge-Response-Signature": f"sig.{self.name}.{request}",
            },
            answer,
        )
        await writer.drain()
        return True


class Node:
    """An edge machine: the settings file and the process that the platform starts there."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.address = f"127.{50 + fleet.zones.index(zone)}.0.{number}"
        self.process = None
        self.file = fleet.folder / f"{self.name}.json"
        self.log = fleet.folder / f"{self.name}.log"

    def write_settings(self, bootstrap):
        fleet = self.fleet
        fields = {
            "node": self.name,
            "role": "proxy",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.address,
            "zone": self.zone,
            "region": "region",
            "listen": {
                "frontend": f"{self.address}:{fleet.ports['frontend']}",
                "readiness": f"{self.address}:{fleet.ports['readiness']}",
                "admin": f"{self.address}:{fleet.ports['admin']}",
            },
            "port_range": [fleet.ports["peer"], fleet.ports["relay"]],
            "seeds": [f"{node.address}:{fleet.ports['admin']}" for node in fleet.nodes[:3]],
            "bootstrap": bootstrap,
            "limits": fleet.limits,
            "bounds": fleet.bounds,
            "platform": {"address": f"{fleet.store.address}:{fleet.store.port}"},
        }
        self.file.write_text(render(fleet.template, [fields]))

    async def start(self, bootstrap):
        self.write_settings(bootstrap)
        command = [str(ROOT / self.fleet.command[0])] + [
            str(self.file) if word == "/etc/boragegauge/local.json" else word
            for word in self.fleet.command[1:]
        ]

        def limit():
            files = self.fleet.limits["max_fds"]
            resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=str(ROOT),
                preexec_fn=limit,
                env={"PATH": "/usr/bin:/bin", "HOME": "/tmp", "LANG": "C"},
            )
        self.fleet.record.line(f"platform starts {self.name} pid={self.process.pid}")

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record.line(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def ended(self, grace):
        """Waits for the end after SIGTERM; SIGKILL after the grace period."""
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.fleet.record.line(f"{self.name} has ended code={self.process.returncode}")

    async def is_ready(self):
        try:
            status, *_ = await asyncio.wait_for(
                simple_get(self.address, self.fleet.ports["readiness"], "/-/readyz"), 1
            )
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def simple_get(address, port, path):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
        start, headers = await read_head(reader)
        body = await reader.read()
        return int(start.split()[1]), headers, body
    finally:
        writer.close()


class Fleet:
    def __init__(self, record, zones, nodes_per_zone, bounds, limits=None):
        self.record = record
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.command, self.template = system()
        self.bounds = bounds
        self.limits = limits or {
            "cpu_share": 0.2,
            "cpus": 1,
            "memory_mb": 260,
            "max_fds": 4100,
            "bandwidth_mbps": 1000.0,
        }
        self.store = Store(record)
        counts = nodes_per_zone if isinstance(nodes_per_zone, list) else [nodes_per_zone] * len(zones)
        self.nodes = [
            Node(self, n + 1, zone) for zone, count in zip(zones, counts) for n in range(count)
        ]
        addresses = [node.address for node in self.nodes]
        self.ports = {}
        for name in ("frontend", "readiness", "admin", "peer", "relay"):
            port = free_port(addresses)
            while port in self.ports.values():
                port = free_port(addresses)
            self.ports[name] = port
        self.instances = []

    async def add_instances(self, service, count, number, **options):
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            instance = Instance(
                self.record,
                self.store,
                f"i-{service}-{index}",
                service,
                zone,
                f"127.{90 + number}.0.{index + 1}",
                **options,
            )
            self.instances.append(instance)
            await instance.start()

    async def configure(self, version, routes, services, tenants=()):
        resources = [
            {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
            for name, spec in routes.items()
        ]
        resources += [
            {"resource_type": "services", "metadata": {"name": n}, "spec": {"health_path": "/healthz"}}
            for n in services
        ]
        resources += [
            {"resource_type": "tenants", "metadata": {"name": name}, "spec": spec}
            for name, spec in dict(tenants).items()
        ]
        resources.append(
            {
                "resource_type": "limits",
                "metadata": {"name": "limits"},
                "spec": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout": "5s",
                    "idle_timeout": "10s",
                },
            }
        )
        document = json.dumps({"version": version, "resources": resources}).encode()
        await self.store.put("op", "config", document)
        self.record.line(f"operator: version {version} acknowledged")

    async def start(self, lead=8.0):
        """Starts all machines; clients begin after the lead."""
        await asyncio.gather(*(node.start(True) for node in self.nodes))
        until = time.monotonic() + lead
        ready = 0
        while time.monotonic() < until + 10:
            ready = sum(await asyncio.gather(*(node.is_ready() for node in self.nodes)))
            if ready == len(self.nodes) and time.monotonic() >= until:
                break
            await asyncio.sleep(0.2)
        self.record.line(f"{ready} of {len(self.nodes)} machines are ready")
        if ready < len(self.nodes):
            raise RuntimeError("the machines are not ready")

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        node.process.send_signal(number)
                    except ProcessLookupError:
                        pass
                await node.process.wait()


class Answer:
    status = None  # None: no head of an answer
    headers = {}
    body = b""
    complete = False
    sent_at = None
    ended_at = None
    end = "timeout"


def client_socket(window=None):
    """window: size of the receive buffer in bytes, for a client that reads slowly."""
    entry = socket.socket()
    entry.setblocking(False)
    if window is not None:
        entry.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    return entry


async def request(
    record, address, port, method, host, path, name, deadline_ms, body=b"", headers=(), entry=None,
    keep=False, read_bytes=65536, read_pause=0.0,
):
    """One attempt of a client, on a new connection or on the given one, which is closed afterwards
    unless it is kept. With read_bytes and read_pause the client reads slowly."""
    answer = Answer()
    loop = asyncio.get_running_loop()
    is_new = entry is None
    entry = entry or client_socket()
    try:
        if is_new:
            await asyncio.wait_for(loop.sock_connect(entry, (address, port)), 1)
        lines = "".join(f"{n}: {v}\r\n" for n, v in headers)
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nBoragegauge-Attempt-Id: {name}\r\n"
            f"Boragegauge-Deadline-Ms: {deadline_ms}\r\n{lines}{length}\r\n".encode() + body
        )
        until = time.monotonic() + deadline_ms / 1000
        answer.sent_at = record.now()
        await loop.sock_sendall(entry, data)
        received = b""
        head = None
        length = None
        while time.monotonic() < until:
            piece = await asyncio.wait_for(
                loop.sock_recv(entry, read_bytes), max(0.001, until - time.monotonic())
            )
            if not piece:
                answer.end = "closed"
                break
            received += piece
            if head is None and b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                answer.status = int(lines[0].split()[1])
                answer.headers = {
                    line.partition(":")[0].lower(): line.partition(":")[2].strip()
                    for line in lines[1:]
                }
                length = int(answer.headers.get("content-length", "0"))
            if head is not None and len(received) >= length:
                answer.complete = True
                answer.end = "whole"
                break
            if read_pause:
                await asyncio.sleep(read_pause)
        answer.body = received if head is not None else b""
    except OSError as error:
        answer.end = f"reset ({error.errno})"
    except asyncio.TimeoutError:
        answer.end = "timeout"
    finally:
        if not keep or not answer.complete or answer.headers.get("connection") == "close":
            entry.close()
    answer.ended_at = record.now()
    return answer


def main(case, folder):
    """Runs a case: an async function that returns the list of broken rules. Exit code 2: it could
    not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record.line(f"BROKEN {line}")
        print(line)
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)

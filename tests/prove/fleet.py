"""A fleet of separate processes on loopback: platform, links, upstreams, proxies and load."""

import http.client
import json
import shutil
import subprocess
import threading
import time

from processes import ProcessError, call, control, find_program

DOMAINS = ("fd-a", "fd-b")
SERVICE = "desk"
READY_LIMIT_S = 20
NETWORK_ERRORS = (OSError, http.client.HTTPException, ValueError)

MIX = [
    {"name": "stock", "weight": 45, "target": "/stock?id={id}", "account": "shop-{n}"},
    {"name": "blob", "weight": 10, "target": "/blob?size=20000&id={id}", "account": "shop-{n}"},
    {"name": "order", "weight": 25, "method": "POST", "target": "/orders?id={id}", "body_size": 200,
     "account": "shop-{n}", "key": True, "retries": 4},
    {"name": "job", "weight": 8, "method": "POST", "target": "/jobs?id={id}", "body_size": 50,
     "account": "shop-{n}"},
    {"name": "proof", "weight": 8, "method": "PUT", "target": "/proofs/{id}", "body_size": 20000,
     "account": "designer-{n}"},
    {"name": "closing", "weight": 4, "target": "/stock?id={id}", "account": "shop-{n}", "cancel_ms": 5},
]


def route(path, methods, **more):
    return {"path_prefix": path, "methods": methods, "callers": ["shops"], "service": SERVICE,
            "deadline_ms": 2000, **more}


def configuration(upstreams, floor, max_bad_fraction):
    """Body of the test service; upstreams maps ids to ports."""
    listed = {
        name: {"address": "127.0.0.1", "port": port, "failure_domain": DOMAINS[i % len(DOMAINS)]}
        for i, (name, port) in enumerate(sorted(upstreams.items()))
    }
    return {
        "format": 1,
        "failure_domains": list(DOMAINS),
        "callers": {"shops": {"account_prefixes": [""]}},
        "services": {SERVICE: {
            "slots_per_upstream": 3, "healthy_floor": floor, "slow_start_ms": 500,
            "detection": {"threshold": 5, "min_backoff_ms": 1000, "max_backoff_ms": 4000,
                          "max_bad_fraction": max_bad_fraction},
            "upstreams": listed}},
        "routes": {
            "stock": route("/stock", ["GET", "HEAD"]),
            "blob": route("/blob", ["GET"]),
            "orders": route("/orders", ["POST"], require_idempotency_key=True),
            "jobs": route("/jobs", ["POST"]),
            "proofs": route("/proofs", ["PUT"]),
        },
    }


class Proxy:
    """One entry host. Its process may be replaced; the name stays."""

    def __init__(self, name, domain, platform_port):
        self.name = name
        self.domain = domain
        self.platform_port = platform_port
        self.process = None
        self.ports = (0, 0, 0)
        self.listed = False

    @property
    def address(self):
        return f"127.0.0.1:{self.ports[0]}"


class Fleet:
    def __init__(self, group, seed, proxies=4, upstreams=6, floor=4, disabled=(), rate=150,
                 service_ms=8, max_bad_fraction=0.34, order_weight=25):
        self.group = group
        self.folder = group.folder
        self.seed = seed
        self.floor = floor
        self.disabled = list(disabled)
        self.rate = rate
        self.service_ms = service_ms
        self.max_bad_fraction = max_bad_fraction
        self.order_weight = order_weight
        self.proxies = [Proxy(f"proxy-{i + 1}", DOMAINS[i % len(DOMAINS)], 0) for i in range(proxies)]
        self.upstream_count = upstreams
        self.upstreams = {}  # id -> port of its link
        self.upstream_ports = {}  # id -> own port
        self.driver_log = self.folder / "driver.jsonl"
        self.config_folder = self.folder / "config"
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._observer = None
        self.changes = 0

    # Start

    def start(self):
        self.platform = self.group.start(
            "platform", "platform_standin", "--port", "0", "--history", self.folder / "platform.jsonl")
        self.platform_port = self.platform.wait_for_ports("port")[0]
        links = self.group.start("links", "link_standin", "--port", "0")
        self.links_port = links.wait_for_ports("control_port")[0]
        self._start_upstreams()
        for proxy in self.proxies:
            proxy.platform_port = self.add_link(self.platform_port)
        self._write_configuration()
        for proxy in self.proxies:
            self.start_proxy(proxy)
        self.register([self.upstream_entry(name) for name in self.upstreams])
        if self.apply(self.config_folder) != 0:
            raise ProcessError("the first apply failed: " + self.last_apply)
        for proxy in self.proxies:
            self.wait_ready(proxy)
        self._observer = threading.Thread(target=self._observe, daemon=True)
        self._observer.start()

    def _start_upstreams(self):
        process = self.group.start(
            "upstreams", "upstream_standin", "--port", "0", "--count", str(self.upstream_count),
            "--id", SERVICE, "--history", self.folder / "executions.jsonl", "--service-ms", str(self.service_ms),
            "--seed", str(self.seed), "--drain-linger-ms", "1000")
        process.wait_for_ports("port")
        while '"upstreams"' not in process.output():
            time.sleep(0.01)
        for entry in json.loads(process.output().splitlines()[1])["upstreams"]:
            self.upstream_ports[entry["id"]] = entry["port"]
            self.upstreams[entry["id"]] = self.add_link(entry["port"])

    def add_link(self, port):
        return control(self.links_port, {"target": f"127.0.0.1:{port}"}, "/links")["port"]

    def _write_configuration(self):
        self.config_folder.mkdir()
        body = configuration(self.upstreams, self.floor, self.max_bad_fraction)
        (self.config_folder / "00-base.json").write_text(json.dumps(body, indent=1))

    def start_proxy(self, proxy):
        settings = self.folder / f"{proxy.name}.json"
        seeds = [f"127.0.0.1:{other.ports[2]}" for other in self.proxies
                 if other is not proxy and other.process and other.process.running()]
        settings.write_text(json.dumps({
            "host": proxy.name, "failure_domain": proxy.domain, "listen_address": "127.0.0.1",
            "port": 0, "admin_port": 0, "peer_port": 0, "platform_address": "127.0.0.1",
            "platform_port": proxy.platform_port, "traffic_threads": 1, "balancer_notice_ms": 1000,
            "log_level": "info", "test_mode": True, "test_disable": self.disabled, "seeds": seeds}))
        proxy.process = self.group.start(proxy.name, "boragegauge-proxy", "--settings", settings)
        proxy.ports = tuple(proxy.process.wait_for_ports("port", "admin_port", "peer_port"))
        self.log("started", proxy=proxy.name)
        self.register([self.proxy_entry(proxy)])

    def wait_ready(self, proxy):
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit:
            try:
                if call(proxy.ports[1], "GET", "/readyz", timeout=1)[0] == 200:
                    self.list_proxy(proxy, True)
                    return
            except NETWORK_ERRORS:
                pass
            time.sleep(0.02)
        raise ProcessError(f"{proxy.name} is not ready: {proxy.process.err.read_text()[-800:]}")

    # Platform

    def proxy_entry(self, proxy, **more):
        return {"host": proxy.name, "role": "proxy", "service": "", "address": "127.0.0.1",
                "port": proxy.ports[0], "admin_port": proxy.ports[1], "peer_port": proxy.ports[2],
                "failure_domain": proxy.domain, "state": "live", "boot_id": "", **more}

    def upstream_entry(self, name, **more):
        port = self.upstreams[name]
        try:
            boot = json.loads(call(self.upstream_ports[name], "GET", "/healthz", timeout=1)[1])["boot_id"]
        except NETWORK_ERRORS:
            boot = ""
        return {"host": name, "role": "upstream", "service": SERVICE, "address": "127.0.0.1",
                "port": port, "admin_port": port, "peer_port": 0, "failure_domain": DOMAINS[0],
                "state": "live", "boot_id": boot, **more}

    def register(self, entries):
        control(self.platform_port, {"hosts": entries}, "/control/hosts")

    def set_platform(self, **faults):
        control(self.platform_port, faults)

    def set_link(self, port, **faults):
        control(self.links_port, {"port": port, **faults})

    def set_upstream(self, name, **faults):
        """Asked directly, not over the link; any upstream of the process passes it on."""
        ports = [self.upstream_ports[name], *self.upstream_ports.values()]
        for port in ports:
            try:
                control(port, {"upstream": name, **faults})
                return
            except NETWORK_ERRORS:
                continue
        raise ProcessError(f"no upstream takes control of {name}")

    def restart_upstream(self, name):
        """Brings a stopped upstream back with a new boot id and lists it as live."""
        self.set_upstream(name, restart_ms=20)
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit:
            try:
                status = json.loads(call(self.upstream_ports[name], "GET", "/healthz", timeout=1)[1])
                if status["status"] == "ok":
                    self.register([self.upstream_entry(name)])
                    return
            except NETWORK_ERRORS:
                pass
            time.sleep(0.02)
        raise ProcessError(f"{name} did not restart")

    # Operators

    def apply(self, folder, *arguments):
        command = [find_program("boragegauge", self.group.build), "apply", folder,
                   "--platform", f"127.0.0.1:{self.platform_port}", *arguments]
        done = subprocess.run([str(part) for part in command], capture_output=True, text=True, timeout=60,
                              check=False)
        self.last_apply = (done.stdout + done.stderr)[-400:]
        self.log("apply", code=done.returncode, output=self.last_apply)
        return done.returncode

    def change(self, folder):
        self.changes += 1
        patch = {"routes": {"stock": {"deadline_ms": 2000 + self.changes}}}
        (folder / "50-change.json").write_text(json.dumps(patch))

    def apply_change(self):
        self.change(self.config_folder)
        return self.apply(self.config_folder, "--skip-unreachable")

    def race(self):
        """Two operators apply different copies of one folder at the same time."""
        folders = []
        for name in ("race-a", "race-b"):
            copy = self.folder / name
            shutil.rmtree(copy, ignore_errors=True)
            shutil.copytree(self.config_folder, copy)
            self.change(copy)
            folders.append(copy)
        codes = {}
        threads = [threading.Thread(target=lambda f=folder: codes.update(
            {f: self.apply(f, "--skip-unreachable")})) for folder in folders]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = [folder for folder in folders if codes.get(folder) == 0]
        if winners:
            shutil.rmtree(self.config_folder)
            shutil.copytree(winners[0], self.config_folder)
        return codes

    # Balancer

    def list_proxy(self, proxy, listed):
        with self._lock:
            proxy.listed = listed
            names = [entry.address for entry in self.proxies if entry.listed]
        if names:
            temporary = self.folder / "proxies.json.tmp"
            temporary.write_text(json.dumps(names))
            temporary.replace(self.folder / "proxies.json")

    # Records

    def log(self, event, **fields):
        line = json.dumps({"event": event, "time_ns": time.monotonic_ns(), **fields})
        with self._lock, open(self.driver_log, "a") as file:
            file.write(line + "\n")

    def _observe(self):
        """Reads what each proxy has in force; the time is the one before the read."""
        while not self._stop.wait(0.1):
            for proxy in self.proxies:
                before = time.monotonic_ns()
                try:
                    state = json.loads(call(proxy.ports[1], "GET", "/state", timeout=0.3)[1])
                except NETWORK_ERRORS:
                    continue
                self.log("observed", time_ns=before, proxy=proxy.name, ready=state["ready"],
                         incarnation=str(state["incarnation"]), revision=state["revision"],
                         digest=state["digest"])

    def start_load(self, duration_s):
        mix = self.folder / "mix.json"
        calls = [{**kind, "weight": self.order_weight} if kind["name"] == "order" else kind for kind in MIX]
        mix.write_text(json.dumps({"calls": calls}))
        self.load = self.group.start(
            "load", "load_tool", "--proxies", self.folder / "proxies.json", "--mix", mix,
            "--rate", str(self.rate), "--duration-s", str(duration_s), "--seed", str(self.seed),
            "--history", self.folder / "calls.jsonl", "--prefix", f"s{self.seed}")
        return self.load

    def finish(self):
        """Waits for the load and stops observing."""
        code = self.load.wait(30)
        self._stop.set()
        self._observer.join()
        if code != 0:
            raise ProcessError(f"load_tool ended with {code}: {self.load.err.read_text()[-300:]}")
        return json.loads(self.load.output())

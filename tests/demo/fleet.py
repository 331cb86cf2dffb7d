"""Starts and ends the processes of a small fleet on loopback addresses."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

START_LIMIT_S = 10
STOP_LIMIT_S = 8


def http(method, url, body=None, headers=None, timeout=5):
    """Sends one request. Returns (status, headers, body); (0, {}, reason) without a response."""
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except OSError as error:
        return 0, {}, str(error).encode()


def wait_for(what, condition, limit_s):
    """Polls a condition until it returns a true value. Raises TimeoutError with what was awaited."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise TimeoutError(f"waited {limit_s} s for {what}")


class Process:
    """A child process that prints "listening ..." with its ports."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = open(folder / f"{name}.log", "wb")
        self.child = subprocess.Popen(
            [str(a) for a in arguments], stdout=subprocess.PIPE, stderr=self.log,
            stdin=subprocess.DEVNULL)
        self.ports = {}

    def read_ports(self):
        line = self.child.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"{self.name} did not start; see its log")
        for field in line.split()[1:]:
            key, value = field.split("=")
            self.ports[key] = int(value)
        return self

    def stop(self, limit_s=STOP_LIMIT_S):
        """SIGTERM, then SIGKILL after the limit. Returns the exit code."""
        if self.child.poll() is None:
            os.kill(self.child.pid, signal.SIGCONT)
            self.child.terminate()
        try:
            self.child.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
        self.child.stdout.close()
        self.log.close()
        return self.child.returncode


class Fleet:
    """Platform, upstreams and proxies for one configuration folder."""

    def __init__(self, bin_folder, work_folder, configuration_folder):
        self.bin = pathlib.Path(bin_folder)
        self.work = pathlib.Path(work_folder)
        self.folder = self.work / "configuration"
        self.folder.mkdir()
        self.body = {}
        for file in sorted(pathlib.Path(configuration_folder).glob("*.json")):
            text = file.read_text()
            (self.folder / file.name).write_text(text)
            merge(self.body, json.loads(text))
        self.processes = []
        self.proxies = []
        self.platform = None
        self.upstream_ports = {}

    def start(self, name, *arguments):
        process = Process(name, [self.bin / arguments[0], *arguments[1:]], self.work)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.start("platform", "platform_standin", "--port", 0).read_ports()

    def start_upstreams(self, service_ms):
        """One process per service; ids and ports as in the configuration."""
        for service, settings in self.body["services"].items():
            upstreams = sorted(settings["upstreams"].items())
            first_id, first = upstreams[0]
            process = self.start(
                f"upstreams-{service}", "upstream_standin", "--count", len(upstreams),
                "--base-port", first["port"], "--id", first_id.rsplit("-", 1)[0],
                "--slots", settings["slots_per_upstream"], "--service-ms", service_ms,
                "--history", self.work / f"executions-{service}.jsonl")
            process.read_ports()
            for upstream_id, upstream in upstreams:
                self.upstream_ports[(service, upstream_id)] = upstream["port"]

    def start_proxy(self, name, failure_domain, **settings):
        file = self.work / f"{name}.json"
        file.write_text(json.dumps({
            "host": name, "failure_domain": failure_domain, "listen_address": "127.0.0.1",
            "platform_address": "127.0.0.1", "platform_port": self.platform.ports["port"],
            "balancer_notice_ms": 200, **settings}))
        process = self.start(name, "boragegauge-proxy", "--settings", file).read_ports()
        process.failure_domain = failure_domain
        self.proxies.append(process)
        return process

    def register_hosts(self):
        hosts = [{
            "host": p.name, "role": "proxy", "service": "", "address": "127.0.0.1",
            "port": p.ports["port"], "admin_port": p.ports["admin_port"],
            "peer_port": p.ports["peer_port"], "failure_domain": p.failure_domain,
            "state": "live", "boot_id": str(p.child.pid)} for p in self.proxies]
        for (service, upstream_id), port in self.upstream_ports.items():
            domain = self.body["services"][service]["upstreams"][upstream_id]["failure_domain"]
            hosts.append({
                "host": upstream_id, "role": "upstream", "service": service,
                "address": "127.0.0.1", "port": port, "admin_port": port, "peer_port": 0,
                "failure_domain": domain, "state": "live", "boot_id": ""})
        self.platform_call("PUT", "/control/hosts", {"hosts": hosts})

    def platform_call(self, method, path, body):
        url = f"http://127.0.0.1:{self.platform.ports['port']}{path}"
        status, _, answer = http(method, url, json.dumps(body).encode())
        if status != 200:
            raise RuntimeError(f"{path}: {status} {answer[:200]}")

    def upstream_control(self, service, upstream_id, body):
        port = self.upstream_ports[(service, upstream_id)]
        status, _, answer = http(
            "POST", f"http://127.0.0.1:{port}/control", json.dumps(body).encode())
        if status != 200:
            raise RuntimeError(f"control of {upstream_id}: {status} {answer[:200]}")

    def ctl(self, *arguments, check=True, stdout=subprocess.PIPE):
        result = subprocess.run(
            [self.bin / "boragegauge", *[str(a) for a in arguments]],
            stdout=stdout, stderr=subprocess.STDOUT, timeout=30, check=False)
        text = result.stdout.decode() if result.stdout else ""
        if check and result.returncode != 0:
            raise RuntimeError(f"boragegauge {arguments[0]}: exit {result.returncode}\n{text}")
        return result.returncode, text

    def platform_address(self):
        return f"127.0.0.1:{self.platform.ports['port']}"

    def apply(self):
        return self.ctl("apply", self.folder, "--platform", self.platform_address())[1]

    def state(self, proxy):
        status, _, body = http("GET", f"http://127.0.0.1:{proxy.ports['admin_port']}/state")
        return json.loads(body) if status == 200 else {}

    def is_ready(self, proxy):
        return http("GET", f"http://127.0.0.1:{proxy.ports['admin_port']}/readyz")[0] == 200

    def wait_ready(self, limit_s=START_LIMIT_S):
        wait_for("all proxies to be ready",
                 lambda: all(self.is_ready(p) for p in self.proxies), limit_s)

    def upstream_state(self, proxy, service, upstream_id):
        for view in self.state(proxy).get("upstreams", []):
            if view["service"] == service and view["upstream"] == upstream_id:
                return view["state"]
        return "unknown"

    def stop_all(self):
        """Ends all processes, proxies first. Returns the names that did not end cleanly."""
        unclean = []
        order = sorted(self.processes, key=lambda p: p not in self.proxies)
        for process in order:
            if process.child.poll() is None and process in self.proxies:
                process.child.terminate()
        for process in order:
            if process.stop() not in (0, -signal.SIGTERM):
                unclean.append(process.name)
        return unclean


def merge(target, patch):
    """JSON merge patch (RFC 7396) in place."""
    for key, value in patch.items():
        if value is None:
            target.pop(key, None)
        elif isinstance(value, dict) and isinstance(target.get(key), dict):
            merge(target[key], value)
        else:
            target[key] = value

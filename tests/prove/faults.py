"""Seeded faults for a fleet. Each fault starts at once and returns a function that ends it."""

import signal
import time

from processes import ProcessError


def nothing():
    pass


class Faults:
    """Chooses upstreams and proxies with the seeded generator."""

    def __init__(self, fleet, random, max_upstreams=2):
        self.fleet = fleet
        self.random = random
        self.max_upstreams = max_upstreams
        self.busy_proxies = set()
        self.busy_upstreams = set()

    def _upstream(self):
        free = sorted(set(self.fleet.upstreams) - self.busy_upstreams)
        if len(self.busy_upstreams) >= self.max_upstreams or not free:
            return None
        name = self.random.choice(free)
        self.busy_upstreams.add(name)
        return name

    def _proxy(self):
        free = [proxy for proxy in self.fleet.proxies if proxy.name not in self.busy_proxies]
        if len(free) <= len(self.fleet.proxies) // 2:
            return None
        proxy = self.random.choice(free)
        self.busy_proxies.add(proxy.name)
        return proxy

    def _gray(self, **faults):
        name = self._upstream()
        if name is None:
            return None
        self.fleet.set_upstream(name, clear=True, **faults)

        def end():
            self.fleet.set_upstream(name, clear=True)
            self.busy_upstreams.discard(name)

        return end

    # Upstreams

    def fail(self):
        return self._gray(fail=True, fraction=0.5)

    def fail_all(self):
        return self._gray(fail=True)

    def shed_all(self):
        """No upstream has a free slot; every request is refused and may be told not run."""
        for name in self.fleet.upstreams:
            self.fleet.set_upstream(name, slots=0)

        def end():
            for name in self.fleet.upstreams:
                self.fleet.set_upstream(name, slots=3)

        return end

    def slow(self):
        return self._gray(slow_factor=20)

    def flap(self):
        return self._gray(fail=True, flap_period_ms=300)

    def truncate(self):
        return self._gray(truncate=self.random.choice(["length", "chunked"]), fraction=0.5)

    def reset_after_answer(self):
        return self._gray(reset_after_answer=True, fraction=0.5)

    def stall(self):
        return self._gray(stall=True, fraction=0.3)

    def one_domain(self):
        return self._gray(fail=True, match_header="X-Proxy-Domain",
                          match_prefix=self.random.choice(["fd-a", "fd-b"]))

    def silent_connections(self):
        name = self._upstream()
        if name is None:
            return None
        self.fleet.set_link(self.fleet.upstreams[name], silence_existing=True)
        return lambda: self.busy_upstreams.discard(name)

    def cut_upstream(self):
        name = self._upstream()
        if name is None:
            return None
        port = self.fleet.upstreams[name]
        self.fleet.set_link(port, drop=self.random.choice(["up", "down"]))

        def end():
            self.fleet.set_link(port, drop="")
            self.busy_upstreams.discard(name)

        return end

    def crash_upstream(self):
        name = self._upstream()
        if name is None:
            return None
        self.fleet.set_upstream(name, restart_ms=300)

        def end():
            self.fleet.register([self.fleet.upstream_entry(name)])
            self.busy_upstreams.discard(name)

        return end

    def leave_upstream(self):
        """The platform may learn of the drain before or after the proxies do."""
        name = self._upstream()
        if name is None:
            return None
        if self.random.random() < 0.5:
            self.fleet.register([self.fleet.upstream_entry(name, state="leaving")])
        # Longer than the time in which new work must stop.
        self.fleet.set_upstream(name, drain=True, drain_linger_ms=6500)

        def end():
            self.fleet.restart_upstream(name)
            self.busy_upstreams.discard(name)

        return end

    # Proxies

    def kill_proxy(self):
        proxy = self._proxy()
        if proxy is None:
            return None
        self.fleet.list_proxy(proxy, False)
        proxy.process.kill()

        def end():
            self.fleet.start_proxy(proxy)
            self.fleet.wait_ready(proxy)
            self.busy_proxies.discard(proxy.name)

        return end

    def pause_proxy(self):
        proxy = self._proxy()
        if proxy is None:
            return None
        proxy.process.send(signal.SIGSTOP)

        def end():
            proxy.process.send(signal.SIGCONT)
            self.fleet.log("resumed", proxy=proxy.name)
            self.busy_proxies.discard(proxy.name)

        return end

    def terminate_proxy(self):
        proxy = self._proxy()
        if proxy is None:
            return None
        address = proxy.address
        self.fleet.log("terminate", proxy=address)
        proxy.process.send(signal.SIGTERM)
        time.sleep(0.2)  # A balancer needs a moment to see that the proxy is not ready.
        self.fleet.list_proxy(proxy, False)

        def end():
            code = proxy.process.wait(15)
            self.fleet.log("exited", proxy=address, code=-999 if code is None else code)
            if code is None:
                proxy.process.kill()
            self.fleet.start_proxy(proxy)
            self.fleet.wait_ready(proxy)
            self.busy_proxies.discard(proxy.name)

        return end

    # Platform and operators

    def platform_down(self):
        self.fleet.set_platform(mode=self.random.choice(["down", "hang"]))
        return lambda: self.fleet.set_platform(mode="up")

    def platform_slow(self):
        self.fleet.set_platform(mode="slow", delay_ms=self.random.choice([50, 200, 800]))
        return lambda: self.fleet.set_platform(mode="up")

    def lose_commits(self):
        self.fleet.set_platform(lose_commit_response=self.random.randint(1, 8))
        return lambda: self.fleet.set_platform(lose_commit_response=0)

    def cut_platform(self):
        """One proxy's messages to or from the platform are lost."""
        proxy = self._proxy()
        if proxy is None:
            return None
        self.fleet.set_link(proxy.platform_port, drop=self.random.choice(["up", "down", "both"]))

        def end():
            self.fleet.set_link(proxy.platform_port, drop="")
            self.busy_proxies.discard(proxy.name)

        return end

    def lag_hosts(self):
        self.fleet.set_platform(host_list_lag_ms=self.random.choice([200, 1000]))
        return lambda: self.fleet.set_platform(host_list_lag_ms=0)

    def apply(self):
        self.fleet.apply_change()
        return nothing

    def race(self):
        self.fleet.race()
        return nothing

    def restore(self):
        """The store comes back as an older copy; nobody applies until the proxies have repaired it."""
        self.fleet.set_platform(snapshot=True)
        if self.fleet.apply_change() != 0:
            return nothing
        time.sleep(2)
        self.fleet.set_platform(restore=True)
        self.fleet.log("restored")
        time.sleep(3)
        return nothing


GRAY = ("fail", "slow", "flap", "truncate", "reset_after_answer", "stall", "one_domain")
LINKS = ("silent_connections", "cut_upstream", "crash_upstream")
PLATFORM = ("platform_down", "platform_slow", "lose_commits", "cut_platform")
PROXIES = ("kill_proxy", "pause_proxy")

# Faults by promise; those that strike at the promise's mechanism come more often.
MENU = {
    "whole": GRAY + LINKS + PROXIES + ("truncate", "truncate", "reset_after_answer", "stall"),
    "notrun": GRAY + LINKS + PROXIES + PLATFORM + ("terminate_proxy",) + ("shed_all",) * 5,
    "once": GRAY + LINKS + PROXIES + PLATFORM + ("truncate", "truncate", "stall", "stall", "kill_proxy"),
    "leaving": ("leave_upstream",) * 3 + ("platform_down", "lag_hosts", "pause_proxy", "cut_platform"),
    "shutdown": ("terminate_proxy",) * 3 + ("leave_upstream", "slow", "platform_slow"),
    "config": ("apply", "apply", "race", "race", "platform_down", "platform_slow", "lose_commits",
               "cut_platform", "kill_proxy", "pause_proxy", "restore"),
    "floor": ("fail_all",) * 8 + ("truncate", "leave_upstream", "pause_proxy", "platform_down",
                                  "cut_platform", "lag_hosts", "kill_proxy"),
}


def start_fault(faults, name):
    """Starts a fault; returns its end, or None when nothing was free. Errors name the fault."""
    try:
        return getattr(faults, name)()
    except (OSError, ProcessError) as error:
        raise ProcessError(f"fault {name}: {error}") from error

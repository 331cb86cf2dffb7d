"""Shows a small fleet: real requests, one gray upstream, an outage, and what explain says."""

import argparse
import hashlib
import json
import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from fleet import Fleet, http, wait_for  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOYMENTS = {
    "taller": {
        "domains": ["xela-a", "xela-b", "toto-a", "solola-a"], "service": "order-desk",
        "upstream": "desk-07", "account": "shop-0042", "browse": "/catalog/notebooks?page=1",
        "order": "/orders", "uploader": "designer-7", "upload": "/artwork/wedding-diary.pdf",
        "mix": [
            {"name": "browse", "weight": 8, "method": "GET", "target": "/catalog/notebooks",
             "account": "shop-1"},
            {"name": "order", "weight": 1, "method": "POST", "target": "/orders",
             "account": "shop-1", "body_size": 800, "key": True}]},
    "huron": {
        "domains": ["sarnia-bay", "port-huron", "goderich"], "service": "order-desk",
        "upstream": "desk-07", "account": "contractor-42", "browse": "/coils/26-gauge?page=1",
        "order": "/cut-lists", "uploader": "architect-7", "upload": "/drawings/roof-layout.pdf",
        "mix": [
            {"name": "browse", "weight": 8, "method": "GET", "target": "/coils/26-gauge",
             "account": "contractor-1"},
            {"name": "order", "weight": 1, "method": "POST", "target": "/cut-lists",
             "account": "contractor-1", "body_size": 800, "key": True}]},
}


def say(text):
    print(text, flush=True)


def check(condition, text):
    say(("  ok    " if condition else "  WRONG ") + text)
    if not condition:
        raise AssertionError(text)


def url(proxy, target):
    return f"http://127.0.0.1:{proxy.ports['port']}{target}"


def show_requests(fleet, deployment):
    say("\n2. Real requests through different proxies")
    first, second = fleet.proxies[0], fleet.proxies[1]
    account = {"X-Account": deployment["account"]}
    status, headers, _ = http("GET", url(first, deployment["browse"]), headers=account)
    check(status == 200, f"browse: {status}, request id {headers.get('X-Request-Id')}")

    order = b'{"items":[{"item":"a5","count":40}]}'
    keyed = {**account, "Idempotency-Key": f"order-{time.time_ns()}",
             "Content-Type": "application/json"}
    status, _, body = http("POST", url(first, deployment["order"]), order, keyed)
    check(status == 200, f"order at {first.name}: {status}")
    status, headers, again = http("POST", url(second, deployment["order"]), order, keyed)
    check(status == 200 and headers.get("Idempotency-Replayed") == "true" and again == body,
          f"same key at {second.name}: stored answer, not run again")
    status, _, _ = http("POST", url(second, deployment["order"]), b"{}", keyed)
    check(status == 422, f"same key with another order: {status}")

    artwork = os.urandom(1 << 20)
    status, _, body = http("PUT", url(second, deployment["upload"]), artwork,
                           {"X-Account": deployment["uploader"]}, timeout=20)
    check(status == 200 and json.loads(body).get("sha256") == hashlib.sha256(artwork).hexdigest(),
          "artwork upload of 1 MB arrived byte for byte")
    status, _, body = http("GET", url(first, "/nowhere"), headers=account)
    check(status == 404 and json.loads(body)["executed"] == "no", "unknown route: 404, not run")


def show_gray_failure(fleet, deployment, load_tool):
    service, upstream = deployment["service"], deployment["upstream"]
    say(f"\n3. {upstream} fails half of its real work while its health endpoint says ok")
    fleet.upstream_control(service, upstream, {"fail": True, "fraction": 0.5})
    started = time.monotonic()

    def out(proxy):
        return fleet.upstream_state(proxy, service, upstream) in ("avoided", "ejected")

    wait_for("avoidance on all proxies", lambda: all(out(p) for p in fleet.proxies), 20)
    say(f"  ok    avoided by all {len(fleet.proxies)} proxies after "
        f"{time.monotonic() - started:.2f} s")

    def ejected(proxy):
        return fleet.upstream_state(proxy, service, upstream) == "ejected"

    wait_for("ejection on all proxies", lambda: all(ejected(p) for p in fleet.proxies), 20)
    say(f"  ok    ejected by the fleet after {time.monotonic() - started:.2f} s")
    check(load_tool.child.poll() is None, "load goes on")


def show_outage(fleet, deployment):
    say("\n4. The platform goes down")
    fleet.platform_call("POST", "/control", {"mode": "down"})
    proxy = fleet.proxies[2]
    account = {"X-Account": deployment["account"]}
    status, _, _ = http("GET", url(proxy, deployment["browse"]), headers=account)
    check(status == 200, "browse still works")
    status, _, body = http("POST", url(proxy, deployment["order"]), b"{}",
                           {**account, "Idempotency-Key": f"late-{time.time_ns()}"}, timeout=15)
    check(status == 503 and json.loads(body)["executed"] == "no",
          "keyed order: 503 and executed=no, because the key cannot be claimed")


def show_explanation(fleet, deployment):
    say(f"\n5. What happened to {deployment['upstream']}? (platform still down)")
    arguments = ["explain", "--service", deployment["service"], "--upstream",
                 deployment["upstream"], "--since", "5m", "--platform", fleet.platform_address()]
    for proxy in fleet.proxies:
        arguments += ["--admin", f"127.0.0.1:{proxy.ports['admin_port']}"]
    _, text = fleet.ctl(*arguments, check=False)
    say("\n".join("  " + line for line in text.rstrip().splitlines()))
    check("ejected upstream" in text, "explain names the ejection")
    _, document = fleet.ctl(*arguments, "--json", check=False)
    verdicts = [r for r in json.loads(document)["records"] if r["kind"] == "avoidance"]
    code, text = fleet.ctl("explain", "--replay", verdicts[0]["id"], *arguments[7:], check=False)
    say("  " + text.strip().replace("\n", "\n  "))
    check(code == 0, "the same code decides the same from the recorded numbers")


def run(options, work):
    name = "huron" if options.huron else "taller"
    deployment = DEPLOYMENTS[name]
    fleet = Fleet(options.bin, work, ROOT / "examples" / name)
    load_tool = None
    try:
        say(f"1. Platform, upstreams and {len(deployment['domains'])} proxies start; "
            f"the folder examples/{name} is applied")
        fleet.start_platform()
        fleet.start_upstreams(service_ms=20)
        for index, domain in enumerate(deployment["domains"], 1):
            fleet.start_proxy(f"entry-{index}", domain)
        fleet.register_hosts()
        say("  " + fleet.apply().splitlines()[0])
        fleet.wait_ready()
        show_requests(fleet, deployment)

        mix = work / "mix.json"
        mix.write_text(json.dumps({"calls": deployment["mix"]}))
        proxies = [a for p in fleet.proxies
                   for a in ("--proxy", f"127.0.0.1:{p.ports['port']}")]
        load_tool = fleet.start("load", "load_tool", *proxies, "--mix", mix, "--rate", 400,
                                "--duration-s", 60, "--seed", options.seed)
        time.sleep(3)  # Baselines need some real traffic first.
        show_gray_failure(fleet, deployment, load_tool)
        show_outage(fleet, deployment)
        show_explanation(fleet, deployment)
    finally:
        say("\n6. All processes end")
        unclean = fleet.stop_all()
    check(not unclean, "no process was left or ended with an error" + "".join(unclean))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder with the programs")
    parser.add_argument("--seed", type=int, default=20261204, help="seed of the load")
    parser.add_argument("--huron", action="store_true",
                        help="the deployment of examples/huron instead of examples/taller")
    parser.add_argument("--keep", action="store_true", help="keep logs and histories")
    options = parser.parse_args()
    say(f"seed {options.seed}")
    work = pathlib.Path(tempfile.mkdtemp(prefix="boragegauge-demo-"))
    try:
        run(options, work)
    except (AssertionError, RuntimeError, TimeoutError) as error:
        say(f"FAILED: {error}\nlogs: {work}")
        return 1
    if options.keep:
        say(f"logs and histories: {work}")
    else:
        for file in sorted(work.rglob("*"), reverse=True):
            file.unlink() if file.is_file() else file.rmdir()
        work.rmdir()
    say("demo: passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())

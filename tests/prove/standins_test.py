"""Tests of the stand-ins and the load tool: python3 standins_test.py BUILD_FOLDER"""

import http.client
import json
import pathlib
import signal
import sys
import tempfile
import time
import unittest

from processes import ProcessGroup, call, control

BUILD = pathlib.Path(sys.argv.pop(1)) if len(sys.argv) > 1 else pathlib.Path("build/release")


def read_lines(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def events(path, kind):
    return [line for line in read_lines(path) if line["event"] == kind]


class StandinTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.group = ProcessGroup(self.folder, BUILD)
        self.group.__enter__()
        self.addCleanup(self.group.__exit__)
        self.history = self.folder / "executions.jsonl"

    def start(self, program, *arguments):
        process = self.group.start(program, program, "--port", "0", *arguments)
        return process, process.wait_for_ports("port")[0]

    def start_upstream(self, *arguments):
        arguments = ("--history", self.history, "--id", "u", "--sigma", "0.1", *arguments)
        return self.start("upstream_standin", *arguments)

    def expect_failure(self, port, path, timeout=5):
        with self.assertRaises((OSError, http.client.HTTPException)):
            call(port, "GET", path, timeout=timeout)


class PlatformTest(StandinTest):
    def commit(self, port, version, value):
        body = {"conditions": [{"key": "k", "version": version}], "puts": [{"key": "k", "value": value}]}
        status, text = call(port, "POST", "/v1/table/commit", body)
        return status, json.loads(text)

    def read(self, port):
        return json.loads(call(port, "GET", "/v1/table/rows?key=k")[1])

    def test_conditional_commits(self):
        """Guards against a commit that applies although a condition fails."""
        _, port = self.start("platform_standin")
        self.assertEqual(self.commit(port, 0, "a")[0], 200)
        status, reply = self.commit(port, 0, "b")
        self.assertEqual((status, reply["conflicts"][0]["value"]), (409, "a"))
        self.assertEqual(self.read(port)["value"], "a")

    def test_lost_response_takes_effect(self):
        """Guards against a lost response that also loses the commit."""
        _, port = self.start("platform_standin")
        control(port, {"lose_commit_response": 1})
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.commit(port, 0, "a")
        self.assertEqual(self.read(port)["value"], "a")

    def test_restore_brings_back_the_snapshot(self):
        """Guards against a clock or new versions that go back with the data."""
        _, port = self.start("platform_standin")
        version = self.commit(port, 0, "old")[1]["version"]
        control(port, {"snapshot": True})
        newer = self.commit(port, version, "new")[1]
        control(port, {"restore": True})
        row = self.read(port)
        self.assertEqual((row["value"], row["version"]), ("old", version))
        self.assertGreaterEqual(row["now_ms"], newer["now_ms"])
        self.assertGreater(self.commit(port, version, "x")[1]["version"], newer["version"])

    def test_host_list_lags(self):
        """Guards against a host list that is more current than the real one."""
        _, port = self.start("platform_standin")
        control(port, {"host_list_lag_ms": 300})
        started = time.monotonic()
        control(port, {"hosts": [{"host": "h"}]}, "/control/hosts", "PUT")
        while not json.loads(call(port, "GET", "/v1/hosts")[1])["hosts"]:
            self.assertLess(time.monotonic() - started, 5)
            time.sleep(0.01)
        self.assertGreaterEqual(time.monotonic() - started, 0.3)

    def test_outage_and_end(self):
        """Guards against a stand-in that keeps answering while down, or ignores SIGTERM."""
        process, port = self.start("platform_standin")
        control(port, {"mode": "down"})
        self.expect_failure(port, "/v1/hosts")
        control(port, {"mode": "up"})
        self.assertEqual(call(port, "GET", "/v1/hosts")[0], 200)
        self.assertEqual(process.end(), 0)


class UpstreamTest(StandinTest):
    def test_slots_shed_and_cancellation(self):
        """Guards against a slot that stays taken after the caller has closed."""
        _, port = self.start_upstream("--slots", "1", "--service-ms", "60000")
        self.expect_failure(port, "/x", timeout=0.2)
        self.assertEqual(len(events(self.history, "begin")), 1)
        holder = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        while not events(self.history, "cancelled"):
            time.sleep(0.01)
        holder.request("GET", "/held")
        while len(events(self.history, "begin")) < 2:
            time.sleep(0.01)
        self.assertEqual(call(port, "GET", "/y")[0], 503)
        self.assertEqual(events(self.history, "refused")[0]["reason"], "shed")
        holder.close()

    def test_faults(self):
        """Guards against a fault that is not produced, which would make the proofs empty."""
        _, port = self.start_upstream("--service-ms", "1")
        control(port, {"fail": True})
        self.assertEqual(call(port, "GET", "/x")[0], 500)
        self.assertEqual(call(port, "GET", "/healthz")[0], 200)
        for fault in ("length", "chunked"):
            control(port, {"clear": True, "truncate": fault})
            with self.assertRaises(http.client.IncompleteRead):
                call(port, "GET", "/x")
        control(port, {"clear": True, "stall": True})
        self.expect_failure(port, "/x", timeout=0.3)
        control(port, {"clear": True, "fail": True, "match_header": "X-Account", "match_prefix": "b"})
        self.assertEqual(call(port, "GET", "/x")[0], 200)

    def test_old_connections_go_silent(self):
        """Guards against silence that also hits new connections."""
        _, port = self.start_upstream("--service-ms", "1")
        old = http.client.HTTPConnection("127.0.0.1", port, timeout=0.5)
        old.request("GET", "/x")
        old.getresponse().read()
        control(port, {"silent_connection_age_ms": 50})
        time.sleep(0.06)
        old.request("GET", "/x")
        with self.assertRaises(OSError):
            old.getresponse()
        self.assertEqual(call(port, "GET", "/x")[0], 200)
        old.close()

    def test_drain_finishes_work(self):
        """Guards against an exit that cuts off work, and against one that never comes."""
        process, port = self.start_upstream("--service-ms", "300")
        held = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        held.request("GET", "/x")
        while not events(self.history, "begin"):
            time.sleep(0.01)
        process.send(signal.SIGTERM)
        while not events(self.history, "leaving"):
            time.sleep(0.01)
        refused = call(port, "GET", "/y")
        self.assertEqual(refused[0], 503)
        self.assertEqual(held.getresponse().status, 200)
        held.close()
        self.assertEqual(process.wait(), 0)
        self.assertEqual(len(events(self.history, "end")), 1)

    def test_many_upstreams_and_restart(self):
        """Guards against control that hits the wrong upstream."""
        process, port = self.start_upstream("--count", "38", "--service-ms", "1")
        while "upstreams" not in process.output():
            time.sleep(0.01)
        listed = json.loads(process.output().splitlines()[1])["upstreams"]
        self.assertEqual(len(listed), 38)
        control(port, {"upstream": "u-7", "fail": True})
        statuses = [call(entry["port"], "GET", "/x")[0] for entry in listed]
        self.assertEqual([i for i, status in enumerate(statuses) if status == 500], [6])
        control(port, {"upstream": "u-3", "restart_ms": 1})
        while len(events(self.history, "boot")) < 39:
            time.sleep(0.01)
        self.assertEqual(process.end(), 0)


class LinkAndLoadTest(StandinTest):
    def run_load(self, port, calls, *arguments):
        mix = self.folder / "mix.json"
        mix.write_text(json.dumps({"calls": calls}))
        history = self.folder / "calls.jsonl"
        history.unlink(missing_ok=True)
        tool = self.group.start(
            "load", "load_tool", "--proxy", f"127.0.0.1:{port}", "--mix", mix, "--history", history,
            *arguments,
        )
        self.assertEqual(tool.wait(30), 0, tool.err.read_text())
        return json.loads(tool.output()), read_lines(history)

    def test_load_verifies_answers(self):
        """Guards against a tool that accepts truncated or changed answers."""
        _, port = self.start_upstream("--service-ms", "1", "--slots", "50")
        calls = [
            {"name": "get", "target": "/stock?id={id}"},
            {"name": "order", "method": "POST", "target": "/orders?id={id}", "body_size": 100, "key": True},
            {"name": "blob", "target": "/blob?size=50000&id={id}"},
        ]
        summary, _ = self.run_load(port, calls, "--rate", "200", "--duration-s", "1")
        self.assertEqual(list(summary["checks"]), ["ok"])
        self.assertGreater(summary["calls"], 100)
        control(port, {"truncate": "length", "fraction": 0.5})
        _, attempts = self.run_load(port, calls, "--rate", "100", "--duration-s", "1")
        truncated = [a for a in attempts if a["outcome"] == "truncated"]
        self.assertGreater(len(truncated), 10)
        self.assertFalse([a for a in truncated if a["check"] == "ok"])

    def test_latency_counts_from_the_intended_arrival(self):
        """Guards against coordinated omission: one slow answer delays those behind it."""
        _, port = self.start_upstream("--service-ms", "100", "--slots", "50")
        calls = [{"name": "get", "target": "/x"}]
        summary, _ = self.run_load(
            port, calls, "--rate", "50", "--duration-s", "1", "--connections", "1"
        )
        self.assertGreater(summary["p99_ms"], 1000)

    def test_link_faults(self):
        """Guards against a cut that also stops the other direction or new connections."""
        _, port = self.start_upstream("--service-ms", "1")
        link = self.group.start("link", "link_standin", "--port", "0", "--target", f"127.0.0.1:{port}")
        link_port, control_port = link.wait_for_ports("port", "control_port")
        self.assertEqual(call(link_port, "GET", "/x")[0], 200)
        control(control_port, {"drop": "down"})
        self.expect_failure(link_port, "/cut-down", timeout=0.3)
        self.assertIn("/cut-down", [e["target"] for e in events(self.history, "begin")])
        control(control_port, {"drop": "up"})
        self.expect_failure(link_port, "/cut-up", timeout=0.3)
        self.assertNotIn("/cut-up", [e["target"] for e in events(self.history, "begin")])
        control(control_port, {"drop": "", "delay_down_ms": 200})
        started = time.monotonic()
        self.assertEqual(call(link_port, "GET", "/x")[0], 200)
        self.assertGreaterEqual(time.monotonic() - started, 0.2)
        control(control_port, {"delay_down_ms": 0})
        old = http.client.HTTPConnection("127.0.0.1", link_port, timeout=0.3)
        old.connect()
        time.sleep(0.05)
        control(control_port, {"silence_existing": True})
        old.request("GET", "/x")
        with self.assertRaises(OSError):
            old.getresponse()
        old.close()
        self.assertEqual(call(link_port, "GET", "/x")[0], 200)
        self.assertEqual(link.end(), 0)


if __name__ == "__main__":
    unittest.main()

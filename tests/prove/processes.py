"""Starts the programs of a test fleet on loopback and ends them by process id."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_LIMIT_S = 20
END_LIMIT_S = 15
LISTENING_PORTS = (12000, 32000)  # Linux gives ports from 32768 on to connections.


class ProcessError(Exception):
    """A program did not start, or did not answer."""


def find_program(name, build):
    """Path of a built program; programs are in bin/ or in their package's folder."""
    for candidate in (build / "bin" / name, *build.glob(f"packages/*/{name}")):
        if candidate.is_file() and os.access(candidate, os.X_OK):
            return candidate
    raise ProcessError(f"{name} is not built in {build}")


def call(port, method, path, body=None, timeout=5):
    """One HTTP call to loopback; returns the status and the body as text."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def control(port, body, path="/control", method="POST"):
    status, text = call(port, method, path, body)
    if status != 200:
        raise ProcessError(f"control {path} port={port} status={status}: {text}")
    return json.loads(text)


given_ports = set()  # By free_ports(); their processes may not listen yet.


def free_ports(count):
    """Free ports below those that the system gives to connections, so that none of them takes one
    while a process that is to listen there is restarted. No port is returned twice."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*LISTENING_PORTS)
        with socket.socket() as entry:
            try:
                entry.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            ports.append(port)
    return ports


class Process:
    """One started program. Its output goes to files of the run's folder."""

    def __init__(self, name, command, folder):
        self.name = name
        self.out = folder / f"{name}.out"
        self.err = folder / f"{name}.err"
        with open(self.out, "ab") as out, open(self.err, "ab") as err:
            self._start = self.out.stat().st_size
            self._popen = subprocess.Popen(
                [str(part) for part in command], stdin=subprocess.DEVNULL, stdout=out, stderr=err
            )

    @property
    def pid(self):
        return self._popen.pid

    def running(self):
        return self._popen.poll() is None

    def output(self):
        with open(self.out, "rb") as file:
            file.seek(self._start)
            return file.read().decode()

    def wait_for_ports(self, *names):
        """Values of "NAME=N" in the output, waiting until all names occur."""
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit:
            fields = dict(
                part.split("=", 1) for part in self.output().split() if "=" in part
            )
            if all(name in fields for name in names):
                return [int(fields[name]) for name in names]
            if not self.running():
                break
            time.sleep(0.01)
        errors = self.err.read_text()[-500:]
        raise ProcessError(f"{self.name} did not start: {errors}")

    def send(self, number):
        if self.running():
            os.kill(self.pid, number)

    def wait(self, timeout=END_LIMIT_S):
        """Exit code; None when the process did not end in time."""
        try:
            return self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def end(self, timeout=END_LIMIT_S):
        """SIGTERM, then SIGKILL when that is not enough. Returns the exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        code = self.wait(timeout)
        if code is None:
            self.kill()
        return code

    def kill(self):
        self.send(signal.SIGKILL)
        self._popen.wait()


class ProcessGroup:
    """All processes of one run; leaving the context ends every one of them by its id."""

    def __init__(self, folder, build):
        self.folder = folder
        self.build = build
        self.processes = []

    def start(self, name, program, *arguments):
        command = [find_program(program, self.build), *arguments]
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        limit = time.monotonic() + END_LIMIT_S
        for process in self.processes:
            if process.wait(max(limit - time.monotonic(), 0.1)) is None:
                process.kill()

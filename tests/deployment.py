"""Starts the stand-ins and daemons as real processes on loopback, for tests and the demo.

    with Deployment(engines=3, services=2, daemons=8) as d:
        d.apply(d.serrana())
        status, headers, body = d.call(0, "POST", "/pickups", "{}", {"Idempotency-Key": "k"})
"""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve()
DAEMON = BUILD / "gooseberrypath"
ENTRY = BUILD / "gooseberrypath-entry"
STANDINS = BUILD / "gooseberrypath-standins"
START_TIMEOUT_S = 20
WAIT_STEP_S = 0.02


def free_ports(count):
    """Returns ports of the loopback address that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


def wait_for(condition, what, timeout_s=START_TIMEOUT_S):
    """Waits until the condition returns something true and returns that."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(WAIT_STEP_S)
    raise AssertionError(f"gave up waiting for {what} after {timeout_s} s")


def http_call(port, method, target, body=None, headers=None, timeout_s=60):
    """Returns (status, headers, body as bytes); status 0 if the connection failed."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Process:
    """A started program with the port that it serves and its output in a file. The
    environment holds variables besides those of the test."""

    def __init__(self, name, args, folder, port, environment=None):
        self.name = name
        self.args = [str(arg) for arg in args]
        self.port = port
        self.environment = os.environ | (environment or {})
        self.output = folder / f"{name}.log"
        self.start()

    def start(self):
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(self.args, stdout=output, stderr=output,
                                            env=self.environment)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """Ends the process at once, as the loss of its host does."""
        self.process.kill()
        self.process.wait()

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.kill()

    def control(self, **faults):
        """Switches faults of a stand-in; the answer may be lost when it dies of it."""
        return http_call(self.port, "POST", "/control", json.dumps(faults))

    def stats(self):
        return json.loads(http_call(self.port, "GET", "/stats")[2])


class Deployment:
    """A log, a platform, engines, services and daemons."""

    def __init__(self, engines=3, services=2, daemons=3, decode_us=2000, flags=(),
                 log_flags=(), service_flags=(), environment=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gooseberrypath-"))
        self.flags = list(flags)
        self.environment = environment
        ports = free_ports(2 + engines + services + 3 * daemons)
        self.log = self._standin("log", "log", ports.pop(), log_flags)
        self.platform = self._standin("platform", "platform", ports.pop())
        self.engines = [
            self._standin("engine", f"engine{i}", ports.pop(),
                          ["--decode-us", decode_us]) for i in range(engines)]
        self.services = [self._standin("service", f"service{i}", ports.pop(), service_flags)
                         for i in range(services)]
        self.daemon_ports = [(ports.pop(), ports.pop(), ports.pop()) for _ in range(daemons)]
        self.daemons = [self._daemon(i) for i in range(daemons)]

    def __enter__(self):
        try:
            self._wait_until_started()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for process in [*self.daemons, *self.engines, *self.services, self.log,
                        self.platform]:
            process.stop()

    def _standin(self, kind, name, port, flags=()):
        return Process(name, [STANDINS, kind, "--listen", f"127.0.0.1:{port}", *flags],
                       self.folder, port)

    def _daemon(self, index):
        caller, peer, operator = self.daemon_ports[index]
        peers = ",".join(f"127.0.0.1:{ports[1]}" for ports in self.daemon_ports)
        return Process(f"daemon{index}", [
            DAEMON, "serve", "--daemon", f"d{index}", "--zone", f"zone{index % 3}",
            "--host", f"daemon{index}",
            "--listen", f"127.0.0.1:{caller}", "--peer-listen", f"127.0.0.1:{peer}",
            "--operator-listen", f"127.0.0.1:{operator}", "--peers", peers,
            "--log", f"127.0.0.1:{self.log.port}",
            "--platform", f"127.0.0.1:{self.platform.port}",
            "--span-file", self.folder / f"spans{index}.jsonl", *self.flags],
            self.folder, caller, self.environment)

    def _wait_until_started(self):
        for process in [*self.engines, *self.services, self.log, self.platform]:
            wait_for(lambda p=process: http_call(p.port, "GET", "/none")[0], process.name)
        for index in range(len(self.daemons)):
            self.wait_until_ready(index)

    def operator_port(self, index):
        return self.daemon_ports[index][2]

    def is_ready(self, index):
        return http_call(self.operator_port(index), "GET", "/readyz")[0] == 200

    def wait_until_ready(self, index):
        wait_for(lambda: self.is_ready(index), f"daemon{index} to be ready")

    def client(self, *args, daemon=0, text=None):
        """Runs the operators' client; returns (exit code, output, errors)."""
        done = subprocess.run(
            [str(DAEMON), *args, "--server", f"127.0.0.1:{self.operator_port(daemon)}"],
            input=text, capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout, done.stderr

    def apply(self, resources, daemon=0):
        """Applies resources and waits until all daemons have them."""
        code, out, errors = self.client("apply", "-f", "-", daemon=daemon,
                                        text=json.dumps(resources))
        assert code == 0, out + errors
        wait_for(self.is_in_force_everywhere, "the resources to be in force")

    def is_in_force_everywhere(self):
        offsets = set()
        for index, daemon in enumerate(self.daemons):
            if daemon.process.poll() is None:
                status, _, body = http_call(self.operator_port(index), "GET", "/v1/resources")
                offsets.add(json.loads(body)["applied"] if status == 200 else None)
        return len(offsets) == 1 and None not in offsets

    def call(self, daemon, method, target, body=None, headers=None):
        return http_call(self.daemons[daemon].port, method, target, body, headers)

    def runs(self):
        """Returns how often the services ran the action of each key."""
        total = {}
        for service in self.services:
            if service.process.poll() is None:
                for key, count in service.stats()["runs"].items():
                    total[key] = total.get(key, 0) + count
        return total

    def serrana(self):
        """Returns Serrana's resources with the ports of this deployment."""
        def backends(processes, cls):
            return [{"name": p.name, "address": f"127.0.0.1:{p.port}", "host": p.name,
                     "zone": f"puebla-{i % 3}", "machineClass": cls}
                    for i, p in enumerate(processes)]
        return [
            {"kind": "service", "name": "assistant", "spec": {
                "kind": "model", "backends": backends(self.engines, "gpu-small")}},
            {"kind": "service", "name": "booking", "spec": {
                "kind": "plain", "backends": backends(self.services, "cpu-small")}},
            {"kind": "route", "name": "questions", "spec": {
                "pathPrefix": "/v1/chat/completions", "service": "assistant",
                "idempotent": True, "deadlineMs": 60000}},
            {"kind": "route", "name": "pickups", "spec": {
                "pathPrefix": "/pickups", "service": "booking"}},
            {"kind": "route", "name": "orders", "spec": {
                "pathPrefix": "/orders", "methods": ["GET"], "service": "booking",
                "idempotent": True}},
            {"kind": "team", "name": "drivers", "spec": {}},
            {"kind": "policy", "name": "default", "spec": {"costWeight": 0.7}},
        ]


def chat(content, stream=True, max_tokens=2000):
    """Returns the body of a chat-completions request."""
    return json.dumps({"model": "assistant", "stream": stream, "max_tokens": max_tokens,
                       "messages": [{"role": "user", "content": content}]})


def stream_text(body):
    """Returns (text, offsets, whether the stream ended properly) of an event stream."""
    text, offsets, ended = "", [], False
    for line in body.decode().split("\n"):
        if line.startswith("id: "):
            offsets.append(int(line.rsplit(":", 1)[1]))
        elif line == "data: [DONE]":
            ended = True
        elif line.startswith("data: "):
            chunk = json.loads(line[len("data: "):])
            for choice in chunk.get("choices", []):
                text += choice["delta"].get("content", "")
    return text, offsets, ended

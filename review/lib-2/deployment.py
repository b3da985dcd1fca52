"""Starts a small deployment for one case of the review: entry daemons as separate processes with
the command and the settings of the deploy file, and stand-ins of the platform, the engines and
the callers. All addresses are loopback addresses.

    with Deployment(daemons=8) as d:
        d.add_engine(Engine("i-1", "model"))
        d.put_config(routes=[...], services=[...])
        d.start()
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))
from platform_standin import Quiet, Server, Store  # noqa: E402

PROGRAM = ROOT / "target" / "gooseberrypath-entry"
HEARTBEAT_S = 1.2
MOST_TIME_S = 115

# http.server looks up the name of its address; there may be no network.
socket.getfqdn = lambda name="": name or "localhost"

started = []  # all processes

# The figures that DEPLOY.md shows for a small deployment.
BOUNDS = """limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=56
bounds.quota_window_s=8
bounds.quota_overshoot=0.1
bounds.quota_slack=140000
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.usage_window_s=5
bounds.usage_late_s=10
cloud_api.duties=usage_report,autoscale
"""

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CouldNotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
            self.file.flush()


class CloudHandler(Quiet):
    """Accepts the calls of the duties."""

    def do_POST(self):
        self.read_body()
        self.answer(200, b"{}")


def free_port(addresses):
    """Returns a port that is free on all these addresses, for TCP and UDP."""
    for _ in range(200):
        port = random.randrange(20000, 60000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((address, port))
            return port
        except OSError:
            continue
    raise CouldNotRun("no free port")


class Daemon:

    def __init__(self, deployment, index):
        self.deployment = deployment
        self.name = f"edge-a-{index + 1}"
        self.ip = deployment.ips[index]
        self.settings = deployment.folder / f"{self.name}.conf"
        self.output = deployment.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, extra=""):
        d = self.deployment
        self.settings.write_text(
            f"node={self.name}\nrole=entry\nmachine_class=edge\n"
            f"serves=edge,control_plane\nip={self.ip}\nzone=a\nregion=r\nzones.a=r\n"
            f"listen.front={self.ip}:{d.front}\nlisten.ready={self.ip}:{d.ready}\n"
            f"listen.control={self.ip}:{d.control}\nport_range={d.peer},{d.peer}\n"
            f"seeds={','.join(f'{ip}:{d.control}' for ip in d.ips[:3])}\n"
            f"platform.address={d.store.address}\ncloud_api.address={d.cloud.address}\n"
            f"{BOUNDS}{extra}", encoding="utf-8")

    def start(self):
        self.write_settings()
        environment = {"PATH": os.environ.get("PATH", ""),
                       "GOOSEBERRYPATH_SETTINGS": str(self.settings)}
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=environment,
                                            stdout=output, stderr=output)
        started.append(self.process)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.deployment.ready), 1) as one:
                one.settimeout(1)
                one.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
                            b"Connection: close\r\n\r\n")
                return one.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def log_lines(self, event):
        lines = []
        for line in self.output.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if fields.get("event") == event:
                lines.append(fields)
        return lines


class Deployment:

    def __init__(self, daemons, record):
        if not PROGRAM.exists():
            raise CouldNotRun("target/gooseberrypath-entry was not built")
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.ips = [f"{net}.{i + 1}" for i in range(daemons)]
        self.front, self.ready, self.control, self.peer = (free_port(self.ips)
                                                           for _ in range(4))
        self.store = Store()
        self.cloud = Server(CloudHandler, None)
        self.daemons = [Daemon(self, i) for i in range(daemons)]
        self.engines = []
        self.stopped = threading.Event()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for daemon in self.daemons:
            if daemon.process is not None:
                if daemon.process.poll() is None:
                    daemon.process.send_signal(signal.SIGCONT)
                    daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons:
                if daemon.output.exists():
                    pathlib.Path(keep, daemon.output.name).write_bytes(
                        daemon.output.read_bytes())
        self.store.close()
        self.cloud.close()
        self.temporary.cleanup()

    def run(self, coroutine, timeout=None):
        """Runs the coroutine on the loop of the stand-ins and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def add_engine(self, engine):
        engine.record = self.record
        self.run(engine.listen(), 10)
        self.engines.append(engine)

    def put_config(self, routes, services, version=1):
        self.store.put_config({
            "version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": "acme", "api_keys": ["k1"], "priority": 1}]})

    def heartbeats(self):
        seq = 0
        while not self.stopped.is_set():
            seq += 1
            for engine in self.engines:
                self.store.put("keyed.servers", engine.name, json.dumps({
                    "service": engine.service, "address": engine.address, "zone": "a",
                    "version": "v1", "slots": engine.slots, "state": "ready",
                    "cold_left_ms": 0, "seq": seq, "born": engine.born}).encode())
            self.stopped.wait(HEARTBEAT_S)

    def start(self):
        """Starts the daemons; returns when all are ready and know each other."""
        threading.Thread(target=self.heartbeats, daemon=True).start()
        for daemon in self.daemons:
            daemon.start()
        end = time.monotonic() + 20
        while not all(daemon.is_ready() for daemon in self.daemons):
            if time.monotonic() > end:
                raise CouldNotRun("the daemons did not become ready")
            time.sleep(0.1)
        time.sleep(4)  # contact_ms, and time for the daemons to hear of each other
        self.record.add(f"{len(self.daemons)} daemons are ready")


class Engine:
    """An engine: one request at a time on a connection, `slots` at once. A subclass tells in
    `respond` what it answers."""

    def __init__(self, name, service, slots=24):
        self.name = name
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []   # ids of requests that began to run
        self.ended = []  # ids of requests whose answer was written whole
        self.record = None
        self.address = None

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self.handle(head[0].split(" "), headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, writer):
        request = headers.get("gooseberrypath-request-id", "")
        echo = [f"Gooseberrypath-Request-Id: {request}",
                f"Gooseberrypath-Instance-Id: {self.name}",
                f"Gooseberrypath-Instance-Load: {self.running},0,{self.slots}"]
        if headers.get("gooseberrypath-expect-instance") != self.name:
            await self.write(writer, 421, echo, b"")
        elif self.running >= self.slots:
            self.record.add(f"engine {self.name} is full and rejects {request}")
            await self.write(writer, 503, echo + ["Gooseberrypath-Not-Executed: 1"], b"")
        else:
            self.running += 1
            self.runs.append(request)
            self.record.add(f"engine {self.name} runs {request}")
            try:
                await self.respond(line, headers, writer,
                                   echo + ["Gooseberrypath-Response-Stamp: s"])
                self.ended.append(request)
                self.record.add(f"engine {self.name} has answered {request}")
            except OSError:
                self.record.add(f"engine {self.name} loses the connection of {request}")
                raise
            finally:
                self.running -= 1

    async def respond(self, line, headers, writer, fields):
        raise NotImplementedError

    async def write(self, writer, status, fields, body):
        head = [f"HTTP/1.1 {status} X", *fields, f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(head).encode() + body)
        await writer.drain()


def finish(record, broken, what):
    """Ends the script with the result of the check."""
    record.add(f"result: {'the rule is broken' if broken else 'the rule held'}: {what}")
    print(("BROKEN: " if broken else "held: ") + what)
    return 1 if broken else 0


def give_up(record):
    """Ends the script and all that it started, as it takes too long."""
    record.add(f"could not run: not done after {MOST_TIME_S} s")
    for process in started:
        process.kill()
    os._exit(2)


def main(play, has_trouble):
    """Runs `play(record, has_trouble)` and exits with its result."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.add(f"with the disruption: {'yes' if has_trouble else 'no'}")
    guard = threading.Timer(MOST_TIME_S, give_up, (record,))
    guard.daemon = True
    guard.start()
    try:
        code = play(record, has_trouble)
    except CouldNotRun as reason:
        record.add(f"could not run: {reason}")
        print(f"could not run: {reason}")
        code = 2
    except Exception as problem:  # an error of the script says nothing about the rule
        record.add(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)

"""A small deployment on loopback addresses: entry daemons as the deploy file starts them,
a stand-in of the platform's store, engines as processes of their own, and clients. All of
it follows PROTOCOL.md and DEPLOY.md.

    with Deployment(daemons=3, engines=6, routes=[...], services=[...]) as d:
        answer = d.call(daemon=0, path="/chat/1", headers={...})
"""

import base64
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENGINE = pathlib.Path(__file__).resolve().parent / "engine.py"
HEARTBEAT_S = 1.2
ERA = "1"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self, ip):
        self.lock = threading.Condition()
        self.topics = {}
        self.is_down = False  # every call of the system is answered 503
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body):
                self.send_response(status)
                self.send_header("Store-Era", ERA)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if store.is_down:
                    self.answer(503, b"")
                elif url.path == "/api/log-newest":
                    self.answer(200, store.newest(query["topic"]))
                else:
                    body = store.read(query)
                    self.answer(503 if store.is_down else 200,
                                b"" if store.is_down else body)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if store.is_down:
                    self.answer(503, b"")
                    return
                if query["topic"] in ("keyed.op", "keyed.servers"):
                    self.answer(403, b"{}")
                    return
                self.answer(*store.append(query, body))

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        with self.lock:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.lock.notify_all()
            return len(records)

    def newest(self, topic):
        with self.lock:
            records = list(self.topics.get(topic, []))
        newest = {key: (value, i) for i, (key, value) in enumerate(records)}
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": i}
                 for key, (value, i) in sorted(newest.items()) if value is not None]
        return json.dumps({"items": items, "has_more": False,
                           "end": len(records)}).encode()

    def read(self, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while len(self.topics.get(query["topic"], [])) <= start:
                left = until - time.monotonic()
                if left <= 0 or not self.lock.wait(left):
                    break
            records = list(self.topics.get(query["topic"], []))
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return body

    def append(self, query, body):
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            records.append((content[1:1 + content[0]].decode(),
                            content[1 + content[0]:] or None))
        with self.lock:
            end = len(self.topics.setdefault(query["topic"], []))
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            for key, value in records:
                self.put(query["topic"], key, value)
            return 200, json.dumps({"offset": end, "end": end + len(records)}).encode()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Engine:
    """One engine: its process, its heartbeats in the store, and its restart after a
    crash."""

    def __init__(self, deployment, number, options):
        self.deployment = deployment
        self.id = f"i-{number}"
        self.options = dict(options, id=self.id, ip="127.0.0.1", port=free_port("127.0.0.1"))
        self.process = None
        self.seq = 0
        self.ended_at = None
        self.zone = self.options.pop("zone", "zone-a")
        self.is_listed = False
        self.reaches_store = True
        self.beat_at = 0
        self.start()

    def start(self):
        self.born = int(time.time() * 1000)
        self.options["born"] = self.born
        self.seq = 0
        self.ended_at = None
        self.beat_at = 0
        self.process = subprocess.Popen(
            [sys.executable, str(ENGINE), json.dumps(self.options)],
            stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.collect, args=(self.process,), daemon=True).start()

    def collect(self, process):
        for line in process.stdout:
            self.deployment.note(json.loads(line))

    def tick(self, now, restart_s):
        if self.deployment.store.is_down:
            return
        if self.process.poll() is None:
            if now >= self.beat_at and self.reaches_store:
                self.beat_at = now + HEARTBEAT_S
                self.seq += 1
                self.is_listed = True
                self.deployment.store.put("keyed.servers", self.id, json.dumps({
                    "service": self.deployment.service, "zone": self.zone, "version": "v1",
                    "address": f"127.0.0.1:{self.options['port']}", "slots": 48,
                    "state": "ready", "cold_left_ms": 0, "seq": self.seq,
                    "born": self.born, "stage": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}]}).encode())
            return
        self.ended_at = self.ended_at or now
        if self.is_listed and now - self.ended_at >= 3 * HEARTBEAT_S:
            self.is_listed = False
            self.deployment.store.put("keyed.servers", self.id, None)
        if now - self.ended_at >= restart_s:
            self.process.wait()
            self.start()

    def lapse(self):
        """The store drops the entry, as the engine has not written for long enough."""
        self.is_listed = False
        self.deployment.store.put("keyed.servers", self.id, None)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def free_port(*ips):
    """Returns a port that is free at all of these addresses."""
    while True:
        port = random.randint(20000, 32000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            return port
        except OSError:
            continue


def entry_command():
    """Returns the words of `run` of the entry role in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    return re.search(r'\[roles\.entry\][^\[]*?run = "([^"]+)"', text).group(1).split()


class Deployment:

    def __init__(self, daemons, engines, routes, service, tenants, engine_options,
                 restart_s=3.0):
        self.service = service
        self.restart_s = restart_s
        self.events = []  # what engines and clients saw
        self.lock = threading.Lock()
        self.started_at = time.time()
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store("127.0.0.1")
        self.engines = []
        self.daemons = []
        self.is_open = True
        try:
            self.store.put("keyed.op", "config", json.dumps({
                "version": 3, "routes": routes,
                "services": [{"name": service, "health_path": "/health", "max_conns": 300,
                              "engine": {"slots": 24, "kv_capacity_tokens": 444000}}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
                "tenants": tenants}).encode())
            for number in range(engines):
                self.engines.append(Engine(self, number + 1, engine_options(number)))
            self.start_daemons(daemons)
            threading.Thread(target=self.beat, daemon=True).start()
            self.wait_ready()
        except BaseException:
            self.close()
            raise

    def start_daemons(self, count):
        base = random.randint(1, 200)
        self.ips = [f"127.83.{base}.{number + 1}" for number in range(count)]
        ready, control, peers, self.front = (free_port(*self.ips) for _ in range(4))
        self.ready = ready
        run = entry_command()
        for number, ip in enumerate(self.ips):
            path = pathlib.Path(self.folder.name) / f"settings-{number}.conf"
            path.write_text("\n".join([
                f"node=edge-zone-a-{number + 1}", "role=entry", "machine_class=edge",
                "serves=edge,control_plane", f"ip={ip}", "zone=zone-a", "region=region-a",
                "zones.zone-a=region-a", "zones.zone-b=region-a", f"listen.front={ip}:{self.front}",
                f"listen.ready={ip}:{ready}", f"listen.control={ip}:{control}",
                f"port_range={peers},{peers}", f"seeds={self.ips[0]}:{control}",
                "bootstrap=true", "limits.cpu_share=0.25", "limits.memory_mb=260",
                "limits.max_fds=4100", "discovery=platform", "heartbeat_ms=1200",
                "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8",
                "bounds.config_apply_ms=2000", "bounds.retry_budget_ratio=0.2",
                "bounds.budget_window_s=10", "bounds.retry_budget_extra=56",
                "bounds.quota_window_s=8", "bounds.quota_overshoot=0.1",
                "bounds.quota_slack=140000", "bounds.lease_ms=3000",
                "bounds.usage_window_s=5", f"platform.address={self.store.address}",
                "platform.form=log", ""]), encoding="utf-8")
            log = open(pathlib.Path(self.folder.name) / f"log-{number}", "wb")
            environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                           if name in os.environ}
            environment["GOOSEBERRYPATH_SETTINGS"] = str(path)
            self.daemons.append(subprocess.Popen(
                [str(ROOT / run[0]), *run[1:]], cwd=ROOT, stdout=log,
                stderr=log, env=environment))
            log.close()

    def wait_ready(self):
        end = time.monotonic() + 15
        for ip in self.ips:
            while self.readiness(ip) != 200:
                if time.monotonic() > end:
                    raise RuntimeError("a daemon did not become ready")
                time.sleep(0.1)
        time.sleep(4)  # the daemons hear of each other and of all engines

    def readiness(self, ip):
        try:
            with socket.create_connection((ip, self.ready), 1) as sock:
                sock.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n"
                             b"Connection: close\r\n\r\n")
                return int(sock.makefile("rb").readline().split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    def beat(self):
        while self.is_open:
            for engine in self.engines:
                engine.tick(time.monotonic(), self.restart_s)
            time.sleep(0.05)

    def log_of(self, daemon):
        """Returns the events that a daemon has logged."""
        path = pathlib.Path(self.folder.name) / f"log-{daemon}"
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def note(self, event):
        with self.lock:
            self.events.append(event)

    def call(self, daemon, path, request, headers, stop_after=None, timeout_s=20):
        """Sends one request on a new connection, as a client would. Returns (status, body,
        whether the answer came to its end). With `stop_after`, the client's connection
        breaks after so many events."""
        text = f"POST {path} HTTP/1.1\r\nHost: models.example\r\n" \
               f"Gooseberrypath-Request-Id: {request}\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        text += "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
        self.note({"t": time.time(), "event": "sent", "daemon": daemon, "request": request,
                   "headers": headers})
        status, body, is_whole = 0, b"", False
        try:
            with socket.create_connection((self.ips[daemon], self.front), 1) as sock:
                sock.settimeout(timeout_s)
                sock.sendall(text.encode())
                file = sock.makefile("rb")
                status = int(file.readline().split()[1])
                fields = {}
                while (line := file.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode("latin-1").partition(":")
                    fields[name.lower()] = value.strip()
                if fields.get("transfer-encoding") == "chunked":
                    while line := file.readline():
                        size = int(line, 16)
                        chunk = file.read(size + 2)[:size]
                        if size == 0:
                            is_whole = True
                            break
                        body += chunk
                        if stop_after and body.count(b"\n\n") >= stop_after:
                            break
                else:
                    size = int(fields.get("content-length", 0))
                    body = file.read(size)
                    is_whole = len(body) == size
        except (OSError, IndexError, ValueError):
            pass
        self.note({"t": time.time(), "event": "answered", "daemon": daemon,
                   "request": request, "status": status, "events": body.count(b"\n\n"),
                   "ids": [line[4:].decode() for line in body.split(b"\n")
                           if line.startswith(b"id: ")],
                   "complete": is_whole, "text": "" if status == 200 else body.decode()})
        return status, body, is_whole

    def write_record(self, path, verdict):
        with self.lock:
            events = sorted(self.events, key=lambda event: event["t"])
        with open(path, "w", encoding="utf-8") as record:
            for event in events:
                event = dict(event, t=round(event["t"] - self.started_at, 4))
                record.write(json.dumps(event) + "\n")
            record.write(verdict + "\n")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        self.is_open = False
        for process in self.daemons:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        time.sleep(0.1)
        for engine in self.engines:
            engine.close()
        self.store.close()
        self.folder.cleanup()


def main(case, has_trouble):
    """Runs a case: a function that takes whether the disruption happens and returns the
    deployment's verdict, a tuple of exit code and text."""
    # An interrupted run ends what it started too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code, text = case(has_trouble)
    except (OSError, RuntimeError) as problem:
        code, text = NOT_RUN, f"the case could not run: {problem}"
    print(text)
    sys.exit(code)

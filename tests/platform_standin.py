"""A small stand-in of the users' platform: its store with topics of keyed records, and
backends that echo calls. It speaks the forms that platform/ decodes."""

import base64
import http.server
import json
import struct
import threading
import time
import urllib.parse


EVENT_BYTES = 32 * 1024  # of a stream


class Quiet(http.server.BaseHTTPRequestHandler):
    """Answers on kept connections and logs nothing."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body, headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class ThreadingServer(http.server.ThreadingHTTPServer):

    request_queue_size = 256  # many connections may come at the same moment


class Server:
    """Runs a handler class on a free port; `state` is at hand as self.server.state."""

    def __init__(self, handler, state):
        self.server = ThreadingServer(("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        # A caller that ends in the middle of a long read is no error of the stand-in.
        self.server.handle_error = lambda *_: None
        self.server.state = state
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store:
    """Topics of keyed records. While `is_down`, every call is answered 503; `delay` in
    seconds precedes each answer; while `loses_answers`, writes are done and not answered.
    `go_back` replaces all topics by a copy; `era` counts how often."""

    def __init__(self):
        self.lock = threading.Condition()
        self.topics = {}
        self.first = {}  # offsets below these are no longer kept
        self.is_down = False
        self.era = 1
        self.written = []  # (time, topic, end) of each record
        self.delay = 0
        self.loses_answers = False
        self.server = Server(StoreHandler, self)
        self.address = self.server.address

    def put(self, topic, key, value):
        """Appends a record; a value of None drops the key. Returns the new end."""
        with self.lock:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.written.append((time.monotonic(), topic, len(records)))
            self.lock.notify_all()
            return len(records)

    def forget_history(self):
        """Drops all records but the newest of each key for readers from old offsets."""
        with self.lock:
            self.first = {topic: len(records) for topic, records in self.topics.items()}
            self.lock.notify_all()

    def go_back(self, seconds):
        """Drops what was written in the last seconds. Its offsets are given out again."""
        with self.lock:
            copied = time.monotonic() - seconds
            kept = [entry for entry in self.written if entry[0] <= copied]
            self.written = kept
            for topic, records in self.topics.items():
                ends = [end for _, name, end in kept if name == topic]
                del records[max(ends, default=0):]
            self.era += 1
            self.lock.notify_all()

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())

    def put_backend(self, name, address, state="ready", seq=1, service="shop"):
        self.put("keyed.servers", name, json.dumps({
            "service": service, "address": address, "zone": "a", "version": "v1",
            "slots": 6, "state": state, "cold_left_ms": 0, "seq": seq}).encode())

    def close(self):
        self.server.close()


class StoreHandler(Quiet):

    def answer(self, status, body, headers=()):
        era = str(self.server.state.era)
        super().answer(status, body, [("Store-Era", era), *headers])

    def do_GET(self):
        store = self.server.state
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        time.sleep(store.delay)
        if store.is_down:
            self.answer(503, b"")
        elif url.path == "/api/log-newest":
            self.newest(store, query["topic"])
        else:
            self.read(store, query)

    def newest(self, store, topic):
        with store.lock:
            records = list(store.topics.get(topic, []))
        newest = {key: (value, i) for i, (key, value) in enumerate(records)}
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": i}
                 for key, (value, i) in newest.items() if value is not None]
        body = {"items": items, "has_more": False, "end": len(records)}
        self.answer(200, json.dumps(body).encode())

    def read(self, store, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with store.lock:
            era = store.era
            end = len(store.topics.get(query["topic"], []))
            if not store.first.get(query["topic"], 0) <= start <= end:
                self.answer(410, b"")
                return
            while len(store.topics.get(query["topic"], [])) <= start:
                left = until - time.monotonic()
                if left <= 0 or not store.lock.wait(left) or store.era != era:
                    break
            records = list(store.topics.get(query["topic"], []))
        if store.era != era:
            self.close_connection = True  # the store was away meanwhile
            return
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        self.answer(200, body)

    def do_POST(self):
        store = self.server.state
        body = self.read_body()
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        time.sleep(store.delay)
        if store.is_down:
            self.answer(503, b"")
            return
        content = body[4:]
        key = content[1:1 + content[0]].decode()
        value = content[1 + content[0]:] or None
        with store.lock:
            end = len(store.topics.setdefault(query["topic"], []))
            if "at" in query and int(query["at"]) != end:
                self.answer(412, json.dumps({"end": end}).encode())
                return
            store.put(query["topic"], key, value)
        if store.loses_answers:
            self.close_connection = True
            return
        self.answer(200, json.dumps({"offset": end, "end": end + 1}).encode())


class Backend:
    """A backend that answers each call with its method, target and, while it `echoes`, body, and
    for a target that ends in "/large" with `large_bytes` more; a target that ends in "/stream" gets
    as much in events. While `is_leaving`, it says so in its
    answers; with `quiet_s` it turns calls away and asks for no more of them for so many seconds."""

    def __init__(self, name, delay=0):
        self.name = name
        self.delay = delay
        self.echoes = True
        self.large_bytes = 0
        self.is_leaving = False
        self.quiet_s = 0
        self.refused = []
        self.runs = []
        self.headers = []
        self.server = Server(BackendHandler, self)
        self.address = self.server.address

    def close(self):
        self.server.close()


class BackendHandler(Quiet):

    def stream(self, backend, headers):
        """Sends `large_bytes` of server-sent events in chunks."""
        self.send_response(200)
        for name, value in [*headers, ("Gooseberrypath-Response-Stamp", "s"),
                            ("Content-Type", "text/event-stream"),
                            ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        event = b"data: " + b"x" * (EVENT_BYTES - 8) + b"\n\n"
        for _ in range(backend.large_bytes // EVENT_BYTES):
            self.wfile.write(f"{EVENT_BYTES:x}\r\n".encode() + event + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")

    def do_GET(self):
        self.run_call()

    def do_POST(self):
        self.run_call()

    def run_call(self):
        backend = self.server.state
        body = self.read_body()
        request = self.headers["Gooseberrypath-Request-Id"]
        echo = [("Gooseberrypath-Request-Id", request),
                ("Gooseberrypath-Instance-Id", backend.name)]
        if self.headers["Gooseberrypath-Expect-Instance"] != backend.name:
            self.answer(421, b"", echo)
            return
        if backend.is_leaving:
            echo.append(("Server-Leaving", "1"))
        if backend.quiet_s > 0:
            backend.refused.append(request)
            self.answer(503, b"", echo + [("Gooseberrypath-Not-Executed", "1"),
                                          ("Retry-After", str(backend.quiet_s))])
            return
        backend.runs.append(request)
        backend.headers.append(dict(self.headers))
        time.sleep(backend.delay)
        if self.path.endswith("/stream"):
            self.stream(backend, echo)
            return
        text = f"{self.command} {self.path} ".encode()
        if backend.echoes:
            text += body
        if self.path.endswith("/large"):
            text += bytes(backend.large_bytes)
        self.answer(200, text, echo + [("Gooseberrypath-Response-Stamp", "s")])

"""A configuration like that of a small deployment, and an engine that behaves."""

import threading
import time

from http_parts import Reader, Server, message

HOST = "ficu95.example"
SERVICE = "xano55b"
KEY = "3d3zji9n73hh2b9wu3fe"


def route(name, kind, timeout_ms, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": SERVICE, "max_attempts": 1} | more


def configuration(routes, version=1, keys=(KEY,), services=(), **tenant):
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110},
                         *services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "huka270", "api_keys": list(keys)} | tenant]}


def request_head(method, target, request, deadline_ms, key=KEY, body=b"", **fields):
    extra = {name.replace("_", "-"): value for name, value in fields.items()}
    length = {"Content-Length": len(body)} if body or method == "POST" else {}
    return message(f"{method} {target} HTTP/1.1",
                   {"Host": HOST, "Gooseberrypath-Request-Id": request,
                    "Gooseberrypath-Deadline-Ms": deadline_ms,
                    "Authorization": f"Token {key}"} | length | extra, body)


class Engine:
    """An engine: answer(engine, connection, fields, target, body) answers each call that
    names this engine. Other calls get 421."""

    def __init__(self, case, name, answer):
        self.case = case
        self.name = name
        self.answer = answer
        self.lock = threading.Lock()
        self.runs = []  # request ids, in the order in which they began
        self.server = Server(self._serve)
        self.address = self.server.address

    def close(self):
        self.server.close()

    def began(self, fields):
        with self.lock:
            self.runs.append(fields["gooseberrypath-request-id"])
        self.case.record(f"{self.name} runs", fields["gooseberrypath-request-id"])

    def reply(self, connection, fields, status, body, **more):
        extra = {name.replace("_", "-"): value for name, value in more.items()}
        connection.sendall(message(
            f"HTTP/1.1 {status} X",
            {"Gooseberrypath-Request-Id": fields.get("gooseberrypath-request-id", ""),
             "Gooseberrypath-Instance-Id": self.name,
             "Content-Length": len(body)} | extra, body))

    def _serve(self, connection):
        reader = Reader(connection)
        while True:
            first, fields = reader.head()
            body = reader.body(fields)
            target = first.split(" ")[1]
            if fields.get("gooseberrypath-expect-instance", self.name) != self.name:
                self.reply(connection, fields, 421, b"")
                continue
            self.answer(self, connection, fields, target, body)


def wait(seconds):
    time.sleep(max(seconds, 0))

"""Shows two faults that no page names a request for, so that they are no cases: stray bytes behind the
answer to a HEAD request on a streaming route, and a 400 for a request that offers an upgrade and whose
body comes later. Exits with 1 if either is seen. It writes observations.txt in a temporary folder.

    python3 -B review/lib-2/observations.py
"""

import pathlib
import socket
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from deployment import Deployment, Engine, Record  # noqa: E402


class ShortEngine(Engine):

    async def respond(self, line, headers, writer, fields):
        if line[0] == "HEAD":
            head = ["HTTP/1.1 200 OK", *fields, "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked", "", ""]
            writer.write("\r\n".join(head).encode())
            await writer.drain()
        else:
            await self.write(writer, 200, fields, b"ok")


def ask(deployment, method, path, request, extra="", later=b""):
    with socket.create_connection((deployment.ips[0], deployment.front)) as one:
        one.settimeout(3)
        one.sendall((f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
                     f"Gooseberrypath-Request-Id: {request}\r\n"
                     f"Gooseberrypath-Deadline-Ms: 3000\r\nAuthorization: Token k1\r\n"
                     f"{extra}\r\n").encode())
        time.sleep(0.3)
        one.sendall(later)
        time.sleep(0.5)
        return one.recv(9999)


def main():
    with tempfile.TemporaryDirectory() as folder:
        record = Record(pathlib.Path(folder) / "observations.txt")
        with Deployment(1, record) as d:
            d.add_engine(ShortEngine("i-1", "m"))

            def route(name, kind):
                return {"name": name, "host": "h", "path_prefix": f"/{name}/", "kind": kind,
                        "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
                        "service": "m", "max_attempts": 1, "gap_target_ms": 400}
            d.put_config([route("stream", "streaming"), route("plain", "idempotent")],
                         [{"name": "m", "health_path": "/health", "max_conns": 110}])
            d.start()
            head = ask(d, "HEAD", "/stream/1", "r1")
            upgrade = ask(d, "POST", "/plain/1", "r2", "Connection: Upgrade\r\nUpgrade: h2c\r\n"
                          "Content-Length: 4\r\n", b"abcd")
    stray = head.split(b"\r\n\r\n", 1)[1]
    print(f"behind the head of the answer to HEAD: {stray!r}")
    print(f"answer to the request with an upgrade: {upgrade[:28]!r}")
    return 1 if stray or upgrade.startswith(b"HTTP/1.1 400") else 0


sys.exit(main())

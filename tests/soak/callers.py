"""Callers of the soak: they keep connections open and note how each attempt ended."""

import asyncio
import dataclasses
import itertools
import time

DEADLINE_S = 3
_ids = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    request: str
    path: str
    kind: str          # pickups, status or plans
    daemon: int
    process: int       # number of the daemon's start
    key: str
    sent: float = 0
    ended: float = 0
    status: int = 0    # 0: no head came
    body: bytes = b""
    is_whole: bool = False
    is_reused: bool = False  # the connection had served another call


def new_attempt(kind, daemon, process, key, size):
    number = next(_ids)
    return Attempt(f"r{number}", f"/{kind}/{number}/{size}", kind, daemon, process, key)


class Connection:
    """One kept connection; `call` fills in the attempt and never raises for its end."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def call(self, attempt):
        attempt.is_reused = self.writer is not None
        attempt.sent = time.monotonic()
        try:
            await asyncio.wait_for(self._exchange(attempt), DEADLINE_S)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
        attempt.ended = time.monotonic()

    async def _exchange(self, attempt):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        body = b"" if attempt.kind == "plans" else b"x" * 40
        self.writer.write(
            (f"POST {attempt.path} HTTP/1.1\r\nHost: h\r\n"
             f"Gooseberrypath-Request-Id: {attempt.request}\r\n"
             f"Gooseberrypath-Deadline-Ms: {1000 * DEADLINE_S}\r\n"
             f"Authorization: Token {attempt.key}\r\n"
             f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        attempt.status = int(head.split()[1])
        fields = dict(f.split(": ", 1) for f in head.strip().split("\r\n")[1:])
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(attempt)
        else:
            attempt.body = await self.reader.readexactly(int(fields["content-length"]))
        attempt.is_whole = True
        if fields.get("connection") == "close":
            self.close()

    async def _read_chunks(self, attempt):
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            data = await self.reader.readexactly(size + 2)
            if size == 0:
                return
            attempt.body += data[:-2]

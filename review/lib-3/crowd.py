"""Thousands of callers, and the engines that serve them, in one event loop."""

import asyncio
import collections
import resource
import socket
import threading

from fleet import request_head
from http_parts import Closed, Reader, message

DESCRIPTORS = 7000  # that a script with a crowd needs


def raise_descriptors(case):
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY and most < DESCRIPTORS:
        case.not_run(f"a process may open {most} descriptors only")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, most))


class Engines:
    """Sound engines. `work_s` names the seconds of work by the first part of the path, and
    `answers` the bodies of answers that are not short."""

    def __init__(self, work_s, answers=None):
        self.work_s = work_s
        self.answers = answers or {}
        self.begun = collections.Counter()  # by the first part of the path
        self.futures = []  # the event loop itself keeps no tasks alive
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        self.futures.append(future)
        return future

    def start(self, name):
        """Starts an engine and returns its address."""
        return self.run(self._start(name)).result()

    async def _start(self, name):
        server = await asyncio.start_server(lambda *pair: self._serve(name, *pair),
                                            "127.0.0.1", 0, limit=1 << 20, backlog=512)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve(self, name, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                pairs = (line.split(":", 1) for line in lines if line)
                fields = {key.lower(): value.strip() for key, value in pairs}
                await reader.readexactly(int(fields.get("content-length", 0)))
                kind = first.split("/")[1]
                self.begun[kind] += kind in self.work_s
                await asyncio.sleep(self.work_s.get(kind, 0))
                body = self.answers.get(kind, b"x" * 800)
                writer.write(message("HTTP/1.1 200 OK", {
                    "Gooseberrypath-Request-Id": fields.get("gooseberrypath-request-id", ""),
                    "Gooseberrypath-Instance-Id": name, "Gooseberrypath-Response-Stamp": "s",
                    "Content-Length": len(body)}, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)


async def send_and_wait(daemon, head, answers):
    """Sends a request on a connection of its own and counts the status of its answer."""
    try:
        reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
        writer.write(head)
        answers[(await reader.read(300))[9:12].decode()] += 1
        writer.close()
    except OSError as problem:
        answers[repr(problem)] += 1


class OrdinaryCallers:
    """Callers that each send a short request twice a second, on a connection of its own, and
    wait 3 s for its answer."""

    def __init__(self, case, daemon, count=1):
        self.case = case
        self.daemon = daemon
        self.statuses = collections.Counter()
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def _run(self, caller):
        number = 0
        while not self.stop.wait(0.5):
            number += 1
            body = b""
            try:
                address = (self.daemon.host, self.daemon.front)
                with socket.create_connection(address, timeout=3) as connection:
                    connection.sendall(request_head("GET", "/quick/1",
                                                    f"d{caller:03x}{number:012x}", 3000))
                    reader = Reader(connection)
                    first, fields = reader.head()
                    body = reader.body(fields)
                status = first.split(" ")[1]
            except (Closed, OSError) as problem:
                status = repr(problem)
            self.statuses[status] += 1
            text = "" if status == "200" else body.decode(errors="replace")[:140]
            self.case.record("an ordinary request was answered", f"{status} {text}")

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()
        return self.statuses

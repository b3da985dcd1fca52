"""A backend of the soak as a process of its own: backend.py NAME PORT RUNS.

Each call that it runs is a line in the file RUNS: "TIME REQUEST", so that the file tells
what ran also when the process is killed."""

import asyncio
import os
import random
import sys
import time

EVENT_PAUSE_S = 0.03
MAX_WORK_S = 0.05


def echo_head(request, name):
    return (f"Gooseberrypath-Request-Id: {request}\r\n"
            f"Gooseberrypath-Instance-Id: {name}\r\n"
            "Gooseberrypath-Response-Stamp: s\r\n")


class Backend:
    def __init__(self, name, runs):
        self.name = name
        self.runs = os.open(runs, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *fields = head.strip().split("\r\n")
                headers = {k.lower(): v for k, v in (f.split(": ", 1) for f in fields)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(line.split()[1], headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def answer(self, target, headers, body, writer):
        request = headers["gooseberrypath-request-id"]
        echo = echo_head(request, self.name)
        if headers["gooseberrypath-expect-instance"] != self.name:
            writer.write(f"HTTP/1.1 421 x\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return
        os.write(self.runs, f"{time.monotonic():.4f} {request}\n".encode())
        if target.startswith("/plans/"):
            await self.stream(target, headers, echo, writer)
            return
        await asyncio.sleep(random.random() * MAX_WORK_S)
        text = f"{target} ".encode() + body
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {len(text)}\r\n\r\n".encode()
                     + text)

    async def stream(self, target, headers, echo, writer):
        """Sends the events that follow the last one that the caller has."""
        count = int(target.rsplit("/", 1)[1])
        done = int(headers.get("last-event-id", 0))
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(done + 1, count + 1):
            event = f"id: {number}\ndata: {target} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")


async def main():
    name, port, runs = sys.argv[1:]
    backend = Backend(name, runs)
    server = await asyncio.start_server(backend.serve, "127.0.0.1", int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

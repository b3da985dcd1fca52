"""The play of cases 6 and 7: one engine of three is in trouble and sends a body without end; other
clients ask a sound service through the same daemon. The engines of the first service and the
clients of its streams are processes of their own, so that their work delays no one else.

    endless.py engines CHUNK COUNT | endless.py streams ADDRESS:PORT
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import threading
import time

from deployment import CouldNotRun, Deployment, Engine, finish, started

STREAMS = 3           # requests to the service with the engine in trouble
CALLS_PER_S = 10      # to the sound service
PLAY_S = 20
TIMEOUT_S = 1.0       # of the sound service's route
LATE_S = 0.5
PATIENCE_S = 5
MOST_LAG_S = 0.2      # of this script


class Printer:
    """The record of a process of its own: lines on its output."""

    def add(self, text):
        print(text, flush=True)


class StreamEngine(Engine):
    """Sends six events. If `chunks` is set, the first engine that gets a request is in trouble: after
    its first event it sends these bytes again and again until the caller closes."""

    chunks = b""
    faulty = None

    async def respond(self, line, headers, writer, fields):
        if self.chunks and StreamEngine.faulty is None:
            StreamEngine.faulty = self.name
            self.record.add(f"engine {self.name} is in trouble")
        head = ["HTTP/1.1 200 OK", *fields, "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        for event in range(1, 7):
            data = f"id: {event}\ndata: {'x' * 50}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
            while StreamEngine.faulty == self.name:
                writer.write(self.chunks)
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class SoundEngine(Engine):

    async def respond(self, line, headers, writer, fields):
        await asyncio.sleep(0.03)
        await self.write(writer, 200, fields, b"b" * 800)


async def run_engines(chunks):
    StreamEngine.chunks = chunks
    for number in range(1, 4):
        engine = StreamEngine(f"i-{number}", "model", slots=48)
        engine.record = Printer()
        await engine.listen()
        print(f"listens {engine.name} {engine.address}", flush=True)
    await asyncio.sleep(120)


async def run_stream(address, number):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    began = time.monotonic()
    writer.write((
        f"POST /chat/{number} HTTP/1.1\r\nHost: h\r\nGooseberrypath-Request-Id: s{number}\r\n"
        f"Gooseberrypath-Model: m\r\nGooseberrypath-Token-Counts: 1800,80\r\n"
        f"Gooseberrypath-Prompt-Prefix: a{number}:300,b{number}:1500\r\n"
        f"Gooseberrypath-Deadline-Ms: 10000\r\nAuthorization: Token k1\r\n"
        f"Connection: close\r\nContent-Length: 2\r\n\r\nhi").encode())
    received = 0
    try:
        while data := await reader.read(1 << 20):
            received += len(data)
    except OSError:
        pass
    print(f"client s{number}: {received} bytes, ended after {time.monotonic() - began:.1f} s",
          flush=True)


async def run_streams(address):
    await asyncio.gather(*(run_stream(address, number) for number in range(STREAMS)))


async def book(deployment, daemon, number):
    """Returns the seconds to the end of the answer, or None."""
    request = f"b{number}"
    began = time.monotonic()
    text = "no answer"
    took = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(daemon.ip, deployment.front), PATIENCE_S)
        writer.write((
            f"POST /booking/{number} HTTP/1.1\r\nHost: h\r\n"
            f"Gooseberrypath-Request-Id: {request}\r\nGooseberrypath-Deadline-Ms: 5000\r\n"
            f"Authorization: Token k1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
            f"hi").encode())
        answer = await asyncio.wait_for(reader.read(-1), PATIENCE_S)
        took = time.monotonic() - began
        text = f"status {answer[9:12].decode() or 'none'} after {took:.3f} s"
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    deployment.record.add(f"client {request} (sent {began - deployment.record.start:.3f}): {text}")
    return took


async def book_all(deployment, daemon):
    """Returns the times of all bookings and the longest lag of this script."""
    calls = []
    lag = 0
    for number in range(PLAY_S * CALLS_PER_S):
        calls.append(asyncio.ensure_future(book(deployment, daemon, number)))
        before = time.monotonic()
        await asyncio.sleep(1 / CALLS_PER_S)
        lag = max(lag, time.monotonic() - before - 1 / CALLS_PER_S)
    return await asyncio.gather(*calls), lag


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Helper:
    """A process of this file; its lines go to the record."""

    def __init__(self, record, *args):
        self.record = record
        self.process = subprocess.Popen([sys.executable, "-B", __file__, *args],
                                        stdout=subprocess.PIPE, text=True)
        started.append(self.process)

    def read_addresses(self, count):
        lines = [self.process.stdout.readline().split() for _ in range(count)]
        if not all(len(line) == 3 for line in lines):
            raise CouldNotRun("the engines did not start")
        return [(name, address) for _, name, address in lines]

    def follow(self):
        threading.Thread(target=self._follow, daemon=True).start()

    def _follow(self):
        for line in self.process.stdout:
            self.record.add(line.strip())

    def close(self):
        self.process.kill()
        self.process.wait()


def play_endless(record, chunk, count):
    """Plays with an engine in trouble that repeats `count` times `chunk` at once; none if it is
    empty. Returns the exit code."""
    helpers = [Helper(record, "engines", chunk.hex() or "-", str(count))]
    try:
        with Deployment(3, record) as d:
            for name, address in helpers[0].read_addresses(3):
                engine = StreamEngine(name, "model", slots=48)
                engine.address = address
                d.engines.append(engine)
            helpers[0].follow()
            for number in range(1, 4):
                d.add_engine(SoundEngine(f"j-{number}", "app", slots=6))
            d.put_config(
                [{"name": "chat", "host": "h", "path_prefix": "/chat/", "kind": "streaming",
                  "timeout_ms": 10000, "target_latency_ms": 800, "priority": 0,
                  "service": "model", "max_attempts": 1, "sticky": True, "resumable": False,
                  "gap_target_ms": 400},
                 {"name": "booking", "host": "h", "path_prefix": "/booking/",
                  "kind": "non_idempotent", "timeout_ms": int(TIMEOUT_S * 1000),
                  "target_latency_ms": 300, "priority": 2, "service": "app",
                  "max_attempts": 1}],
                [{"name": "model", "health_path": "/health", "max_conns": 210,
                  "engine": {"slots": 48, "kv_capacity_tokens": 655717,
                             "models": [{"name": "m"}]}},
                 {"name": "app", "health_path": "/health", "max_conns": 110}])
            d.start()
            daemon = d.daemons[0]
            cpu = cpu_seconds(daemon.process)
            helpers.append(Helper(record, "streams", f"{daemon.ip}:{d.front}"))
            helpers[1].follow()
            times, lag = d.run(book_all(d, daemon), 60)
            cpu = cpu_seconds(daemon.process) - cpu
            open_at_timeout = [t for t in times if t is None or t >= TIMEOUT_S]
            late = [t for t in open_at_timeout if t is None or t >= TIMEOUT_S + LATE_S]
            record.add(f"{len(open_at_timeout)} of {len(times)} bookings had no answer at the "
                       f"route's timeout, {len(late)} of these none {LATE_S} s later; processor "
                       f"time of the daemon {cpu:.1f} s, longest lag of this script {lag:.3f} s")
            if lag > MOST_LAG_S:
                raise CouldNotRun("this script was too slow to judge")
            return finish(
                record, len(late) > len(open_at_timeout) / 2,
                f"{len(late)} of {len(open_at_timeout)} bookings that were open at their timeout "
                f"had no answer {LATE_S} s later; processor time of the daemon {cpu:.1f} s")
    finally:
        for helper in helpers:
            helper.close()


if __name__ == "__main__":
    if sys.argv[1] == "engines":
        body = b"" if sys.argv[2] == "-" else bytes.fromhex(sys.argv[2]) * int(sys.argv[3])
        asyncio.run(run_engines(body))
    else:
        asyncio.run(run_streams(sys.argv[2]))

"""Measures what a daemon adds to calls, what it costs idle, and its token rate.

Run by scripts/bench. A Python client is precise enough for the added latency: its own
time is part of both sides of each interleaved pair and cancels in the difference; it
lowers the ratio. Under full load it only counts events in the bytes of raw sockets.
"""

import http.client
import json
import socket
import time

import common
from streams import END, Streams, chat_request

from deployment import Deployment, http_call  # found through common

CALLS = 500
ACTIONS = 150
STREAMS = 100
STREAM_TOKENS = 20
IDLE_SECONDS = 10
LOAD_SECONDS = 5
LOAD_STREAMS = 96
LOAD_ENGINES = 6


def timed_call(connection, method, target, body=None, headers=None):
    start = time.perf_counter()
    connection.request(method, target, body, headers or {})
    answer = connection.getresponse()
    answer.read()
    seconds = time.perf_counter() - start
    assert answer.status == 200, (target, answer.status)
    return seconds


def interleave(direct, through, count):
    """Returns the times of both functions, called in turn with the number of the turn."""
    pairs = [(direct(i), through(i)) for i in range(count)]
    return [pair[0] for pair in pairs], [pair[1] for pair in pairs]


def timed_stream(port, number):
    """Returns the seconds to the first token, and the gaps between tokens."""
    with socket.create_connection(("127.0.0.1", port)) as one:
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        start = time.perf_counter()
        one.sendall(chat_request(f"question {number:04} tokens={STREAM_TOKENS}", 1000))
        arrivals, tail, head = [], b"", b""
        while not tail.endswith(END):
            data = one.recv(65536)
            now = time.perf_counter()
            assert data, "the stream broke"
            head = head or data
            # A token may be split over two reads, so its mark is searched in both.
            marks = (tail + data).count(b'"content"') - tail.count(b'"content"')
            arrivals += [now] * marks
            tail = (tail + data)[-16:]
    assert len(arrivals) >= STREAM_TOKENS, head[:600]
    return arrivals[0] - start, [b - a for a, b in zip(arrivals, arrivals[1:])]


def row(name, direct, through):
    cells = [name, len(direct)]
    for share in (0.5, 0.99):
        a, b = common.percentile(direct, share), common.percentile(through, share)
        cells += [f"{a * 1e3:.3f}", f"{b * 1e3:.3f}", f"{b / a:.2f}", f"{(b - a) * 1e3:.3f}"]
    return cells


def latency_rows(d):
    service = http.client.HTTPConnection("127.0.0.1", d.services[0].port)
    daemon = http.client.HTTPConnection("127.0.0.1", d.daemons[0].port)
    for connection in (service, daemon):
        timed_call(connection, "GET", "/orders/warm")
    rows = [row("idempotent call", *interleave(
        lambda i: timed_call(service, "GET", f"/orders/{i}"),
        lambda i: timed_call(daemon, "GET", f"/orders/{i}"), CALLS))]

    def action(connection, key):
        return timed_call(connection, "POST", "/pickups", "{}", {"Idempotency-Key": key})
    rows.append(row("call with a key", *interleave(
        lambda i: action(service, f"direct-{i}"),
        lambda i: action(daemon, f"through-{i}"), ACTIONS)))
    direct, through = interleave(lambda i: timed_stream(d.engines[0].port, 2 * i),
                                 lambda i: timed_stream(d.daemons[0].port, 2 * i + 1),
                                 STREAMS)
    rows.append(row("first token", [s[0] for s in direct], [s[0] for s in through]))
    rows.append(row("gap between tokens", [g for s in direct for g in s[1]],
                    [g for s in through for g in s[1]]))
    return rows


def idle(d):
    """Returns (resident MB, share of a core) of each daemon over the idle time."""
    pids = [daemon.process.pid for daemon in d.daemons]
    before = [common.cpu_seconds(pid) for pid in pids]
    start = time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - start
    return [(common.resident_mb(pid), (common.cpu_seconds(pid) - old) / seconds)
            for pid, old in zip(pids, before)]


def full_load():
    """Returns tokens per second, share of a core, resident MB, broken streams and the
    longest answer of /healthz in seconds with its status."""
    with Deployment(engines=LOAD_ENGINES, services=1, daemons=1, decode_us=500) as d:
        d.apply(d.serrana())
        load = [Streams(d.daemons[0].port, LOAD_STREAMS // 2, 2000) for _ in range(2)]
        time.sleep(1)
        pid, health = d.daemons[0].process.pid, []
        start, cpu = time.monotonic(), common.cpu_seconds(pid)
        events = sum(one.events for one in load)
        while time.monotonic() < start + LOAD_SECONDS:
            asked = time.monotonic()
            status = http_call(d.operator_port(0), "GET", "/healthz")[0]
            health.append((time.monotonic() - asked, status))
            time.sleep(0.2)
        events = sum(one.events for one in load) - events
        cpu = common.cpu_seconds(pid) - cpu
        seconds = time.monotonic() - start
        memory = common.resident_mb(pid)
        for one in load:
            one.stop()
        return (events / seconds, cpu / seconds, memory,
                sum(one.failures for one in load), max(health))


def main():
    with Deployment(engines=1, services=1, daemons=8, decode_us=5000) as d:
        d.apply(d.serrana())
        idles = idle(d)
        rows = latency_rows(d)
    rate, cpu, memory, failures, health = full_load()
    text = "\n\n".join([
        common.run_line("scripts/bench"),
        "Added latency in ms, direct to the stand-in and through a daemon, interleaved, one "
        "call at a time, 8 daemons running:",
        common.table(["call", "count", "p50 direct", "p50 daemon", "ratio", "difference",
                      "p99 direct", "p99 daemon", "ratio", "difference"], rows),
        f"Idle daemon, 8 running, over {IDLE_SECONDS} s: resident "
        f"{max(i[0] for i in idles):.1f} MB (highest), CPU "
        f"{100 * sum(i[1] for i in idles) / len(idles):.2f}% of a core (mean), "
        f"{100 * max(i[1] for i in idles):.2f}% (highest).",
        f"Full load, {LOAD_STREAMS} streams, {LOAD_ENGINES} engines at 0.5 ms between tokens, "
        f"over {LOAD_SECONDS} s: {rate:.0f} tokens/s through one daemon, which used "
        f"{100 * cpu:.0f}% of a core ({1e6 * cpu / rate:.1f} µs per token) and "
        f"{memory:.1f} MB; {failures} streams broke; the slowest answer of /healthz took "
        f"{1e3 * health[0]:.0f} ms with status {health[1]}."])
    common.write_section("Daemon overhead", text)


if __name__ == "__main__":
    main()

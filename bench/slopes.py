"""Measures how the cost of a daemon grows with daemons, streams, actions and resources.

Run by scripts/slopes. Bytes are those of read and write calls in /proc/PID/io: kj reads
and writes its sockets by these calls.
"""

import http.client
import os
import time

import common
from overhead import timed_call
from streams import Streams

from deployment import Deployment  # found through common

FLEETS = (8, 32, 96)
SETTLE_SECONDS = 4
WINDOW_SECONDS = 8
STREAMS = (0, 100, 400)
ENGINES = 26  # of 16 running sequences each
ACTIONS = (500, 2500)
RESOURCES = 300


def io_bytes(pid):
    with open(f"/proc/{pid}/io", encoding="ascii") as file:
        fields = dict(line.split(": ") for line in file)
    return int(fields["rchar"]) + int(fields["wchar"])


def fleet_row(count):
    """Returns daemons, bytes/s, share of a core and MB of an idle daemon, and the load."""
    with Deployment(engines=1, services=1, daemons=count) as d:
        d.apply(d.serrana())
        time.sleep(SETTLE_SECONDS)
        pids = [daemon.process.pid for daemon in d.daemons]
        before = [(io_bytes(pid), common.cpu_seconds(pid)) for pid in pids]
        start = time.monotonic()
        time.sleep(WINDOW_SECONDS)
        after = [(io_bytes(pid), common.cpu_seconds(pid)) for pid in pids]
        seconds = time.monotonic() - start
        count_bytes = sum(a[0] - b[0] for a, b in zip(after, before)) / seconds / count
        cpu = sum(a[1] - b[1] for a, b in zip(after, before)) / seconds / count
        memory = sum(common.resident_mb(pid) for pid in pids) / count
        return [count, f"{count_bytes:.0f}", f"{100 * cpu:.2f}%", f"{memory:.1f}",
                f"{os.getloadavg()[0]:.1f}"]


def stream_rows():
    rows, base = [], 0.0
    with Deployment(engines=ENGINES, services=1, daemons=1, decode_us=50000) as d:
        d.apply(d.serrana())
        pid = d.daemons[0].process.pid
        for count in STREAMS:
            load = Streams(d.daemons[0].port, count, 2000) if count else None
            time.sleep(3)
            memory = common.resident_mb(pid)
            base = base or memory
            per_stream = f"{1024 * (memory - base) / count:.1f}" if count else ""
            failures = 0
            if load:
                load.stop()
                failures = load.failures
            time.sleep(1)
            rows.append([count, f"{memory:.1f}", per_stream, failures])
    return rows


def state_rows():
    with Deployment(engines=1, services=1, daemons=1,
                    log_flags=["--appends-per-second", "100000"]) as d:
        resources = d.serrana()
        d.apply(resources)
        pid = d.daemons[0].process.pid
        connection = http.client.HTTPConnection("127.0.0.1", d.daemons[0].port)
        memory = []
        for index in range(ACTIONS[1] + 1):
            if index in ACTIONS:
                memory.append(common.resident_mb(pid))
            timed_call(connection, "POST", "/pickups", "{}", {"Idempotency-Key": f"k{index}"})
        before = common.resident_mb(pid)
        d.apply([{"kind": "route", "name": f"slope-{i}", "spec": {
            "pathPrefix": f"/slope/{i}", "service": "booking"}} for i in range(RESOURCES)])
        after = common.resident_mb(pid)
    actions = (memory[1] - memory[0]) * 1024 * 1000 / (ACTIONS[1] - ACTIONS[0])
    return [["1,000 recorded actions", f"{actions:.0f}"],
            ["100 resources (routes)", f"{(after - before) * 1024 * 100 / RESOURCES:.0f}"]]


def main():
    fleets = [fleet_row(count) for count in FLEETS]
    streams = stream_rows()
    states = state_rows()
    text = "\n\n".join([
        common.run_line("scripts/slopes"),
        f"An idle daemon, mean over all daemons, over {WINDOW_SECONDS} s, with one engine and "
        "one service:",
        common.table(["daemons", "bytes/s read and written", "CPU of a core", "resident MB",
                      "load average"], fleets),
        "One daemon with running streams:",
        common.table(["streams", "resident MB", "kB per stream", "broken streams"], streams),
        f"Resident memory of state, kB (actions {ACTIONS[0]} to {ACTIONS[1]}, "
        f"{RESOURCES} resources):",
        common.table(["state", "kB"], states)])
    common.write_section("Slopes", text)


if __name__ == "__main__":
    main()

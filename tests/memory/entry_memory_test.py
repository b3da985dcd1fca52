"""Sends crowds of clients that do not behave to the ports of a real entry daemon, besides the
bodies of request_memory_test.py. The checks do not depend on the machine's speed."""

import itertools
import signal
import threading
import unittest

from deployment import wait_for
from entry_test import EntryDaemon, config
from memory.crowd import Crowd, chunked, sized
from memory.process_limits import ProcessLimits
from platform_standin import Backend, Store

KIB = 1024
MIB = 1024 * KIB

MEMORY_MB = 64
MAX_FDS = 600
BODY_LIMIT = MIB
HEADER_LIMIT = 16 * KIB

CLIENTS = 240
CLIENTS_OVER_DESCRIPTORS = MAX_FDS + 100
ANSWER_CLIENTS = 60
ANSWER_BYTES = 4 * MIB
PIPELINING_CLIENTS = 10
PIPELINED_REQUESTS = 20
BUSY_CLIENTS = 20
BUSY_BODY = 64 * MIB


def get(target, request):
    return (f"GET {target} HTTP/1.1\r\nHost: h\r\nGooseberrypath-Request-Id: {request}\r\n"
            f"Gooseberrypath-Deadline-Ms: 30000\r\nAuthorization: Token k1\r\n\r\n").encode()


class EntryMemoryTest(unittest.TestCase):

    def start(self):
        store = Store()
        self.addCleanup(store.close)
        backend = self.backend = Backend("i-1")
        backend.echoes = False
        backend.large_bytes = ANSWER_BYTES
        self.addCleanup(backend.close)
        settings = config()
        settings["routes"].append({
            "name": "stream", "host": "h", "path_prefix": "/stream/", "kind": "streaming",
            "timeout_ms": 60000, "service": "shop", "max_attempts": 1})
        store.put_config(settings | {"limits": {
            "max_header_bytes": HEADER_LIMIT, "max_body_bytes": BODY_LIMIT,
            "header_timeout_ms": 60000, "idle_timeout_ms": 60000}})
        store.put_backend(backend.name, backend.address)
        self.daemon = EntryDaemon(store, [f"limits.memory_mb={MEMORY_MB}",
                                          f"limits.max_fds={MAX_FDS}"])
        self.addCleanup(self.daemon.close)
        wait_for(lambda: self.daemon.status() == 200, "readiness")
        self.process = self.daemon.process
        self.limits = ProcessLimits(self.process.pid, MEMORY_MB, MAX_FDS)
        self.numbers = itertools.count()

    def crowd_at(self, port):
        crowd = Crowd(port)
        self.addCleanup(crowd.close)
        return crowd

    def is_served(self):
        return self.daemon.call("/status/1", method="GET", body=None,
                                request=f"o{next(self.numbers)}")[0] == 200

    def check(self):
        """Checks the daemon while the crowd's connections are still open."""
        self.assertIsNone(self.process.poll(), "the daemon has ended")
        self.limits.settle()
        self.limits.report(self)
        self.limits.check(self)
        wait_for(self.is_served, "an ordinary request to be answered", timeout_s=60)
        wait_for(lambda: self.daemon.status() == 200, "a probe to be answered", timeout_s=60)
        self.limits.check(self)

    def test_heads_of_many_small_fields(self):
        """Guards against fields that take up many times the bytes that were sent for them, in
        requests whose bodies do not end."""
        self.start()
        fields = b"a:b\r\n" * (HEADER_LIMIT // 2 - KIB)
        head = (b"POST /pickups/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + fields +
                b"\r\nx")
        self.crowd_at(self.daemon.caller).send([iter([head]) for _ in range(CLIENTS)])
        self.check()

    def test_heads_that_never_end(self):
        """Guards against heads without an end that are kept."""
        self.start()
        line = b"GET /status/1 HTTP/1.1\r\nHost: h\r\nX-Endless: "
        self.crowd_at(self.daemon.caller).send(
            [itertools.chain([line], [b"x" * KIB] * 256)
             for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_trailers_that_never_end(self):
        """Guards against trailers without an end that are kept."""
        self.start()
        head = (b"POST /pickups/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"1\r\nx\r\n0\r\n")
        self.crowd_at(self.daemon.caller).send(
            [itertools.chain([head], [b"a:b\r\n" * 200] * 256) for _ in range(CLIENTS)])
        self.check()

    def test_idle_connections_over_the_descriptors(self):
        """Guards against a daemon that stays closed to others while connections that sent
        nothing are open."""
        self.start()
        self.crowd_at(self.daemon.caller).send(
            [iter(()) for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_large_answers_that_nobody_reads(self):
        """Guards against a total of answers, waiting for their callers, that has no bound."""
        self.start()
        self.crowd_at(self.daemon.caller).send_only(
            [iter([get("/status/large", f"a{i}")]) for i in range(ANSWER_CLIENTS)])
        self.check()

    def test_large_streams_that_nobody_reads(self):
        """Guards against a total of streams, waiting for their callers, that has no bound."""
        self.start()
        self.backend.large_bytes = 2 * ANSWER_BYTES
        self.crowd_at(self.daemon.caller).send_only(
            [iter([get("/stream/stream", f"s{i}")]) for i in range(ANSWER_CLIENTS)])
        self.check()

    def test_pipelined_calls_whose_answers_nobody_reads(self):
        """Guards against a connection whose answers wait in a queue while its next calls are
        served."""
        self.start()
        self.crowd_at(self.daemon.caller).send_only(
            [iter([get("/status/large", f"p{i}-{j}") for j in range(PIPELINED_REQUESTS)])
             for i in range(PIPELINING_CLIENTS)])
        self.check()

    def test_probe_connections_over_the_descriptors(self):
        """Guards against idle connections to the port for probes that take the callers'
        descriptors, and against a port that stops to listen when it has none."""
        self.start()
        self.crowd_at(self.daemon.ready).send(
            [iter(()) for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_probe_heads_that_never_end(self):
        """Guards against heads without an end at the port for probes."""
        self.start()
        line = b"GET /api/readiness HTTP/1.1\r\nHost: h\r\nX-Endless: "
        self.crowd_at(self.daemon.ready).send(
            [itertools.chain([line], [b"x" * KIB] * 60)
             for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_a_stop_amid_a_crowd(self):
        """Guards against a planned stop that incomplete requests hold up."""
        self.start()
        self.crowd_at(self.daemon.caller).send(
            [sized(BODY_LIMIT, BODY_LIMIT - 1, 64 * KIB) for _ in range(CLIENTS)])
        self.process.send_signal(signal.SIGTERM)
        wait_for(lambda: self.process.poll() is not None, "the daemon to end", timeout_s=60)
        self.assertEqual(self.process.returncode, 0)

    def test_a_request_is_answered_while_a_crowd_sends(self):
        """Guards against connections that always have bytes and leave no turn to others."""
        self.start()
        crowd = self.crowd_at(self.daemon.caller)
        stop = threading.Event()

        def endless(request):
            return itertools.takewhile(lambda _: not stop.is_set(), request)
        requests = [chunked(BUSY_BODY, 1, 4 * KIB, False) for _ in range(BUSY_CLIENTS)]
        requests += [itertools.repeat(get("/status/1", f"b{i}")) for i in range(BUSY_CLIENTS)]
        sender = threading.Thread(target=crowd.send,
                                  args=([endless(request) for request in requests],))
        sender.start()
        try:
            wait_for(self.is_served, "an ordinary request to be answered", timeout_s=60)
        finally:
            stop.set()
            sender.join()
        self.check()


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""Sends crowds of clients that do not behave to each port of a real `gooseberrypath serve`. The
checks do not depend on the machine's speed: the process lives, its memory and its descriptors
stay under the limits of its host, and an ordinary request is answered afterwards."""

import itertools
import signal
import struct
import time
import unittest

from deployment import Deployment, http_call, wait_for
from memory.crowd import Crowd, chunked, sized
from memory.process_limits import ProcessLimits
from platform_standin import Quiet, Server

KIB = 1024
MIB = 1024 * KIB

MEMORY_MB = 64
MAX_FDS = 600
BODY_LIMIT = MIB
HEADER_LIMIT = 16 * KIB

# In each crowd the requests together are 3 times MEMORY_MB or more, but for the smallest
# chunks, whose framing is five times the body.
CLIENTS = 240
COMPLETE_EVERY = 12  # one client in so many sends its whole request
ONE_BYTE_CHUNKS_BODY = 400 * KIB
CLIENTS_OVER_DESCRIPTORS = MAX_FDS + 100
ANSWER_CLIENTS = 60
ANSWER_BYTES = 4 * MIB  # the largest answer that is passed on
OPERATOR_BODY = MIB     # the largest body of an operator's call
PIPELINING_CLIENTS = 20
PIPELINED_REQUESTS = 20
SILENCE_S = 300         # longer than a test


class PlainBackend:
    """Answers POST with a few bytes, or not while `is_silent`, and GET with ANSWER_BYTES for
    /orders/large."""

    def __init__(self):
        self.is_silent = False
        self.server = Server(PlainHandler, self)
        self.address = self.server.address

    def close(self):
        self.server.close()


class PlainHandler(Quiet):

    def do_POST(self):
        self.read_body()
        if self.server.state.is_silent:
            time.sleep(SILENCE_S)
        self.answer(200, b"ok")

    def do_GET(self):
        self.answer(200, bytes(ANSWER_BYTES) if self.path.endswith("/large") else b"ok")


def resources(backend):
    def route(name, methods):
        return {"kind": "route", "name": name, "spec": {
            "pathPrefix": f"/{name}", "methods": methods, "service": "booking",
            "idempotent": True}}
    return [{"kind": "service", "name": "booking", "spec": {
                "kind": "plain", "backends": [{"name": "b", "address": backend.address}]}},
            route("pickups", ["POST"]), route("orders", ["GET"])]


class ServeMemoryTest(unittest.TestCase):

    def start(self, memory_mb=MEMORY_MB, body_limit=BODY_LIMIT):
        """Starts a daemon. Bodies have a minute, so that a slow machine takes up as much."""
        backend = self.backend = PlainBackend()
        self.addCleanup(backend.close)
        self.deployment = Deployment(
            engines=0, services=0, daemons=1,
            flags=["--max-body-bytes", body_limit, "--max-header-bytes", HEADER_LIMIT,
                   "--request-read-timeout-ms", 60000, "--drain-delay-ms", 0],
            environment={"GOOSEBERRYPATH_MEMORY_MB": str(memory_mb),
                         "GOOSEBERRYPATH_MAX_FDS": str(MAX_FDS)}).__enter__()
        self.addCleanup(self.deployment.close)
        self.deployment.apply(resources(backend))
        self.callers, self.peers, self.operators = self.deployment.daemon_ports[0]
        self.process = self.deployment.daemons[0].process
        self.limits = ProcessLimits(self.process.pid, memory_mb, MAX_FDS)

    def crowd_at(self, port):
        crowd = Crowd(port)
        self.addCleanup(crowd.close)
        return crowd

    def call(self, method="GET", target="/orders/1", body=None):
        return http_call(self.callers, method, target, body)[0]

    def check(self):
        """Checks the daemon while the crowd's connections are still open."""
        self.assertIsNone(self.process.poll(), "the daemon has ended")
        self.limits.settle()
        self.limits.report(self)
        self.limits.check(self)
        wait_for(lambda: self.call() == 200, "an ordinary request to be answered",
                 timeout_s=60)
        wait_for(lambda: http_call(self.operators, "GET", "/v1/resources")[0] == 200,
                 "an operator's call to be answered", timeout_s=60)
        self.limits.check(self)

    # ---- The callers' port ----

    def test_announced_bodies_far_over_the_limit(self):
        """Guards against bodies that are buffered up to the limit although their length was
        announced."""
        self.start()
        self.crowd_at(self.callers).send([sized(8 * BODY_LIMIT, 8 * BODY_LIMIT, 64 * KIB)
                                          for _ in range(CLIENTS)])
        self.check()

    def test_chunked_bodies_far_over_the_limit(self):
        """Guards against bodies whose length shows only when the limit is passed."""
        self.start()
        self.crowd_at(self.callers).send(
            [chunked(8 * BODY_LIMIT, 64 * KIB, 64 * KIB, False) for _ in range(CLIENTS)])
        self.check()

    def legal_bodies(self, piece):
        return [sized(BODY_LIMIT, BODY_LIMIT - (i % COMPLETE_EVERY != 0), piece)
                for i in range(CLIENTS)]

    def test_large_bodies_that_stop_before_their_end(self):
        """Guards against a total of incomplete bodies that has no bound."""
        self.start()
        self.crowd_at(self.callers).send(self.legal_bodies(256 * KIB))
        self.check()

    def test_large_bodies_in_pieces_that_stop_before_their_end(self):
        """Guards against many bodies that grow slowly side by side."""
        self.start()
        self.crowd_at(self.callers).send(self.legal_bodies(2 * KIB))
        self.check()

    def chunked_bodies(self, length, chunk):
        return [chunked(length, chunk, max(chunk, 4 * KIB), i % COMPLETE_EVERY == 0)
                for i in range(CLIENTS)]

    def test_large_chunks_that_stop_before_the_end(self):
        """Guards against a total of incomplete chunked bodies that has no bound."""
        self.start()
        self.crowd_at(self.callers).send(self.chunked_bodies(BODY_LIMIT, 64 * KIB))
        self.check()

    def test_one_byte_chunks_that_stop_before_the_end(self):
        """Guards against memory for the framing of small chunks, or for bodies that grow by
        single bytes."""
        self.start()
        self.crowd_at(self.callers).send(self.chunked_bodies(ONE_BYTE_CHUNKS_BODY, 1))
        self.check()

    def test_heads_of_many_small_fields(self):
        """Guards against fields that take up many times the bytes that were sent for them, in
        requests whose bodies do not end."""
        self.start()
        fields = b"a:b\r\n" * (HEADER_LIMIT // 2 - KIB)
        head = (b"POST /pickups/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + fields +
                b"\r\nx")
        self.crowd_at(self.callers).send([iter([head]) for _ in range(CLIENTS)])
        self.check()

    def test_heads_that_never_end(self):
        """Guards against heads without an end that are kept although nobody may send more
        than a few KiB of them."""
        self.start()
        line = b"GET /orders/1 HTTP/1.1\r\nHost: h\r\nX-Endless: "
        self.crowd_at(self.callers).send([itertools.chain([line], [b"x" * KIB] * 256)
                                          for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_more_connections_than_descriptors(self):
        """Guards against descriptors over the limit, and against a daemon that stays closed
        to others while incomplete requests hold its connections."""
        self.start()
        self.crowd_at(self.callers).send([sized(64 * KIB, 64 * KIB - 1, 64 * KIB)
                                          for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_idle_connections_over_the_descriptors(self):
        """Guards against a daemon that stays closed to others while connections that sent
        nothing are open."""
        self.start()
        self.crowd_at(self.callers).send([iter(()) for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_large_answers_that_nobody_reads(self):
        """Guards against a total of answers, waiting for their callers, that has no bound."""
        self.start()
        request = b"GET /orders/large HTTP/1.1\r\nHost: h\r\n\r\n"
        crowd = self.crowd_at(self.callers)
        crowd.send_only([iter([request]) for _ in range(ANSWER_CLIENTS)])
        self.check()

    def test_pipelined_requests_whose_answers_nobody_reads(self):
        """Guards against a connection whose answers wait in a queue while its next requests are
        served."""
        self.start()
        request = b"GET /orders/large HTTP/1.1\r\nHost: h\r\n\r\n"
        self.crowd_at(self.callers).send_only(
            [itertools.repeat(request, PIPELINED_REQUESTS) for _ in range(PIPELINING_CLIENTS)])
        self.check()

    def test_whole_bodies_while_backends_are_silent(self):
        """Guards against requests that run and are no longer counted."""
        self.start()
        self.backend.is_silent = True
        self.crowd_at(self.callers).send_only(
            [sized(BODY_LIMIT, BODY_LIMIT, 64 * KIB) for _ in range(CLIENTS)])
        self.check()

    def test_callers_that_close_half(self):
        """Guards against bodies that are kept after their callers have ended sending."""
        self.start()
        crowd = self.crowd_at(self.callers)
        for client in crowd.send_only(self.legal_bodies(64 * KIB)):
            client.end_sending()
        self.check()

    def test_a_stop_amid_a_crowd(self):
        """Guards against a planned stop that incomplete requests hold up."""
        self.start()
        self.crowd_at(self.callers).send(self.legal_bodies(64 * KIB))
        self.process.send_signal(signal.SIGTERM)
        wait_for(lambda: self.process.poll() is not None, "the daemon to end", timeout_s=60)
        self.assertEqual(self.process.returncode, 0)

    def test_the_largest_legal_request_is_served_on_a_small_host(self):
        """Guards against a bound on all requests that leaves no room for a single one: a
        quarter of this host's memory is less than the body limit."""
        self.start(memory_mb=12, body_limit=4 * MIB)
        self.assertEqual(self.call("POST", "/pickups/1", bytes(4 * MIB)), 200)
        self.assertEqual(self.call("POST", "/pickups/1", iter([bytes(64 * KIB)] * 64)), 200)
        self.assertEqual(self.call("POST", "/pickups/1", b""), 200)

    # ---- The other ports ----

    def test_operators_bodies_that_stop_before_their_end(self):
        """Guards against a total of operators' bodies that has no bound."""
        self.start()
        head = (f"PUT /v1/resources/team/t HTTP/1.1\r\nHost: h\r\n"
                f"Content-Length: {OPERATOR_BODY}\r\n\r\n").encode()
        block = b" " * (OPERATOR_BODY // 16)
        self.crowd_at(self.operators).send(
            [itertools.chain([head], [block] * 15, [block[:-1]]) for _ in range(CLIENTS)])
        self.check()

    def test_operators_bodies_far_over_the_limit(self):
        """Guards against operators' bodies that are read to their end before their length is
        checked."""
        self.start()
        head = (f"PUT /v1/resources/team/t HTTP/1.1\r\nHost: h\r\n"
                f"Content-Length: {64 * OPERATOR_BODY}\r\n\r\n").encode()
        block = b" " * (64 * KIB)
        self.crowd_at(self.operators).send(
            [itertools.chain([head], [block] * 128) for _ in range(CLIENTS // 4)])
        self.check()

    def test_operators_connections_over_the_descriptors(self):
        """Guards against idle connections of operators that take the callers' descriptors."""
        self.start()
        self.crowd_at(self.operators).send(
            [iter(()) for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_peers_messages_that_stop_before_their_end(self):
        """Guards against a total of incomplete messages of peers that has no bound."""
        self.start()
        # One segment of the largest size that the port allows, in words of 8 bytes.
        header = struct.pack("<II", 0, BODY_LIMIT // 8)
        block = bytes(BODY_LIMIT // 16)
        self.crowd_at(self.peers).send(
            [itertools.chain([header], [block] * 15, [block[:-8]]) for _ in range(CLIENTS)])
        self.check()

    def test_peers_connections_over_the_descriptors(self):
        """Guards against idle connections of peers that take the callers' descriptors."""
        self.start()
        self.crowd_at(self.peers).send([iter(()) for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()


if __name__ == "__main__":
    unittest.main(verbosity=2)

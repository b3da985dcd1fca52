"""Sends crowds of large requests to a real entry daemon. The checks do not depend on the
machine's speed: the process lives, its memory and its descriptors stay under the limits that
its settings state, and an ordinary request is answered afterwards."""

import itertools
import os
import pathlib
import re
import unittest

from deployment import wait_for
from entry_test import EntryDaemon, config
from memory.crowd import Crowd, chunked, sized
from platform_standin import Backend, Store

KIB = 1024
MIB = 1024 * KIB

MEMORY_MB = 64
MAX_FDS = 600
BODY_LIMIT = MIB

# In each crowd the requests together are 3 times MEMORY_MB or more, but for the smallest
# chunks, whose framing is five times the body.
CLIENTS = 240
COMPLETE_EVERY = 12  # one client in so many sends its whole request
ONE_BYTE_CHUNKS_BODY = 400 * KIB
CLIENTS_OVER_DESCRIPTORS = MAX_FDS + 100


class RequestMemoryTest(unittest.TestCase):

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.backend = Backend("i-1")
        self.backend.echoes = False
        self.addCleanup(self.backend.close)

    def start(self, memory_mb=MEMORY_MB, body_limit=BODY_LIMIT):
        self.store.put_config(config() | {"limits": {
            "max_header_bytes": 16384, "max_body_bytes": body_limit,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.store.put_backend(self.backend.name, self.backend.address)
        self.daemon = EntryDaemon(self.store, [f"limits.memory_mb={memory_mb}",
                                               f"limits.max_fds={MAX_FDS}"])
        self.addCleanup(self.daemon.close)
        wait_for(lambda: self.daemon.status() == 200, "readiness")
        self.crowd = Crowd(self.daemon.caller)
        self.addCleanup(self.crowd.close)

    def memory(self, name):
        """Returns a memory figure of the daemon in MiB."""
        status = pathlib.Path(f"/proc/{self.daemon.process.pid}/status").read_text(
            encoding="utf-8")
        return int(re.search(rf"{name}:\s*(\d+) kB", status)[1]) / KIB

    def check(self):
        """Checks the daemon while the crowd's connections are still open."""
        self.assertIsNone(self.daemon.process.poll(), "the daemon has ended")
        peak = self.memory("VmHWM")
        descriptors = len(os.listdir(f"/proc/{self.daemon.process.pid}/fd"))
        print(f"{self.id().rsplit('.', maxsplit=1)[-1]}: peak {peak:.1f} MiB, "
              f"now {self.memory('VmRSS'):.1f} MiB, {descriptors} descriptors", flush=True)
        self.assertLess(descriptors, MAX_FDS)
        numbers = itertools.count()
        wait_for(lambda: self.daemon.call("/status/1", method="GET", body=None,
                                          request=f"o{next(numbers)}")[0] == 200,
                 "an ordinary request to be answered", timeout_s=60)
        self.assertLess(self.memory("VmHWM"), MEMORY_MB)

    def test_announced_bodies_far_over_the_limit(self):
        """Guards against bodies that are buffered up to the limit although their length was
        announced, and against buffers kept after the refusal."""
        self.start()
        self.crowd.send([sized(8 * BODY_LIMIT, 8 * BODY_LIMIT, 64 * KIB)
                         for _ in range(CLIENTS)])
        self.check()

    def test_chunked_bodies_far_over_the_limit(self):
        """Guards against bodies whose length shows only when the limit is passed."""
        self.start()
        self.crowd.send([chunked(8 * BODY_LIMIT, 64 * KIB, 64 * KIB, False)
                         for _ in range(CLIENTS)])
        self.check()

    def legal_bodies(self, piece):
        return [sized(BODY_LIMIT, BODY_LIMIT - (i % COMPLETE_EVERY != 0), piece)
                for i in range(CLIENTS)]

    def test_large_bodies_that_stop_before_their_end(self):
        """Guards against a total of incomplete bodies that has no bound."""
        self.start()
        self.crowd.send(self.legal_bodies(256 * KIB))
        self.check()

    def test_large_bodies_in_pieces_that_stop_before_their_end(self):
        """Guards against many bodies that grow slowly side by side."""
        self.start()
        self.crowd.send(self.legal_bodies(2 * KIB))
        self.check()

    def chunked_bodies(self, length, chunk):
        return [chunked(length, chunk, max(chunk, 4 * KIB), i % COMPLETE_EVERY == 0)
                for i in range(CLIENTS)]

    def test_large_chunks_that_stop_before_the_end(self):
        """Guards against a total of incomplete chunked bodies that has no bound."""
        self.start()
        self.crowd.send(self.chunked_bodies(BODY_LIMIT, 64 * KIB))
        self.check()

    def test_one_byte_chunks_that_stop_before_the_end(self):
        """Guards against memory for the framing of small chunks, or for bodies that grow by
        single bytes."""
        self.start()
        self.crowd.send(self.chunked_bodies(ONE_BYTE_CHUNKS_BODY, 1))
        self.check()

    def test_more_connections_than_descriptors(self):
        """Guards against descriptors over the limit, and against a daemon that stays closed
        to others while incomplete requests hold its connections."""
        self.start()
        self.crowd.send([sized(64 * KIB, 64 * KIB - 1, 64 * KIB)
                         for _ in range(CLIENTS_OVER_DESCRIPTORS)])
        self.check()

    def test_the_largest_legal_request_is_served_on_a_small_host(self):
        """Guards against a bound on all requests that leaves no room for a single one: a
        quarter of this host's memory is less than the body limit."""
        self.start(memory_mb=12, body_limit=4 * MIB)
        self.assertEqual(self.daemon.call("/pickups/1", body=bytes(4 * MIB))[0], 200)
        self.assertEqual(
            self.daemon.call("/pickups/1", body=iter([bytes(64 * KIB)] * 64))[0], 200)
        self.assertEqual(self.daemon.call("/pickups/1", body=b"")[0], 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""The daemon under full load, with the load of the benchmark."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "bench"))

import overhead


class FullLoad(unittest.TestCase):

    def test_health_check_is_answered(self):
        """Guards against an event loop that does not poll for I/O while streams keep it
        busy: health checks were answered 503 after 2 s, and the load balancer would take
        the daemon out."""
        rate, _, _, failures, (_, status) = overhead.full_load()
        self.assertEqual((status, failures), (200, 0))
        self.assertGreater(rate, 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)

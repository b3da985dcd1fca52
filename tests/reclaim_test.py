"""Streams over a reclaimed zone and a killed engine, with real processes."""

import json
import re
import time
import unittest

from deployment import Deployment, chat, http_call, stream_text, wait_for
from whole_path_test import Background

ZONE = (0, 3, 6)  # puebla-0, see Deployment.serrana()
NOTICE_S = 2
STREAMS = 18
TOKENS = 600  # 6 s at the engines' 10 ms a token


def plan(index):
    words = " ".join(f"blanket{index}-{word}" for word in range(200))
    return f"season wash plan {index} tokens={TOKENS} {words}"


def counter(deployment, name):
    """Returns a counter's sum over the daemons."""
    total = 0
    for index in range(len(deployment.daemons)):
        status, _, body = http_call(deployment.operator_port(index), "GET", "/metrics")
        assert status == 200, f"daemon{index} does not answer (exit code " \
            f"{deployment.daemons[index].process.poll()})"
        found = re.search(rf"^gooseberrypath_{name}_total (\d+)", body.decode(), re.M)
        total += int(found.group(1))
    return total


class Reclaim(unittest.TestCase):
    def test_zone_is_reclaimed_and_another_engine_dies(self):
        """Guards against gaps, repeats and ended streams when a zone goes with 2 s of
        notice and one of the engines that received its streams dies without."""
        with Deployment(engines=9, services=1, daemons=3, decode_us=10000) as d:
            d.apply(d.serrana())
            calls = [Background(lambda i=i: d.call(
                i % 3, "POST", "/v1/chat/completions", chat(plan(i)))) for i in range(STREAMS)]
            wait_for(lambda: sum(e.stats()["running"] for e in d.engines) == STREAMS,
                     "all streams to run")
            time.sleep(0.5)
            on_zone = sum(d.engines[i].stats()["running"] for i in ZONE)
            for i in ZONE:
                d.platform.control(notice={"host": f"engine{i}", "seconds_left": NOTICE_S})
            time.sleep(NOTICE_S)
            left_behind = sum(d.engines[i].stats()["running"] for i in ZONE)
            stats = []
            for i in ZONE:
                stats.append(d.engines[i].stats())
                d.engines[i].kill()
            time.sleep(0.5)
            broken_before = counter(d, "attempts_broken")
            victim = max((i for i in range(9) if i not in ZONE),
                         key=lambda i: d.engines[i].stats()["running"])
            stats.append(d.engines[victim].stats())
            d.engines[victim].kill()
            results = [call.wait() for call in calls]

            rest = [e for e in d.engines if e.process.poll() is None]
            stats += [e.stats() for e in rest]
            owns = [Background(lambda i=i: http_call(
                rest[i % len(rest)].port, "POST", "/v1/chat/completions", chat(plan(i))))
                for i in range(STREAMS)]
            for i, (status, _, body) in enumerate(results):
                with self.subTest(stream=i):
                    text, offsets, ended = stream_text(body)
                    own = owns[i].wait()[2]
                    self.assertEqual((status, ended), (200, True))
                    self.assertEqual(text, stream_text(own)[0])
                    self.assertEqual(offsets, list(range(TOKENS)))
            moved = counter(d, "streams_moved")
            broken = counter(d, "attempts_broken")
            self.assertEqual((left_behind, broken_before), (0, 0))
            self.assertEqual(moved, on_zone)
            self.assertGreater(on_zone, 0)
            self.assertGreater(broken, 0)
            self.assertEqual(sum(one["continuation_mismatches"] for one in stats), 0)
            print(json.dumps({
                "streams": STREAMS, "moved": moved, "broken": broken,
                "kv_exports_asked": counter(d, "kv_exports_asked"),
                "kv_exports_failed": counter(d, "kv_exports_failed"),
                "tokens_recomputed": sum(one["tokens_recomputed"] for one in stats),
                "tokens_generated": sum(one["tokens_generated"] for one in stats)}))


if __name__ == "__main__":
    unittest.main()

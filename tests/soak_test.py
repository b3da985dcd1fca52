"""The soak in short, and its checks on records that break what they guard."""

import dataclasses
import unittest

from soak import checks
from soak.callers import Attempt
from soak.faults import Fault, make_schedule
from soak.soak import run_seed

SECONDS = 6
# Seeds of the short run. A seed that ever failed is added with a line on its cause.
SEEDS = (
    1,
    # A call on a new connection crossed the close of a stopping daemon and was taken for a
    # cut; the daemon had not read it.
    3,
)


def attempt(kind="pickups", size=2, **more):
    return dataclasses.replace(Attempt("r1", f"/{kind}/1/{size}", kind, 0, 1, "k1"), **more)


def events(path, numbers):
    return "".join(f"id: {n}\ndata: {path} {n}\n\n" for n in numbers).encode()


class Checks(unittest.TestCase):
    """Guards against checks that pass whatever happened."""

    def test_two_runs_of_a_pickup(self):
        runs = [(1.0, "r1"), (1.1, "r1")]
        self.assertTrue(checks.check_runs([attempt()], runs))
        self.assertFalse(checks.check_runs([attempt()], runs[:1]))
        self.assertFalse(checks.check_runs([attempt("status")], runs))

    def test_a_refusal_of_what_ran(self):
        body = b'{"error": {"kind": "overloaded", "run": "not_run"}}'
        refused = attempt(status=503, body=body, is_whole=True)
        self.assertTrue(checks.check_runs([refused], [(1.0, "r1")]))
        self.assertFalse(checks.check_runs([refused], []))

    def test_events_that_are_missing_doubled_or_cut(self):
        path = "/plans/1/3"
        for numbers, is_whole, is_right in (((1, 2, 3), True, True), ((1, 2), True, False),
                                            ((1, 2), False, True), ((1, 3), False, False),
                                            ((1, 2, 2, 3), True, False)):
            stream = attempt("plans", 3, status=200, body=events(path, numbers),
                             is_whole=is_whole)
            self.assertEqual(not checks.check_answers([stream]), is_right, numbers)

    def test_a_call_to_a_backend_that_left(self):
        late = {"b1": [(20.0, "r1")]}
        self.assertTrue(checks.check_leaving({"b1": 10.0}, late, [], 0))
        self.assertFalse(checks.check_leaving({"b1": 18.0}, late, [], 0))
        blind = [Fault(12, "store_down", 6, 0)]
        self.assertFalse(checks.check_leaving({"b1": 10.0}, late, blind, 0))

    def test_a_planned_stop_that_cuts(self):
        stop = {"daemon": 0, "process": 1, "began": 10.0, "code": 0}

        def is_broken(one, runs=(), faults=()):
            return bool(checks.check_stops([stop], [one], list(runs), list(faults), 0))
        ran = [(10.6, "r1")]
        cut = attempt(sent=10.5, ended=11.0)
        self.assertTrue(is_broken(cut))
        self.assertFalse(is_broken(cut, faults=[Fault(10, "link_reset", 0, 0)]))
        # On a kept connection only a call that was passed on counts.
        kept = attempt(sent=10.5, ended=11.0, is_reused=True)
        self.assertTrue(is_broken(kept, ran))
        self.assertFalse(is_broken(kept))
        # The same holds when the daemon stops taking calls.
        late = attempt(sent=12.4, ended=12.4)
        self.assertTrue(is_broken(late, ran))
        self.assertFalse(is_broken(late))
        self.assertTrue(checks.check_stops([{**stop, "code": None}], [], [], [], 0))

    def test_a_configuration_that_goes_back(self):
        def probe(version, sent, process=1):
            return attempt("status", key=f"gen{version}", status=200, sent=sent,
                           ended=sent + 0.1, process=process)
        self.assertTrue(checks.check_configuration([probe(2, 1.0), probe(1, 2.0)]))
        self.assertFalse(checks.check_configuration([probe(2, 1.0), probe(1, 2.0, 2)]))

    def test_holders_and_reports(self):
        def call(at, token, holder, count=1):
            return {"time": at, "target": "/usage", "token": token, "holder": holder,
                    "body": '{"window": 7, "counts": {"acme": %d}}' % count}
        calls = [call(1, 1, "d0"), call(2, 2, "d1")]
        self.assertFalse(checks.check_duties(calls, []))
        self.assertTrue(checks.check_duties([*calls, call(3, 1, "d0")], []))
        self.assertTrue(checks.check_duties([*calls, call(3, 2, "d1", count=2)], []))

    def test_a_schedule_follows_from_its_seed(self):
        self.assertEqual(make_schedule(5, 20), make_schedule(5, 20))
        self.assertNotEqual(make_schedule(5, 20), make_schedule(6, 20))


class ShortSoak(unittest.TestCase):
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                broken, summary, folder = run_seed(seed, SECONDS)
                self.assertEqual(broken, [], f"{summary}; logs in {folder}")

    def test_a_store_that_goes_back(self):
        """Guards against what a copy of the store undoes, with real processes."""
        broken, summary, folder = run_seed(1, SECONDS, restores=True)
        self.assertEqual(broken, [], f"{summary}; logs in {folder}")


if __name__ == "__main__":
    unittest.main(verbosity=2)

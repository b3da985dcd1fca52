"""Configuration with real processes: racing writers, lost answers, outages and pauses."""

import concurrent.futures
import json
import signal
import unittest

from deployment import Deployment, chat, http_call, stream_text, wait_for


def team(limit):
    return {"kind": "team", "name": "drivers", "spec": {"maxConcurrent": limit}}


def status(deployment, daemon):
    return json.loads(http_call(deployment.operator_port(daemon), "GET", "/v1/status")[2])


def read_team(deployment, daemon):
    """Returns (version, limit, missing daemons) of the team as one daemon sees it."""
    _, _, body = http_call(deployment.operator_port(daemon), "GET",
                           "/v1/resources?kind=team&name=drivers")
    resource = json.loads(body)["resources"][0]
    return (resource["version"], resource["spec"].get("maxConcurrent", 0),
            resource["status"]["missing"])


class Config(unittest.TestCase):
    def setUp(self):
        self.d = Deployment(engines=1, services=1, daemons=3).__enter__()
        self.addCleanup(self.d.close)
        self.d.apply(self.d.serrana())

    def write(self, daemon, limit, base):
        return self.d.client("apply", "-f", "-", daemon=daemon,
                             text=json.dumps({**team(limit), "base": base}))

    def test_two_writers_at_once(self):
        """Guards against two accepted writes on one version, and a lost one."""
        for round_number in range(5):
            version, _, _ = read_team(self.d, 0)
            with concurrent.futures.ThreadPoolExecutor() as pool:
                limits = (2 * round_number + 1, 2 * round_number + 2)
                done = list(pool.map(lambda i: self.write(i, limits[i], version), (0, 1)))
            self.assertEqual(sorted(code for code, _, _ in done), [0, 3], done)
            winner = 0 if done[0][0] == 0 else 1
            wait_for(lambda: len({read_team(self.d, i)[0] for i in range(3)}) == 1,
                     "the same version everywhere")
            current, limit, _ = read_team(self.d, 2)
            self.assertEqual(limit, limits[winner])
            self.assertIn(str(current), done[1 - winner][2])

    def test_lost_append_answer(self):
        """Guards against a second version from a repeated append."""
        version, _, _ = read_team(self.d, 0)
        self.d.log.control(lose_append_answers=1)
        code, out, errors = self.write(0, 7, version)
        self.assertEqual(code, 0, out + errors)
        wait_for(lambda: all(read_team(self.d, i)[1] == 7 for i in range(3)), "the write")
        self.assertEqual(len({read_team(self.d, i)[0] for i in range(3)}), 1)

    def test_restart_during_log_outage(self):
        """Guards against a daemon without a log that serves nothing or an old version."""
        version, _, _ = read_team(self.d, 0)
        self.assertEqual(self.write(0, 9, version)[0], 0)
        wait_for(self.d.is_in_force_everywhere, "the write")
        applied = status(self.d, 0)["appliedConfig"]
        self.d.log.control(outage=True)
        self.d.daemons[2].kill()
        self.d.daemons[2].start()
        self.d.wait_until_ready(2)
        ready = json.loads(http_call(self.d.operator_port(2), "GET", "/readyz")[2])
        self.assertIn("peer", ready["reason"])
        self.assertEqual(status(self.d, 2)["configurationFrom"], "peer")
        text, _, ended = stream_text(
            self.d.call(2, "POST", "/v1/chat/completions", chat("felt tokens=5"))[2])
        self.assertTrue(ended and text)
        self.assertEqual(self.d.call(2, "GET", "/orders/1")[0], 200)
        refused = json.loads(self.d.call(2, "POST", "/pickups", "{}",
                                         {"Idempotency-Key": "outage"})[2])["error"]
        self.assertEqual((refused["kind"], refused["run"]), ("log_unavailable", "not_run"))
        self.assertEqual(read_team(self.d, 2)[1], 9)
        self.d.log.control(outage=False)

        def has_read_the_log():
            now = status(self.d, 2)
            self.assertGreaterEqual(now["appliedConfig"], applied)
            return now["configurationFrom"] == "log"
        wait_for(has_read_the_log, "the log to be read")
        self.assertEqual(read_team(self.d, 2)[1], 9)
        wait_for(lambda: self.d.call(2, "POST", "/pickups", "{}",
                                     {"Idempotency-Key": "outage"})[0] == 200, "actions")
        self.assertEqual(self.d.runs()["outage"], 1)

    def test_paused_daemon_is_named_and_catches_up(self):
        """Guards against a version that is reported as in force where it is not."""
        version, _, _ = read_team(self.d, 0)
        # Only a daemon that was heard has a name; the next test pauses one before.
        wait_for(lambda: len(status(self.d, 0)["daemons"]) == 3, "all daemons to be heard")
        self.d.daemons[2].signal(signal.SIGSTOP)
        self.assertEqual(self.write(0, 11, version)[0], 0)
        wait_for(lambda: any(one["daemon"] == "d2" and not one["reachable"]
                             for one in status(self.d, 0)["daemons"]), "unreachable")
        self.assertEqual(read_team(self.d, 0)[2], ["d2"])
        self.d.daemons[2].signal(signal.SIGCONT)
        wait_for(lambda: read_team(self.d, 0)[2] == [], "the daemon to catch up")
        self.assertEqual(read_team(self.d, 2)[1], 11)


class PausedAtStart(unittest.TestCase):
    def test_daemon_that_was_never_heard_is_missing(self):
        """Guards against "in force everywhere" while a daemon hangs since its start."""
        d = Deployment(engines=1, services=1, daemons=3)
        self.addCleanup(d.close)
        d.daemons[2].signal(signal.SIGSTOP)
        d.wait_until_ready(0)
        d.wait_until_ready(1)
        wait_for(lambda: len(status(d, 0)["daemons"]) == 2, "the other daemon to be heard")
        code, out, errors = d.client("apply", "-f", "-", text=json.dumps(team(11)))
        self.assertEqual(code, 0, out + errors)
        never_heard = f"127.0.0.1:{d.daemon_ports[2][1]}"
        wait_for(lambda: read_team(d, 0)[2] == [never_heard], "the running daemon to apply it")
        d.daemons[2].signal(signal.SIGCONT)
        wait_for(lambda: read_team(d, 0)[2] == [], "the daemon to be heard")
        wait_for(lambda: read_team(d, 2)[1] == 11, "the daemon to catch up")


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""The whole path with real processes: callers, daemons, engines, services and the log."""

import http.client
import json
import signal
import threading
import time
import unittest

from deployment import Deployment, chat, http_call, stream_text, wait_for

LONG_PLAN = "season wash plan tokens=400"


def expected_text(deployment, content):
    """Asks an engine directly; its answer depends on the prompt only."""
    _, _, body = http_call(deployment.engines[0].port, "POST", "/v1/chat/completions",
                           chat(content))
    text, _, ended = stream_text(body)
    assert ended and text
    return text


class Background(threading.Thread):
    """Runs a call in a thread and keeps its result."""

    def __init__(self, function):
        super().__init__(daemon=True)
        self.function = function
        self.result = None
        self.start()

    def run(self):
        self.result = self.function()

    def wait(self):
        self.join(90)
        return self.result


class WholePath(unittest.TestCase):
    """Tests that leave the deployment as they found it."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(engines=3, services=2, daemons=3)
        cls.d = cls.deployment.__enter__()
        cls.d.apply(cls.d.serrana())

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()

    def test_stream_is_the_engines_answer(self):
        """Guards against changed, lost or repeated bytes between engine and caller."""
        expected = expected_text(self.d, LONG_PLAN)
        for daemon in range(3):
            status, _, body = self.d.call(daemon, "POST", "/v1/chat/completions",
                                          chat(LONG_PLAN))
            text, offsets, ended = stream_text(body)
            self.assertEqual((status, ended), (200, True))
            self.assertEqual(text, expected)
            self.assertEqual(offsets, list(range(400)))

    def test_answer_without_streaming(self):
        status, _, body = self.d.call(1, "POST", "/v1/chat/completions",
                                      chat(LONG_PLAN, stream=False))
        answer = json.loads(body)
        self.assertEqual(status, 200)
        self.assertEqual(answer["choices"][0]["message"]["content"],
                         expected_text(self.d, LONG_PLAN))
        self.assertEqual(answer["usage"]["completion_tokens"], 400)

    def test_pickup_runs_once_and_is_answered_the_same_everywhere(self):
        """Guards against a retry through another daemon that runs the action again."""
        answers = {self.d.call(daemon, "POST", "/pickups", '{"cabin":7}',
                               {"Idempotency-Key": "pickup-7"})[::2]
                   for daemon in (0, 1, 2)}
        self.assertEqual(len(answers), 1)
        self.assertEqual(answers.pop()[0], 200)
        self.assertEqual(self.d.runs()["pickup-7"], 1)

    def test_two_retries_at_once(self):
        calls = [Background(lambda daemon=daemon: self.d.call(
            daemon, "POST", "/pickups", "{}", {"Idempotency-Key": "pickup-both"}))
            for daemon in (0, 1, 2, 0, 1, 2)]
        statuses = [call.wait()[0] for call in calls]
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(self.d.runs()["pickup-both"], 1)

    def test_key_with_another_body_is_refused(self):
        headers = {"Idempotency-Key": "pickup-8"}
        self.assertEqual(self.d.call(0, "POST", "/pickups", "a", headers)[0], 200)
        status, _, body = self.d.call(1, "POST", "/pickups", "b", headers)
        self.assertEqual(status, 422)
        self.assertEqual(json.loads(body)["error"]["kind"], "key_reused")
        self.assertEqual(self.d.runs()["pickup-8"], 1)

    def test_outcome_can_be_asked_for(self):
        self.d.call(0, "POST", "/pickups", "a", {"Idempotency-Key": "pickup-9"})

        def done():
            _, _, body = self.d.call(2, "GET", "/v1/outcomes/booking/pickup-9")
            return json.loads(body)["state"] == "done"
        wait_for(done, "the outcome on another daemon")
        _, _, body = self.d.call(1, "GET", "/v1/outcomes/booking/never")
        self.assertEqual(json.loads(body)["state"], "none")

    def test_bad_input_gets_one_typed_error(self):
        """Guards against a crash or an answer without a kind."""
        cases = [("GET", "/nowhere", None, {}, "route_not_found"),
                 ("POST", "/pickups", "{}", {}, "key_missing"),
                 ("POST", "/v1/chat/completions", "{", {}, "bad_request"),
                 ("POST", "/orders", "", {}, "method_not_allowed"),
                 ("POST", "/pickups", "x" * 5_000_000, {"Idempotency-Key": "big"},
                  "body_too_large")]
        for method, target, body, headers, kind in cases:
            with self.subTest(kind=kind):
                _, _, answer = self.d.call(0, method, target, body, headers)
                self.assertEqual(json.loads(answer)["error"]["kind"], kind)
        self.assertTrue(self.d.is_ready(0))

    def test_trace_has_a_span_for_each_hop(self):
        _, headers, _ = self.d.call(0, "POST", "/pickups", "t",
                                    {"Idempotency-Key": "pickup-trace"})
        request = {k.lower(): v for k, v in headers.items()}["x-request-id"]

        def tree():
            code, out, _ = self.run_trace(request)
            return out if code == 0 and "attempt" in out else None
        out = wait_for(tree, "the spans")
        for hop in ("request", "claim", "attempt"):
            self.assertIn(hop, out)

    def run_trace(self, request):
        import subprocess
        from deployment import DAEMON
        done = subprocess.run([str(DAEMON), "trace", str(self.d.folder / "spans0.jsonl"),
                               request], capture_output=True, text=True, check=False)
        return done.returncode, done.stdout, done.stderr


class Failures(unittest.TestCase):
    """Each test breaks its own deployment."""

    def test_engine_killed_in_a_stream(self):
        """Guards against a cut, gap or repeat when an engine dies."""
        with Deployment(engines=3, services=1, daemons=1, decode_us=5000) as d:
            d.apply(d.serrana())
            expected = expected_text(d, LONG_PLAN)
            calls = [Background(lambda: d.call(0, "POST", "/v1/chat/completions",
                                               chat(LONG_PLAN))) for _ in range(9)]
            time.sleep(0.7)
            d.engines[1].kill()
            for call in calls:
                text, offsets, ended = stream_text(call.wait()[2])
                self.assertTrue(ended)
                self.assertEqual(text, expected)
                self.assertEqual(offsets, list(range(400)))

    def test_engine_frozen_in_a_stream(self):
        with Deployment(engines=2, services=1, daemons=1, decode_us=5000) as d:
            d.apply(d.serrana())
            expected = expected_text(d, LONG_PLAN)
            calls = [Background(lambda: d.call(0, "POST", "/v1/chat/completions",
                                               chat(LONG_PLAN))) for _ in range(4)]
            time.sleep(0.7)
            d.engines[0].signal(signal.SIGSTOP)
            for call in calls:
                text, _, ended = stream_text(call.wait()[2])
                self.assertEqual((ended, text == expected), (True, True))

    def test_service_dies_before_its_answer(self):
        """Guards against a second run after an answer was lost."""
        with Deployment(engines=1, services=2, daemons=2) as d:
            d.apply(d.serrana())
            for service in d.services:
                service.control(break_after=1)
            headers = {"Idempotency-Key": "lost"}
            for daemon in (0, 1, 0):
                status, _, body = d.call(daemon, "POST", "/pickups", "{}", headers)
                error = json.loads(body)["error"]
                self.assertEqual((status, error["kind"], error["run"], error["key"]),
                                 (502, "outcome_unknown", "may_have_run", "lost"))
            self.assertEqual(d.runs()["lost"], 1)

    def test_daemon_killed_while_it_holds_a_claim(self):
        """Guards against a second run through another daemon."""
        with Deployment(engines=1, services=1, daemons=2) as d:
            d.apply(d.serrana())
            d.services[0].control(delay_ms=1500)
            headers = {"Idempotency-Key": "held"}
            Background(lambda: d.call(0, "POST", "/pickups", "{}", headers))
            wait_for(lambda: b"claimed" in d.call(1, "GET", "/v1/outcomes/booking/held")[2],
                     "the claim")
            d.daemons[0].kill()
            status, _, body = d.call(1, "POST", "/pickups", "{}", headers)
            self.assertEqual((status, json.loads(body)["error"]["kind"]),
                             (502, "outcome_unknown"))
            time.sleep(2)
            self.assertLessEqual(d.runs().get("held", 0), 1)

    def test_daemon_paused_while_it_holds_a_claim(self):
        """Guards against a takeover of a claim whose holder wakes up again."""
        with Deployment(engines=1, services=1, daemons=2) as d:
            d.apply(d.serrana())
            d.services[0].control(delay_ms=1000)
            headers = {"Idempotency-Key": "paused"}
            first = Background(lambda: d.call(0, "POST", "/pickups", "{}", headers))
            wait_for(
                lambda: b"claimed" in d.call(1, "GET", "/v1/outcomes/booking/paused")[2],
                "the claim")
            d.daemons[0].signal(signal.SIGSTOP)
            kind = json.loads(d.call(1, "POST", "/pickups", "{}", headers)[2])["error"]["kind"]
            self.assertEqual(kind, "outcome_unknown")
            d.daemons[0].signal(signal.SIGCONT)
            self.assertEqual(first.wait()[0], 200)
            wait_for(lambda: d.call(1, "POST", "/pickups", "{}", headers)[0] == 200,
                     "the recorded outcome")
            self.assertEqual(d.runs()["paused"], 1)

    def test_log_outage(self):
        """Guards against actions that run without a claim, and slow refusals."""
        with Deployment(engines=1, services=1, daemons=2) as d:
            d.apply(d.serrana())
            d.log.control(outage=True)
            headers = {"Idempotency-Key": "outage"}

            def refused():
                _, answer, body = d.call(0, "POST", "/pickups", "{}", headers)
                error = json.loads(body)["error"]
                return (error["kind"], error["run"]) == ("log_unavailable", "not_run") and \
                    "Retry-After" in answer
            wait_for(refused, "a refusal")
            text, _, ended = stream_text(
                d.call(0, "POST", "/v1/chat/completions", chat("felt tokens=5"))[2])
            self.assertTrue(ended and text)
            self.assertEqual(d.call(0, "GET", "/orders/1")[0], 200)
            self.assertNotIn("outage", d.runs())
            d.log.control(outage=False)
            wait_for(lambda: d.call(1, "POST", "/pickups", "{}", headers)[0] == 200,
                     "actions after the outage")
            self.assertEqual(d.runs()["outage"], 1)

    def test_append_answers_lost(self):
        with Deployment(engines=1, services=1, daemons=2) as d:
            d.apply(d.serrana())
            d.log.control(lose_append_answers=1)
            headers = {"Idempotency-Key": "lost-append"}
            self.assertEqual(d.call(0, "POST", "/pickups", "{}", headers)[0], 200)
            self.assertEqual(d.call(1, "POST", "/pickups", "{}", headers)[0], 200)
            self.assertEqual(d.runs()["lost-append"], 1)

    def test_planned_stop_cuts_no_request(self):
        """Guards against a stop that cuts streams or loses outcomes."""
        with Deployment(engines=2, services=1, daemons=2, decode_us=5000,
                        flags=["--drain-delay-ms", "500"]) as d:
            d.apply(d.serrana())
            expected = expected_text(d, LONG_PLAN)
            calls = [Background(lambda: d.call(0, "POST", "/v1/chat/completions",
                                               chat(LONG_PLAN))) for _ in range(4)]
            time.sleep(0.3)
            d.daemons[0].signal(signal.SIGTERM)
            wait_for(lambda: not d.is_ready(0), "not ready")
            for call in calls:
                text, _, ended = stream_text(call.wait()[2])
                self.assertEqual((ended, text == expected), (True, True))
            self.assertEqual(d.daemons[0].process.wait(timeout=30), 0)

    def test_planned_stop_records_outcomes(self):
        """Guards against an exit before the outcome of the last action is in the log."""
        with Deployment(engines=1, services=1, daemons=2,
                        flags=["--drain-delay-ms", "100"]) as d:
            d.apply(d.serrana())
            d.services[0].control(delay_ms=600)
            headers = {"Idempotency-Key": "last"}
            first = Background(lambda: d.call(0, "POST", "/pickups", "{}", headers))
            wait_for(lambda: d.runs().get("last"), "the action to run")
            d.log.control(outage=True)
            threading.Timer(1.5, lambda: d.log.control(outage=False)).start()
            d.daemons[0].signal(signal.SIGTERM)
            answer = first.wait()
            self.assertEqual(answer[0], 200)
            self.assertEqual(d.daemons[0].process.wait(timeout=30), 0)
            wait_for(
                lambda: d.call(1, "POST", "/pickups", "{}", headers)[::2] == answer[::2],
                "the recorded outcome", timeout_s=10)
            self.assertEqual(d.runs()["last"], 1)

    def test_reclaimed_host_gets_no_new_work(self):
        with Deployment(engines=2, services=1, daemons=3) as d:
            d.apply(d.serrana())
            d.platform.control(notice={"host": "engine0", "seconds_left": 2})

            def leaving(index):
                _, _, body = http_call(d.operator_port(index), "GET", "/v1/status")
                states = {b["id"]: b["state"] for b in json.loads(body)["backends"]}
                return states["assistant/engine0"] != "live"
            wait_for(lambda: all(leaving(i) for i in range(3)), "the sign on all daemons")
            before = d.engines[0].stats()["requests"]
            for i in range(12):
                d.call(i % 3, "POST", "/v1/chat/completions", chat(f"q{i} tokens=2"))
            self.assertEqual(d.engines[0].stats()["requests"], before)

    def test_half_closed_and_slow_callers(self):
        """Guards against a daemon that hangs on a caller that sends nothing more."""
        import socket
        with Deployment(engines=1, services=1, daemons=1,
                        flags=["--request-read-timeout-ms", "300"]) as d:
            d.apply(d.serrana())
            with socket.create_connection(("127.0.0.1", d.daemons[0].port)) as slow:
                slow.sendall(b"POST /orders HTTP/1.1\r\nContent-Length: 10\r\n\r\nab")
                answer = slow.recv(65536)
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:80])
            with socket.create_connection(("127.0.0.1", d.daemons[0].port)) as closed:
                closed.sendall(b"GET /ord")
                closed.shutdown(socket.SHUT_WR)
                closed.recv(65536)
            self.assertEqual(d.call(0, "GET", "/orders/1")[0], 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)

"""Queued requests with real processes."""

import json
import signal
import unittest

from deployment import Deployment, chat, http_call, stream_text, wait_for

REVIEW = "formulation review tokens=2500"


class Jobs(unittest.TestCase):
    """Jobs survive the loss of their daemon."""

    def job(self, deployment, daemon, job):
        status, _, body = deployment.call(daemon, "GET", f"/v1/jobs/{job}")
        return json.loads(body) if status == 200 else {"state": f"status {status}"}

    def test_review_survives_the_kill_of_its_daemon(self):
        """Guards against an accepted review that is lost with its daemon, or whose answer
        has gaps or repeated tokens after the take-over."""
        with Deployment(engines=3, services=0, daemons=3, decode_us=5000) as d:
            d.apply(d.serrana())
            status, headers, body = d.call(
                0, "POST", "/v1/chat/completions", chat(REVIEW, stream=False, max_tokens=3000),
                {"Prefer": "respond-async"})
            self.assertEqual(status, 202)
            job = json.loads(body)["id"]
            self.assertEqual(headers["Location"], f"/v1/jobs/{job}")
            wait_for(lambda: self.job(d, 1, job).get("tokens", 0) > 0, "a checkpoint")
            self.assertEqual(self.job(d, 1, job)["state"], "running")
            d.daemons[0].kill()
            # The lease time and the largest random delay are 20 s together.
            wait_for(lambda: self.job(d, 1, job)["state"] == "done", "the review", 50)
            view = self.job(d, 2, job)
            _, _, own = http_call(d.engines[0].port, "POST", "/v1/chat/completions",
                                  chat(REVIEW, max_tokens=3000))
            expected, _, ended = stream_text(own)
            self.assertTrue(ended)
            self.assertEqual(view["response"]["choices"][0]["message"]["content"], expected)
            self.assertEqual(view["tokens"], 2500)

    def test_planned_stop_and_cancellation(self):
        """Guards against a stop that waits for a review or loses it, and against a review
        that cannot be cancelled through another daemon."""
        with Deployment(engines=3, services=0, daemons=3, decode_us=5000) as d:
            d.apply(d.serrana())
            _, _, body = d.call(
                0, "POST", "/v1/chat/completions", chat(REVIEW, max_tokens=3000),
                {"Prefer": "respond-async"})
            job = json.loads(body)["id"]
            d.daemons[0].signal(signal.SIGTERM)
            self.assertEqual(d.daemons[0].process.wait(20), 0)
            self.assertGreater(self.job(d, 1, job)["tokens"], 0)
            wait_for(lambda: self.job(d, 1, job)["state"] == "running", "the next holder")
            status, _, body = d.call(2, "DELETE", f"/v1/jobs/{job}")
            self.assertEqual((status, json.loads(body)["state"]), (200, "cancelled"))


if __name__ == "__main__":
    unittest.main()

"""Streams that outlive their caller's connection and their daemon, with real processes."""

import http.client
import signal
import time
import unittest

from deployment import Deployment, chat, http_call, stream_text, wait_for

PLAN_TOKENS = 1500
LONG_PLAN = f"season wash plan tokens={PLAN_TOKENS}"
DECODE_US = 4000  # the plan takes about 6 s


def expected_text(deployment):
    """Asks an engine directly; its answer depends on the prompt only."""
    _, _, body = http_call(deployment.engines[0].port, "POST", "/v1/chat/completions",
                           chat(LONG_PLAN))
    text, _, ended = stream_text(body)
    assert ended and text
    return text


class Reader:
    """One connection of a caller to an event stream."""

    def __init__(self, deployment, daemon, method, target, body=None, headers=None):
        port = deployment.daemons[daemon].port
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self.connection.request(method, target, body, headers or {})
        self.answer = self.connection.getresponse()
        self.data = b""

    def read_tokens(self, count):
        """Reads until this connection has got so many tokens."""
        while self.data.count(b"id: ") < count:
            piece = self.answer.read1(4096)
            assert piece, "the stream ended early"
            self.data += piece

    def read_rest(self):
        """Reads to the end; returns whether the connection was closed in order."""
        try:
            while piece := self.answer.read1(65536):
                self.data += piece
            return True
        except (OSError, http.client.HTTPException):
            return False
        finally:
            self.connection.close()

    def whole_events(self):
        """Returns what was received up to the end of the last whole event."""
        return self.data[:self.data.rfind(b"\n\n") + 2]


def attach(deployment, daemon, request_id, last):
    return Reader(deployment, daemon, "GET", f"/v1/streams/{request_id}",
                  headers={"Last-Event-ID": f"{request_id}:{last}"})


class Streams(unittest.TestCase):
    def setUp(self):
        self.d = self.enterContext(Deployment(engines=3, services=1, daemons=4,
                                              decode_us=DECODE_US))
        self.d.apply(self.d.serrana())
        self.expected = expected_text(self.d)

    def start_plan(self, tokens=100):
        reader = Reader(self.d, 0, "POST", "/v1/chat/completions", chat(LONG_PLAN))
        reader.read_tokens(tokens)
        return reader

    def check_joined(self, first, second):
        """The two parts are the engine's own text, with every offset once."""
        head, head_offsets, head_ended = stream_text(first)
        tail, tail_offsets, tail_ended = stream_text(second)
        self.assertEqual((head_ended, tail_ended), (False, True))
        self.assertEqual(head_offsets + tail_offsets, list(range(PLAN_TOKENS)))
        self.assertEqual((head + tail).encode(), self.expected.encode())

    def check_moves(self, stop):
        """Stops daemon 0 and reads the rest of a long plan through daemon 2."""
        reader = self.start_plan()
        stop()
        self.assertTrue(reader.read_rest())
        request_id = reader.answer.getheader("X-Request-Id")
        first = reader.whole_events()
        last = stream_text(first)[1][-1]
        self.assertLess(last, PLAN_TOKENS - 1, "the plan ended before the stop")
        wait_for(lambda: self.d.daemons[0].process.poll() is not None, "daemon0 to end")
        self.assertEqual(self.d.daemons[0].process.returncode, 0)
        second = attach(self.d, 2, request_id, last)
        self.assertTrue(second.read_rest())
        self.check_joined(first, second.data)

    def test_drain_with_a_time_limit(self):
        """Guards against a planned stop that loses the tokens of long answers."""
        def stop():
            code, out, errors = self.d.client("drain", "--within-ms", "1500")
            self.assertEqual(code, 0, out + errors)
        self.check_moves(stop)

    def test_notice_for_the_daemons_own_host(self):
        """Guards against a reclaimed host that takes its streams with it."""
        self.check_moves(lambda: self.d.platform.control(
            notice={"host": "daemon0", "seconds_left": 2}))

    def test_caller_comes_back_through_another_daemon(self):
        """Guards against an answer that is cancelled when a connection breaks."""
        reader = self.start_plan()
        request_id = reader.answer.getheader("X-Request-Id")
        first = reader.whole_events()
        reader.connection.close()
        time.sleep(0.5)
        second = attach(self.d, 2, request_id, stream_text(first)[1][-1])
        self.assertTrue(second.read_rest())
        self.check_joined(first, second.data)

    def test_sudden_death_of_a_daemon(self):
        """States what holds on SIGKILL: the stream ends without [DONE], its tokens are
        lost, and a new request through another daemon gives the whole answer."""
        reader = self.start_plan()
        request_id = reader.answer.getheader("X-Request-Id")
        self.d.daemons[0].signal(signal.SIGKILL)
        self.assertFalse(reader.read_rest())
        text, offsets, ended = stream_text(reader.whole_events())
        self.assertFalse(ended)
        self.assertEqual(offsets, list(range(len(offsets))))
        self.assertTrue(self.expected.startswith(text))
        status, _, body = self.d.call(2, "GET", f"/v1/streams/{request_id}")
        self.assertEqual(status, 404)
        self.assertIn(b"stream_not_found", body)
        status, _, body = self.d.call(2, "POST", "/v1/chat/completions", chat(LONG_PLAN))
        text, offsets, ended = stream_text(body)
        self.assertEqual((status, ended), (200, True))
        self.assertEqual(text.encode(), self.expected.encode())
        self.assertEqual(offsets, list(range(PLAN_TOKENS)))


if __name__ == "__main__":
    unittest.main()

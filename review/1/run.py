"""A client goes on with its stream at Last-Event-Id; the engine that answers is killed
before its first event. Does the client's answer look complete?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness  # noqa: E402

EVENTS = 12
ROUTES = [{"name": "chat", "host": "models.example", "path_prefix": "/chat/",
           "kind": "streaming", "resumable": True, "timeout_ms": 3000,
           "target_latency_ms": 500, "gap_target_ms": 400, "priority": 0,
           "service": "model-pool", "max_attempts": 2, "sticky": True}]
TENANTS = [{"name": "huka270", "api_keys": ["k1"]}]
HEADERS = {"Gooseberrypath-Model": "m", "Gooseberrypath-Token-Counts": "900,60",
           "Gooseberrypath-Prompt-Prefix": "5c1e07a2:341,91bd3f06:227,e4402b7d:332",
           "Gooseberrypath-Deadline-Ms": "3000", "Authorization": "Token k1"}


def case(has_trouble):
    with harness.Deployment(
            daemons=3, engines=3, routes=ROUTES, service="model-pool", tenants=TENANTS,
            engine_options=lambda _: {"events": EVENTS, "unframed": True,
                                      "crash_on_resume": has_trouble}) as d:
        # The client's connection breaks after three events; it goes on from there.
        d.call(0, "/chat/1", "a1", HEADERS, stop_after=3)
        time.sleep(0.3)
        status, body, is_whole = d.call(
            1, "/chat/1", "a2", {**HEADERS, "Last-Event-Id": "3"})
        got = body.count(b"\n\n")
        is_broken = status == 200 and is_whole and got < EVENTS - 3
        verdict = (f"ORDER {'broken' if is_broken else 'held'}: the resumed stream was "
                   f"answered {status}, complete={is_whole}, with {got} of {EVENTS - 3} "
                   "events that were missing")
        d.write_record(pathlib.Path(__file__).with_name("record.txt"), verdict)
        return (harness.BROKEN if is_broken else harness.HELD), verdict


harness.main(case)

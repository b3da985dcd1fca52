"""What must hold, seen from callers and backends. Each check returns texts of what broke."""

import collections
import json

from soak.callers import DEADLINE_S
from soak.faults import BLINDING, CUTTING, overlapping

MAX_ATTEMPTS = {"pickups": 1, "status": 2, "plans": 2}
DRAIN_S = 3.0        # calls may reach a leaving backend for this time
SETTLE_S = 1.0       # for a fault's effects: a silent connection is noticed after it
GRACE_S = 8.0        # from SIGTERM to the exit
REFUSING_S = 2.5     # a stopping daemon takes calls for this time
CROSSING_S = 0.5     # from the sending of a call to its reading, on a busy machine


def check_runs(attempts, runs):
    """No call runs more often than its route allows, and what was refused did not run."""
    count = collections.Counter(request for _, request in runs)
    broken = []
    for one in attempts:
        if count[one.request] > MAX_ATTEMPTS[one.kind]:
            broken.append(f"RUNS {one.request} {one.kind} ran {count[one.request]} times")
        if one.is_whole and is_refusal(one) and count[one.request] > 0:
            broken.append(f"REFUSAL {one.request} {one.kind}: {one.status}, but it ran")
    return broken


def is_refusal(attempt):
    if attempt.status < 400:
        return False
    return json.loads(attempt.body)["error"]["run"] == "not_run"


def check_answers(attempts):
    """Answers are byte for byte the backend's; streams have each event once, in order."""
    broken = []
    for one in attempts:
        if one.status != 200:
            continue
        if one.kind == "plans":
            count = int(one.path.rsplit("/", 1)[1])
            events = "".join(f"id: {n}\ndata: {one.path} {n}\n\n" for n in range(1, count + 1))
            expected = events.encode()
        else:
            expected = one.path.encode() + b" " + b"x" * 40
        is_right = one.body == expected if one.is_whole else expected.startswith(one.body)
        if not is_right:
            broken.append(f"ANSWER {one.request} {one.path}: {one.body[:120]!r}")
    return broken


def check_leaving(leavings, runs_of, faults, start):
    """A leaving backend gets no calls after the drain time, unless daemons were blind."""
    broken = []
    for name, told in leavings.items():
        for time, request in runs_of.get(name, []):
            late = time - told - DRAIN_S
            if late > 0 and not overlapping(faults, BLINDING, told - SETTLE_S - start,
                                            time - start):
                broken.append(f"LEAVING {name} got {request} {late:.2f} s too late")
    return broken


def check_stops(stops, attempts, runs, faults, start):
    """A planned stop ends in time with code 0 and cuts nothing."""
    broken = []
    ran = {request for _, request in runs}
    for stop in stops:
        if stop["code"] != 0:
            broken.append(f"STOP of d{stop['daemon']} ended with {stop['code']}")
        for one in attempts:
            is_touched = (one.daemon == stop["daemon"] and one.process == stop["process"] and
                          one.sent < stop["began"] + REFUSING_S and
                          one.ended > stop["began"])
            # A call that crosses the close of its connection and was not passed on is no
            # cut: the connection was kept, or the daemon stopped taking calls just then.
            is_late = one.sent > stop["began"] + REFUSING_S - CROSSING_S
            is_unread = one.status == 0 and one.request not in ran
            is_crossing = is_unread and (one.is_reused or is_late)
            is_cut = not one.is_whole and not is_crossing
            is_over = one.ended - one.sent > 0.9 * DEADLINE_S
            if is_touched and is_cut and not is_over and not overlapping(
                    faults, CUTTING, one.sent - SETTLE_S - start, one.ended - start):
                broken.append(f"CUT {one.request} {one.path} by the stop of d{one.daemon}, "
                              f"status {one.status} after {one.ended - one.sent:.2f} s")
    return broken


def check_configuration(probes):
    """A process never goes back to a configuration before one that it has used."""
    broken = []
    newest = {}
    for one in sorted((p for p in probes if p.status == 200), key=lambda p: p.ended):
        process = (one.daemon, one.process)
        version = int(one.key.removeprefix("gen"))
        known, since = newest.get(process, (0, 0))
        if version < known and one.sent > since:
            broken.append(f"CONFIG d{one.daemon} used version {version} after {known}")
        if version > known:
            newest[process] = (version, one.ended)
    return broken


def check_duties(calls, pauses):
    """Tokens never go back, no holder comes back at once, reports never differ."""
    broken = []
    reports = {}
    highest = 0
    for call in calls:
        if call["target"] == "/usage":
            body = json.loads(call["body"])
            counts = reports.setdefault(body["window"], body["counts"])
            if counts != body["counts"]:
                broken.append(f"USAGE window {body['window']} was reported in two ways")
        was_paused = any(begin <= call["time"] <= end + SETTLE_S
                         for host, begin, end in pauses if host == call["holder"])
        if call["token"] < highest and not was_paused:
            broken.append(f"HOLDER {call['holder']} acts with {call['token']} "
                          f"after {highest}")
        highest = max(highest, call["token"])
    return broken

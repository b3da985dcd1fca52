"""Requests with a part that crashes engines share their caller and their first part with
sound requests, which come in bursts. Do the sound ones still begin at their first attempt
while the others come?"""

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness  # noqa: E402

CONTACT_S = 3.0  # bounds.contact_ms of the sheet
COUNTED_CRASHES = 5
LEAST_REQUESTS = 20
POISON = "deadbeef"
FIRST_PART = "5c1e07a2"
BURST = 8               # sound requests at once
BURST_EVERY_S = float(os.environ.get("BURST_EVERY_S", "4"))
BASE_BURSTS = 5         # before the first request with the other part
WAVE = 8                # requests with that part in the first moment
WAVE_GAP_S = 0.03
TAIL_S = 19             # one a second comes after them, for so long
ROUTES = [{"name": "chat", "host": "models.example", "path_prefix": "/chat/",
           "kind": "streaming", "timeout_ms": 10000,
           "target_latency_ms": 800, "gap_target_ms": 400, "priority": 1,
           "service": "model-pool", "max_attempts": 1, "sticky": True}]
TENANTS = [{"name": "huka270", "api_keys": ["k1"]},
           {"name": "puhu251", "api_keys": ["k2"]}]


def headers(parts, own, key="k1"):
    prefix = ",".join(f"{part}:400" for part in parts)
    return {"Gooseberrypath-Model": "m",
            "Gooseberrypath-Token-Counts": f"{400 * len(parts) + 600},60",
            "Gooseberrypath-Prompt-Prefix": f"{prefix},{own}:600",
            "Gooseberrypath-Deadline-Ms": "10000", "Authorization": f"Token {key}"}


def case(has_trouble):
    options = {"events": 6, "gap_ms": 30, "first_ms": 350}
    if has_trouble:
        options["poison"] = POISON
    chance = random.Random(11)
    new_id = lambda: f"{chance.getrandbits(32):08x}"  # noqa: E731
    with harness.Deployment(daemons=3, engines=10, routes=ROUTES, service="model-pool",
                            tenants=TENANTS, engine_options=lambda _: options) as d:
        threads = []
        start = time.monotonic() + 0.5

        def at(offset, daemon, request, fields):
            def run():
                time.sleep(max(0, start + offset - time.monotonic()))
                d.call(daemon, "/chat/1", request, fields)
            threads.append(threading.Thread(target=run, daemon=True))

        wave_at = BASE_BURSTS * BURST_EVERY_S - 0.6
        end = wave_at + TAIL_S
        for number in range(int(end / BURST_EVERY_S) + 1):
            for one in range(BURST):
                at(number * BURST_EVERY_S + 0.02 * one, one % 3, f"sound-{number}-{one}",
                   headers([FIRST_PART], new_id()))
        for one in range(WAVE):
            at(wave_at + WAVE_GAP_S * one, one % 3, f"part-{one}",
               headers([FIRST_PART, POISON], new_id()))
        for one in range(TAIL_S):
            at(wave_at + 1 + one, one % 3, f"part-{WAVE + one}",
               headers([FIRST_PART, POISON], new_id()))
        for number in range(int(end * 4)):  # other callers, with another first part
            at(number / 4, number % 3, f"other-{number}",
               headers(["77aa01c3"], new_id(), "k2"))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        crashes = sorted(e["t"] for e in d.events if e["event"] == "crashes")
        sent = {e["request"]: e["t"] for e in d.events if e["event"] == "sent"}
        begun = {e["request"] for e in d.events if e["event"] == "runs"}
        last_part = max(t for r, t in sent.items() if r.startswith("part-"))
        first_part = min(t for r, t in sent.items() if r.startswith("part-"))
        counted = crashes[:COUNTED_CRASHES]
        begin = (counted[-1] if counted else first_part) + 2 * CONTACT_S
        sound = {r: t for r, t in sent.items() if r.startswith("sound-")}
        inside = [r for r, t in sound.items() if begin <= t <= last_part]
        outside = [r for r, t in sound.items() if t < first_part - 1]
        share_in = sum(r in begun for r in inside) / max(len(inside), 1)
        share_out = sum(r in begun for r in outside) / max(len(outside), 1)
        is_broken = (len(crashes) > 0 and len(inside) >= LEAST_REQUESTS and
                     len(outside) >= LEAST_REQUESTS and share_in < share_out / 2)
        verdict = (f"LOST {'broken' if is_broken else 'held'}: {len(crashes)} crashes; of "
                   f"{len(inside)} sound requests later than {2 * CONTACT_S:g} s after the "
                   f"last counted crash {share_in:.0%} began, of {len(outside)} before "
                   f"{share_out:.0%}")
        d.write_record(pathlib.Path(__file__).with_name("record.txt"), verdict)
        return (harness.BROKEN if is_broken else harness.HELD), verdict


harness.main(case)

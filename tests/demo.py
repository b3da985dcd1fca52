"""Serrana's day on loopback: questions, a season wash plan, pickups, and two failures."""

import json
import signal
import sys
import threading

from deployment import Deployment, chat, http_call, stream_text, wait_for

PLAN = "season wash plan for twelve huts tokens=600"
QUESTIONS = [f"how do I dry a wool blanket {i} tokens=12" for i in range(6)]


class Outcomes:
    """The table that the demo prints."""

    def __init__(self):
        self.rows = []

    def add(self, what, expected, got, seen):
        self.rows.append((what, expected, got, bool(seen)))

    def print(self):
        widths = [max(len(row[i]) for row in self.rows) for i in range(3)]
        for what, expected, got, right in self.rows:
            print(f"{what:<{widths[0]}}  {expected:<{widths[1]}}  {got:<{widths[2]}}  "
                  f"{'right' if right else 'WRONG'}")

    def is_right(self):
        return all(row[3] for row in self.rows)


def direct_text(deployment, content):
    """Returns the engine's own answer, asked without a daemon."""
    body = http_call(deployment.engines[-1].port, "POST", "/v1/chat/completions",
                     chat(content))[2]
    return stream_text(body)[0]


def is_gone(deployment, host):
    """Tells whether the platform's list shows the host as gone."""
    body = http_call(deployment.platform.port, "GET", "/hosts")[2]
    return {"host": host, "state": "gone"} in json.loads(body)["hosts"]


def ask(deployment, daemon, content):
    status, _, body = deployment.call(daemon, "POST", "/v1/chat/completions", chat(content))
    return stream_text(body)[::2] if status == 200 else ("", False)


def run_failures(d, outcomes):
    """Reclaims an engine and kills a daemon while plans and pickups run."""
    expected = direct_text(d, PLAN)
    plans = {}
    threads = [threading.Thread(target=lambda i=i: plans.update({i: ask(d, i, PLAN)}))
               for i in range(6)]
    for thread in threads:
        thread.start()
    d.platform.control(notice={"host": "engine0", "seconds_left": 1})
    d.daemons[7].signal(signal.SIGKILL)
    key = {"Idempotency-Key": "pickup-zacatlan"}
    answers = [d.call(i, "POST", "/pickups", '{"cabin":"Zacatlán"}'.encode(), key)
               for i in (0, 3, 5)]
    wait_for(lambda: is_gone(d, "engine0"), "the reclaim")
    d.engines[0].kill()
    for thread in threads:
        thread.join()
    whole = sum(plan == (expected, True) for plan in plans.values())
    outcomes.add("season wash plans over a reclaim", "6 whole", f"{whole} whole", whole == 6)
    same = len({answer[2] for answer in answers}) == 1 and answers[0][0] == 200
    outcomes.add("pickup, then retried through two hosts", "one answer",
                 "one answer" if same else "different answers", same)
    runs = d.runs().get("pickup-zacatlan", 0)
    outcomes.add("runs of that pickup at the service", "1", str(runs), runs == 1)


def run_refusals(d, outcomes):
    """Shows a refusal without a key and one during a log outage."""
    body = d.call(1, "POST", "/pickups", "{}")[2]
    kind = json.loads(body)["error"]["kind"]
    outcomes.add("pickup without a key", "key_missing", kind, kind == "key_missing")
    d.log.control(outage=True)

    def refused():
        error = json.loads(d.call(2, "POST", "/pickups", "{}",
                                  {"Idempotency-Key": "outage"})[2])["error"]
        return error["kind"] == "log_unavailable" and error["run"]
    run = wait_for(refused, "a refusal")
    outcomes.add("pickup during a log outage", "not_run", run, run == "not_run")
    text, ended = ask(d, 2, QUESTIONS[0])
    outcomes.add("question during a log outage", "whole", "whole" if ended else "cut",
                 ended and text)
    d.log.control(outage=False)
    wait_for(lambda: d.call(2, "POST", "/pickups", "{}",
                            {"Idempotency-Key": "outage"})[0] == 200, "the log")
    runs = d.runs().get("outage", 0)
    outcomes.add("runs of that pickup after the outage", "1", str(runs), runs == 1)


def run_stop(d, outcomes):
    """Stops a daemon as planned while it streams."""
    expected = direct_text(d, PLAN)
    result = []
    thread = threading.Thread(target=lambda: result.append(ask(d, 4, PLAN)))
    thread.start()
    d.daemons[4].signal(signal.SIGTERM)
    thread.join()
    whole = result == [(expected, True)]
    outcomes.add("plan during a planned stop", "whole", "whole" if whole else "cut", whole)
    code = d.daemons[4].process.wait(timeout=60)
    outcomes.add("exit code of the stopped daemon", "0", str(code), code == 0)


def main():
    outcomes = Outcomes()
    with Deployment(engines=9, services=3, daemons=8, decode_us=3000,
                    flags=["--drain-delay-ms", "500"]) as d:
        d.platform.control(hosts=[{"host": e.name, "state": "live"} for e in d.engines])
        d.apply(d.serrana())
        outcomes.add("resources in force", "8 daemons", "8 daemons", True)
        answered = 0
        for i, question in enumerate(QUESTIONS):
            answered += ask(d, i % 8, question) == (direct_text(d, question), True)
        outcomes.add("quick questions", "6 whole", f"{answered} whole", answered == 6)
        run_failures(d, outcomes)
        run_refusals(d, outcomes)
        run_stop(d, outcomes)
    outcomes.print()
    return 0 if outcomes.is_right() else 1


if __name__ == "__main__":
    sys.exit(main())

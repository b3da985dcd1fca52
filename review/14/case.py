"""A new configuration moves a route with slow work to a service, and that service's quick
route, which was added after the first version, is shut out for good.

Reports take an engine 2.5 s and have an objective of 4 s; status lines take 30 ms and have
one of 300 ms. Version 1 has the reports at a service of their own. Version 4 adds the status
lines at another service. Version 9 moves the reports there. Its three engines of six slots are
mostly idle all the time: a report begins every second, and four status lines."""

import collections
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from deployment import TROUBLE, Case
from fleet import SERVICE, Engine, configuration, request_head, route
from http_parts import Closed, Reader
from platform_standin import Store

ENGINES = 3
REPORT_SERVICE = "wuno96b"
CONTACT_S = 3.0
WORK_S = {"report": 2.5, "status": 0.03}
EVERY_S = {"report": 1.0, "status": 0.25}
DEADLINE_MS = 7000
BEFORE_S = 10.0  # before the move
SETTLED_S = 10.0
JUDGED_S = 30.0


def answer(engine, connection, fields, target, _):
    engine.began(fields)
    time.sleep(WORK_S[target.split("/")[1]])
    engine.reply(connection, fields, 200, b"x" * 800, Gooseberrypath_Response_Stamp="s")


class Callers:
    """Call a route at even times, each call on a connection of its own."""

    def __init__(self, case, daemon, name):
        self.case = case
        self.daemon = daemon
        self.name = name
        self.rows = []  # (time sent, status)
        self.stop = threading.Event()
        self.threads = []
        self.clock = threading.Thread(target=self._run)
        self.clock.start()

    def _run(self):
        number = 0
        while not self.stop.wait(EVERY_S[self.name]):
            number += 1
            thread = threading.Thread(target=self._call, args=(number,))
            thread.start()
            self.threads.append(thread)

    def _call(self, number):
        sent = time.monotonic()
        request = f"{self.name[0]}{number:015x}"
        body = b""
        try:
            address = (self.daemon.host, self.daemon.front)
            with socket.create_connection(address, timeout=8) as connection:
                connection.sendall(request_head("GET", f"/{self.name}/{number}", request,
                                                DEADLINE_MS))
                reader = Reader(connection)
                first, fields = reader.head()
                body = reader.body(fields)
            status = first.split(" ")[1]
        except (Closed, OSError) as problem:
            status = repr(problem)
        self.rows.append((sent, status))
        text = "" if status == "200" else body.decode(errors="replace")[:160]
        self.case.record(f"{self.name} {request} answered", f"{status} {text}")

    def end(self):
        self.stop.set()
        self.clock.join()
        for thread in self.threads:
            thread.join()

    def count(self, since):
        counted = [status for sent, status in self.rows if sent >= since]
        return len(counted), counted.count("200")


def routes(report_service):
    return [route("report", "idempotent", DEADLINE_MS, max_attempts=2,
                  target_latency_ms=4000, service=report_service),
            route("status", "idempotent", DEADLINE_MS, max_attempts=2)]


with Case(__file__) as case:
    store = case.add(Store())
    services = [{"name": REPORT_SERVICE, "health_path": "/health", "max_conns": 110}]
    for service, prefix in ((SERVICE, "i"), (REPORT_SERVICE, "j")):
        for n in range(ENGINES):
            engine = case.add(Engine(case, f"{prefix}-{n:08x}", answer))
            store.put_backend(engine.name, engine.address, service=service)
    store.put_config(configuration(routes(REPORT_SERVICE)[:1], 1, services=services))
    daemon = case.start_daemon("edge-a-1", store)
    case.wait_until(daemon.is_ready, "readiness")
    reports = Callers(case, daemon, "report")
    time.sleep(CONTACT_S)
    store.put_config(configuration(routes(REPORT_SERVICE), 4, services=services))
    case.record("the operator adds a route", "status")
    time.sleep(CONTACT_S)
    status = Callers(case, daemon, "status")
    time.sleep(BEFORE_S)
    if TROUBLE:
        store.put_config(configuration(routes(SERVICE), 9, services=services))
        case.record("the operator moves the route report to", SERVICE)
    time.sleep(SETTLED_S)
    judged_from = time.monotonic()
    time.sleep(JUDGED_S)
    for callers in (status, reports):
        callers.end()
    (sent, served), (first_sent, first_served) = (
        callers.count(judged_from) for callers in (status, reports))
    if sent < 20 or first_sent < 20 or first_served < first_sent / 2:
        case.not_run(f"too few requests or answers: {served} of {sent}, "
                     f"{first_served} of {first_sent}")
    case.end(served / sent < 0.25 * first_served / first_sent,
             f"CONFIG: served {served} of {sent} on the route that was added later, "
             f"{first_served} of {first_sent} on that of the first version")

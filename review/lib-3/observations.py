"""Shows what the report lists beside its cases; run it as `python3 -B review/lib-3/observations.py`.

- A service whose routes all have an objective of 46 ms or less gets no request at all.
- A conditional request whose engine answers 304 with a Content-Length gets no answer in its time.
"""

import collections
import socket
import time

from deployment import Case
from fleet import SERVICE, Engine, configuration, request_head, route
from http_parts import Reader, message
from platform_standin import Store

QUICK_SERVICE = "wuno96b"
WORK_S = 0.005
CALLS = 40


def answer(engine, connection, fields, target, _):
    time.sleep(WORK_S)
    if "if-none-match" in fields:
        connection.sendall(message("HTTP/1.1 304 Not Modified", {
            "Gooseberrypath-Request-Id": fields["gooseberrypath-request-id"],
            "Gooseberrypath-Instance-Id": engine.name, "Gooseberrypath-Response-Stamp": "s",
            "ETag": '"a"', "Content-Length": 800}))
    else:
        engine.reply(connection, fields, 200, b"x" * 800, Gooseberrypath_Response_Stamp="s")


def call(daemon, target, request, **fields):
    """Returns the status, and the body of a failure."""
    with socket.create_connection((daemon.host, daemon.front), timeout=5) as connection:
        connection.sendall(request_head("GET", target, request, 2000, **fields))
        reader = Reader(connection)
        first, answered = reader.head()
        status = first.split(" ")[1]
        return status, reader.body(answered).decode() if status[0] == "5" else ""


def call_often(case, daemon, name):
    results = [call(daemon, f"/{name}/{n}", f"{n:016x}") for n in range(CALLS)]
    counted = collections.Counter(status for status, _ in results)
    case.record(f"{CALLS} requests on {name}", f"{dict(counted)} {results[-1][1][:140]}")


with Case(__file__) as case:
    store = case.add(Store())
    for prefix, service in (("i", SERVICE), ("j", QUICK_SERVICE)):
        for n in range(3):
            engine = case.add(Engine(case, f"{prefix}-{n:08x}", answer))
            store.put_backend(engine.name, engine.address, service=service)
    services = [{"name": QUICK_SERVICE, "health_path": "/health", "max_conns": 110}]
    routes = [route("first", "idempotent", 2000)]
    store.put_config(configuration(routes, 1, services=services))
    daemon = case.start_daemon("edge-a-1", store)
    case.wait_until(daemon.is_ready, "readiness")
    time.sleep(3)
    for version, objective in ((4, 40), (9, 50)):
        routes.append(route(f"within{objective}", "idempotent", 2000, service=QUICK_SERVICE,
                            target_latency_ms=objective))
        store.put_config(configuration(routes, version, services=services))
        case.record("the operator adds a route to a service without others, objective in ms",
                    str(objective))
        time.sleep(4)
        call_often(case, daemon, "first")
        call_often(case, daemon, f"within{objective}")
    call_often(case, daemon, "within40")
    status, body = call(daemon, "/first/1", "f" * 16, If_None_Match='"a"')
    case.record("a conditional request whose engine answers 304 at once", f"{status} {body[:120]}")
    case.end(broken=False, why="nothing is judged here")

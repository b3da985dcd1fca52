"""The store was down, and the entry of one engine has not come back. Requests that may not
run twice go on while the daemon takes that engine for gone. Does one of them run twice?"""

import os
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness  # noqa: E402

ROUNDS = 8
DOWN_S = 3.8     # more than three intervals of 1.2 s: the engine's entry lapses
CUT_S = 1.0      # so long before the store's return the engine is cut off from it
RETURN_S = 2.3   # the daemon waits so long for the entry after the store's return
GONE_S = 0.4     # after that, until the engine's entry is back
CLIENTS = 12     # each keeps its connection; some 20 requests a second in all
WAVE_GAP_S = 0.0008  # between two requests of the wave that comes at that moment
# Engines differ in speed; the near one is chosen as long as it is listed.
NEAR = {"plain_ms": 4, "zone": "zone-a"}
FAR = {"plain_ms": 30, "zone": "zone-b"}
ROUTES = [{"name": "pickups", "host": "models.example", "path_prefix": "/pickups/",
           "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
           "priority": 0, "service": "shop-api", "max_attempts": 1}]
TENANTS = [{"name": "huka270", "api_keys": ["k1"]}]


class Client:
    """A client that keeps its connection."""

    def __init__(self, deployment, daemon):
        self.deployment = deployment
        self.daemon = daemon
        address = (deployment.ips[daemon], deployment.front)
        self.sock = socket.create_connection(address, 2)
        self.sock.settimeout(4)
        self.file = self.sock.makefile("rb")

    def send(self, request):
        self.deployment.note({"t": time.time(), "event": "sent", "daemon": self.daemon,
                              "request": request})
        self.sock.sendall(
            f"POST /pickups/1 HTTP/1.1\r\nHost: models.example\r\n"
            f"Gooseberrypath-Request-Id: {request}\r\nGooseberrypath-Deadline-Ms: 1500\r\n"
            "Authorization: Token k1\r\nContent-Length: 2\r\n\r\n{}".encode())

    def receive(self, request):
        status, size = 0, 0
        try:
            status = int(self.file.readline().split()[1])
            while (line := self.file.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode("latin-1").partition(":")
                size = int(value) if name.lower() == "content-length" else size
            self.file.read(size)
        except (OSError, IndexError, ValueError):
            pass
        self.deployment.note({"t": time.time(), "event": "answered", "request": request,
                              "daemon": self.daemon, "status": status})
        return status

    def call(self, request):
        self.send(request)
        return self.receive(request)


def regained_at(deployment, since):
    """Returns when the daemon logged that it reaches the store again."""
    end = time.time() + 5
    while time.time() < end:
        for event in deployment.log_of(0):
            if event["event"] == "store_regained" and event["time_ms"] / 1000 > since:
                return event["time_ms"] / 1000
        time.sleep(0.01)
    raise RuntimeError("the daemon did not reach the store again")


def send_wave(clients, name, start, gap_s):
    """Each client sends one request, one after the other, from the start on."""
    for index, client in enumerate(clients):
        moment = start + index * gap_s
        time.sleep(max(0, moment - time.time() - 0.002))
        while time.time() < moment:
            pass
        client.send(f"{name}-{index}")
    return [client.receive(f"{name}-{index}") for index, client in enumerate(clients)]


def case(has_trouble):
    with harness.Deployment(
            daemons=1, engines=9, routes=ROUTES, service="shop-api", tenants=TENANTS,
            engine_options=lambda number: FAR if number else NEAR) as d:
        near = d.engines[0]
        for number in range(ROUNDS):
            clients = [Client(d, 0) for _ in range(CLIENTS)]
            d.store.is_down = has_trouble
            time.sleep(DOWN_S - CUT_S)
            near.reaches_store = not has_trouble  # the daemon and the engine reach each other
            time.sleep(CUT_S)
            if has_trouble:
                near.lapse()
            returned = time.time()
            d.store.is_down = False
            due = RETURN_S + (regained_at(d, returned) if has_trouble else returned)
            for early_s in (1.2, 0.6, 0.3):  # earlier requests
                send_wave(clients, f"early-{number}-{early_s}", due - early_s, 0.0008)
            half = CLIENTS * WAVE_GAP_S / 2
            send_wave(clients, f"wave-{number}", due - half, WAVE_GAP_S)
            for client in clients:
                client.sock.close()
            time.sleep(GONE_S)
            near.reaches_store = True
            time.sleep(1.0)
        time.sleep(0.3)
        runs = {}
        for event in d.events:
            if event["event"] == "runs":
                runs.setdefault(event["request"], []).append(event["engine"])
        statuses = {e["request"]: e["status"] for e in d.events if e["event"] == "answered"}
        twice = sorted(r for r, engines in runs.items() if len(engines) > 1)
        refused = sorted(r for r in runs if statuses.get(r) in (429, 503, 408, 421))
        is_broken = bool(twice or refused)
        verdict = (f"TWICE {'broken' if is_broken else 'held'}: of {len(runs)} requests "
                   f"{len(twice)} ran more than once {twice}, {len(refused)} ran though they "
                   f"were refused {refused}")
        d.write_record(pathlib.Path(__file__).with_name("record.txt"), verdict)
        return (harness.BROKEN if is_broken else harness.HELD), verdict


# With TROUBLE=0 the same happens without the disruption.
harness.main(case, has_trouble=os.environ.get("TROUBLE", "1") != "0")

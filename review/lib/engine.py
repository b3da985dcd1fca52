#!/usr/bin/env python3
"""A stand-in of a model engine, one process. It speaks PROTOCOL.md: events of a stream
with increasing ids, `Not-Executed` refusals, 421 for another instance.

    engine.py '{"id": "i-1", "ip": "127.0.0.1", "port": 8000, "born": 1, ...}'

It writes one JSON object a line to standard output for each request that reaches it
(`reached`), that it runs (`runs`), and before it ends itself (`crashes`). Options:

    plain_ms         answers are no streams and take so long
    events, gap_ms   length of a stream and the pause between its events
    first_ms         time to the first event
    unframed         streams have neither a length nor chunks and end with their connection
    poison           a part of prompts; the engine ends as it begins to answer a call with it
    crash_midway     requests in whose fourth event the engine ends (unframed streams)
    spoiled          status line of an unsigned answer to a resumed stream
    crash_on_resume  the engine ends after the head of the answer to a resumed stream
"""

import json
import os
import signal
import socket
import sys
import threading
import time

OPTIONS = json.loads(sys.argv[1])
OUTPUT = threading.Lock()


def report(event, **fields):
    with OUTPUT:
        print(json.dumps({"t": time.time(), "engine": OPTIONS["id"], "event": event,
                          **fields}), flush=True)


def crash(request):
    """Ends the process as a fault would: nothing is flushed or said."""
    report("crashes", request=request)
    os.kill(os.getpid(), signal.SIGKILL)


class Connection:

    def __init__(self, sock):
        self.sock = sock
        self.file = sock.makefile("rb")

    def serve(self):
        try:
            while self.serve_one():
                pass
        except OSError:
            pass
        finally:
            self.sock.close()

    def serve_one(self):
        line = self.file.readline()
        if not line:
            return False
        headers = {}
        while True:
            field = self.file.readline()
            if field in (b"\r\n", b""):
                break
            name, _, value = field.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        self.file.read(int(headers.get("content-length", 0)))
        request = headers.get("gooseberrypath-request-id", "")
        parts = [part.split(":")[0].strip() for part in
                 headers.get("gooseberrypath-prompt-prefix", "").split(",")]
        last_id = int(headers.get("last-event-id") or 0)
        poison = OPTIONS.get("poison")
        report("reached", request=request, last_event_id=last_id,
               poisoned=poison in parts[:-1])
        echo = f"Gooseberrypath-Request-Id: {request}\r\n"
        if headers.get("gooseberrypath-expect-instance", OPTIONS["id"]) != OPTIONS["id"]:
            self.send(f"HTTP/1.1 421 Misdirected Request\r\n{echo}Content-Length: 0\r\n\r\n")
            return True
        if "plain_ms" in OPTIONS:
            report("runs", request=request)
            time.sleep(OPTIONS["plain_ms"] / 1000)
            self.send(f"HTTP/1.1 200 OK\r\n{echo}Gooseberrypath-Response-Stamp: "
                      f"{OPTIONS['id']}.{request}\r\nContent-Length: 2\r\n\r\nok")
            return True
        time.sleep(OPTIONS.get("first_ms", 20) / 1000)
        if last_id > 0 and "spoiled" in OPTIONS:
            report("spoils", request=request)
            self.send(f"HTTP/1.1 {OPTIONS['spoiled']}\r\n{echo}Content-Length: 0\r\n\r\n")
            return True
        report("runs", request=request, last_event_id=last_id)
        return self.stream(request, echo, last_id, poison in parts[:-1])

    def stream(self, request, echo, last_id, is_poisoned):
        unframed = OPTIONS.get("unframed", False)
        framing = "Connection: close" if unframed else "Transfer-Encoding: chunked"
        self.send(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echo}"
                  f"Gooseberrypath-Response-Stamp: {OPTIONS['id']}.{request}\r\n"
                  "Gooseberrypath-Weight-Versions: 1\r\n"
                  f"{framing}\r\n\r\n")
        if is_poisoned or (OPTIONS.get("crash_on_resume") and last_id > 0):
            time.sleep(0.02)
            crash(request)
        for number in range(last_id + 1, OPTIONS.get("events", 5) + 1):
            event = f"id: {number}\ndata: {request} {number}\n\n"
            self.send(event if unframed else f"{len(event):x}\r\n{event}\r\n")
            time.sleep(OPTIONS.get("gap_ms", 20) / 1000)
            if request in OPTIONS.get("crash_midway", []) and number == 3:
                self.send(f"id: 4\ndata: {request}"[:10])
                time.sleep(0.02)
                crash(request)
        if unframed:
            return False
        self.send("0\r\n\r\n")
        return True

    def send(self, text):
        self.sock.sendall(text.encode())


def end_with(parent):
    while os.getppid() == parent:
        time.sleep(0.5)
    os._exit(1)


def main():
    threading.Thread(target=end_with, args=(os.getppid(),), daemon=True).start()
    listener = socket.create_server((OPTIONS["ip"], OPTIONS["port"]), backlog=128)
    report("started", born=OPTIONS["born"])
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=Connection(sock).serve, daemon=True).start()


main()

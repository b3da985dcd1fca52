"""Many event streams over raw sockets in one thread, for load on a daemon."""

import json
import selectors
import socket
import threading

MARK = b'"content"'
# The last chunk of a chunked body; the line end before it keeps it apart from a header
# that ends in 0.
END = b"\r\n0\r\n\r\n"


def chat_request(content, max_tokens):
    body = json.dumps({"model": "assistant", "stream": True, "max_tokens": max_tokens,
                       "messages": [{"role": "user", "content": content}]}).encode()
    return (b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)) + body


class Streams(threading.Thread):
    """Keeps a number of streams running and counts their events; a mark that is split over
    two reads is not counted, which is rare with reads of many kB."""

    def __init__(self, port, count, tokens):
        super().__init__(daemon=True)
        self.port, self.count, self.tokens = port, count, tokens
        self.stopping = threading.Event()
        self.failures = 0
        self.events = 0
        self.start()

    def run(self):
        selector = selectors.DefaultSelector()
        for i in range(self.count):
            one = socket.create_connection(("127.0.0.1", self.port))
            one.sendall(chat_request(f"load {i} tokens={self.tokens}", self.tokens))
            selector.register(one, selectors.EVENT_READ)
        while not self.stopping.is_set() and selector.get_map():
            for key, _ in selector.select(0.1):
                try:
                    data = key.fileobj.recv(262144)
                except ConnectionError:
                    data = b""
                self.events += data.count(MARK)
                if not data:
                    self.failures += 1
                    selector.unregister(key.fileobj)
                    key.fileobj.close()
                elif data.endswith(END):
                    key.fileobj.sendall(
                        chat_request(f"load again tokens={self.tokens}", self.tokens))
        for key in list(selector.get_map().values()):
            key.fileobj.close()

    def stop(self):
        self.stopping.set()
        self.join(10)

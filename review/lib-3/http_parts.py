"""Small pieces of HTTP/1.1 for stand-ins and clients that work on plain sockets."""

import socket
import threading


class Closed(Exception):
    """The peer closed or reset the connection inside a message."""


class Reader:
    """Reads messages from a socket. `before_read` is called before each read of it."""

    def __init__(self, connection, chunk=65536, before_read=None):
        self.connection = connection
        self.chunk = chunk
        self.before_read = before_read
        self.buffer = b""

    def _more(self):
        if self.before_read:
            self.before_read()
        data = self.connection.recv(self.chunk)
        if not data:
            raise Closed("the connection was closed")
        self.buffer += data

    def head(self):
        """Returns the first line and the fields of a message, names in lower case."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        return first, {name.strip().lower(): value.strip() for name, value in pairs}

    def exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def body(self, fields):
        if fields.get("transfer-encoding") == "chunked":
            parts = []
            while True:
                while b"\r\n" not in self.buffer:
                    self._more()
                line, self.buffer = self.buffer.split(b"\r\n", 1)
                size = int(line, 16)
                part = self.exactly(size + 2)[:-2]
                if size == 0:
                    return b"".join(parts)
                parts.append(part)
        return self.exactly(int(fields.get("content-length", 0)))


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Calls handle(connection) in a thread for each connection on a free port."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle = handle
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        self.connections.add(connection)
        try:
            self.handle(connection)
        except (Closed, OSError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def close(self):
        self.listener.close()

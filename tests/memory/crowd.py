"""A crowd of clients that send prepared requests on their own connections and stay open.

    crowd = Crowd(port)
    crowd.send([Request(head, pieces) for _ in range(100)])
    crowd.close()
"""

import errno
import itertools
import selectors
import socket
import time

PIECES_A_TURN = 16  # that one client sends before the next client's turn
QUIET_S = 3         # sending ends when no client could send a byte for this time


class Client:
    """One connection, and the pieces of its request that are not sent yet."""

    def __init__(self, port, pieces):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.socket.setblocking(False)
        self.pieces = iter(pieces)
        self.rest = memoryview(b"")
        self.is_done = False

    def send(self):
        """Sends some pieces, each by its own call. Returns the number of bytes."""
        total = 0
        for _ in range(PIECES_A_TURN):
            if not self.rest:
                piece = next(self.pieces, None)
                if piece is None:
                    self.is_done = True
                    return total
                self.rest = memoryview(piece)
            try:
                sent = self.socket.send(self.rest)
            except BlockingIOError:
                return total
            except OSError as error:
                if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                    raise
                self.is_done = True  # the daemon has closed the connection
                return total
            total += sent
            self.rest = self.rest[sent:]
        return total

    def end_sending(self):
        """Closes the sending side, if the daemon has not closed the connection."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno not in (errno.ENOTCONN, errno.EPIPE, errno.ECONNRESET):
                raise

    def discard_answer(self):
        """Reads what has arrived, so that answers stay in no buffer."""
        try:
            while self.socket.recv(65536):
                pass
        except OSError:
            pass


class Crowd:

    def __init__(self, port):
        self.port = port
        self.clients = []

    def send(self, requests):
        """Sends all requests side by side, until each one is sent, its connection was
        closed by the daemon, or nobody can send any more."""
        for client in self.send_only(requests):
            client.discard_answer()

    def send_only(self, requests):
        """Like send(), but nobody reads what the daemon answers. Returns the clients."""
        clients = [Client(self.port, pieces) for pieces in requests]
        self.clients += clients
        with selectors.DefaultSelector() as selector:
            for client in clients:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
            last_sent = time.monotonic()
            while selector.get_map() and time.monotonic() - last_sent < QUIET_S:
                for key, _ in selector.select(timeout=0.1):
                    if key.data.send():
                        last_sent = time.monotonic()
                    if key.data.is_done:
                        selector.unregister(key.fileobj)
        return clients

    def close(self):
        for client in self.clients:
            client.socket.close()


def head(length=None):
    """Returns the head of a request with this Content-Length, or with a chunked body."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return ("POST /pickups/1 HTTP/1.1\r\nHost: h\r\nGooseberrypath-Deadline-Ms: 3000\r\n"
            f"Authorization: Token k1\r\n{framing}\r\n\r\n").encode()


def sized(length, sent, piece):
    """Yields a request that announces a length and sends the first bytes of its body in
    pieces."""
    yield head(length)
    block = bytes(piece)
    for start in range(0, sent, piece):
        yield block[:min(piece, sent - start)]


def chunked(length, chunk, writes, is_complete):
    """Yields a request with a chunked body. Each piece holds as many chunks as fill
    `writes` bytes of the body. Without is_complete, the chunk that ends the body is missing,
    and the one before lacks its last byte."""
    yield head()
    one = f"{chunk:x}\r\n".encode() + bytes(chunk) + b"\r\n"
    yield from itertools.repeat(one * (writes // chunk), length // writes - 1)
    last = one * (writes // chunk)
    yield last + b"0\r\n\r\n" if is_complete else last[:-3]

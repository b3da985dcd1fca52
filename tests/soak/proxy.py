"""A loopback proxy for TCP connections that can delay, cut, silence and reset them."""

import asyncio
import enum

CHUNK_BYTES = 65536
POLL_S = 0.02
DELAY_S = 0.08  # of each chunk in mode DELAYED, longer than a short call takes


class Mode(enum.Enum):
    PASS = "pass"
    DELAYED = "delayed"
    CUT_FORWARD = "cut_forward"    # nothing arrives at the server
    CUT_BACKWARD = "cut_backward"  # nothing arrives at the client
    SILENT = "silent"              # neither direction


class Proxy:
    """Passes connections on to one address. A cut holds bytes back until it ends, as lost
    packets do that are sent again."""

    def __init__(self, host, target):
        self.host = host
        self.target = target
        self.mode = Mode.PASS
        self.pairs = set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def close(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Breaks all open connections."""
        for writers in list(self.pairs):
            for writer in writers:
                writer.transport.abort()

    async def _accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, server_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, (Mode.CUT_FORWARD, Mode.SILENT)),
                self._pump(server_reader, writer, (Mode.CUT_BACKWARD, Mode.SILENT)))
        finally:
            self.pairs.discard(pair)
            for one in pair:
                one.close()

    async def _pump(self, reader, writer, cuts):
        """Copies one direction until its end; held up while the mode is one of `cuts`."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                while self.mode in cuts:
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()

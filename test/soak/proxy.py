"""A loopback proxy that can delay, reset and blackhole connections."""

import asyncio

from wire import LOOPBACK, reset

CHUNK_BYTES = 65536


class Link:
    """One connection through the proxy."""

    def __init__(self, client, server):
        self.writers = (client, server)
        # Directions whose bytes are discarded: "up" to the server, "down" to the client.
        self.blackholed = set()


class Proxy:
    """Forwards connections to `upstream`; new ones discard bytes in `blackholed` directions."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.port = None
        self.delay_s = 0.0
        self.blackholed = set()
        self.links = set()
        self.server = None

    async def start(self):
        """Starts to listen, on the previous port if there was one."""
        self.server = await asyncio.start_server(self._accept, LOOPBACK, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def listening(self):
        return self.server is not None

    def close(self):
        """Refuses new connections and resets the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    def reset_all(self, share=1.0, random=None):
        for link in list(self.links):
            if random is None or random.random() < share:
                for writer in link.writers:
                    reset(writer)

    def blackhole_open(self, directions=("up", "down")):
        """Discards further bytes of open connections in these directions; new ones work."""
        for link in self.links:
            link.blackholed |= set(directions)

    async def _accept(self, client_reader, client_writer):
        try:
            server_reader, server_writer = await asyncio.open_connection(LOOPBACK, self.upstream)
        except OSError:
            reset(client_writer)
            return
        link = Link(client_writer, server_writer)
        link.blackholed |= self.blackholed
        self.links.add(link)
        try:
            await asyncio.gather(self._pump(link, "up", client_reader, server_writer),
                                 self._pump(link, "down", server_reader, client_writer))
        except asyncio.CancelledError:
            return  # The soak is shutting down.
        finally:
            self.links.discard(link)
            for writer in link.writers:
                writer.close()

    async def _pump(self, link, direction, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in link.blackholed:
                    continue
                writer.write(data)
                await writer.drain()
            if direction not in link.blackholed and writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            # One end was reset, so the other end is reset as well.
            for end in link.writers:
                reset(end)

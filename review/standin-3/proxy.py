"""A TCP proxy before a runner, which can cut it off: open connections are reset and new ones are refused."""

import asyncio
import socket
import struct


class Proxy:
    def __init__(self, address, to):
        self.address, self.to = address, to
        self.sockets = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.forward, *self.address)

    async def forward(self, reader, writer):
        try:
            inner_reader, inner_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, inner_writer}
        self.sockets |= pair
        await asyncio.gather(self.copy(reader, inner_writer), self.copy(inner_reader, writer), return_exceptions=True)
        for end in pair:
            end.transport.abort()
        self.sockets -= pair

    @staticmethod
    async def copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        finally:
            writer.transport.abort()

    async def cut(self, seconds):
        """Cuts the runner off for `seconds`."""
        self.server.close()
        for end in list(self.sockets):
            raw = end.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            end.transport.abort()
        await asyncio.sleep(seconds)
        await self.open()

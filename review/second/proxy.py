"""Proxies on loopback between the processes of a script."""

import asyncio
import contextlib


class Proxy:
    """Forwards connections, and drops what a partition would drop.

    :param target: host and port that connections are forwarded to.
    :ivar is_cut: whether nothing passes in either direction.
    :ivar cut_names: names of machines; nothing passes on a connection over
        which one of these has sent a frame, as frames name their sender.
    """

    def __init__(self, target):
        self._target = target
        self.is_cut = False
        self.cut_names = set()
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        """Listen at an address."""
        self._server = await asyncio.start_server(self._handle, host, port)

    def heal(self):
        """End all cuts; connections that lost bytes are reset."""
        self.is_cut = False
        self.cut_names = set()

    def close(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _handle(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        names = set()
        self._writers |= {writer, target_writer}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, names, True),
                self._forward(target_reader, writer, names, False),
            )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, names, is_sender):
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                if is_sender:
                    names |= {n for n in self.cut_names if n.encode() in data}
                if self.is_cut or names & self.cut_names:
                    lost = True
                    continue
                if lost:
                    break
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.transport.abort()

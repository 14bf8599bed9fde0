"""Proxy on loopback that delays, resets or drops what connections carry."""

from __future__ import annotations

import asyncio
import contextlib

DELAY_S = 0.3


class Proxy:
    """Forwards connections to a port on loopback.

    :ivar target_port: port that connections are forwarded to.
    :ivar mode: ``pass``, ``delay``, ``silent`` (data of both directions is
        dropped) or ``one_way`` (answers are dropped); a change also applies to
        open connections.
    :ivar port: port that the proxy listens on.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = 'pass'
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port):
        """Listen on a port on loopback."""
        self._server = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', port
        )
        self.port = port

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    async def _handle_connection(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        # Closing the event loop cancels the tasks of open connections.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, 'out'),
                self._forward(target_reader, writer, 'back'),
            )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_S)
                dropped = self.mode == 'silent' or (
                    self.mode == 'one_way' and direction == 'back'
                )
                if dropped:
                    # The data is dropped, as on a network that loses packets.
                    continue
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

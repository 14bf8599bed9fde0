"""Loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
import contextlib

DELAY_S = 0.3


class Proxy:
    """Forwards connections to a port on loopback.

    :ivar mode: ``pass``, ``delay``, ``silent`` (both ways) or ``one_way``
        (answers are held back); connections keep their bytes, not their mode.
    """

    def __init__(self, target):
        self.target = target
        self.mode = 'pass'
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self, port):
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )
        self.port = port

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop to listen and reset all connections."""
        self._server.close()
        self.reset()

    async def _accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        # The end of the soak cancels connections that are still open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pump(reader, far_writer, 'out'),
                self._pump(far_reader, writer, 'back'),
            )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, way):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_S)
                held = self.mode == 'silent' or (
                    self.mode == 'one_way' and way == 'back'
                )
                if held:
                    # What a silent connection carries is lost with it.
                    continue
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

"""Tests of loops that go on in the background."""

from __future__ import annotations

import asyncio

from damaskpin.runtime import background


def test_loop_that_fails_begins_anew(monkeypatch):
    """One malformed answer must not end the watch of the store for good."""
    monkeypatch.setattr(background, 'RESTART_PAUSE_S', 0.0)
    begun = []

    async def loop():
        begun.append(1)
        if len(begun) < 3:
            raise ValueError('malformed')

    async def run():
        loops = background.Background()
        loops.supervise(loop)
        await asyncio.sleep(0.05)
        loops.cancel()

    asyncio.run(run())
    assert len(begun) == 3


def test_cancelled_loop_does_not_begin_anew():
    """A process that stops must not start its loops again."""
    begun = []

    async def loop():
        begun.append(1)
        await asyncio.sleep(60.0)

    async def run():
        loops = background.Background()
        loops.supervise(loop)
        await asyncio.sleep(0.01)
        loops.cancel()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert begun == [1]

"""Tests of background loops and their restart after a failure."""

from __future__ import annotations

import asyncio

from damaskpin.runtime import background


def test_failed_loop_is_restarted(monkeypatch):
    """Guards against a watch of the store that one exception ends for good."""
    monkeypatch.setattr(background, 'RESTART_PAUSE_S', 0.0)
    loop_starts = []
    stays_up = asyncio.Event()

    async def loop():
        loop_starts.append(1)
        if len(loop_starts) < 3:
            raise ValueError('malformed')
        stays_up.set()

    async def run():
        loops = background.BackgroundTasks()
        loops.supervise(loop)
        await asyncio.wait_for(stays_up.wait(), 10.0)
        await asyncio.sleep(0.05)
        loops.cancel()

    asyncio.run(run())
    assert len(loop_starts) == 3


def test_cancelled_loop_is_not_restarted():
    """Guards against a stopping process that restarts its loops."""
    loop_starts = []
    begun = asyncio.Event()

    async def loop():
        loop_starts.append(1)
        begun.set()
        await asyncio.sleep(60.0)

    async def run():
        loops = background.BackgroundTasks()
        loops.supervise(loop)
        await asyncio.wait_for(begun.wait(), 10.0)
        loops.cancel()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert loop_starts == [1]

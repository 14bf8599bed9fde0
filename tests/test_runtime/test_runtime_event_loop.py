"""Tests of the detection of an event loop that stands still."""

from __future__ import annotations

import asyncio
import logging
import time

from damaskpin.runtime import event_loop


def _monitor(blocked, caplog):
    monitor = event_loop.LoopMonitor()

    async def run():
        task = asyncio.ensure_future(monitor.run())
        await asyncio.sleep(0.02)
        time.sleep(blocked)
        await asyncio.sleep(0.15)
        task.cancel()

    with caplog.at_level(logging.WARNING, 'damaskpin.runtime.event_loop'):
        asyncio.run(run())
    return monitor, caplog.records


def test_blocked_event_loop_is_logged_with_its_duration(caplog):
    """Guards against a stalled process that looks like a lost network."""
    monitor, records = _monitor(0.7, caplog)
    assert [r.message for r in records] == ['event loop stood still']
    assert records[0].seconds >= 0.5
    assert records[0].processor_seconds < 0.5
    assert monitor.longest_delay >= 0.5

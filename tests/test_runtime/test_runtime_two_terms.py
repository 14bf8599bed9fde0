"""Tests of an entry that is elected again before it has noticed the end."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.peer import orders
from damaskpin.runtime import clocks
from tests.test_runtime import test_runtime_silent_agents as entries


@pytest.fixture
def clock(monkeypatch):
    clock = entries._Clock()
    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: clock.now)
    return clock


def test_coordinator_of_an_ended_term_answers_no_report(clock):
    """Guards against grants of which the next coordinator can't know.

    The process was suspended, its lease has ended, and it is elected again
    before it has replaced its coordinator. A grant of the former coordinator
    would count from a renewal in the next term.
    """

    async def play():
        store = entries._make_store()
        entry = entries._Entry(store)
        entries._elect(store, entry, entries.FENCE + 10)
        entry.list_store()
        entry.coordination.decide_and_send()
        assert isinstance(entry.report(1), orders.Orders)
        clock.now += 6.0
        fence = entry.leadership.fence
        entry.leadership.fence = entries.NEXT_FENCE
        assert isinstance(entry.report(2, fence), orders.Redirect)
        entry.coordination.stop()

    asyncio.run(play())

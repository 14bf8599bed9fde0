"""Tests of the grants of an entry that leads, or has led, before others."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.coordinator import run_ends
from damaskpin.entry import leader_term
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from tests.test_runtime import test_runtime_silent_agents as entries

# Seconds since the latest renewal of the lease.
LAG_S = 0.4
FORMER_NONCE = 'n1'


@pytest.fixture
def clock(monkeypatch):
    clock = entries._Clock()
    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: clock.now)
    return clock


def _run(play):
    """Run a play with an entry that is elected in a store with a run."""

    async def run():
        store = entries._make_store()
        entry = entries._Entry(store)
        entry.leadership.nonce = FORMER_NONCE
        entries._elect(store, entry, entries.FENCE + 10)
        await play(store, entry)
        entry.coordination.stop()

    asyncio.run(run())


def _begin(entry):
    """Let an entry begin to coordinate."""
    entry.list_store()
    entry.coordination.decide_and_send()


def _get_worker(entry):
    (worker,) = entry.coordination._coordinator.workers.values()
    return worker


def test_answered_report_counts_from_the_latest_renewal(clock):
    """Guards against an entry that grants more than its successor counts."""

    async def play(_store, entry):
        _begin(entry)
        entry.leadership.renewed = clock.now - LAG_S
        answer = entry.report(1)
        assert answer.echo == pytest.approx(1.0 - LAG_S)

    _run(play)


def test_orders_count_from_the_renewal_since_the_report(clock):
    """Guards against orders that grant less than the lease allows."""

    async def play(_store, entry):
        entry.leadership.renewed = clock.now - LAG_S
        _begin(entry)
        entry.report(1)
        entry.leadership.renewed = clock.now + LAG_S
        _get_worker(entry).orders_due = True
        entry.coordination.decide_and_send()
        assert entry.exchange.sent[-1].echo == pytest.approx(1.0)

    _run(play)


def test_coordinator_begins_with_the_grants_of_the_former_term(clock):
    """Guards against a takeover that counts from its own time."""

    async def play(_store, entry):
        last_grant = clock.now - 1.5
        entry.leadership.former_term = leader_term.FormerTerm(
            'n0', 'tcp://former', last_grant
        )
        _begin(entry)
        worker = _get_worker(entry)
        assert worker.run_end_evidence is run_ends.Evidence.FORMER_LEASE
        ledger = run_ends.RunEnds(entries.GRANT_S, entries.STOP_S)
        run_end = ledger.get_granted_end(last_grant)
        assert worker.latest_run_end == pytest.approx(run_end)
        assert entry.exchange.sent == [
            orders.GrantQuestion(entry.leadership.fence)
        ]

    _run(play)


def test_former_coordinator_gives_no_grant_after_its_answer(clock):
    """Guards against grants that the answer to a successor lacks."""

    async def play(_store, entry):
        entry.leadership.renewed = clock.now + 10.0
        _begin(entry)
        entry.report(1)
        answered = clock.now
        fence = entry.leadership.fence
        clock.now += 3.0
        stale = orders.GrantQuestion(fence - 1)
        assert entry.coordination.answer_successor(stale) is None
        assert entry.leadership.fence == fence
        question = orders.GrantQuestion(fence + 1)
        answer = entry.coordination.answer_successor(question)
        assert (answer.fence, answer.nonce) == (fence + 1, FORMER_NONCE)
        assert answer.ages[entries.AGENT] == pytest.approx(
            clock.now - answered
        )
        entry.coordination.decide_and_send()
        assert not entry.leadership.fence
        assert isinstance(entry.report(2), orders.Redirect)
        assert entry.coordination.answer_successor(question) == answer

    _run(play)


def test_question_of_an_earlier_coordinator_ends_no_term(clock):
    """Guards against a delayed question that stops the present leader.

    The entry is elected again and has not replaced its coordinator yet.
    """

    async def play(_store, entry):
        _begin(entry)
        question = orders.GrantQuestion(entry.leadership.fence + 1)
        entry.leadership.fence = entries.NEXT_FENCE
        assert entry.coordination.answer_successor(question) is None
        assert entry.leadership.fence == entries.NEXT_FENCE

    _run(play)


def test_former_coordinator_without_an_answer_tells_its_election(clock):
    """Guards against last grants of a term in which none was given."""

    async def play(_store, entry):
        entry.leadership.renewed = clock.now
        _begin(entry)
        clock.now += 3.0
        question = orders.GrantQuestion(entry.leadership.fence + 1)
        answer = entry.coordination.answer_successor(question)
        assert answer.age == pytest.approx(3.0)

    _run(play)


def test_entry_that_is_elected_again_uses_its_own_last_grants(clock):
    """Guards against a lease that tells less than the entry itself knows."""

    async def play(store, entry):
        entry.leadership.renewed = clock.now
        _begin(entry)
        entry.report(1)
        answered = clock.now
        clock.now += 6.0
        entry.leadership.fence = 0
        entry.coordination.decide_and_send()
        entry.leadership.former_term = leader_term.FormerTerm(
            FORMER_NONCE, entry.exchange.address, clock.now - 1.8
        )
        entry.leadership.nonce = 'n2'
        entries._elect(store, entry, entries.NEXT_FENCE)
        entry.watch_store()
        entry.coordination.decide_and_send()
        worker = _get_worker(entry)
        ledger = run_ends.RunEnds(entries.GRANT_S, entries.STOP_S)
        run_end = ledger.get_granted_end(answered)
        assert worker.latest_run_end == pytest.approx(run_end)
        assert entry.exchange.sent == []

    _run(play)

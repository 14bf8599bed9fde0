"""Tests of the last grants that a coordinator tells the next one."""

from __future__ import annotations

import math

import msgspec
import pytest

from damaskpin.coordinator import run_ends
from damaskpin.entry import leader_term
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import grant_handover
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW
OWN_ADDRESS = 'tcp://b'
FORMER_ADDRESS = 'tcp://a'
FORMER_NONCE = 'n1'
# Seconds from the last report of the lost agent to the last renewal of the
# lease, from there to the takeover, and what the end of the lease would tell.
LOSS_AGE_S = 0.8
OUTAGE_S = 4.5
LEASE_ERROR_S = 2.7


class _Leadership:
    renewed = math.inf

    def __init__(self, nonce, former_term=None):
        self.nonce = nonce
        self.former_term = former_term


class _Exchange:
    """Keeps the messages that are sent, by the address of the peer."""

    def __init__(self):
        self.sent = []

    def post(self, address, _kind, build):
        self.sent.append((address, build()))


def _end_former_term(lost):
    """Return the handover of an entry whose lease has ended.

    :param lost: index of the worker whose agent has not reported lately.
    """
    coordinator, ledger, _ = reports.make_coordinator(
        reports.make_large_step(count=2)
    )
    coordinator.lease_renewed = NOW + LOSS_AGE_S
    for index, worker in enumerate(ledger.workers.values()):
        now = NOW if index == lost else NOW + LOSS_AGE_S + 1.0
        reports.report(coordinator, worker, now)
    handover = grant_handover.GrantHandover(
        FORMER_ADDRESS, _Leadership(FORMER_NONCE), _Exchange()
    )
    handover.begin(NOW, coordinator)
    handover.end(coordinator)
    return handover


def _take_over(former_address=FORMER_ADDRESS):
    """Return the coordinator after an outage, its handover and exchange."""
    started = NOW + LOSS_AGE_S + OUTAGE_S
    former = leader_term.FormerTerm(
        FORMER_NONCE, former_address, started - LEASE_ERROR_S
    )
    exchange = _Exchange()
    handover = grant_handover.GrantHandover(
        OWN_ADDRESS, _Leadership('n2', former), exchange
    )
    successor, _, _ = reports.take_over(
        reports.make_coordinator(reports.make_large_step(count=2)),
        started,
        former.last_grant,
    )
    return successor, handover, exchange


def _get_run_ends(coordinator):
    """Return the latest ends of the runs by worker id, less the grant."""
    ledger = builders.make_ledger(workers=0)
    return {
        lifetime.worker: worker.latest_run_end
        - ledger.run_ends.get_granted_end(0.0)
        for lifetime, worker in coordinator.workers.items()
    }


def test_successor_counts_from_what_the_former_coordinator_tells():
    """Guards against an outage of the store that puts off lost work.

    The lease of the former coordinator tells less, as its end is seen late.
    """
    former = _end_former_term(lost=0)
    coordinator, handover, exchange = _take_over()
    started = NOW + LOSS_AGE_S + OUTAGE_S
    for end in _get_run_ends(coordinator).values():
        assert end == pytest.approx(started - LEASE_ERROR_S)
    handover.begin(started, coordinator)
    ((address, question),) = exchange.sent
    assert address == FORMER_ADDRESS
    answer = former.answer(started, question)
    handover.apply(started + 0.01, coordinator, answer)
    ends = _get_run_ends(coordinator)
    assert ends['w0'] == pytest.approx(NOW + 0.01)
    assert ends['w1'] == pytest.approx(NOW + LOSS_AGE_S + 0.01)
    evidence = {w.run_end_evidence for w in coordinator.workers.values()}
    assert evidence == {run_ends.Evidence.FORMER_COORDINATOR}


def test_answer_about_another_term_is_ignored():
    """Guards against runs that are freed by the grants of an earlier term."""
    former = _end_former_term(lost=0)
    coordinator, handover, _ = _take_over()
    started = NOW + LOSS_AGE_S + OUTAGE_S
    before = _get_run_ends(coordinator)
    question = orders.GrantQuestion(coordinator.fence)
    answer = former.answer(started, question)
    for other in (
        orders.GrantAnswer(answer.fence, 'n0', answer.age, answer.ages),
        orders.GrantAnswer(
            answer.fence - 1, answer.nonce, answer.age, answer.ages
        ),
    ):
        handover.apply(started, coordinator, other)
    assert _get_run_ends(coordinator) == before


def test_agent_that_has_reported_keeps_its_grant():
    """Guards against an answer that arrives after a new grant."""
    former = _end_former_term(lost=0)
    coordinator, handover, _ = _take_over()
    started = NOW + LOSS_AGE_S + OUTAGE_S
    question = orders.GrantQuestion(coordinator.fence)
    answer = former.answer(started, question)
    worker = next(iter(coordinator.workers.values()))
    worker.profile = next(
        iter(builders.make_ledger(workers=1).workers.values())
    ).profile
    reports.report(coordinator, worker, started)
    before = worker.latest_run_end
    handover.apply(started + 0.1, coordinator, answer)
    assert worker.latest_run_end == before


def test_restarted_workers_are_not_told():
    """Guards against runs that are freed before an extended lease ends."""
    coordinator, ledger, _ = reports.make_coordinator(builders.make_step())
    former = reports.find_worker(ledger, reports.find_run(ledger))
    lifetime = msgspec.structs.replace(
        former.lifetime, born=former.lifetime.born + 50
    )
    profile = msgspec.structs.replace(former.profile, lifetime=lifetime)
    coordinator.lease_renewed = NOW
    reports.report(coordinator, former, profile=profile)
    worker = ledger.workers[lifetime]
    assert worker.runs
    assert worker.get_last_lease_end() > worker.latest_run_end
    coordinator.lease_renewed = NOW + 10.0
    assert worker.agent not in coordinator.list_last_grants().earlier


def test_entry_that_is_elected_again_asks_nobody(monkeypatch):
    """Guards against a question that an entry sends to itself."""
    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: NOW)
    coordinator, handover, exchange = _take_over(OWN_ADDRESS)
    handover.begin(NOW, coordinator)
    assert exchange.sent == []

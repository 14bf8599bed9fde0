"""Tests of the time from which grants count, also over a takeover."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import run_ends
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW
# Seconds from the latest renewal of the lease to the report.
EXCESS_S = 0.4


@pytest.mark.parametrize('renewed', [NOW - EXCESS_S, NOW + 0.1])
def test_grant_counts_from_the_latest_renewal_of_the_lease(renewed):
    """Guards against a grant of which the next coordinator can't know."""
    coordinator, ledger, _ = reports.make_coordinator(builders.make_step())
    worker = reports.find_worker(ledger, reports.find_run(ledger))
    worker.latest_run_end = 0.0
    coordinator.lease_renewed = renewed
    answer = reports.report(coordinator, worker)
    start = min(renewed, NOW)
    assert answer.echo == pytest.approx(worker.report_time - NOW + start)
    assert worker.latest_run_end == ledger.run_ends.get_granted_end(start)


def test_limited_grant_counts_from_the_latest_renewal():
    """Guards against a recorded agent whose grant outlasts the lease.

    Its record may not be stored, so that only the lease tells of the grant.
    """
    coordinator, ledger, _ = reports.make_coordinator(builders.make_step())
    worker = reports.find_worker(ledger, reports.find_run(ledger))
    worker.process = 'process-1'
    coordinator.lease_renewed = NOW
    reports.report(coordinator, worker, process=worker.process)
    for check in range(20):
        record = coordinator.silence_records.make_due_record(
            NOW + 0.25 * check
        )
        if record is not None:
            break
    assert worker.agent in record.ages
    worker.last_report_time = NOW + 6.0
    worker.report_time += 6.0
    coordinator.lease_renewed = NOW + 0.1
    assert not coordinator.may_answer(worker)
    answer = coordinator.make_answer(worker)
    assert answer.echo == pytest.approx(worker.report_time - 6.0 + 0.1)


@pytest.mark.parametrize('recorded_age', [0.2, 2.5])
def test_takeover_counts_from_the_earliest_evidence(recorded_age):
    """Guards against a hold that a takeover puts off.

    The record of silent agents may tell more than the former lease, or less.
    """
    _, ledger, job = reports.make_coordinator(builders.make_step())
    run = reports.find_run(ledger)
    agent = reports.find_worker(ledger, run).agent
    started = NOW + 5.0
    last_grant = started - 1.0
    successor = ledgers.RunLedger(
        started,
        builders.GRANT_S,
        builders.STOP_S,
        {agent: started - recorded_age},
        last_former_grant=last_grant,
    )
    successor.add_job(started, job)
    worker = reports.find_worker(successor, run)
    answered = min(last_grant, started - recorded_age)
    run_end = successor.run_ends.get_granted_end(answered)
    assert worker.latest_run_end == run_end
    evidence = run_ends.Evidence.SILENCE_RECORD
    if recorded_age < 1.0:
        evidence = run_ends.Evidence.FORMER_LEASE
    assert worker.run_end_evidence is evidence

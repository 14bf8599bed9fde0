"""Tests of the log fields that tell for how long runs are kept, and why."""

from __future__ import annotations

import logging

import pytest

from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import run_ends
from damaskpin.coordinator import run_stages
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW
TAKEOVER_S = 3.0
# Age in seconds of the latest answered report in a record of silent agents.
RECORDED_AGE_S = 2.5


def _take_over(is_recorded=False):
    """Return the ledger of a new coordinator, and a run that it loads.

    :param is_recorded: whether the agent of the run was recorded as silent.
    """
    _, ledger, job = reports.make_coordinator(builders.make_step())
    run = reports.find_run(ledger)
    started = NOW + TAKEOVER_S
    answers = {}
    if is_recorded:
        agent = reports.find_worker(ledger, run).agent
        answers[agent] = started - RECORDED_AGE_S
    successor = ledgers.RunLedger(
        started, builders.GRANT_S, builders.STOP_S, answers
    )
    successor.add_job(started, job)
    return successor, run


@pytest.mark.parametrize('is_recorded', [False, True])
def test_takeover_tells_from_what_the_end_of_a_run_is_counted(is_recorded):
    """Guards against a hold of lost work that logs don't explain."""
    ledger, run = _take_over(is_recorded)
    worker = reports.find_worker(ledger, run)
    evidence = run_ends.Evidence.TAKEOVER
    if is_recorded:
        evidence = run_ends.Evidence.SILENCE_RECORD
    now = NOW + TAKEOVER_S
    described = run_stages.describe_run(now, worker, worker.runs[run])
    assert described['evidence'] == evidence.value
    assert ledger.describe_unheard_workers(now) == {
        'unheard_workers': {evidence.value: 1},
        'runs_end_in': described['until'],
    }


def test_end_of_a_kept_run_is_logged_with_its_evidence(caplog):
    """Guards against a removal that does not tell from what it was counted."""
    caplog.set_level(logging.INFO)
    ledger, run = _take_over()
    worker = reports.find_worker(ledger, run)
    ledger.remove_expired_workers(worker.latest_run_end + 0.1)
    evidence = {
        record.message: record.evidence
        for record in caplog.records
        if hasattr(record, 'evidence')
    }
    assert evidence == {
        'worker lost': 'takeover',
        'run removed': 'takeover',
    }

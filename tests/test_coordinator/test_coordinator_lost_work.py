"""Tests of the account of work that is lost when runs end without success."""

from __future__ import annotations

import logging

import pytest

from damaskpin.coordinator import ends
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import removals
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
AGE_S = 4.0
# A work item of the builders has one core and one accelerator.
CORES = 1 + work.CORES_PER_ACCELERATOR


def _list_placed(ledger, job):
    return [
        (worker, placed)
        for worker in ledger.workers.values()
        for placed in list(worker.runs.values())
        if placed.job is job
    ]


def _start(ledger, *steps, **more):
    """Start a job and let its runs work for some seconds."""
    job = builders.submit(ledger, 'job', *steps, **more)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    return job


def _end(ledger, worker, placed, ending):
    worker.last_end_serial += 1
    row = work.EndedRun(worker.last_end_serial, placed.run, ending, '')
    ends.record_end(NOW + AGE_S, builders.WALL, ledger, worker, row)


def test_stopped_runs_are_booked_under_the_cause_of_the_stop():
    """Guards against losses that the logs of a day can't explain."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(2))
    ledger.stop_job(job, lost_work.Cause.CANCELLED, 'job cancelled')
    for worker, placed in _list_placed(ledger, job):
        _end(ledger, worker, placed, work.Ending.STOPPED)
    assert ledger.lost_work.runs == {'job cancelled': 2}
    assert ledger.lost_work.core_seconds == {
        'job cancelled': pytest.approx(2 * AGE_S * CORES)
    }


def test_checkpoints_carry_the_work_of_a_stopped_run():
    """Guards against a figure of lost work that counts what was saved."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(1, checkpoints=True))
    ((worker, placed),) = _list_placed(ledger, job)
    ledger.stop_run(worker, placed, lost_work.Cause.DRAINING, 'draining')
    _end(ledger, worker, placed, work.Ending.STOPPED)
    assert ledger.lost_work.runs == {'worker draining': 1}
    assert not ledger.lost_work.core_seconds['worker draining']


def test_gang_is_booked_under_the_cause_of_its_first_member():
    """Guards against broken gangs that hide what has broken them."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(3, 4, gang=True))
    placed_runs = _list_placed(ledger, job)
    _end(ledger, *placed_runs[0], work.Ending.FAILED)
    for worker, placed in placed_runs[1:]:
        _end(ledger, worker, placed, work.Ending.BROKEN)
    assert ledger.lost_work.runs == {'failed': 3}


def test_lost_worker_counts_up_to_its_last_list():
    """Guards against losses that grow with the silence of a worker."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(1))
    ((worker, placed),) = _list_placed(ledger, job)
    row = work.RunningRun(placed.run, '', 10.0)
    placed.update_from_list(row, NOW + 1.0)
    ledger.remove_worker(
        NOW + 30.0, worker.lifetime, removals.Proof.LEASE_ENDED
    )
    assert ledger.lost_work.core_seconds == {
        'worker lost': pytest.approx(CORES)
    }


def test_second_good_end_counts_as_repeated_work():
    """Guards against repeated work that passes for useful work."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(1))
    ((worker, placed),) = _list_placed(ledger, job)
    ledger.stop_run(worker, placed, lost_work.Cause.REPEATED, 'it has ended')
    _end(ledger, worker, placed, work.Ending.DONE)
    assert ledger.lost_work.runs == {'work item done twice': 1}


def test_good_end_loses_nothing():
    """Guards against an account in which all work counts as lost."""
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(1))
    ((worker, placed),) = _list_placed(ledger, job)
    _end(ledger, worker, placed, work.Ending.DONE)
    assert not ledger.lost_work.runs


def test_log_line_of_an_end_tells_cause_and_loss(caplog):
    """Guards against a day whose losses can't be summed from its log."""
    caplog.set_level(logging.INFO)
    ledger = builders.make_ledger()
    job = _start(ledger, builders.make_step(1))
    ((worker, placed),) = _list_placed(ledger, job)
    _end(ledger, worker, placed, work.Ending.FAILED)
    (record,) = [r for r in caplog.records if r.message == 'run ended']
    assert record.cause == 'failed'
    assert record.lost_core_seconds == pytest.approx(AGE_S * CORES)

"""Tests of the oracle's check of a start against the stored record."""

from __future__ import annotations

import types

import pytest

from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import oracle as oracles

JOB = 'j'
ITEM = work.Item(JOB, 0, 0, 0)
DEMAND = work.Resources(1, 1, 0)


def _make_oracle(gang=False, runs=1):
    """Return an oracle that has seen a job end well, as the store has it.

    :param runs: number of runs of the first work item that end well.
    """
    count = 2 if gang else 1
    step = work.Step(count=count, demand=DEMAND, estimate=1.0, gang=gang)
    terms = work.Terms('q', 's', 1, 2, 2.0)
    submission = work.Submission(JOB, 'a', 'content', (step,), terms, 0.0)
    store = {}
    oracle = oracles.Oracle({JOB: submission}, store)
    progress = records.StepProgress(numbers=dict.fromkeys(range(count), 9))
    _store(store, progress)
    for number in range(1, runs + 1):
        _start(oracle, number)
        oracle.record_end(work.Run(ITEM, number), work.Ending.DONE)
    progress.done.update(range(count))
    _store(store, progress)
    return oracle


def _store(store, progress):
    job_progress = records.Progress(occurrences={0: [progress]})
    store[JOB] = records.encode_progress(job_progress)


def _start(oracle, number, index=0):
    worker = types.SimpleNamespace(
        running=(), capacity=DEMAND, lifetime=work.Lifetime('w', 1)
    )
    run = work.Run(work.Item(JOB, 0, 0, index), number)
    oracle.check_start(worker, run)


def _void_end(oracle):
    """Let the lease lapse before the end is acknowledged."""
    row = work.EndedRun(1, work.Run(ITEM, 1), work.Ending.DONE, '')
    oracle.record_void(row)


@pytest.mark.parametrize(('gang', 'index'), [(False, 0), (True, 0), (True, 1)])
def test_start_after_a_recorded_end_is_found(gang, index):
    """Guards against an oracle that misses a work item that runs again."""
    oracle = _make_oracle(gang)
    with pytest.raises(AssertionError, match='starts after its end'):
        _start(oracle, 2, index)


def test_start_after_an_end_that_does_not_count_is_allowed():
    """Guards against false alarms after a lease that has lapsed.

    The end is stored late, while the start is under way.
    """
    oracle = _make_oracle()
    _void_end(oracle)
    _start(oracle, 2)


def test_end_of_another_run_that_counts_is_found_beside_a_void_one():
    """Guards against an oracle that takes one void end for all."""
    oracle = _make_oracle(runs=2)
    _void_end(oracle)
    with pytest.raises(AssertionError, match='starts after its end'):
        _start(oracle, 3)

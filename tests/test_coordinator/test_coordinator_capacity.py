"""Tests of workers whose capacity shrinks and grows while they run work."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import lost_work
from damaskpin.model import work
from tests.test_coordinator import builders


def _set_accelerators(ledger, count):
    (worker,) = ledger.workers.values()
    capacity = work.Resources(128_000, 256_000, count)
    worker.set_profile(
        msgspec.structs.replace(worker.profile, capacity=capacity)
    )
    return worker


def _submit_items(ledger, job_id, count):
    job = builders.submit(ledger, job_id, builders.make_step(count=count))
    builders.decide(ledger)
    return job


def test_no_start_exceeds_a_capacity_that_has_shrunk():
    """Guards against starts that a worker without a guard takes anyway.

    Runs that are being stopped still use their capacity.
    """
    ledger = builders.make_ledger(workers=1)
    running = _submit_items(ledger, 'j', 4)
    worker = _set_accelerators(ledger, 2)
    waiting = _submit_items(ledger, 'k', 2)
    assert not builders.list_runs(ledger, waiting)
    placed = [p for p in worker.runs.values() if p.job is running]
    for run in placed[:3]:
        ledger.stop_run(worker, run, lost_work.Cause.UNKNOWN, 'test')
    builders.decide(ledger)
    assert not builders.list_runs(ledger, waiting)
    for run in placed[:3]:
        running.progress.state = work.JobState.CANCELED
        ledger.remove_lost_run(worker, run.run, 'stopped')
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, waiting)) == 1


def test_capacity_that_has_grown_again_is_used():
    """Guards against capacity that is lost for good after it has shrunk."""
    ledger = builders.make_ledger(workers=1)
    _submit_items(ledger, 'j', 4)
    _set_accelerators(ledger, 2)
    waiting = _submit_items(ledger, 'k', 4)
    _set_accelerators(ledger, 8)
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, waiting)) == 4

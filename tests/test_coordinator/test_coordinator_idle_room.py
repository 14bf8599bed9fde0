"""Tests of idle work beside runs that only the books have."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import placed_run
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0

TICK_S = 0.25
WAITED_FOR_S = 30.0
WHOLE = work.Resources(127_000, 1000, 8)


def _place(ledger, worker_id, is_stopped):
    """Place a run that its worker never lists on a whole worker."""
    step = work.Step(count=1, demand=WHOLE, estimate=WAITED_FOR_S)
    job = builders.submit(ledger, f'on-{worker_id}', step)
    (worker,) = [
        w for w in ledger.workers.values() if w.lifetime.worker == worker_id
    ]
    unit = next(job.iterate_ready(NOW, builders.WALL))
    (run,) = job.assign_runs(unit, [(worker.lifetime, worker.agent)])
    placed = placed_run.PlacedRun(run, job, step, WHOLE, 1, False, NOW)
    worker.add_run(placed)
    if is_stopped:
        ledger.stop_run(worker, placed, lost_work.Cause.CANCELLED, 'cancelled')


def _make_ledger(is_stopped, workers):
    """Return a ledger with a job that waits for its rack, which is full.

    :param workers: ids of the workers with a run that no list has.
    """
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(3, accelerators=8, estimate=30.0, data_rack='r0')
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    for worker_id in workers:
        _place(ledger, worker_id, is_stopped)
    step = builders.make_step(
        accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    return ledger, builders.submit(ledger, 'waiting', step)


def _decide_until(ledger, job, seconds):
    """Decide until a job has a run; return the seconds that it took."""
    for tick in range(int(seconds / TICK_S) + 1):
        builders.decide(ledger, NOW + tick * TICK_S)
        if builders.list_runs(ledger, job):
            return tick * TICK_S
    return None


@pytest.mark.parametrize('is_stopped', [False, True])
def test_runs_that_no_worker_lists_hide_no_room(is_stopped):
    """Guards against a job that has nothing running while there is room.

    By the books most of the service was in use, and there was room for the job
    only once, by starts without an answer or runs that are to be stopped.
    """
    ledger, job = _make_ledger(is_stopped, ('w3', 'w4'))
    used_share = idle_limit.measure_used_share(NOW, ledger, 's')
    assert used_share >= idle_limit.MAX_USED_SHARE
    waited = _decide_until(ledger, job, 25.0)
    assert waited is not None
    assert idle_limit.MIN_AGE_S <= waited <= LONGEST_WAIT_S
    assert builders.list_runs(ledger, job) == {0: 'w5'}


def test_idle_work_starts_only_where_the_books_have_room():
    """Guards against a worker that gets more than its capacity.

    The runs that no worker lists may exist nevertheless.
    """
    ledger, job = _make_ledger(False, ('w3', 'w4', 'w5'))
    assert _decide_until(ledger, job, 25.0) is None


def test_new_starts_count_as_use_of_the_service():
    """Guards against idle work that starts in a service that is in use.

    The runs were placed just before, so that no list has them yet.
    """
    ledger = builders.make_ledger(workers=2)
    step = work.Step(count=1, demand=WHOLE, estimate=WAITED_FOR_S)
    builders.submit(ledger, 'new', step)
    builders.decide(ledger)
    limit = idle_limit.IdleLimit(NOW + TICK_S, ledger)
    assert limit.get_used_share('s') >= 0.4
    limit = idle_limit.IdleLimit(NOW + 1.25, ledger)
    assert limit.get_used_share('s') == 0.0

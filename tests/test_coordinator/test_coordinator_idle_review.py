"""Tests of idle jobs beside schedules, clock steps and short jobs."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import placed_run
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds.
LONGEST_WAIT_S = 14.0


def _decide_until(ledger, job, seconds, act=None):
    """Decide again and again; return the seconds until a job has a run.

    :returns: ``None`` if it has none.
    """
    for step in range(int(seconds / 0.5) + 1):
        now = NOW + step * 0.5
        if act is not None:
            act(now)
        builders.decide(ledger, now)
        if builders.list_runs(ledger, job):
            return now - NOW
    return None


def _submit_waiting_gang(ledger, **more):
    """Let a gang that needs all workers wait for the end of one long run."""
    step = builders.make_step(accelerators=8, estimate=30.0, data_rack='r0')
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
    gang = builders.submit(ledger, 'gang', step, **more)
    builders.decide(ledger)
    return gang


def _submit_small(ledger, **more):
    step = builders.make_step(accelerators=1, estimate=100.0)
    return builders.submit(ledger, 'small', step, priority=2, **more)


def _set_schedule(ledger, period, label='none'):
    """Add a job with a schedule that no worker may run."""
    step = builders.make_step(label=label)
    schedule = work.Schedule(builders.WALL - 20.0, period, 1000)
    return builders.submit(
        ledger, 'timed', step, priority=2, now=NOW - 30.0, schedule=schedule
    )


def test_job_does_not_wait_behind_an_earlier_gang_beside_a_schedule():
    """Guards against a job that has nothing running while there is room.

    No new jobs come, but a job accepted long before becomes due every 5 s.
    """
    ledger = builders.make_ledger(workers=6)
    _set_schedule(ledger, 5.0)
    _submit_waiting_gang(ledger)
    waited = _decide_until(ledger, _submit_small(ledger), 25.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


@pytest.mark.parametrize('skew', [0.0, 5.0, 10.0])
def test_clock_of_the_entry_that_was_ahead_keeps_no_job_waiting(skew):
    """Guards against a job that waits for longer as a clock was stepped.

    The entry that accepted the job had a clock that was ahead.
    """
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(3, accelerators=8, estimate=30.0, data_rack='r0')
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    step = builders.make_step(accelerators=8, estimate=30.0, data_rack='r0')
    job = builders.submit(ledger, 'waiting', step, skew=skew)
    waited = _decide_until(ledger, job, 40.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def _suspect(job):
    """Let a worker crash under the first run of a unit."""
    unit = next(job.iterate_ready(NOW, builders.WALL))
    unit.get_progress().unanswered[0] = {1}
    unit.get_progress().numbers[0] = 1


def _overrun(ledger, workers=1):
    """Let workers run work that goes on long after its estimate."""
    step = builders.make_step(
        workers, accelerators=8, estimate=5.0, data_rack='r0'
    )
    builders.submit(ledger, 'running', step, now=NOW - 1.0)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW - 5.0)


@pytest.mark.parametrize('is_suspect', [False, True])
def test_gang_that_is_a_suspect_does_not_hold_idle_workers(is_suspect):
    """Guards against a job that has nothing running while there is room.

    A gang that is a suspect of a crash needs all workers, and one of them
    runs work that goes on long after its estimate.
    """
    ledger = builders.make_ledger(workers=6)
    _overrun(ledger)
    step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
    gang = builders.submit(ledger, 'gang', step)
    if is_suspect:
        _suspect(gang)
    builders.decide(ledger)
    waited = _decide_until(ledger, _submit_small(ledger), 60.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


@pytest.mark.parametrize('is_suspect', [False, True])
def test_gang_that_is_a_suspect_does_not_hold_back_a_guarantee(is_suspect):
    """Guards against guaranteed work that starts too late (RECLAIM).

    An earlier guaranteed gang waits for work that goes on for long.
    """
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(accelerators=8, estimate=5.0, data_rack='r0')
    builders.submit(ledger, 'running', step, priority=0, now=NOW - 1.0)
    builders.decide(ledger, guarantee=100)
    builders.report_all_runs_begun(ledger, NOW - 5.0)
    step = builders.make_step(6, accelerators=7, gang=True, estimate=20.0)
    gang = builders.submit(ledger, 'gang', step, priority=0)
    if is_suspect:
        _suspect(gang)
    builders.decide(ledger, guarantee=100)
    step = builders.make_step(accelerators=1, estimate=100.0)
    late = builders.submit(ledger, 'late', step, priority=0)
    for tick in range(40):
        builders.decide(ledger, NOW + 0.25 * tick, guarantee=100)
    assert builders.list_runs(ledger, late)


def test_item_that_lasts_does_not_wait_behind_a_gang():
    """Guards against an item that lasts and does not run beside room (LOST).

    Another item of its job runs, which is no excuse for work that lasts. A
    gang of a higher rank needs the other workers and waits for an overdue run.
    """
    ledger = builders.make_ledger(workers=6)
    _overrun(ledger)
    step = builders.make_step(5, accelerators=8, gang=True, estimate=20.0)
    builders.submit(ledger, 'gang', step)
    step = builders.make_step(
        2,
        accelerators=1,
        estimate=100.0,
        lasting=True,
        per_worker=1,
    )
    job = builders.submit(ledger, 'lasts', step, priority=2, now=NOW - 60.0)
    worker = ledger.workers[work.Lifetime('w5', 6)]
    unit = next(job.iterate_ready(NOW, builders.WALL))
    (run,) = job.assign_runs(unit, [(worker.lifetime, worker.agent)])
    worker.add_run(
        placed_run.PlacedRun(
            run, job, step, step.get_reservation(), 0, True, NOW
        )
    )
    builders.report_all_runs_begun(ledger, NOW)

    def act(now):
        for placed in worker.runs.values():
            placed.update_from_list(work.RunningRun(placed.run, '', 0.0), now)
            placed.last_listed = now

    for tick in range(60):
        act(NOW + 0.5 * tick)
        builders.decide(ledger, NOW + 0.5 * tick)
    assert len(builders.list_runs(ledger, job)) == 2


@pytest.mark.parametrize('count', [0, 1, 3])
@pytest.mark.parametrize('period', [0.0, -1.0, 5.0])
def test_odd_schedules_raise_nothing(period, count):
    """Guards against a pass that ends with an exception."""
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(label='none')
    schedule = work.Schedule(builders.WALL - 20.0, period, count)
    builders.submit(ledger, 'timed', step, schedule=schedule)
    _submit_waiting_gang(ledger)
    assert _decide_until(ledger, _submit_small(ledger), 30.0) is not None


def test_no_workers_and_no_steps_raise_nothing():
    """Guards against a pass that ends with an exception."""
    ledger = builders.make_ledger(workers=0)
    builders.submit(ledger, 'empty')
    small = _submit_small(ledger)
    assert _decide_until(ledger, small, 20.0) is None
    limit = idle_limit.IdleLimit(NOW, ledger)
    assert limit.get_used_share('s') == 1.0
    assert not limit.has_ample_room(next(small.iterate_ready(NOW, 0.0)))

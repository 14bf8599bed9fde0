"""Tests of how long work that could run has nothing running."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import placed_run
from damaskpin.coordinator import run_ends
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0

# Work that ends soon enough to be waited for, and work that lasts longer.
WAITED_FOR_S = 30.0
LONG_S = 100.0

# Times of an installation in seconds: grant of an agent, and time that a
# worker takes to stop a run.
GRANT_S = 13.5
STOP_S = 0.4


def _place(ledger, job, worker_id, placed_at):
    """Place a job's first ready unit on a worker; return its run."""
    unit = next(job.iterate_ready(placed_at, builders.WALL))
    worker = _get_worker(ledger, worker_id)
    (run,) = job.assign_runs(unit, [(worker.lifetime, worker.agent)])
    demand = unit.step.get_reservation()
    placed = placed_run.PlacedRun(
        run, job, unit.step, demand, 1, False, placed_at
    )
    worker.add_run(placed)
    return placed


def _get_worker(ledger, worker_id):
    for worker in ledger.workers.values():
        if worker.lifetime.worker == worker_id:
            return worker
    return None


def _decide_until(
    ledger, job, count, seconds, started=NOW, has_arrivals=False
):
    """Decide until a job has a number of runs; return the seconds it took.

    :param has_arrivals: whether other jobs arrive every 5 s.
    :returns: ``None`` if it does not get them.
    """
    for step in range(int(seconds / 0.5) + 1):
        now = started + step * 0.5
        if has_arrivals and step % 10 == 0:
            builders.submit_arrival(ledger, now)
        builders.decide(ledger, now)
        if len(builders.list_runs(ledger, job)) >= count:
            return now - started
    return None


def _fill(ledger, worker_id, estimate=WAITED_FOR_S, **more):
    """Let a worker run work that uses all its accelerators."""
    step = builders.make_step(accelerators=8, estimate=estimate, **more)
    job = builders.submit(ledger, f'on-{worker_id}', step)
    placed = _place(ledger, job, worker_id, NOW)
    placed.update_from_list(work.RunningRun(placed.run, '', 0.0), NOW)
    return placed


def _submit_gang(ledger, count, **more):
    step = builders.make_step(count, accelerators=8, gang=True, estimate=20.0)
    return builders.submit(ledger, 'gang', step, **more)


def _submit_small(ledger, name='small', **more):
    step = builders.make_step(accelerators=1, estimate=LONG_S)
    return builders.submit(ledger, name, step, priority=2, **more)


@pytest.mark.parametrize('is_silent', [False, True])
def test_run_that_is_not_at_work_keeps_no_job_waiting_for_its_rack(is_silent):
    """Guards against a job that has nothing running while there is room.

    One of its runs was accepted by no worker, or its worker is silent.
    """
    ledger = builders.make_ledger(workers=6)
    for worker_id in ('w0', 'w1', 'w2'):
        _fill(ledger, worker_id)
    step = builders.make_step(
        2, accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    job = builders.submit(ledger, 'waiting', step)
    placed = _place(ledger, job, 'w5', NOW)
    if is_silent:
        placed.update_from_list(work.RunningRun(placed.run, '', 0.0), NOW)
        _get_worker(ledger, 'w5').silence = 2.0
    waited = _decide_until(ledger, job, 2, 40.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_run_at_work_lets_the_rest_of_its_job_wait_for_its_rack():
    """Guards against work that takes three times as long for no reason."""
    ledger = builders.make_ledger(workers=6)
    for worker_id in ('w0', 'w1', 'w2'):
        _fill(ledger, worker_id)
    step = builders.make_step(
        2, accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    job = builders.submit(ledger, 'waiting', step)
    placed = _place(ledger, job, 'w5', NOW)
    placed.update_from_list(work.RunningRun(placed.run, '', 0.0), NOW)
    for tick in range(40):
        now = NOW + tick * 0.5
        placed.update_from_list(work.RunningRun(placed.run, '', 0.0), now)
        builders.decide(ledger, now)
    assert len(builders.list_runs(ledger, job)) == 1


def test_runs_on_silent_workers_do_not_count_as_use_of_the_service():
    """Guards against a job that has nothing running while there is room.

    By the books most of the service is in use, by workers that are gone; one
    of those left is reserved for a later gang.
    """
    ledger = builders.make_ledger(workers=6)
    for worker_id in ('w0', 'w1', 'w2', 'w3', 'w4'):
        _fill(ledger, worker_id)
    for worker_id in ('w0', 'w1', 'w2', 'w3'):
        worker = _get_worker(ledger, worker_id)
        worker.silence = 2.0
        # Other work uses most of the processors.
        others = work.Resources(120_000, 0, 0)
        worker.free_capacity = worker.free_capacity.minus(others)
    small = _submit_small(ledger)
    _submit_gang(ledger, 2, now=NOW + 0.1)
    waited = _decide_until(ledger, small, 1, 25.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_overdue_reservation_of_an_earlier_gang_does_not_hold_idle_work():
    """Guards against a job that has nothing running while there is room.

    An earlier gang needs all workers, and one of them runs work that goes on
    long after its estimate.
    """
    ledger = builders.make_ledger(workers=6)
    _fill(ledger, 'w0', estimate=5.0)
    _submit_gang(ledger, 6)
    builders.decide(ledger)
    waited = _decide_until(
        ledger, _submit_small(ledger), 1, 40.0, has_arrivals=True
    )
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_gang_that_was_put_off_is_not_put_off_again_at_once():
    """Guards against large jobs that starve behind small ones."""
    ledger = builders.make_ledger(workers=6)
    _fill(ledger, 'w0', estimate=5.0)
    _submit_gang(ledger, 6)
    builders.decide(ledger)
    small = _submit_small(ledger)
    assert _decide_until(ledger, small, 1, 40.0, has_arrivals=True)
    builders.report_all_runs_begun(ledger, NOW + 40.0)
    later = _submit_small(ledger, 'later')
    waited = _decide_until(
        ledger, later, 1, 40.0, NOW + 40.0, has_arrivals=True
    )
    assert waited is None


def test_lease_of_a_restarted_worker_is_extended_once():
    """Guards against work that waits long for a worker that is gone.

    Late calls to a former process of the worker can set a long lease on the
    next one only for some time after the restart.
    """
    ledger = ledgers.RunLedger(NOW, GRANT_S, STOP_S)
    former = work.Lifetime('w', 1)
    ledger.find_worker(NOW, 'agent', former, True)
    worker = ledger.find_worker(NOW, 'agent', work.Lifetime('w', 2), True)
    last_report = NOW + 60.0
    worker.last_report_time = last_report
    worker.latest_run_end = ledger.run_ends.get_granted_end(last_report)
    ledger.remove_expired_workers(worker.latest_run_end + 0.1)
    assert not ledger.workers


def test_lease_of_a_worker_that_was_just_restarted_is_extended():
    """Guards against a run that executes twice."""
    ledger = ledgers.RunLedger(NOW, GRANT_S, STOP_S)
    ledger.find_worker(NOW, 'agent', work.Lifetime('w', 1), True)
    worker = ledger.find_worker(NOW, 'agent', work.Lifetime('w', 2), True)
    lapse = worker.latest_run_end + run_ends.RESTART_LEASE_EXTENSION_S
    ledger.remove_expired_workers(lapse - 0.1)
    assert ledger.workers
    ledger.remove_expired_workers(lapse + 0.1)
    assert not ledger.workers


def test_suspect_of_a_crash_is_not_put_off_by_a_stream_of_other_starts():
    """Guards against a job that has nothing running while there is room.

    A worker may have crashed under it, so that it needs a worker without
    another recent start, and later work of lower priority keeps on starting on
    the only one.
    """
    ledger = builders.make_ledger(workers=1)
    step = builders.make_step(accelerators=1, estimate=10.0)
    suspect = builders.submit(ledger, 'suspect', step, priority=0)
    unit = next(suspect.iterate_ready(NOW, builders.WALL))
    unit.get_progress().unanswered[0] = {1}
    unit.get_progress().numbers[0] = 1
    step = builders.make_step(accelerators=1, estimate=1.0)
    (worker,) = ledger.workers.values()
    worker.last_start = NOW - 0.5
    for tick in range(int(LONGEST_WAIT_S / 0.5)):
        now = NOW + tick * 0.5
        builders.submit(ledger, f'later-{tick}', step, priority=2, now=now)
        builders.decide(ledger, now)
        if builders.list_runs(ledger, suspect):
            break
        _end_runs(ledger, now - 1.0)
    assert builders.list_runs(ledger, suspect)


def _end_runs(ledger, placed_before):
    """End the runs that were placed up to a time, and their jobs."""
    for worker in ledger.workers.values():
        for run, placed in list(worker.runs.items()):
            if placed.placed_at > placed_before:
                continue
            worker.remove_run(run)
            placed.job.remove_run(run)
            placed.job.finish(work.JobState.COMPLETED, builders.WALL)

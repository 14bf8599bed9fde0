"""Tests of jobs that wait for a better place while most workers are idle."""

from __future__ import annotations

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import placed_run
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0

# Work that ends soon enough to be waited for, and work that lasts longer.
WAITED_FOR_S = 30.0
LONG_S = 100.0


def _decide_until(ledger, job, seconds, guarantee=0, has_arrivals=False):
    """Decide again and again; return the seconds until a job has a run.

    :param has_arrivals: whether other jobs arrive every 5 s.
    :returns: ``None`` if it has none.
    """
    for step in range(int(seconds / 0.5) + 1):
        now = NOW + step * 0.5
        if has_arrivals and step % 10 == 0:
            builders.submit_arrival(ledger, now)
        builders.decide(ledger, now, guarantee)
        if builders.list_runs(ledger, job):
            return now - NOW
    return None


def _fill_rack(ledger, workers=3):
    """Let the workers of rack ``r0`` run work for a while."""
    step = builders.make_step(
        workers, accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)


def _submit_local(ledger):
    step = builders.make_step(
        accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    return builders.submit(ledger, 'waiting', step)


def _submit_gang(ledger, **more):
    step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
    return builders.submit(ledger, 'gang', step, **more)


def _submit_small(ledger):
    step = builders.make_step(accelerators=1, estimate=LONG_S)
    return builders.submit(ledger, 'small', step, priority=2)


def test_job_does_not_wait_long_for_its_rack_beside_idle_workers():
    """Guards against a job that has nothing running while there is room.

    It waited for its rack for up to twice its estimate.
    """
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger)
    waited = _decide_until(ledger, _submit_local(ledger), 60.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_job_does_not_wait_long_beside_capacity_reserved_for_a_gang():
    """Guards against a job that has nothing running while there is room.

    A later gang that needs all workers waits for the end of one long run.
    """
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger, workers=1)
    small = _submit_small(ledger)
    _submit_gang(ledger, now=NOW + 0.1)
    waited = _decide_until(ledger, small, 25.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_earlier_gang_is_not_put_off_while_jobs_arrive():
    """Guards against large jobs that starve behind small ones."""
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger, workers=1)
    _submit_gang(ledger)
    builders.decide(ledger)
    waited = _decide_until(
        ledger, _submit_small(ledger), 25.0, has_arrivals=True
    )
    assert waited is None


def test_job_does_not_wait_long_behind_an_earlier_gang_if_none_arrive():
    """Guards against a job that has nothing running while there is room.

    An earlier gang that needs all workers waits for the end of one long run.
    """
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger, workers=1)
    _submit_gang(ledger)
    builders.decide(ledger)
    waited = _decide_until(ledger, _submit_small(ledger), 25.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_recent_job_still_waits_for_its_rack():
    """Guards against work that takes three times as long for no reason."""
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger)
    job = _submit_local(ledger)
    assert _decide_until(ledger, job, idle_limit.MIN_AGE_S - 1.0) is None


def test_reservations_hold_while_most_of_the_service_is_in_use():
    """Guards against large jobs that starve behind small ones."""
    ledger = builders.make_ledger(workers=6)
    step = work.Step(
        count=5,
        demand=work.Resources(91_000, 1000, 6),
        estimate=WAITED_FOR_S,
        per_worker=1,
    )
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)
    _submit_gang(ledger)
    builders.decide(ledger)
    assert _decide_until(ledger, _submit_small(ledger), 25.0) is None


def test_capacity_reserved_for_a_guarantee_is_not_taken():
    """Guards against guaranteed work that idle jobs hold up.

    A guaranteed gang waits for a run that it has preempted.
    """
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.silence = 1.0
    small = _submit_small(ledger)
    builders.decide(ledger)
    for worker in ledger.workers.values():
        worker.silence = 0.0
    now = NOW + 2 * idle_limit.MIN_AGE_S
    worker = next(iter(ledger.workers.values()))
    running = builders.submit(ledger, 'running', builders.make_step(4))
    worker.add_run(_place(running, worker, now))
    step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
    gang = builders.submit(ledger, 'gang', step, priority=0, now=now)
    builders.decide(ledger, now, guarantee=48)
    builders.decide(ledger, now + 1.5, guarantee=48)
    assert next(iter(worker.runs.values())).stop_reason
    assert not builders.list_runs(ledger, small)
    for run in list(worker.runs):
        worker.remove_run(run)
        running.remove_run(run)
    builders.decide(ledger, now + 1.6, guarantee=48)
    assert len(builders.list_runs(ledger, gang)) == 6


def _place(job, worker, now):
    """Return a run of a job's first work item that is under way."""
    unit = next(job.iterate_ready(now, builders.WALL))
    (run,) = job.assign_runs(unit, [(worker.lifetime, worker.agent)])
    placed = placed_run.PlacedRun(
        run, job, unit.step, unit.step.get_reservation(), 1, True, now
    )
    placed.update_from_list(work.RunningRun(run, '', 0.0), now)
    return placed


def test_job_does_not_wait_long_beside_idle_suspect_workers():
    """Guards against a job that has nothing running while there is room.

    Other jobs fail on each worker again and again, so that all are suspect.
    """
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.suspect_until = NOW + 60.0
    job = builders.submit(ledger, 'job', builders.make_step(4))
    waited = _decide_until(ledger, job, 30.0)
    assert waited is not None
    assert idle_limit.MIN_AGE_S <= waited <= LONGEST_WAIT_S


def test_job_starts_on_no_suspect_worker_while_jobs_arrive():
    """Guards against a failing worker that uses up the attempts of jobs."""
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.suspect_until = NOW + 60.0
    job = builders.submit(ledger, 'job', builders.make_step())
    assert _decide_until(ledger, job, 30.0, has_arrivals=True) is None


def _submit_last_attempt(ledger):
    job = builders.submit(ledger, 'job', builders.make_step(), attempts=2)
    job.get_step_progress(0, 0).failures[0] = 1
    return job


def test_last_attempt_starts_on_no_suspect_worker_that_has_failed_runs():
    """Guards against a failing worker that ends idle jobs."""
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.suspect_until = NOW + 60.0
        worker.failed_runs['other', 0, 0, 0] = 1
    assert _decide_until(ledger, _submit_last_attempt(ledger), 30.0) is None


def test_last_attempt_does_not_wait_long_beside_workers_with_stalls():
    """Guards against a job that has nothing running while there is room.

    Runs of others have stalled on each worker, and none has failed there.
    """
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.suspect_until = NOW + 60.0
    waited = _decide_until(ledger, _submit_last_attempt(ledger), 30.0)
    assert waited is not None
    assert waited <= LONGEST_WAIT_S


def test_job_prefers_an_idle_worker_that_is_not_suspect():
    """Guards against work on suspect workers while others are idle."""
    ledger = builders.make_ledger(workers=6)
    *suspects, sound = ledger.workers.values()
    for worker in suspects:
        worker.suspect_until = NOW + 60.0
    sound.silence = 1.0
    job = builders.submit(ledger, 'job', builders.make_step(1))
    assert _decide_until(ledger, job, 9.0) is None
    sound.silence = 0.0
    builders.decide(ledger, NOW + 20.0)
    assert builders.list_runs(ledger, job) == {0: sound.lifetime.worker}

"""Tests of jobs whose starts come to nothing again and again."""

from __future__ import annotations

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import job_times
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0
# Longest time in seconds for which a job may have nothing running then.
MAX_WAIT_S = 3.0

TICK_S = 0.25
WAITED_FOR_S = 30.0
RACK_WORKERS = ('w0', 'w1', 'w2')


def _submit_local(ledger, count=1):
    step = builders.make_step(
        count, accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    return builders.submit(ledger, 'job', step)


def _fill_rack(ledger):
    step = builders.make_step(
        3, accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    builders.submit(ledger, 'running', step)
    builders.decide(ledger)
    builders.report_all_runs_begun(ledger, NOW)


def _list_placed(ledger, job):
    """Return the runs of a job with their workers."""
    return [
        (worker, placed)
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
        if placed.job is job
    ]


def _refuse(ledger, worker, placed):
    refused = orders.RefusedRun(placed.run, 'status 503')
    ledger.record_refusal(worker, refused)


def test_job_leaves_a_rack_whose_workers_refuse_each_of_its_starts():
    """Guards against a job that has nothing running while there is room.

    The workers in the rack of its data accept other starts meanwhile, so that
    they have no long pauses. Each refusal began the time without a run anew.
    """
    ledger = builders.make_ledger(workers=6)
    job = _submit_local(ledger)
    for tick in range(int(60.0 / TICK_S)):
        now = NOW + tick * TICK_S
        builders.decide(ledger, now)
        for worker, placed in _list_placed(ledger, job):
            if worker.lifetime.worker in RACK_WORKERS:
                _refuse(ledger, worker, placed)
        if builders.list_runs(ledger, job):
            break
    assert builders.list_runs(ledger, job)
    assert idle_limit.MIN_AGE_S <= now - NOW <= LONGEST_WAIT_S


def test_starts_that_come_to_nothing_keep_no_rest_of_a_job_waiting():
    """Guards against a job that has nothing running while there is room.

    The rack of its data is full. Each start of one of its work items was taken
    for a run at work for 3 s, although no worker ever had one.
    """
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger)
    job = _submit_local(ledger, 2)
    first_started = None
    for tick in range(int(60.0 / TICK_S)):
        now = NOW + tick * TICK_S
        builders.decide(ledger, now)
        placed_runs = _list_placed(ledger, job)
        if len(placed_runs) == 2:
            break
        for worker, placed in placed_runs:
            first_started = first_started or now
            if now - placed.placed_at >= 2.0:
                # Its start call had no answer, and it is withdrawn.
                _refuse(ledger, worker, placed)
    assert len(_list_placed(ledger, job)) == 2
    assert now - first_started <= MAX_WAIT_S + 2 * TICK_S


def test_withdrawn_start_is_followed_by_another_at_once():
    """Guards against a limit that begins anew with each withdrawn start."""
    ledger = builders.make_ledger(workers=6)
    _fill_rack(ledger)
    job = _submit_local(ledger)
    builders.decide(ledger, NOW + 1.0)
    started = NOW + idle_limit.MIN_AGE_S + 1.0
    builders.decide(ledger, started)
    ((worker, placed),) = _list_placed(ledger, job)
    _refuse(ledger, worker, placed)
    assert not _list_placed(ledger, job)
    builders.decide(ledger, started + TICK_S)
    assert _list_placed(ledger, job)


def test_takeovers_do_not_prolong_a_wait():
    """Guards against a limit that each coordinator begins anew.

    Coordinators follow each other more quickly than the limit on idle time.
    """
    terms = work.Terms('q', 's', 1, 3, 2.0, 1.0)
    step = builders.make_step(
        accelerators=8, estimate=WAITED_FOR_S, data_rack='r0'
    )
    submission = work.Submission(
        'job', 'a', 'content', (step,), terms, builders.WALL
    )
    waited = 0.0
    while waited < 30.0:
        ledger = builders.make_ledger(workers=6)
        _fill_rack(ledger)
        job = jobs.Job(submission, records.Progress(), job_times.JobTimes(NOW))
        ledger.add_job(NOW + waited, job)
        for tick in range(3):
            builders.decide(ledger, NOW + waited + tick * TICK_S)
        if builders.list_runs(ledger, job):
            break
        waited += 3 * TICK_S
    assert waited + 2 * TICK_S >= idle_limit.MIN_AGE_S
    assert waited <= LONGEST_WAIT_S


def test_work_item_that_lasts_is_idle_while_its_starts_come_to_nothing():
    """Guards against owed work that never starts.

    Another item of its step is at work, so that only its own time counts.
    """
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(
        2, accelerators=8, lasting=True, estimate=WAITED_FOR_S
    )
    job = builders.submit(ledger, 'job', step)
    builders.decide(ledger)
    (first, second) = _list_placed(ledger, job)
    row = work.RunningRun(first[1].run, '', 0.0)
    first[1].update_from_list(row, NOW + 30.0)
    _refuse(ledger, *second)
    (unit,) = job.iterate_ready(NOW + 30.0, builders.WALL)
    limit = idle_limit.IdleLimit(NOW + 30.0, ledger)
    assert limit.measure_idle(unit) == 30.0


def test_run_on_a_silent_worker_ends_no_wait():
    """Guards against work that is only in lists that an agent repeats."""
    ledger = builders.make_ledger(workers=6)
    job = builders.submit(ledger, 'job', builders.make_step(2))
    builders.decide(ledger)
    _, placed = _list_placed(ledger, job)[0]
    row = work.RunningRun(placed.run, '', 0.0)
    placed.update_from_list(row, NOW + 10.0, silence=4.0)
    assert job.times.last_at_work == NOW + 6.0

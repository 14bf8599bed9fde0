"""Tests of reasons to wait that the limit on idle time leaves out."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import unanswered_starts
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
TICK_S = 0.125
PLAY_S = 60.0

RACK = 'r0'
# Accelerators of all workers and of the run that the gang waits for.
GUARANTEE = 52
# Time in seconds after which a job is over the limit on idle time, if its
# starts come to nothing: the age, a wait and the time of one more start.
LONGEST_S = (
    idle_limit.MIN_AGE_S + idle_limit.MAX_UNHEARD_S + idle_limit.MAX_START_S
)


def _list_refused(ledger, due, now, delay):
    """Return the runs whose refusal is due, with their workers.

    The first refusals of the work items of a step come one after the other.
    """
    refused = []
    for worker in ledger.workers.values():
        for run, placed in worker.runs.items():
            shift = 0.0
            if run.number == 1:
                shift = delay * run.item.index / placed.step.count
            if now >= due.setdefault(run, now + delay + shift):
                refused.append((worker, run))
    return refused


def _play_refusals(count, delay):
    """Let the rack of the data refuse all starts of a job.

    :param delay: seconds from a start to its refusal.
    :returns: seconds until a start in another rack; ``None`` without one.
    """
    ledger = builders.make_ledger()
    step = builders.make_step(count, estimate=60.0, data_rack=RACK)
    job = builders.submit(ledger, 'job', step)
    due = {}
    now = NOW
    while now < NOW + PLAY_S:
        builders.decide(ledger, now)
        used = set(builders.list_runs(ledger, job).values())
        if any(
            worker.profile.rack != RACK and worker.lifetime.worker in used
            for worker in ledger.workers.values()
        ):
            return now - NOW
        for worker, run in _list_refused(ledger, due, now, delay):
            refused = orders.RefusedRun(run, 'status 503')
            ledger.record_refusal(worker, refused)
        now += TICK_S
    return None


@pytest.mark.parametrize('delay', [0.25, 0.75, 1.5])
@pytest.mark.parametrize('count', [1, 2, 10])
def test_job_of_several_work_items_leaves_a_rack_that_refuses_it(count, delay):
    """Guards against a job that waits as some start of it is always new.

    Each start counts as work for a second, also after many that were refused.
    """
    waited = _play_refusals(count, delay)
    assert waited is not None
    assert waited <= LONGEST_S


def _make_far_start(estimate):
    """Return a ledger with a guaranteed gang that waits for a long run.

    The run draws on the guarantee, too, so that it is not preempted.

    :param estimate: seconds until the run should end.
    """
    ledger = builders.make_ledger()
    step = builders.make_step(accelerators=4, estimate=estimate)
    builders.submit(ledger, 'running', step, priority=0)
    builders.decide(ledger, guarantee=GUARANTEE)
    builders.report_all_runs_begun(ledger, NOW)
    step = builders.make_step(6, accelerators=8, gang=True, estimate=20.0)
    builders.submit(ledger, 'gang', step, priority=0)
    step = builders.make_step(estimate=100.0)
    builders.submit(ledger, 'small', step, priority=2)
    return ledger


def _wait_for_start(ledger, job_id, now):
    """Let time pass until a job has a run; return the seconds."""
    waited = 0.0
    while not builders.list_runs(ledger, ledger.jobs[job_id]):
        builders.decide(ledger, now + waited, guarantee=GUARANTEE)
        builders.report_all_runs_begun(ledger, now + waited)
        waited += TICK_S
        assert waited <= PLAY_S
    return waited - TICK_S


def _end_runs(ledger, is_ending):
    """Remove the runs that have ended."""
    for worker in ledger.workers.values():
        for run, placed in list(worker.runs.items()):
            if is_ending(placed):
                worker.remove_run(run)
                placed.job.remove_run(run)


@pytest.mark.parametrize('estimate', [5.0, 20.0, 60.0])
def test_guaranteed_work_that_waits_for_long_runs_leaves_idle_workers(
    estimate,
):
    """Guards against idle workers that are reserved for a far start."""
    ledger = _make_far_start(estimate)
    waited = _wait_for_start(ledger, 'small', NOW)
    assert waited <= idle_limit.MIN_AGE_S + idle_limit.MAX_FIRM_DELAY_S


@pytest.mark.parametrize('estimate', [20.0, 60.0])
def test_guaranteed_work_starts_soon_after_a_long_run(estimate):
    """Guards against a guarantee that is broken by idle work."""
    ledger = _make_far_start(estimate)
    now = NOW + _wait_for_start(ledger, 'small', NOW)
    running = ledger.jobs['running']
    _end_runs(ledger, lambda placed: placed.job is running)
    running.finish(work.JobState.COMPLETED, builders.WALL)
    now += TICK_S
    builders.decide(ledger, now, guarantee=GUARANTEE)
    assert builders.list_stopping_jobs(ledger) == ['small']
    _end_runs(ledger, lambda placed: placed.stop_reason)
    assert _wait_for_start(ledger, 'gang', now + 1.0) <= 1.0


def test_start_without_an_answer_is_stopped_on_a_flapping_worker():
    """Guards against a clock of a wait that begins anew with each silence."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    ((worker, placed),) = [
        (worker, placed)
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
    ]
    assert placed.job is job
    placed.ordered_to = ''
    silence_s = 0.5
    interval_s = unanswered_starts.MAX_ANSWER_S - 1.0
    now = NOW
    while not placed.stop_reason:
        worker.last_report_time = now
        is_silent = (now - NOW) % interval_s >= interval_s - silence_s
        worker.silence = 1.0 if is_silent else 0.0
        unanswered_starts.stop_unanswered_starts(now, ledger)
        now += TICK_S
        assert now - NOW <= 3 * unanswered_starts.MAX_ANSWER_S

"""Tests of how chance crashes are weighed before work is given up."""

from __future__ import annotations

import logging

import pytest

from damaskpin.coordinator import crash_watch
from damaskpin.coordinator import crashes
from damaskpin.model import crash_limits as limits
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

WALL = builders.WALL

# Time in seconds for which a job may wait beside room.
MAX_WAIT_S = 3.0


def _crash_under(ledger, job, now):
    """Crash the worker of a job's only run, which had just begun."""
    ((run, active),) = job.iterate_active()
    crash = orders.Crash(active.lifetime, (run,), (run,), (run,))
    crashes.record_crash(now, WALL, ledger, crash)
    ledger.remove_lost_run(ledger.workers[active.lifetime], run, 'crashed')


def _crash_idle_worker(ledger, now):
    """Report the crash of a worker on which nothing had begun."""
    lifetime = work.Lifetime(f'idle-{now}', 1)
    crashes.record_crash(now, WALL, ledger, orders.Crash(lifetime, (), ()))


def _crash_repeatedly(ledger, job, count):
    """Start a job and crash its worker so often, 10 s apart.

    :returns: time of the last crash in seconds.
    """
    now = builders.NOW
    for _ in range(count):
        now += 10.0
        builders.decide(ledger, now)
        _crash_under(ledger, job, now)
    return now


def _review(ledger, now):
    later = now + crash_watch.REVIEW_DELAY_S
    crashes.review_crashes(later, WALL, ledger)


def test_last_crash_without_others_ends_the_job():
    """Guards against a killer that is started again and again."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES)
    assert not job.is_final()
    builders.decide(ledger, now + 0.1)
    assert not list(job.iterate_active()), 'started before the review'
    _review(ledger, now)
    assert job.progress.state is work.JobState.FAILED


def test_crash_beside_chance_crashes_is_doubted_once():
    """Guards against blame for chance, and against endless excuses.

    The report of the other crash comes after that of the suspect's.
    """
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES)
    _crash_idle_worker(ledger, now + 0.5)
    _review(ledger, now)
    assert not job.is_final()
    now += 20.0
    builders.decide(ledger, now)
    _crash_under(ledger, job, now)
    assert job.progress.state is work.JobState.FAILED


def test_last_try_waits_for_the_end_of_chance_crashes():
    """Guards against a last try that another chance crash ends."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES - 1)
    _crash_idle_worker(ledger, now)
    builders.decide(ledger, now + 1.0)
    assert not list(job.iterate_active())
    builders.decide(ledger, now + crash_watch.SIGN_PERIOD_S + 0.1)
    assert list(job.iterate_active())


def test_wait_for_the_end_of_chance_crashes_is_bounded():
    """Guards against work that never starts where workers keep crashing."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    begin = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES - 1)
    now = begin
    while not list(job.iterate_active()):
        now += 1.0
        assert now <= begin + crashes.MAX_SHELTER_WAIT_S + 3.0
        _crash_idle_worker(ledger, now)
        builders.decide(ledger, now)


@pytest.mark.parametrize('is_own', [False, True])
def test_unanswered_starts_of_a_job_do_not_hold_back_its_other_work(is_own):
    """Guards against a job that waits beside room for its own crashes.

    Its work items crash one worker each after a start call without an answer.
    Such crashes of another job hold it back.
    """
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES - 1)
    other_id = job.id if is_own else 'other'
    run = work.Run(work.Item(other_id, 0, 0, 1), 1)
    crash = orders.Crash(work.Lifetime('crashed', 1), (run,), (run,))
    crashes.record_crash(now, WALL, ledger, crash)
    builders.decide(ledger, now + 1.0)
    assert bool(list(job.iterate_active())) is is_own


def test_unanswered_starts_of_others_do_not_hold_back_idle_work_for_long():
    """Guards against a job that waits beside room for killers of others.

    These crash their workers without an answer, one after the other.
    """
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    begin = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES - 1)
    now = begin
    while not list(job.iterate_active()):
        assert now <= begin + MAX_WAIT_S
        run = work.Run(work.Item(f'killer-{now}', 0, 0, 0), 1)
        lifetime = work.Lifetime(f'crashed-{now}', 1)
        crash = orders.Crash(lifetime, (run,), (run,))
        crashes.record_crash(now, WALL, ledger, crash)
        now += 0.5
        builders.decide(ledger, now)


def test_work_that_ends_before_the_review_is_not_given_up():
    """Guards against failing work whose later run has ended successfully.

    A crash may be reported late, when the next run is under way.
    """
    ledger = builders.make_ledger()
    steps = builders.make_step(), builders.make_step(after=(0,))
    job = builders.submit(ledger, 'j', *steps)
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES)
    job.get_step_progress(0, 0).done.add(0)
    _review(ledger, now)
    assert not job.is_final()


def test_few_crashes_on_a_large_site_excuse_nothing():
    """Guards against a killer that rare crashes elsewhere protect."""
    ledger = builders.make_ledger(workers=60)
    job = builders.submit(ledger, 'j', builders.make_step())
    now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES)
    _crash_idle_worker(ledger, now)
    _review(ledger, now)
    assert job.progress.state is work.JobState.FAILED


def test_log_shows_why_a_job_was_given_up(caplog):
    """Guards against a given-up job whose crashes can't be traced."""
    ledger = builders.make_ledger()
    job = builders.submit(ledger, 'j', builders.make_step())
    with caplog.at_level(logging.WARNING, 'damaskpin.coordinator.events'):
        now = _crash_repeatedly(ledger, job, limits.MAX_SUSPECTED_CRASHES)
        _review(ledger, now)
    *counted, given_up = caplog.records
    assert given_up.message == 'work item given up after crashes'
    assert given_up.recent_runs == [r.number for r in counted] == [1, 2, 3]
    for record in counted:
        assert record.message == 'worker crashed under a run'
        assert (record.job, record.step, record.index) == ('j', 0, 0)
        assert record.recent and record.begun
        assert record.worker

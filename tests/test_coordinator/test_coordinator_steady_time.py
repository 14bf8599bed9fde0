"""Tests of waits while the Unix times of the entries differ or jump."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import idle_limit
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW

# Time within which a job has to run, counted from its acceptance, in seconds:
# it must not be idle for 3 s once 14 s have passed since the last one came.
LONGEST_WAIT_S = 14.0
# Step of a clock in seconds.
STEP_S = 30.0


def _make_ledger_of_suspects():
    """Return a ledger with idle workers that are all suspect for long."""
    ledger = builders.make_ledger(workers=6)
    for worker in ledger.workers.values():
        worker.suspect_until = NOW + 10 * STEP_S
    return ledger


def _decide_until(ledger, job, seconds, skew=0.0):
    """Decide until a job has a run; return the seconds that it took.

    :param skew: seconds by which the coordinator's clock is ahead later.
    :returns: ``None`` if it has none.
    """
    for step in range(int(seconds / 0.5) + 1):
        now = NOW + step * 0.5
        builders.decide(ledger, now, skew=skew if step else 0.0)
        if builders.list_runs(ledger, job):
            return now - NOW
    return None


@pytest.mark.parametrize(
    ('entry_skew', 'coordinator_skew'), [(STEP_S, 0.0), (0.0, -STEP_S)]
)
def test_clock_of_no_entry_prolongs_a_wait(entry_skew, coordinator_skew):
    """Guards against a job that has nothing running while there is room.

    Idle work starts on suspect workers once no jobs arrive. The clock of the
    entry that accepted the latest job was ahead, or that of the coordinator
    has jumped back, so that this job seemed to be newer than it was.
    """
    ledger = _make_ledger_of_suspects()
    job = builders.submit(ledger, 'job', builders.make_step(4))
    builders.submit(
        ledger, 'latest', builders.make_step(label='none'), skew=entry_skew
    )
    waited = _decide_until(ledger, job, 60.0, coordinator_skew)
    assert waited is not None
    assert idle_limit.MIN_AGE_S <= waited <= LONGEST_WAIT_S


def test_clock_ahead_does_not_end_the_time_with_arrivals():
    """Guards against idle work on suspect workers while jobs arrive.

    The clock of the coordinator has jumped forward, so that each job seemed to
    have come long ago.
    """
    ledger = _make_ledger_of_suspects()
    job = builders.submit(ledger, 'job', builders.make_step(4))
    for step in range(60):
        now = NOW + step * 0.5
        if not step % 10:
            builders.submit_arrival(ledger, now)
        builders.decide(ledger, now, skew=STEP_S if step else 0.0)
    assert not builders.list_runs(ledger, job)


def test_job_that_a_takeover_loads_is_no_arrival():
    """Guards against a wait that begins anew with each coordinator.

    The entry of the new coordinator has seen the job in the store before, and
    the clock of the entry that accepted it was ahead.
    """
    ledger = _make_ledger_of_suspects()
    terms = work.Terms('q', 's', 1, 3, 2.0, 1.0)
    accepted = builders.WALL + STEP_S
    steps = (builders.make_step(4),)
    submission = work.Submission('job', 'a', 'content', steps, terms, accepted)
    job = jobs.Job(submission, records.Progress(), NOW - LONGEST_WAIT_S)
    ledger.add_job(NOW, job)
    waited = _decide_until(ledger, job, LONGEST_WAIT_S)
    assert waited is not None
    assert waited <= 3.0


def test_scheduled_occurrence_is_as_old_as_the_steady_clock_tells():
    """Guards against a wait that lasts longer by the step of a clock."""
    ledger = builders.make_ledger(workers=6)
    schedule = work.Schedule(builders.WALL - 1.0, 10 * STEP_S, 2)
    job = builders.submit(
        ledger, 'job', builders.make_step(), schedule=schedule
    )
    (unit,) = job.iterate_ready(NOW, builders.WALL)
    assert unit.get_due_since() == NOW - 1.0
    wall = builders.WALL + 5.0
    (unit,) = job.iterate_ready(NOW + STEP_S, wall)
    assert unit.get_due_since() == NOW - 1.0

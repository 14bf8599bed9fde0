"""Tests of the check of failed runs that the simulation makes."""

from __future__ import annotations

import types

import pytest

from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import failures

JOB = 'j'
FAILED = work.Ending.FAILED
# Reasons that a coordinator gives.
FAILED_REASON = 'a work item failed 2 times'
CRASHED_REASON = '5 workers crashed while they ran it or were called to'


class _Play:
    """A play of one gang with two attempts, whose events a test gives.

    :ivar progress: progress of the job at the coordinator and in the store.
    """

    def __init__(self, gang=True):
        step = work.Step(
            count=3, demand=work.Resources(1, 1, 0), estimate=1.0, gang=gang
        )
        terms = work.Terms('q', 's', 1, 2, 2.0)
        submission = work.Submission(JOB, 'a', 'content', (step,), terms, 0.0)
        self.step_progress = records.StepProgress(numbers={0: 9})
        self.progress = records.Progress(occurrences={0: [self.step_progress]})
        self._store = {}
        self._failures = failures.Failures({JOB: submission}, self._store)
        self._event = 0

    def start(self, index, number, alive=True):
        self._event += 1
        worker = types.SimpleNamespace(alive=alive)
        run = _make_run(index, number)
        self._failures.record_start(self._event, worker, run)

    def fail(self, index, number, noted=True):
        self._event += 1
        run = _make_run(index, number)
        self._store[JOB] = records.encode_progress(self.progress)
        self._failures.record_end(run, FAILED)
        if noted:
            self._failures.record_noted(run, FAILED, self._event)

    def finish(self, reason):
        self.progress.state = work.JobState.FAILED
        self.progress.reason = reason

    def check_job(self):
        job = types.SimpleNamespace(progress=self.progress)
        self._failures.check_failed_jobs({JOB: job})

    def check_record(self, index, number):
        run = _make_run(index, number)
        self._failures.check_record(run, self.step_progress)


def _make_run(index, number):
    return work.Run(work.Item(JOB, 0, 0, index), number)


def test_job_that_fails_after_one_run_of_its_gang_is_a_break():
    """Guards against a check that takes failed members for failed runs."""
    play = _Play()
    for index in range(3):
        play.start(index, 1)
        play.fail(index, 1)
    play.finish(FAILED_REASON)
    with pytest.raises(AssertionError, match='attempts left'):
        play.check_job()


def test_job_that_fails_after_a_run_each_of_two_work_items_is_a_break():
    """Guards against a check that adds the failures of several work items."""
    play = _Play(gang=False)
    for index in range(2):
        play.start(index, 1)
        play.fail(index, 1)
    play.finish(FAILED_REASON)
    with pytest.raises(AssertionError, match='attempts left'):
        play.check_job()


@pytest.mark.parametrize('gang', [False, True])
def test_job_may_fail_after_its_attempts(gang):
    """Guards against a check that finds a break where there is none."""
    play = _Play(gang)
    for number in (1, 2):
        play.start(1, number)
        play.fail(1, number, noted=False)
    play.finish(FAILED_REASON)
    play.check_job()


@pytest.mark.parametrize('reason', [FAILED_REASON, CRASHED_REASON])
def test_crashes_end_no_job_where_no_worker_has_crashed(reason):
    """Guards against a check that excuses each job with crashes."""
    play = _Play()
    play.step_progress.numbers = {0: 3}
    for number in (1, 2, 3):
        play.start(0, number)
    play.finish(reason)
    with pytest.raises(AssertionError, match='attempts left'):
        play.check_job()


def test_crashes_under_a_work_item_may_end_its_job():
    """Guards against a check that knows no limits on crashes."""
    play = _Play()
    play.step_progress.numbers = {0: 3}
    for number in (1, 2, 3):
        play.start(0, number, alive=False)
    play.finish(CRASHED_REASON)
    play.check_job()


def test_run_after_the_last_allowed_one_of_a_gang_is_a_break():
    """Guards against a check that counts each member by itself."""
    play = _Play()
    play.finish(FAILED_REASON)
    play.fail(0, 1)
    play.fail(1, 2)
    with pytest.raises(AssertionError, match='after 2 failures'):
        play.start(2, 3)


def test_member_may_start_after_another_one_of_its_run_has_failed():
    """Guards against a failed run that counts against itself.

    Calls to start the members are under way at the same time.
    """
    play = _Play()
    play.finish(FAILED_REASON)
    play.fail(0, 1)
    play.fail(0, 2)
    play.start(1, 2)
    play.step_progress.failures = {0: 2}
    play.step_progress.failed_runs = {0: {1, 2}}
    play.check_record(1, 2)


def test_failed_member_that_starts_again_is_a_break():
    """Guards against a late copy of a call that has no earlier runs."""
    play = _Play()
    play.finish(FAILED_REASON)
    play.fail(0, 1)
    play.fail(0, 2)
    play.step_progress.failures = {0: 2}
    play.step_progress.failed_runs = {0: {1, 2}}
    with pytest.raises(AssertionError, match='after 2 failures'):
        play.check_record(0, 2)
    with pytest.raises(AssertionError, match='after 2 failures'):
        play.start(0, 2)


def test_gang_that_goes_on_after_its_last_attempt_is_a_break():
    """Guards against a check that only sees the starts of further runs."""
    play = _Play()
    play.fail(0, 1)
    with pytest.raises(AssertionError, match='goes on'):
        play.fail(1, 2)

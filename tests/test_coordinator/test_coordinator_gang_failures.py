"""Tests of gangs of which several members fail in one run."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import gang_runs
from tests.test_coordinator import reports

NOW = reports.NOW
WALL = reports.WALL
FAILED = work.Ending.FAILED
BROKEN = work.Ending.BROKEN


def _get_failures(job):
    return job.get_step_progress(0, 0).failures


@pytest.mark.parametrize(
    ('attempts', 'endings'),
    [
        (2, (FAILED, FAILED, BROKEN, BROKEN)),
        (2, (BROKEN, FAILED, BROKEN, FAILED)),
        (3, (FAILED, FAILED, FAILED, FAILED)),
    ],
)
def test_members_that_fail_in_one_run_count_once(attempts, endings):
    """Guards against a job shown as failed although it has attempts left."""
    coordinator, ledger, job = gang_runs.make_gang(attempts)
    gang_runs.list_ends(coordinator, gang_runs.list_members(ledger), endings)
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING
    builders.decide(ledger, NOW + 2.0)
    runs = {run.number for _, run in gang_runs.list_members(ledger)}
    assert runs == {2}, 'the gang is not tried again'


def test_member_that_fails_after_a_takeover_counts_with_its_run():
    """Guards against a job shown as failed although it has attempts left.

    One coordinator stores the first end, and the next one reads the second.
    """
    coordinator, ledger, job = gang_runs.make_gang()
    first, second, *_ = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, [first], [FAILED])
    successor, ledger, job = reports.replace_coordinator(
        coordinator, job, workers=4
    )
    members = gang_runs.list_members(ledger)
    assert second[1] in [run for _, run in members]
    gang_runs.list_ends(successor, members, [FAILED] * 3)
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def test_member_that_fails_after_the_next_run_has_begun_counts_once():
    """Guards against a job shown as failed although it has attempts left.

    The second member was taken for lost, and its end is listed later.
    """
    coordinator, ledger, job = gang_runs.make_gang()
    first, second, *others = gang_runs.list_members(ledger)
    gang_runs.list_ends(
        coordinator, [first, *others], [FAILED, BROKEN, BROKEN]
    )
    reports.remove(coordinator, ledger, second[1])
    builders.decide(ledger, NOW + 2.0)
    assert {run.number for _, run in gang_runs.list_members(ledger)} == {2}
    gang_runs.list_ends(coordinator, [second], [FAILED])
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def test_gang_that_fails_in_each_run_is_given_up_after_its_attempts():
    """Guards against a gang that is started beyond its attempts."""
    coordinator, ledger, job = gang_runs.make_gang()
    members = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, members, [FAILED, FAILED, BROKEN, BROKEN])
    builders.decide(ledger, NOW + 2.0)
    members = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, members, [BROKEN, BROKEN, BROKEN, FAILED])
    assert job.progress.state is work.JobState.FAILED
    assert job.progress.reason == 'a gang failed 2 times'


def test_failures_that_an_earlier_build_has_stored_count():
    """Guards against a gang that is started beyond its attempts.

    An earlier build stores how often a gang has failed and not the numbers of
    these runs.
    """
    coordinator, ledger, job = gang_runs.make_gang(attempts=3)
    members = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, members, [FAILED, BROKEN, BROKEN, BROKEN])
    builders.decide(ledger, NOW + 2.0)
    job.progress = records.decode_progress(_encode_as_earlier(job.progress))
    members = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, members, [FAILED, FAILED, BROKEN, BROKEN])
    assert _get_failures(job) == {0: 2}
    assert job.progress.state is work.JobState.RUNNING


def test_gang_has_not_failed_more_often_than_it_was_started():
    """Guards against a job shown as failed although it has attempts left.

    An earlier build counts one failed member and stores the record, the next
    build reads the end of another member of the same run.
    """
    coordinator, ledger, job = gang_runs.make_gang()
    members = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, members[:1], [FAILED])
    job.progress = records.decode_progress(_encode_as_earlier(job.progress))
    gang_runs.list_ends(coordinator, members[1:], [FAILED, BROKEN, BROKEN])
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def _encode_as_earlier(progress):
    """Return a record as written by a build without the numbers of runs."""
    for steps in progress.occurrences.values():
        for step in steps:
            if hasattr(step, 'failed_runs'):
                step.failed_runs = {}
    return records.encode_progress(progress)

"""Tests of gangs of which several members fail in one run."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import records
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = reports.NOW
WALL = reports.WALL
FAILED = work.Ending.FAILED
BROKEN = work.Ending.BROKEN


def _make_gang(attempts=2, count=4, workers=4):
    """Return a coordinator with a gang that has a worker for each member."""
    step = reports.make_large_step(count=count, gang=True)
    return reports.make_coordinator(step, workers=workers, attempts=attempts)


def _list_members(ledger):
    """Return the workers and runs of the gang in the order of its members."""
    members = [
        (worker, run)
        for worker in ledger.workers.values()
        for run in worker.runs
    ]
    return sorted(members, key=lambda member: member[1].item.index)


def _list_ends(coordinator, members, endings):
    """List the ends of members, each in a report of its worker's agent."""
    for (worker, run), ending in zip(members, endings, strict=False):
        serial = worker.last_end_serial + 1
        reports.list_end(coordinator, worker, run, ending, serial)


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
    coordinator, ledger, job = _make_gang(attempts)
    _list_ends(coordinator, _list_members(ledger), endings)
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING
    builders.decide(ledger, NOW + 2.0)
    runs = {run.number for _, run in _list_members(ledger)}
    assert runs == {2}, 'the gang is not tried again'


def test_member_that_fails_after_a_takeover_counts_with_its_run():
    """Guards against a job shown as failed although it has attempts left.

    One coordinator stores the first end, and the next one reads the second.
    """
    coordinator, ledger, job = _make_gang()
    first, second, *_ = _list_members(ledger)
    _list_ends(coordinator, [first], [FAILED])
    successor, ledger, job = reports.replace_coordinator(
        coordinator, job, workers=4
    )
    members = _list_members(ledger)
    assert second[1] in [run for _, run in members]
    _list_ends(successor, members, [FAILED] * 3)
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def test_member_that_fails_after_the_next_run_has_begun_counts_once():
    """Guards against a job shown as failed although it has attempts left.

    The second member was taken for lost, and its end is listed later.
    """
    coordinator, ledger, job = _make_gang()
    first, second, *others = _list_members(ledger)
    _list_ends(coordinator, [first, *others], [FAILED, BROKEN, BROKEN])
    reports.remove(coordinator, ledger, second[1])
    builders.decide(ledger, NOW + 2.0)
    assert {run.number for _, run in _list_members(ledger)} == {2}
    _list_ends(coordinator, [second], [FAILED])
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def test_gang_that_fails_in_each_run_is_given_up_after_its_attempts():
    """Guards against a gang that is started beyond its attempts."""
    coordinator, ledger, job = _make_gang()
    members = _list_members(ledger)
    _list_ends(coordinator, members, [FAILED, FAILED, BROKEN, BROKEN])
    builders.decide(ledger, NOW + 2.0)
    members = _list_members(ledger)
    _list_ends(coordinator, members, [BROKEN, BROKEN, BROKEN, FAILED])
    assert job.progress.state is work.JobState.FAILED
    assert job.progress.reason == 'a gang failed 2 times'


def test_failures_that_an_earlier_build_has_stored_count():
    """Guards against a gang that is started beyond its attempts.

    An earlier build stores how often a gang has failed and not the numbers of
    these runs.
    """
    coordinator, ledger, job = _make_gang(attempts=3)
    members = _list_members(ledger)
    _list_ends(coordinator, members, [FAILED, BROKEN, BROKEN, BROKEN])
    builders.decide(ledger, NOW + 2.0)
    job.progress = records.decode_progress(_encode_as_earlier(job.progress))
    members = _list_members(ledger)
    _list_ends(coordinator, members, [FAILED, FAILED, BROKEN, BROKEN])
    assert _get_failures(job) == {0: 2}
    assert job.progress.state is work.JobState.RUNNING


def test_gang_has_not_failed_more_often_than_it_was_started():
    """Guards against a job shown as failed although it has attempts left.

    An earlier build counts one failed member and stores the record, the next
    build reads the end of another member of the same run.
    """
    coordinator, ledger, job = _make_gang()
    members = _list_members(ledger)
    _list_ends(coordinator, members[:1], [FAILED])
    job.progress = records.decode_progress(_encode_as_earlier(job.progress))
    _list_ends(coordinator, members[1:], [FAILED, BROKEN, BROKEN])
    assert _get_failures(job) == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def _encode_as_earlier(progress):
    """Return a record as written by a build without the numbers of runs."""
    for steps in progress.occurrences.values():
        for step in steps:
            if hasattr(step, 'failed_runs'):
                step.failed_runs = {}
    return records.encode_progress(progress)

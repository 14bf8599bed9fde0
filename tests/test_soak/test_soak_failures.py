"""Tests of the failing runs of the soak test."""

from __future__ import annotations

import random

from soak import failures
from soak import oracle as oracles
from soak import worker as workers

ATTEMPTS = 2
REASON = 'a work item failed 2 times'
CRASHED_REASON = '5 workers crashed while they ran it or were called to'


def _create_failures(job, gang):
    known = failures.Failures()
    known.add_job(job, [{'count': 3, 'gang': gang}])
    return known


def _fail(known, job, *runs):
    for index, number in runs:
        known.record_failure(f'{job}.0.0.{index}', number, 0)


def test_job_that_fails_after_one_run_of_its_gang_is_reported():
    """Guards against a check that takes failed members for failed runs."""
    known = _create_failures('a', gang=True)
    _fail(known, 'a', (0, 1), (1, 1), (2, 1))
    (violation,) = known.list_unexplained({'a': REASON}, ATTEMPTS)
    assert 'attempts left' in violation
    assert known.count_shared_runs() == 1


def test_job_that_fails_after_a_run_each_of_its_work_items_is_reported():
    """Guards against a check that adds the failures of several work items."""
    known = _create_failures('a', gang=False)
    _fail(known, 'a', (0, 1), (1, 1), (2, 1))
    assert len(known.list_unexplained({'a': REASON}, ATTEMPTS)) == 1


def test_job_may_fail_after_its_attempts():
    """Guards against reports of jobs that have failed rightly."""
    known = _create_failures('a', gang=True)
    _fail(known, 'a', (0, 1), (2, 2))
    assert known.list_unexplained({'a': REASON}, ATTEMPTS) == []


def test_crashes_explain_only_a_job_that_has_reached_their_limits():
    """Guards against a check that excuses each job with crashes."""
    known = _create_failures('a', gang=False)
    for number in (1, 2):
        known.record_start('a.0.0.0', number)
        known.record_crash('a.0.0.0', number)
    assert len(known.list_unexplained({'a': CRASHED_REASON}, ATTEMPTS)) == 1
    known.record_crash('a.0.0.0', 3)
    assert known.list_unexplained({'a': CRASHED_REASON}, ATTEMPTS) == []
    assert len(known.list_unexplained({'a': REASON}, ATTEMPTS)) == 1


def _play_gang(oracle, job):
    """Let a gang of three run for 5 s; return how its members end."""
    oracle.failures.add_job(job, [{'count': 3, 'gang': True}])
    now = [0.0]
    members = []
    for index in range(3):
        worker = workers.Worker(
            f'w{index}', '', oracle, {'x': 5.0}, lambda: now[0]
        )
        task = f'{job}.0.0.{index}'
        worker.start_run(
            {'task': task, 'run': 1, 'spec': 'x', 'untilMs': 9000}
        )
        members.append(worker)
    now[0] = 8.0
    for worker in members:
        worker.advance()
    return sorted(worker.ended[0][3] for worker in members)


def test_several_members_of_one_run_of_a_gang_fail():
    """Guards against simulated gangs of which one member at most fails."""
    oracle = oracles.Oracle(random.Random(1))
    endings = [_play_gang(oracle, str(job)) for job in range(50)]
    assert ['done'] * 3 in endings
    assert ['failed'] * 3 in endings
    assert any('broken' in members for members in endings)
    shared = sum(members.count('failed') > 1 for members in endings)
    assert oracle.failures.count_shared_runs() == shared > 0

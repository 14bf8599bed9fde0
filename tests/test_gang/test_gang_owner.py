"""Tests of the owner side: grants, retries and correct verdicts."""

import time

import pytest

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import job_records
from damaskpin.gang import owner as owners
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages
from tests.test_gang import helpers


def _make_job(name='j', idempotent=False, deadline=None, age=0.0):
    spec = jobs.JobSpec(
        accelerators=3, idempotent=idempotent, deadline_seconds=deadline
    )
    return jobs.Job(name, 'c', spec, age)


def _make_owner(idempotent=False, detached=False, **options):
    owner = owners.Owner('owner')
    owner.set_coordinator(0.0, 'coordinator')
    owner.submit(0.0, _make_job(idempotent=idempotent, **options), detached)
    return owner


def _make_grant_request(attempt='a1', job='j'):
    return gang_messages.RequestGrant(job, attempt, 'lead', ('lead', 'm'), 't')


def _grant_attempt(owner, now=1.0, attempt='a1'):
    emitted = owner.receive(now, 'coordinator', _make_grant_request(attempt))
    granted = gang_messages.Granted('j', attempt)
    assert effects.Send('coordinator', granted) in emitted


def _finish_gang(owner, now, exit_code=None, reason='x', attempt='a1'):
    return owner.receive(
        now,
        'lead',
        gang_messages.GangFinished(attempt, 'j', True, exit_code, reason),
    )


def _get_verdicts(emitted):
    return [
        e.verdict
        for e in helpers.list_effects(emitted, effects.DeliverVerdict)
    ]


def test_job_is_resubmitted_every_two_seconds_and_to_a_new_coordinator():
    """Guards against a job that is lost because its coordinator died."""
    owner = _make_owner()
    emitted = helpers.run_ticks(owner, 0.25, 10.0, 4)
    submits = helpers.list_messages(emitted, gang_messages.SubmitJob)
    assert len(submits) == 4
    assert submits[-1].job.age_seconds == 8.0
    emitted = owner.set_coordinator(10.1, 'coordinator-2')
    assert [e.to for e in emitted] == ['coordinator-2']
    assert owner.set_coordinator(10.2, 'coordinator-2') == []


def test_one_attempt_is_granted_at_a_time():
    """Guards against two coordinators that both start the job."""
    owner = _make_owner()
    _grant_attempt(owner)
    emitted = owner.receive(1.1, 'coordinator-2', _make_grant_request('a2'))
    assert helpers.list_messages(emitted, gang_messages.Denied)
    # The owner answers a repeated request for the granted attempt with the
    # same grant.
    _grant_attempt(owner, 1.2)


def test_failed_attempt_is_not_granted_by_a_late_request():
    owner = _make_owner()
    failed_report = gang_messages.GangFinished(
        'a1', 'j', False, None, 'x', True, 't'
    )
    owner.receive(1.0, 'coordinator', failed_report)
    emitted = owner.receive(1.1, 'coordinator', _make_grant_request())
    assert helpers.list_messages(emitted, gang_messages.Denied)
    _grant_attempt(owner, 1.2, 'a2')


def test_detached_job_is_granted_after_the_store_has_it():
    """Guards against a job that runs again after another entry adopts it."""
    owner = _make_owner(detached=True)
    emitted = owner.receive(1.0, 'coordinator', _make_grant_request())
    assert effects.GrantJob('j', 'a1') in emitted
    assert not helpers.list_messages(emitted, gang_messages.Granted)
    # A repeated request does not write the grant again.
    assert owner.receive(1.1, 'coordinator', _make_grant_request()) == []
    emitted = owner.handle_grant_result(1.2, 'j', 'a1', True)
    assert helpers.list_messages(emitted, gang_messages.Granted)


def test_store_outage_leaves_the_job_waiting():
    owner = _make_owner(detached=True)
    owner.receive(1.0, 'coordinator', _make_grant_request())
    emitted = owner.handle_grant_result(1.2, 'j', 'a1', False)
    assert helpers.list_messages(emitted, gang_messages.Denied)
    assert not _get_verdicts(emitted)
    assert owner.get_phase('j') is job_records.Phase.WAITING


@pytest.mark.parametrize('detached', [True, False])
def test_cancelled_job_without_a_grant_did_not_run(detached):
    owner = _make_owner(detached=detached)
    if detached:
        owner.receive(1.0, 'coordinator', _make_grant_request())
    emitted = owner.cancel(2.0, 'j', 'cancelled')
    assert _get_verdicts(emitted) == [verdicts.NotRun('cancelled')]
    assert helpers.list_messages(emitted, gang_messages.CancelJob)
    assert owner.handle_grant_result(2.1, 'j', 'a1', True) == []
    emitted = owner.receive(2.2, 'coordinator', _make_grant_request())
    assert helpers.list_messages(emitted, gang_messages.Denied)


@pytest.mark.parametrize(
    ('committed', 'token', 'verdict'),
    [
        (False, 't', verdicts.NotRun),
        (True, '', verdicts.MayHaveRun),
    ],
)
def test_cancelled_granted_job_concludes_by_the_report_of_the_lead(
    committed, token, verdict
):
    """Guards against the verdict NotRun while the gang is starting."""
    owner = _make_owner()
    _grant_attempt(owner)
    emitted = owner.cancel(2.0, 'j', 'cancelled')
    assert not _get_verdicts(emitted)
    assert helpers.list_messages(emitted, gang_messages.StopGang)
    assert helpers.list_messages(
        helpers.run_ticks(owner, 2.1, 5.0, 4), gang_messages.StopGang
    )
    finished = gang_messages.GangFinished(
        'a1', 'j', committed, None, 'x', True, token
    )
    (verdict_found,) = _get_verdicts(owner.receive(5.0, 'lead', finished))
    assert isinstance(verdict_found, verdict)


def test_report_about_a_later_reservation_does_not_prove_not_run():
    """Guards against the verdict NotRun after the lead restarted."""
    owner = _make_owner()
    _grant_attempt(owner)
    other = gang_messages.GangFinished('a1', 'j', False, None, 'x', True, 'u')
    emitted = owner.receive(2.0, 'lead', other)
    emitted += helpers.run_ticks(owner, 2.0, 100.0, 4)
    (verdict_found,) = _get_verdicts(emitted)
    assert isinstance(verdict_found, verdicts.MayHaveRun)


def test_granted_attempt_without_a_report_is_queried():
    """Guards against a job that never concludes after its coordinator died."""
    owner = _make_owner()
    _grant_attempt(owner)
    assert not helpers.list_messages(
        helpers.run_ticks(owner, 1.25, 5.75, 4), gang_messages.QueryGang
    )
    assert helpers.list_messages(
        helpers.run_ticks(owner, 5.75, 8.0, 4), gang_messages.QueryGang
    )
    failed_report = gang_messages.GangFinished(
        'a1', 'j', False, None, 'expired', True, 't'
    )
    emitted = owner.receive(8.0, 'lead', failed_report)
    assert (
        helpers.list_messages(emitted, gang_messages.SubmitJob)[0].attempt
        == ''
    )
    _grant_attempt(owner, 8.1, 'a2')


def test_deadline_applies_only_until_the_grant():
    owner = _make_owner(deadline=5.0, age=1.0)
    _grant_attempt(owner, 3.5)
    assert not _get_verdicts(helpers.run_ticks(owner, 3.75, 9.0, 4))
    owner = _make_owner(deadline=5.0, age=1.0)
    emitted = helpers.run_ticks(owner, 0.25, 4.25, 4)
    assert _get_verdicts(emitted) == [verdicts.NotRun('deadline passed')]
    # An entry that resumes after a pause checks the job's deadline before it
    # grants an attempt.
    owner = _make_owner(deadline=5.0)
    emitted = owner.receive(6.0, 'coordinator', _make_grant_request())
    assert helpers.list_messages(emitted, gang_messages.Denied)


def test_exit_code_decides_the_verdict_of_a_job_that_ran():
    for code in (0, 1):
        owner = _make_owner()
        _grant_attempt(owner)
        emitted = _finish_gang(owner, 9.0, code)
        assert helpers.list_messages(emitted, gang_messages.GangFinishedAck)
        (verdict_found,) = _get_verdicts(emitted)
        assert verdict_found.answer.body == b'{"exit_code":%d}' % code


def test_end_of_a_detached_job_is_acknowledged_after_the_store_has_it():
    """Guards against a result that is lost because the entry died."""
    owner = _make_owner(detached=True)
    owner.receive(1.0, 'coordinator', _make_grant_request())
    owner.handle_grant_result(1.1, 'j', 'a1', True)
    emitted = _finish_gang(owner, 2.0, 0)
    assert _get_verdicts(emitted)
    assert not helpers.list_messages(emitted, gang_messages.GangFinishedAck)
    owner.handle_verdict_stored(3.0, 'j')
    assert helpers.list_messages(
        _finish_gang(owner, 4.0, 0), gang_messages.GangFinishedAck
    )


def test_idempotent_job_is_retried_three_times_with_back_off():
    owner = _make_owner(idempotent=True)
    now = 1.0
    for retry in range(3):
        attempt = f'a{retry}'
        _grant_attempt(owner, now, attempt)
        emitted = _finish_gang(owner, now, 1, attempt=attempt)
        assert not _get_verdicts(emitted)
        early = owner.receive(
            now + 0.9, 'coordinator', _make_grant_request('early')
        )
        assert helpers.list_messages(early, gang_messages.Denied)
        # The next attempt may run after 1, 2 and 4 s.
        now += 2.0**retry
        assert helpers.list_messages(owner.tick(now), gang_messages.SubmitJob)
    _grant_attempt(owner, now, 'last')
    (verdict_found,) = _get_verdicts(
        _finish_gang(owner, now, 1, attempt='last')
    )
    assert isinstance(verdict_found, verdicts.Ran)


def test_reclaimed_job_does_not_use_up_its_retries():
    owner = _make_owner(idempotent=True)
    for index in range(10):
        _grant_attempt(owner, float(index), f'a{index}')
        emitted = _finish_gang(
            owner, index + 0.5, None, 'reclaimed', f'a{index}'
        )
        assert not _get_verdicts(emitted)
    emitted = owner.cancel(20.0, 'j', 'cancelled')
    assert isinstance(_get_verdicts(emitted)[0], verdicts.MayHaveRun)


@pytest.mark.parametrize('idempotent', [True, False])
def test_job_of_a_lost_lead_waits_until_its_gang_must_have_ended(idempotent):
    """Guards against a second attempt while the first may still run.

    The agent of the first attempt's lead is lost, but the members may run.
    """
    owner = _make_owner(idempotent=idempotent)
    _grant_attempt(owner)
    owner.handle_agent_lost(10.0, 'lead')
    timeout = timing.compute_orphan_timeout(2)
    emitted = helpers.run_ticks(owner, 10.0, 9.75 + timeout, 4)
    assert not _get_verdicts(emitted)
    denied = owner.receive(
        9.8 + timeout, 'coordinator', _make_grant_request('a2')
    )
    assert helpers.list_messages(denied, gang_messages.Denied)
    emitted = helpers.run_ticks(owner, 10.0 + timeout, 20.0 + timeout, 4)
    if idempotent:
        assert helpers.list_messages(emitted, gang_messages.SubmitJob)
        # The lead may still run the attempt behind a network partition.
        assert helpers.list_messages(
            helpers.run_ticks(owner, 70.0, 90.0, 4),
            gang_messages.StopGang,
        )
    else:
        assert isinstance(_get_verdicts(emitted)[0], verdicts.MayHaveRun)


def test_lead_that_answers_again_is_not_lost():
    owner = _make_owner()
    _grant_attempt(owner)
    owner.handle_agent_lost(10.0, 'lead')
    owner.receive(12.0, 'lead', gang_messages.GangStatus('a1', 'committed'))
    assert not _get_verdicts(helpers.run_ticks(owner, 12.0, 200.0, 4))
    (verdict_found,) = _get_verdicts(_finish_gang(owner, 200.0, 0))
    assert isinstance(verdict_found, verdicts.Ran)


def test_adopted_job_finds_its_lead_in_the_reports_of_agents():
    owner = owners.Owner('owner-2')
    owner.adopt(0.0, _make_job(), 'a1')
    gang = messages.GangState('a1', 'j', 'c', (0,), 'lead', True, False)
    emitted = owner.handle_gang_report(1.0, gang)
    assert emitted == [effects.Send('lead', gang_messages.QueryGang('a1'))]
    owner.receive(1.1, 'lead', gang_messages.GangStatus('a1', 'committed'))
    assert not _get_verdicts(helpers.run_ticks(owner, 1.2, 400.0, 4))
    assert isinstance(
        _get_verdicts(_finish_gang(owner, 400.0, 0))[0], verdicts.Ran
    )


@pytest.mark.parametrize(
    ('idempotent', 'granted', 'verdict'),
    [
        (False, '', verdicts.NotRun),
        (True, '', verdicts.MayHaveRun),
        (False, 'a1', verdicts.MayHaveRun),
    ],
)
def test_adopted_job_counts_an_attempt_of_a_former_owner_as_possible(
    idempotent, granted, verdict
):
    """Guards against the verdict NotRun for a job that may have run.

    The store does not hold the grants of idempotent jobs.
    """
    owner = owners.Owner('owner-2')
    owner.adopt(0.0, _make_job(idempotent=idempotent), granted)
    emitted = owner.cancel(1.0, 'j', 'cancelled') + helpers.run_ticks(
        owner, 1.0, 300.0, 4
    )
    (verdict_found,) = _get_verdicts(emitted)
    assert isinstance(verdict_found, verdict)


def _time_cancellations(count):
    owner = owners.Owner('owner')
    owner.set_coordinator(0.0, 'coordinator')
    for index in range(count):
        owner.submit(0.0, _make_job(f'j{index}'), False)
        if index % 2:
            owner.receive(
                0.0,
                'coordinator',
                _make_grant_request(f'a{index}', f'j{index}'),
            )
    start_time = time.process_time()
    for index in range(count):
        owner.cancel(1.0, f'j{index}', 'cancelled')
    for index in range(1, count, 2):
        attempt, job = f'a{index}', f'j{index}'
        status = gang_messages.GangStatus(attempt, 'committed')
        owner.receive(1.5, 'lead', status)
        failed_report = gang_messages.GangFinished(
            attempt, job, False, None, 'x', True, 't'
        )
        owner.receive(2.0, 'lead', failed_report)
    assert owner.tick(60.0) == []
    return time.process_time() - start_time


def test_time_of_cancellations_grows_linearly():
    """Guards against 1,000 cancellations that block the event loop."""
    small = min(_time_cancellations(1_000) for _ in range(3))
    large = min(_time_cancellations(8_000) for _ in range(3))
    # For 8 times as many jobs, linear time is 8 times as long and quadratic
    # time 64 times. 24 allows for noise. The event loop may be blocked for at
    # most 250 ms.
    assert large < 24 * small
    assert small < 0.25

"""Tests of the owner side: grants, retries and truthful verdicts."""

import time

import pytest

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import jobs as gang_jobs
from damaskpin.gang import owner as owners
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages
from tests.test_gang import sent


def _make_job(name='j', idempotent=False, deadline=None, age=0.0):
    spec = jobs.JobSpec(
        accelerators=3, idempotent=idempotent, deadline_seconds=deadline
    )
    return jobs.Job(name, 'c', spec, age)


def _make(idempotent=False, detached=False, **options):
    owner = owners.Owner('owner')
    owner.set_coordinator(0.0, 'coordinator')
    owner.submit(0.0, _make_job(idempotent=idempotent, **options), detached)
    return owner


def _request(attempt='a1', job='j'):
    return gang_messages.RequestGrant(job, attempt, 'lead', ('lead', 'm'), 't')


def _grant(owner, now=1.0, attempt='a1'):
    out = owner.receive(now, 'coordinator', _request(attempt))
    granted = gang_messages.Granted('j', attempt)
    assert effects.Send('coordinator', granted) in out


def _finish(owner, now, exit_code=None, reason='x', attempt='a1'):
    return owner.receive(
        now,
        'lead',
        gang_messages.GangFinished(attempt, 'j', True, exit_code, reason),
    )


def _get_verdicts(out):
    return [e.verdict for e in sent.list_effects(out, effects.DeliverVerdict)]


def test_job_is_resubmitted_every_two_seconds_and_on_a_change():
    """Guards against a job that is lost with its coordinator."""
    owner = _make()
    out = sent.run(owner, 0.25, 10.0, 4)
    submits = sent.list_messages(out, gang_messages.SubmitJob)
    assert len(submits) == 4
    assert submits[-1].job.age_seconds == 8.0
    out = owner.set_coordinator(10.1, 'coordinator-2')
    assert [e.to for e in out] == ['coordinator-2']
    assert owner.set_coordinator(10.2, 'coordinator-2') == []


def test_one_attempt_is_granted_at_a_time():
    """Guards against two coordinators that both start the job."""
    owner = _make()
    _grant(owner)
    out = owner.receive(1.1, 'coordinator-2', _request('a2'))
    assert sent.list_messages(out, gang_messages.Denied)
    # A repeat of the granted attempt is answered the same way.
    _grant(owner, 1.2)


def test_void_attempt_is_not_granted_by_a_late_request():
    owner = _make()
    void = gang_messages.GangFinished('a1', 'j', False, None, 'x', True, 't')
    owner.receive(1.0, 'coordinator', void)
    out = owner.receive(1.1, 'coordinator', _request())
    assert sent.list_messages(out, gang_messages.Denied)
    _grant(owner, 1.2, 'a2')


def test_detached_job_is_granted_after_the_store_has_it():
    """Guards against a second run by an entry that adopts the job."""
    owner = _make(detached=True)
    out = owner.receive(1.0, 'coordinator', _request())
    assert effects.GrantJob('j', 'a1') in out
    assert not sent.list_messages(out, gang_messages.Granted)
    # A repeat does not write again.
    assert owner.receive(1.1, 'coordinator', _request()) == []
    out = owner.grant_recorded(1.2, 'j', 'a1', True)
    assert sent.list_messages(out, gang_messages.Granted)


def test_store_outage_leaves_the_job_waiting():
    owner = _make(detached=True)
    owner.receive(1.0, 'coordinator', _request())
    out = owner.grant_recorded(1.2, 'j', 'a1', False)
    assert sent.list_messages(out, gang_messages.Denied)
    assert not _get_verdicts(out)
    assert owner.get_phase('j') is gang_jobs.Phase.WAITING


@pytest.mark.parametrize('detached', [True, False])
def test_cancelled_job_that_holds_no_grant_did_not_run(detached):
    owner = _make(detached=detached)
    if detached:
        owner.receive(1.0, 'coordinator', _request())
    out = owner.cancel(2.0, 'j', 'cancelled')
    assert _get_verdicts(out) == [verdicts.NotRun('cancelled')]
    assert sent.list_messages(out, gang_messages.CancelJob)
    assert owner.grant_recorded(2.1, 'j', 'a1', True) == []
    out = owner.receive(2.2, 'coordinator', _request())
    assert sent.list_messages(out, gang_messages.Denied)


@pytest.mark.parametrize(
    ('committed', 'token', 'verdict'),
    [
        (False, 't', verdicts.NotRun),
        (True, '', verdicts.MayHaveRun),
    ],
)
def test_cancelled_grant_concludes_with_what_the_lead_says(
    committed, token, verdict
):
    """Guards against NotRun while the gang is starting."""
    owner = _make()
    _grant(owner)
    out = owner.cancel(2.0, 'j', 'cancelled')
    assert not _get_verdicts(out)
    assert sent.list_messages(out, gang_messages.StopGang)
    assert sent.list_messages(
        sent.run(owner, 2.1, 5.0, 4), gang_messages.StopGang
    )
    finished = gang_messages.GangFinished(
        'a1', 'j', committed, None, 'x', True, token
    )
    (given,) = _get_verdicts(owner.receive(5.0, 'lead', finished))
    assert isinstance(given, verdict)


def test_report_about_a_later_reservation_proves_nothing():
    """Guards against NotRun after the lead restarted."""
    owner = _make()
    _grant(owner)
    other = gang_messages.GangFinished('a1', 'j', False, None, 'x', True, 'u')
    out = owner.receive(2.0, 'lead', other)
    out += sent.run(owner, 2.0, 100.0, 4)
    (given,) = _get_verdicts(out)
    assert isinstance(given, verdicts.MayHaveRun)


def test_grant_without_news_is_looked_into():
    """Guards against a job that hangs when its coordinator dies."""
    owner = _make()
    _grant(owner)
    assert not sent.list_messages(
        sent.run(owner, 1.25, 5.75, 4), gang_messages.QueryGang
    )
    assert sent.list_messages(
        sent.run(owner, 5.75, 8.0, 4), gang_messages.QueryGang
    )
    void = gang_messages.GangFinished(
        'a1', 'j', False, None, 'expired', True, 't'
    )
    out = owner.receive(8.0, 'lead', void)
    assert sent.list_messages(out, gang_messages.SubmitJob)[0].attempt == ''
    _grant(owner, 8.1, 'a2')


def test_deadline_ends_the_waiting_only():
    owner = _make(deadline=5.0, age=1.0)
    _grant(owner, 3.5)
    assert not _get_verdicts(sent.run(owner, 3.75, 9.0, 4))
    owner = _make(deadline=5.0, age=1.0)
    out = sent.run(owner, 0.25, 4.25, 4)
    assert _get_verdicts(out) == [verdicts.NotRun('deadline passed')]
    # A paused entry finds the deadline passed before it grants.
    owner = _make(deadline=5.0)
    out = owner.receive(6.0, 'coordinator', _request())
    assert sent.list_messages(out, gang_messages.Denied)


def test_exit_code_decides_the_verdict_of_a_job_that_ran():
    for code in (0, 1):
        owner = _make()
        _grant(owner)
        out = _finish(owner, 9.0, code)
        assert sent.list_messages(out, gang_messages.GangFinishedAck)
        (given,) = _get_verdicts(out)
        assert given.answer.body == b'{"exit_code":%d}' % code


def test_end_of_a_detached_job_is_acknowledged_after_the_store_has_it():
    """Guards against a result that dies with the entry."""
    owner = _make(detached=True)
    owner.receive(1.0, 'coordinator', _request())
    owner.grant_recorded(1.1, 'j', 'a1', True)
    out = _finish(owner, 2.0, 0)
    assert _get_verdicts(out)
    assert not sent.list_messages(out, gang_messages.GangFinishedAck)
    owner.conclusion_recorded(3.0, 'j')
    assert sent.list_messages(
        _finish(owner, 4.0, 0), gang_messages.GangFinishedAck
    )


def test_idempotent_job_is_retried_three_times_with_back_off():
    owner = _make(idempotent=True)
    now = 1.0
    for retry in range(3):
        attempt = f'a{retry}'
        _grant(owner, now, attempt)
        out = _finish(owner, now, 1, attempt=attempt)
        assert not _get_verdicts(out)
        early = owner.receive(now + 0.9, 'coordinator', _request('early'))
        assert sent.list_messages(early, gang_messages.Denied)
        # The next attempt may run after 1, 2 and 4 s.
        now += 2.0**retry
        assert sent.list_messages(owner.tick(now), gang_messages.SubmitJob)
    _grant(owner, now, 'last')
    (given,) = _get_verdicts(_finish(owner, now, 1, attempt='last'))
    assert isinstance(given, verdicts.Ran)


def test_reclaimed_job_does_not_use_up_its_retries():
    owner = _make(idempotent=True)
    for index in range(10):
        _grant(owner, float(index), f'a{index}')
        out = _finish(owner, index + 0.5, None, 'reclaimed', f'a{index}')
        assert not _get_verdicts(out)
    out = owner.cancel(20.0, 'j', 'cancelled')
    assert isinstance(_get_verdicts(out)[0], verdicts.MayHaveRun)


@pytest.mark.parametrize('idempotent', [True, False])
def test_lost_lead_is_waited_for_until_its_gang_must_have_ended(idempotent):
    """Guards against a second attempt beside the first."""
    owner = _make(idempotent=idempotent)
    _grant(owner)
    owner.agent_lost(10.0, 'lead')
    settle = timing.compute_settle_seconds(2)
    out = sent.run(owner, 10.0, 9.75 + settle, 4)
    assert not _get_verdicts(out)
    denied = owner.receive(9.8 + settle, 'coordinator', _request('a2'))
    assert sent.list_messages(denied, gang_messages.Denied)
    out = sent.run(owner, 10.0 + settle, 20.0 + settle, 4)
    if idempotent:
        assert sent.list_messages(out, gang_messages.SubmitJob)
        # The lead may still run it behind a partition.
        assert sent.list_messages(
            sent.run(owner, 70.0, 90.0, 4), gang_messages.StopGang
        )
    else:
        assert isinstance(_get_verdicts(out)[0], verdicts.MayHaveRun)


def test_lead_that_answers_again_is_not_lost():
    owner = _make()
    _grant(owner)
    owner.agent_lost(10.0, 'lead')
    owner.receive(12.0, 'lead', gang_messages.GangStatus('a1', 'committed'))
    assert not _get_verdicts(sent.run(owner, 12.0, 200.0, 4))
    (given,) = _get_verdicts(_finish(owner, 200.0, 0))
    assert isinstance(given, verdicts.Ran)


def test_adopted_job_finds_its_gang_in_the_reports():
    owner = owners.Owner('owner-2')
    owner.adopt(0.0, _make_job(), 'a1')
    gang = messages.GangState('a1', 'j', 'c', (0,), 'lead', True, False)
    out = owner.gang_seen(1.0, gang)
    assert out == [effects.Send('lead', gang_messages.QueryGang('a1'))]
    owner.receive(1.1, 'lead', gang_messages.GangStatus('a1', 'committed'))
    assert not _get_verdicts(sent.run(owner, 1.2, 400.0, 4))
    assert isinstance(_get_verdicts(_finish(owner, 400.0, 0))[0], verdicts.Ran)


@pytest.mark.parametrize(
    ('idempotent', 'granted', 'verdict'),
    [
        (False, '', verdicts.NotRun),
        (True, '', verdicts.MayHaveRun),
        (False, 'a1', verdicts.MayHaveRun),
    ],
)
def test_adopted_job_does_not_deny_what_a_former_owner_did(
    idempotent, granted, verdict
):
    """Guards against NotRun for grants that the store does not hold."""
    owner = owners.Owner('owner-2')
    owner.adopt(0.0, _make_job(idempotent=idempotent), granted)
    out = owner.cancel(1.0, 'j', 'cancelled') + sent.run(owner, 1.0, 300.0, 4)
    (given,) = _get_verdicts(out)
    assert isinstance(given, verdict)


def _time_cancellations(count):
    owner = owners.Owner('owner')
    owner.set_coordinator(0.0, 'coordinator')
    for index in range(count):
        owner.submit(0.0, _make_job(f'j{index}'), False)
        if index % 2:
            owner.receive(
                0.0, 'coordinator', _request(f'a{index}', f'j{index}')
            )
    begin = time.process_time()
    for index in range(count):
        owner.cancel(1.0, f'j{index}', 'cancelled')
    for index in range(1, count, 2):
        attempt, job = f'a{index}', f'j{index}'
        status = gang_messages.GangStatus(attempt, 'committed')
        owner.receive(1.5, 'lead', status)
        void = gang_messages.GangFinished(
            attempt, job, False, None, 'x', True, 't'
        )
        owner.receive(2.0, 'lead', void)
    assert owner.tick(60.0) == []
    return time.process_time() - begin


def test_a_thousand_cancellations_are_linear():
    """Guards against a wave of 1,000 that blocks the event loop."""
    small = min(_time_cancellations(1_000) for _ in range(3))
    large = min(_time_cancellations(8_000) for _ in range(3))
    # Quadratic work would take 64 times as long; 8 is linear, and the rest
    # allows for noise. The event loop may be blocked for 250 ms.
    assert large < 24 * small
    assert small < 0.25

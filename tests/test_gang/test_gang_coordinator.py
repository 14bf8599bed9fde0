"""Tests of the coordinator side: one placement from reserve to its end."""

import random

import pytest

from damaskpin import effects
from damaskpin.gang import coordinator as coordinators
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from tests.test_gang import sent

GANG = (
    gang_messages.Member('lead', (0,)),
    gang_messages.Member('other', (0, 1)),
)
TOKENS = {'lead': 't1', 'other': 't2'}


def _make_job(name='j', priority=jobs.Priority.NORMAL):
    return jobs.Job(name, 'c', jobs.JobSpec(accelerators=3, priority=priority))


def _place(now=0.0, attempt='a1', coordinator=None, job=None):
    coordinator = coordinator or coordinators.Coordinator(
        'entry', random.Random(1)
    )
    out = coordinator.place(
        now, attempt, job or _make_job(), 'owner', GANG, 3, False
    )
    return coordinator, out


def _reserve(coordinator, now=0.1):
    out = []
    for agent, token in TOKENS.items():
        out += coordinator.receive(
            now, agent, gang_messages.Reserved('a1', token)
        )
    return out


def _start(now=0.0):
    coordinator, _ = _place(now)
    _reserve(coordinator, now + 0.1)
    coordinator.receive(now + 0.2, 'owner', gang_messages.Granted('j', 'a1'))
    out = coordinator.receive(now + 0.3, 'lead', gang_messages.Committed('a1'))
    assert effects.GangStarted('j', 'a1') in out
    return coordinator


def _list_failed(out):
    return sent.list_effects(out, effects.GangFailed)


def test_commit_follows_all_reservations_and_the_grant():
    coordinator, out = _place()
    reserves = dict(sent.list_sent(out, gang_messages.Reserve))
    assert reserves['lead'].members == GANG
    assert reserves['other'].members == ()
    out = coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    assert not sent.list_sent(out, gang_messages.RequestGrant)
    out = coordinator.receive(0.1, 'other', gang_messages.Reserved('a1', 't2'))
    request = gang_messages.RequestGrant(
        'j', 'a1', 'lead', ('lead', 'other'), 't1'
    )
    assert out == [effects.Send('owner', request)]
    out = coordinator.receive(0.2, 'owner', gang_messages.Granted('j', 'a1'))
    commit = gang_messages.Commit('a1', ('t1', 't2'))
    assert out == [effects.Send('lead', commit)]


def test_lost_messages_are_repeated_only_where_no_answer_came():
    coordinator, _ = _place()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    out = sent.run(coordinator, 0.2, 1.5, 10)
    assert {to for to, _ in sent.list_sent(out, gang_messages.Reserve)} == {
        'other'
    }


def test_refusals_are_named_and_the_others_released():
    """Guards against reservations that wait for their ttl."""
    coordinator, _ = _place()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    refused = gang_messages.ReserveRefused('a1', 'taken')
    out = coordinator.receive(0.1, 'other', refused)
    assert _list_failed(out) == [
        effects.GangFailed('j', 'a1', 'taken', ('other',))
    ]
    assert [to for to, _ in sent.list_sent(out, gang_messages.StopGang)] == [
        'lead'
    ]
    coordinator.receive(0.2, 'lead', gang_messages.MemberStopped('a1'))
    assert coordinator.list_attempts() == ()


def test_silent_agents_are_named_after_the_deadline():
    coordinator, _ = _place()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    out = sent.run(coordinator, 0.2, 3.0, 10)
    assert _list_failed(out) == [
        effects.GangFailed('j', 'a1', 'no answer', ('other',))
    ]
    assert {to for to, _ in sent.list_sent(out, gang_messages.StopGang)} == {
        'lead',
        'other',
    }
    sent.run(coordinator, 3.0, 9.0, 10)
    assert coordinator.list_attempts() == ()


@pytest.mark.parametrize(
    'answer',
    [gang_messages.Denied('j', 'a1', 'another attempt'), None],
)
def test_gang_without_a_grant_is_never_committed(answer):
    coordinator, _ = _place()
    out = _reserve(coordinator)
    if answer is not None:
        out += coordinator.receive(0.2, 'owner', answer)
    out += sent.run(coordinator, 0.3, 60.0, 10)
    assert not sent.list_sent(out, gang_messages.Commit)
    assert len(_list_failed(out)) == 1
    # The grant may be under way, so the owner learns that it is void.
    told = sent.list_sent(out, gang_messages.GangFinished)
    assert {to for to, _ in told} == {'owner'}
    assert not told[0][1].committed


def test_paused_coordinator_does_not_use_an_old_grant():
    """Guards against a commit after a pause; compares the time first."""
    coordinator, _ = _place()
    _reserve(coordinator)
    out = coordinator.receive(20.0, 'owner', gang_messages.Granted('j', 'a1'))
    assert not sent.list_sent(out, gang_messages.Commit)
    assert _list_failed(out)


def test_unanswered_commit_is_neither_failed_nor_started():
    """Guards against a failure report for a gang that may have started."""
    coordinator, _ = _place()
    _reserve(coordinator)
    coordinator.receive(0.2, 'owner', gang_messages.Granted('j', 'a1'))
    out = sent.run(coordinator, 0.3, 300.0, 10)
    assert sent.list_sent(out, gang_messages.Commit)
    assert {type(e) for e in out} == {effects.Send}
    refused = gang_messages.CommitRefused('a1', 'expired')
    out = coordinator.receive(300.0, 'lead', refused)
    assert _list_failed(out)


def test_lead_that_forgot_the_gang_ends_it_after_its_leases():
    """Guards against a restarted lead whose gang is reported as failed."""
    coordinator, _ = _place()
    _reserve(coordinator)
    coordinator.receive(0.2, 'owner', gang_messages.Granted('j', 'a1'))
    out = coordinator.receive(
        1.0, 'lead', gang_messages.GangStatus('a1', 'unknown')
    )
    settle = timing.compute_settle_seconds(2)
    out += sent.run(coordinator, 1.1, 0.9 + settle, 10)
    assert {type(e) for e in out} == {effects.Send}
    out = sent.run(coordinator, 0.9 + settle, 1.2 + settle, 10)
    ended = effects.GangEnded('j', 'a1', None, 'lead is lost')
    assert [e for e in out if not isinstance(e, effects.Send)] == [ended]


def test_lost_lead_that_answers_again_keeps_its_gang():
    coordinator = _start()
    out = coordinator.agent_lost(5.0, 'lead')
    assert sent.list_sent(out, gang_messages.QueryGang)
    coordinator.receive(
        9.0, 'lead', gang_messages.GangStatus('a1', 'committed')
    )
    out = sent.run(coordinator, 9.0, 200.0, 10)
    assert {type(e) for e in out} == {effects.Send}


def test_end_is_acknowledged_and_reported_once():
    coordinator = _start()
    finished = gang_messages.GangFinished('a1', 'j', True, 0, 'finished')
    out = coordinator.receive(9.0, 'lead', finished)
    assert effects.GangEnded('j', 'a1', 0, 'finished') in out
    out = coordinator.receive(9.1, 'lead', finished)
    assert out == [effects.Send('lead', gang_messages.GangFinishedAck('a1'))]


def test_reclaim_is_repeated_until_the_gang_ends():
    """Guards against a lost stop, which would break a guarantee."""
    coordinator = _start()
    out = coordinator.stop(5.0, 'j', 'reclaimed', 2.0)
    out += sent.run(coordinator, 5.1, 7.0, 10)
    stop = gang_messages.StopGang('a1', 'reclaimed', 2.0)
    assert (
        sent.list_sent(out, gang_messages.StopGang)[:2] == [('lead', stop)] * 2
    )
    finished = gang_messages.GangFinished('a1', 'j', True, None, 'reclaimed')
    out = coordinator.receive(7.0, 'lead', finished)
    assert effects.GangEnded('j', 'a1', None, 'reclaimed') in out


def test_older_gang_displaces_the_reservations_of_a_younger_one():
    """Guards against two gangs that keep each other from starting."""
    coordinator, _ = _place()
    urgent = _make_job('k', jobs.Priority.URGENT)
    _, out = _place(0.1, 'a2', coordinator, urgent)
    assert [e.job for e in _list_failed(out)] == ['j']
    taken = gang_messages.ReserveRefused('a2', 'taken')
    out = coordinator.receive(0.2, 'lead', taken)
    out += sent.run(coordinator, 0.2, 1.5, 10)
    assert not _list_failed(out)
    assert ('lead', 'a2') in {
        (to, m.attempt) for to, m in sent.list_sent(out, gang_messages.Reserve)
    }
    _, out = _place(0.4, 'a3', coordinator, _make_job('l'))
    assert _list_failed(out)[0].job == 'l'

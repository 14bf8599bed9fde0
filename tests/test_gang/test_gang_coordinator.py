"""Tests of the coordinator side of the gang protocol."""

import random

import pytest

from damaskpin import effects
from damaskpin.gang import coordinator as coordinators
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from tests.test_gang import helpers

GANG = (
    gang_messages.Member('lead', (0,)),
    gang_messages.Member('other', (0, 1)),
)
TOKENS = {'lead': 't1', 'other': 't2'}


def _make_job(name='j', priority=jobs.Priority.NORMAL):
    return jobs.Job(name, 'c', jobs.JobSpec(accelerators=3, priority=priority))


def _place_gang(now=0.0, attempt='a1', coordinator=None, job=None):
    coordinator = coordinator or coordinators.Coordinator(
        'entry', random.Random(1)
    )
    emitted = coordinator.place(
        now, attempt, job or _make_job(), 'owner', GANG, 3, False
    )
    return coordinator, emitted


def _reserve_all(coordinator, now=0.1):
    emitted = []
    for agent, token in TOKENS.items():
        emitted += coordinator.receive(
            now, agent, gang_messages.Reserved('a1', token)
        )
    return emitted


def _start_gang(now=0.0):
    coordinator, _ = _place_gang(now)
    _reserve_all(coordinator, now + 0.1)
    coordinator.receive(now + 0.2, 'owner', gang_messages.Granted('j', 'a1'))
    emitted = coordinator.receive(
        now + 0.3, 'lead', gang_messages.Committed('a1')
    )
    assert effects.GangStarted('j', 'a1') in emitted
    return coordinator


def _list_failures(emitted):
    return helpers.list_effects(emitted, effects.GangFailed)


def test_commit_follows_all_reservations_and_the_grant():
    coordinator, emitted = _place_gang()
    reserves = dict(helpers.list_sent(emitted, gang_messages.Reserve))
    assert reserves['lead'].members == GANG
    assert reserves['other'].members == ()
    emitted = coordinator.receive(
        0.1, 'lead', gang_messages.Reserved('a1', 't1')
    )
    assert not helpers.list_sent(emitted, gang_messages.RequestGrant)
    emitted = coordinator.receive(
        0.1, 'other', gang_messages.Reserved('a1', 't2')
    )
    request = gang_messages.RequestGrant(
        'j', 'a1', 'lead', ('lead', 'other'), 't1'
    )
    assert emitted == [effects.Send('owner', request)]
    emitted = coordinator.receive(
        0.2, 'owner', gang_messages.Granted('j', 'a1')
    )
    commit = gang_messages.Commit('a1', ('t1', 't2'))
    assert emitted == [effects.Send('lead', commit)]


def test_lost_messages_are_repeated_only_where_no_answer_came():
    coordinator, _ = _place_gang()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    emitted = helpers.run_ticks(coordinator, 0.2, 1.5, 10)
    assert {
        to for to, _ in helpers.list_sent(emitted, gang_messages.Reserve)
    } == {'other'}


def test_refusing_agents_are_reported_and_others_released():
    """Guards against reservations that are held until they expire."""
    coordinator, _ = _place_gang()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    refused = gang_messages.ReserveRefused('a1', 'taken')
    emitted = coordinator.receive(0.1, 'other', refused)
    assert _list_failures(emitted) == [
        effects.GangFailed('j', 'a1', 'taken', ('other',))
    ]
    assert [
        to for to, _ in helpers.list_sent(emitted, gang_messages.StopGang)
    ] == ['lead']
    coordinator.receive(0.2, 'lead', gang_messages.MemberStopped('a1'))
    assert coordinator.list_attempts() == ()


def test_agents_without_an_answer_are_reported_after_the_timeout():
    coordinator, _ = _place_gang()
    coordinator.receive(0.1, 'lead', gang_messages.Reserved('a1', 't1'))
    emitted = helpers.run_ticks(coordinator, 0.2, 3.0, 10)
    assert _list_failures(emitted) == [
        effects.GangFailed('j', 'a1', 'no answer', ('other',))
    ]
    assert {
        to for to, _ in helpers.list_sent(emitted, gang_messages.StopGang)
    } == {
        'lead',
        'other',
    }
    helpers.run_ticks(coordinator, 3.0, 9.0, 10)
    assert coordinator.list_attempts() == ()


@pytest.mark.parametrize(
    'answer',
    [gang_messages.Denied('j', 'a1', 'another attempt'), None],
)
def test_gang_without_a_grant_is_never_committed(answer):
    coordinator, _ = _place_gang()
    emitted = _reserve_all(coordinator)
    if answer is not None:
        emitted += coordinator.receive(0.2, 'owner', answer)
    emitted += helpers.run_ticks(coordinator, 0.3, 60.0, 10)
    assert not helpers.list_sent(emitted, gang_messages.Commit)
    assert len(_list_failures(emitted)) == 1
    # The owner may have granted the attempt, so the coordinator notifies it of
    # the failure.
    told = helpers.list_sent(emitted, gang_messages.GangFinished)
    assert {to for to, _ in told} == {'owner'}
    assert not told[0][1].committed


def test_paused_coordinator_does_not_use_an_old_grant():
    """Guards against a commit after the reservations have expired.

    The coordinator was paused and handles the owner's grant 20 s late.
    """
    coordinator, _ = _place_gang()
    _reserve_all(coordinator)
    emitted = coordinator.receive(
        20.0, 'owner', gang_messages.Granted('j', 'a1')
    )
    assert not helpers.list_sent(emitted, gang_messages.Commit)
    assert _list_failures(emitted)


def test_unanswered_commit_is_not_reported_as_failed_or_started():
    """Guards against reporting a gang as failed that may have started."""
    coordinator, _ = _place_gang()
    _reserve_all(coordinator)
    coordinator.receive(0.2, 'owner', gang_messages.Granted('j', 'a1'))
    emitted = helpers.run_ticks(coordinator, 0.3, 300.0, 10)
    assert helpers.list_sent(emitted, gang_messages.Commit)
    assert {type(e) for e in emitted} == {effects.Send}
    refused = gang_messages.CommitRefused('a1', 'expired')
    emitted = coordinator.receive(300.0, 'lead', refused)
    assert _list_failures(emitted)


def test_gang_of_a_restarted_lead_ends_after_its_leases():
    """Guards against a gang that is reported as failed after it started.

    The lead has restarted and lost its record of the gang.
    """
    coordinator, _ = _place_gang()
    _reserve_all(coordinator)
    coordinator.receive(0.2, 'owner', gang_messages.Granted('j', 'a1'))
    emitted = coordinator.receive(
        1.0, 'lead', gang_messages.GangStatus('a1', 'unknown')
    )
    timeout = timing.compute_orphan_timeout(2)
    emitted += helpers.run_ticks(coordinator, 1.1, 0.9 + timeout, 10)
    assert {type(e) for e in emitted} == {effects.Send}
    emitted = helpers.run_ticks(coordinator, 0.9 + timeout, 1.2 + timeout, 10)
    ended = effects.GangEnded('j', 'a1', None, 'lead is lost')
    assert [e for e in emitted if not isinstance(e, effects.Send)] == [ended]


def test_lost_lead_that_answers_again_keeps_its_gang():
    coordinator = _start_gang()
    emitted = coordinator.handle_agent_lost(5.0, 'lead')
    assert helpers.list_sent(emitted, gang_messages.QueryGang)
    coordinator.receive(
        9.0, 'lead', gang_messages.GangStatus('a1', 'committed')
    )
    emitted = helpers.run_ticks(coordinator, 9.0, 200.0, 10)
    assert {type(e) for e in emitted} == {effects.Send}


def test_end_is_acknowledged_and_reported_once():
    coordinator = _start_gang()
    finished = gang_messages.GangFinished('a1', 'j', True, 0, 'finished')
    emitted = coordinator.receive(9.0, 'lead', finished)
    assert effects.GangEnded('j', 'a1', 0, 'finished') in emitted
    emitted = coordinator.receive(9.1, 'lead', finished)
    assert emitted == [
        effects.Send('lead', gang_messages.GangFinishedAck('a1'))
    ]


def test_reclaim_is_repeated_until_the_gang_ends():
    """Guards against a lost stop message, which would break a guarantee."""
    coordinator = _start_gang()
    emitted = coordinator.stop(5.0, 'j', 'reclaimed', 2.0)
    emitted += helpers.run_ticks(coordinator, 5.1, 7.0, 10)
    stop = gang_messages.StopGang('a1', 'reclaimed', 2.0)
    assert (
        helpers.list_sent(emitted, gang_messages.StopGang)[:2]
        == [('lead', stop)] * 2
    )
    finished = gang_messages.GangFinished('a1', 'j', True, None, 'reclaimed')
    emitted = coordinator.receive(7.0, 'lead', finished)
    assert effects.GangEnded('j', 'a1', None, 'reclaimed') in emitted


def test_older_gang_displaces_the_reservations_of_a_younger_one():
    """Guards against two gangs that prevent each other from starting."""
    coordinator, _ = _place_gang()
    urgent = _make_job('k', jobs.Priority.URGENT)
    _, emitted = _place_gang(0.1, 'a2', coordinator, urgent)
    assert [e.job for e in _list_failures(emitted)] == ['j']
    taken = gang_messages.ReserveRefused('a2', 'taken')
    emitted = coordinator.receive(0.2, 'lead', taken)
    emitted += helpers.run_ticks(coordinator, 0.2, 1.5, 10)
    assert not _list_failures(emitted)
    assert ('lead', 'a2') in {
        (to, m.attempt)
        for to, m in helpers.list_sent(emitted, gang_messages.Reserve)
    }
    _, emitted = _place_gang(0.4, 'a3', coordinator, _make_job('l'))
    assert _list_failures(emitted)[0].job == 'l'

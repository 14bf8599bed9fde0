"""Tests of the agent side of the gang protocol under failures."""

import random

import pytest

from damaskpin import effects
from damaskpin.gang import member as members
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from tests.test_gang import helpers

GANG = (
    gang_messages.Member('lead', (0,)),
    gang_messages.Member('other', (0, 1)),
)


def _make_member(name='other', seed=1):
    member = members.Member(name, 2, random.Random(seed))
    assert member.finish_adoption(0.0) == []
    return member


def _make_reserve(attempt='a1', revision=1, name='other', gang=GANG):
    accelerators = {m.agent: m.accelerators for m in gang}[name]
    return gang_messages.Reserve(
        attempt=attempt,
        job='j',
        account='c',
        owner='owner',
        accelerators=accelerators,
        lead=gang[0].agent,
        members=gang if name == gang[0].agent else (),
        revision=revision,
        ttl=timing.RESERVATION_SECONDS,
        guaranteed=True,
        command=('sleep', '60'),
    )


def _reserve_member(member, now, attempt='a1', name='other', gang=GANG):
    """Reserve accelerators and return the token of the reservation."""
    (send,) = member.receive(
        now, 'coordinator', _make_reserve(attempt, name=name, gang=gang)
    )
    return send.message.token


def _get_refusal_reason(emitted):
    (refusal,) = helpers.list_messages(emitted, gang_messages.ReserveRefused)
    return refusal.reason


def _make_running_member(now=0.0):
    """Return a member whose tasks run, the tasks' labels and its clock."""
    member = _make_member()
    token = _reserve_member(member, now)
    emitted = member.receive(
        now, 'lead', gang_messages.StartMember('a1', token)
    )
    (start,) = helpers.list_effects(emitted, effects.StartTask)
    emitted = member.handle_task_started(now, 'a1')
    return member, start.labels, emitted[0].message.uptime


def _make_running_lead(now=0.0, gang=GANG):
    """Return a lead whose gang runs, and the labels of its tasks."""
    lead = _make_member('lead')
    token = _reserve_member(lead, now, name='lead', gang=gang)
    tokens = (token, 'other-token')[: len(gang)]
    emitted = lead.receive(
        now, 'coordinator', gang_messages.Commit('a1', tokens)
    )
    (start,) = helpers.list_effects(emitted, effects.StartTask)
    lead.handle_task_started(now, 'a1')
    if len(gang) > 1:
        lead.receive(now, 'other', gang_messages.MemberStarted('a1', 7.0))
    return lead, start.labels


def test_taken_accelerator_is_refused_until_it_is_free():
    """Guards against two attempts on one accelerator."""
    member = _make_member()
    token = _reserve_member(member, 0.0)
    emitted = member.receive(0.1, 'coordinator', _make_reserve('a2'))
    assert _get_refusal_reason(emitted) == 'taken'
    # A repeated Reserve is answered with the same reservation.
    assert _reserve_member(member, 0.2) == token
    emitted = member.receive(
        1.0, 'coordinator', gang_messages.StopGang('a1', 'x')
    )
    assert helpers.list_messages(emitted, gang_messages.MemberStopped)
    assert _reserve_member(member, 1.1, 'a2')


def test_stale_revision_is_refused_and_the_current_one_returned():
    """Guards against placements under an outdated configuration."""
    member = _make_member()
    member.set_revision(0.0, 5)
    emitted = member.receive(0.0, 'c', _make_reserve(revision=4))
    assert emitted[0].message == gang_messages.ReserveRefused(
        'a1', 'stale-revision', 5
    )
    assert _reserve_at_revision(member, revision=6)
    emitted = member.receive(0.0, 'c', _make_reserve('a2', revision=5))
    assert _get_refusal_reason(emitted) == 'stale-revision'


def _reserve_at_revision(member, revision):
    emitted = member.receive(0.0, 'c', _make_reserve(revision=revision))
    return helpers.list_messages(emitted, gang_messages.Reserved)


def test_draining_agent_refuses_reservations_and_keeps_tasks():
    member, _, _ = _make_running_member()
    assert member.drain(1.0) == []
    assert len(member.list_gangs()) == 1
    emitted = member.receive(1.0, 'c', _make_reserve('a2'))
    assert _get_refusal_reason(emitted) == 'draining'


def test_expired_reservation_is_closed_for_good():
    """Guards against a late Reserve that reserves accelerators again."""
    member = _make_member()
    _reserve_member(member, 0.0)
    emitted = member.receive(5.0, 'coordinator', _make_reserve())
    assert _get_refusal_reason(emitted) == 'closed'
    assert member.list_gangs() == ()


def test_paused_member_does_not_start_an_expired_reservation():
    """Guards against a partly started gang after a pause of the process."""
    member = _make_member()
    token = _reserve_member(member, 0.0)
    emitted = member.receive(
        5.1, 'lead', gang_messages.StartMember('a1', token)
    )
    assert not helpers.list_effects(emitted, effects.StartTask)
    assert helpers.list_messages(emitted, gang_messages.MemberRefused)


def test_late_start_of_another_incarnation_is_refused():
    """Guards against a replayed Reserve and StartMember after a restart."""
    old = _make_member(seed=1)
    token = _reserve_member(old, 0.0)
    restarted = _make_member(seed=2)
    _reserve_member(restarted, 1.0)
    for message in (
        gang_messages.StartMember('a1', token),
        gang_messages.GangStatus('a1', 'committed', token),
    ):
        emitted = restarted.receive(1.1, 'lead', message)
        assert not helpers.list_effects(emitted, effects.StartTask)


def test_late_commit_of_another_incarnation_is_not_refused_for_good():
    """Guards against the verdict NotRun for a gang that may have started.

    An earlier process of the lead's agent may have committed the gang.
    """
    token = _reserve_member(_make_member('lead', 1), 0.0, name='lead')
    restarted = _make_member('lead', 2)
    _reserve_member(restarted, 1.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 't'))
    for now in (1.1, 7.0):
        emitted = restarted.receive(now, 'coordinator', commit)
        assert helpers.list_messages(emitted, gang_messages.GangStatus)
        assert not helpers.list_messages(emitted, gang_messages.CommitRefused)
        assert not helpers.list_effects(emitted, effects.StartTask)


def test_restarted_agent_does_not_answer_for_old_tasks_until_leases_end():
    """Guards against MemberStopped while tasks of the member still run.

    An earlier process of the agent started the tasks.
    """
    member = members.Member('other', 2, random.Random(1))
    stop = gang_messages.StopGang('a1', 'x')
    assert member.receive(0.0, 'lead', stop) == []
    assert _get_refusal_reason(member.receive(1.0, 'c', _make_reserve())) == (
        'unhealthy'
    )
    emitted = member.receive(30.0, 'lead', stop)
    assert helpers.list_messages(emitted, gang_messages.MemberStopped)


def test_member_without_a_decision_queries_the_lead():
    """Guards against a member that waits after a lost StartMember message.

    The member also waits if the message that releases its reservation is lost.
    """
    member = _make_member()
    token = _reserve_member(member, 0.0)
    assert member.tick(2.4) == []
    (send,) = member.tick(2.5)
    assert send == effects.Send('lead', gang_messages.QueryGang('a1', token))
    status = gang_messages.GangStatus('a1', 'undecided', token)
    assert member.receive(2.6, 'lead', status) == []
    status = gang_messages.GangStatus('a1', 'committed', token)
    emitted = member.receive(2.7, 'lead', status)
    assert helpers.list_effects(emitted, effects.StartTask)

    member = _make_member()
    token = _reserve_member(member, 0.0)
    member.receive(
        2.6, 'lead', gang_messages.GangStatus('a1', 'unknown', token)
    )
    assert member.list_gangs() == ()


def test_unacknowledged_gang_stays_closed_after_its_tombstone_expired():
    """Guards against a new reservation of an attempt that already ended."""
    lead, _ = _make_running_lead(gang=GANG[:1])
    lead.handle_task_ended(1.0, 'a1', 0)
    lead.tick(300.0)
    emitted = lead.receive(300.0, 'c', _make_reserve(name='lead'))
    assert _get_refusal_reason(emitted) == 'closed'


def test_query_of_an_unknown_attempt_closes_it():
    """Guards against a commit after a member released its reservation.

    A member releases it when the lead answers its query with 'unknown'.
    """
    lead = _make_member('lead')
    emitted = lead.receive(0.0, 'other', gang_messages.QueryGang('a1', 't'))
    assert (
        helpers.list_messages(emitted, gang_messages.GangStatus)[0].state
        == 'unknown'
    )
    emitted = lead.receive(0.1, 'c', _make_reserve(name='lead'))
    assert _get_refusal_reason(emitted) == 'closed'


def test_lead_repeats_start_member_until_it_is_answered():
    """Guards against a gang that stays partly started after a message loss."""
    lead = _make_member('lead')
    token = _reserve_member(lead, 0.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 'other-token'))
    emitted = lead.receive(1.0, 'coordinator', commit)
    assert helpers.list_messages(emitted, gang_messages.Committed)
    start = gang_messages.StartMember('a1', 'other-token', 5.0)
    assert effects.Send('other', start) in emitted
    assert effects.Send('other', start) in lead.tick(2.0)
    lead.receive(2.1, 'other', gang_messages.MemberStarted('a1', 7.0))
    assert effects.Send('other', start) not in lead.tick(4.0)
    # The lead answers a repeated commit again and starts no further task.
    emitted = lead.receive(4.1, 'coordinator', commit)
    assert helpers.list_messages(emitted, gang_messages.Committed)
    assert not helpers.list_effects(emitted, effects.StartTask)


def test_lead_does_not_commit_a_reservation_about_to_expire():
    """Guards against start messages that arrive after reservations expired."""
    lead = _make_member('lead')
    token = _reserve_member(lead, 0.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 't'))
    emitted = lead.receive(4.5, 'coordinator', commit)
    assert helpers.list_messages(emitted, gang_messages.CommitRefused)
    query = gang_messages.QueryGang('a1')
    (report,) = helpers.list_messages(
        lead.receive(9.0, 'owner', query), gang_messages.GangFinished
    )
    assert not report.committed
    assert report.token == token


@pytest.mark.parametrize(
    'message',
    [
        gang_messages.MemberRefused('a1', 'taken'),
        gang_messages.MemberStopped('a1'),
        gang_messages.MemberFinished('a1', 1),
    ],
)
def test_end_of_one_member_ends_the_gang(message):
    """Guards against a gang that continues without one of its members."""
    lead, _ = _make_running_lead()
    emitted = lead.receive(1.0, 'other', message)
    assert helpers.list_effects(emitted, effects.StopTask)
    emitted = lead.handle_task_ended(1.5, 'a1', None)
    reports = helpers.list_messages(emitted, gang_messages.GangFinished)
    assert len(reports) == 2
    assert reports[0].committed
    assert reports[0].stopped
    failed = isinstance(message, gang_messages.MemberFinished)
    assert reports[0].exit_code == (1 if failed else None)


def test_end_is_reported_until_it_is_acknowledged():
    """Guards against a job without a verdict after one lost message."""
    gang = (gang_messages.Member('lead', (0,)),)
    lead, _ = _make_running_lead(gang=gang)
    emitted = lead.handle_task_ended(1.0, 'a1', 0)
    targets = {e.to for e in emitted if isinstance(e, effects.Send)}
    assert targets == {'owner', 'coordinator'}
    ack = gang_messages.GangFinishedAck('a1')
    lead.receive(1.1, 'coordinator', ack)
    reported = [e.to for t in range(2, 600) for e in lead.tick(float(t))]
    assert set(reported) == {'owner'}
    assert len(reported) > 10
    lead.receive(600.0, 'owner', ack)
    assert all(not lead.tick(600.0 + t) for t in range(300))


def test_silent_lead_ends_the_gang_on_the_member():
    """Guards against members that keep running without their lead."""
    member, _, uptime = _make_running_member()
    beat = gang_messages.GangBeat('a1', 5.0, uptime=uptime)
    assert member.receive(5.0, 'lead', beat)[0].message.reply
    timeout = timing.compute_lead_timeout(5.0)
    assert not helpers.list_effects(member.tick(timeout), effects.StopTask)
    emitted = member.tick(timeout + 0.1)
    assert helpers.list_effects(emitted, effects.StopTask)
    assert member.list_renewals(timeout + 0.1) == ()


def test_outdated_heartbeat_does_not_extend_a_paused_member():
    """Guards against a member that runs on after its lead ended the gang.

    A heartbeat that is handled after a pause must not extend the deadline.
    """
    member, _, uptime = _make_running_member()
    late = gang_messages.GangBeat('a1', 5.0, uptime=uptime)
    member.receive(20.0, 'lead', late)
    emitted = member.receive(22.5, 'lead', late)
    assert helpers.list_effects(emitted, effects.StopTask)


def test_paused_lead_ends_the_gang_when_it_resumes():
    lead, _ = _make_running_lead()
    timeout = timing.compute_member_timeout(5.0)
    emitted = lead.receive(
        timeout + 0.1, 'other', gang_messages.GangBeat('a1', 0.0, True, 9.0)
    )
    assert helpers.list_effects(emitted, effects.StopTask)
    assert helpers.list_messages(emitted, gang_messages.StopGang)


def test_gang_of_an_unreachable_member_ends_after_its_leases():
    """Guards against an end report while a member may still run.

    The member is unreachable because of a partition.
    """
    lead, _ = _make_running_lead()
    lead.receive(1.0, 'owner', gang_messages.StopGang('a1', 'cancelled'))
    lead.handle_task_ended(1.5, 'a1', None)
    timeout = timing.compute_orphan_timeout(2)
    emitted = lead.tick(timeout - 0.1)
    assert not helpers.list_messages(emitted, gang_messages.GangFinished)
    reports = helpers.list_messages(
        lead.tick(timeout), gang_messages.GangFinished
    )
    assert reports
    assert not reports[0].stopped


def test_member_stops_when_its_lead_does_not_know_the_gang():
    member, _, uptime = _make_running_member()
    emitted = member.receive(
        1.0, 'lead', gang_messages.GangStatus('a1', 'unknown')
    )
    assert helpers.list_effects(emitted, effects.StopTask)
    beat = gang_messages.GangBeat('a1', 0.0, reply=True, uptime=uptime)
    emitted = _make_member('lead').receive(1.0, 'other', beat)
    assert (
        helpers.list_messages(emitted, gang_messages.GangStatus)[0].state
        == 'unknown'
    )


def test_stop_allows_a_grace_period_and_then_revokes_the_lease():
    """Guards against a job that does not return borrowed accelerators.

    The job has 2 s for a checkpoint and 1 s to stop; then the lease of its
    tasks is revoked.
    """
    member, _, _ = _make_running_member()
    stop = gang_messages.StopGang('a1', 'reclaimed', 2.0)
    (stop_task,) = member.receive(1.0, 'lead', stop)
    assert stop_task == effects.StopTask('a1', 2.0)
    assert not member.tick(3.9)
    assert member.tick(4.0) == [effects.RevokeTask('a1')]
    emitted = member.handle_task_ended(4.1, 'a1', None)
    assert emitted == [effects.Send('lead', gang_messages.MemberStopped('a1'))]


def test_successor_adopts_a_member_and_waits_for_its_lead():
    """Guards against a gang that is kept alive by restarts of its agents.

    The lead may have ended the gang, so a restarted agent renews no leases of
    a member before the lead has answered.
    """
    _, labels, _ = _make_running_member()
    successor = members.Member('other', 2, random.Random(5))
    successor.adopt(100.0, 'a1', labels, (0, 1))
    successor.finish_adoption(100.0)
    (gang,) = successor.list_gangs()
    assert (gang.lead, gang.owner, gang.account) == ('lead', 'owner', 'c')
    assert gang.guaranteed
    emitted = successor.tick(100.1)
    (answer,) = helpers.list_messages(emitted, gang_messages.GangBeat)
    assert successor.list_renewals(100.2) == ()
    beat = gang_messages.GangBeat('a1', 5.0, uptime=answer.uptime)
    successor.receive(100.2, 'lead', beat)
    (renewal,) = successor.list_renewals(100.3)
    assert renewal.max_lease_seconds <= timing.MAX_LEASE_SECONDS


def test_successor_adopts_the_lead_with_its_members():
    """Guards against task labels that lack parts of the decision record."""
    _, labels = _make_running_lead()
    successor = members.Member('lead', 2, random.Random(5))
    emitted = successor.adopt(100.0, 'a1', labels, (0,))
    start = gang_messages.StartMember('a1', 'other-token', 5.0)
    assert effects.Send('other', start) in emitted
    emitted = successor.receive(101.0, 'owner', gang_messages.QueryGang('a1'))
    assert (
        helpers.list_messages(emitted, gang_messages.GangStatus)[0].state
        == 'committed'
    )


@pytest.mark.parametrize('missing', ['lead', 'token', 'tokens', 'owner'])
def test_tasks_with_incomplete_labels_are_stopped(missing):
    _, labels = _make_running_lead()
    del labels[missing]
    successor = members.Member('lead', 2, random.Random(5))
    emitted = successor.adopt(100.0, 'a1', labels, (0,))
    assert helpers.list_effects(emitted, effects.StopTask)
    assert len(successor.list_gangs()) == 1


def test_tombstones_are_bounded_and_expire():
    """Guards against memory use that grows with the number of attempts."""
    tombstones = records.Tombstones()
    for index in range(records.MAX_TOMBSTONES + 10):
        tombstones.add(0.0, f'a{index}', 'j', records.Outcome.CLOSED)
    assert len(tombstones) == records.MAX_TOMBSTONES
    tombstones.expire(timing.TOMBSTONE_RETENTION_SECONDS)
    assert len(tombstones) == 0

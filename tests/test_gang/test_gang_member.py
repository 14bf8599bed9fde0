"""Tests of the agent side, one failure of section 8 each."""

import random

import pytest

from damaskpin import effects
from damaskpin.gang import member as members
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from tests.test_gang import sent

GANG = (
    gang_messages.Member('lead', (0,)),
    gang_messages.Member('other', (0, 1)),
)


def _make(name='other', seed=1):
    member = members.Member(name, 2, random.Random(seed))
    assert member.adoption_done(0.0) == []
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


def _reserve(member, now, attempt='a1', name='other', gang=GANG):
    """Reserve and return the token."""
    (send,) = member.receive(
        now, 'coordinator', _make_reserve(attempt, name=name, gang=gang)
    )
    return send.message.token


def _get_refusal(out):
    (refusal,) = sent.list_messages(out, gang_messages.ReserveRefused)
    return refusal.reason


def _run_member(now=0.0):
    """Return a member whose tasks run, and its labels."""
    member = _make()
    token = _reserve(member, now)
    out = member.receive(now, 'lead', gang_messages.StartMember('a1', token))
    (start,) = sent.list_effects(out, effects.StartTask)
    out = member.task_started(now, 'a1')
    return member, start.labels, out[0].message.uptime


def _run_lead(now=0.0, gang=GANG):
    """Return a lead whose gang runs, and its labels."""
    lead = _make('lead')
    token = _reserve(lead, now, name='lead', gang=gang)
    tokens = (token, 'other-token')[: len(gang)]
    out = lead.receive(now, 'coordinator', gang_messages.Commit('a1', tokens))
    (start,) = sent.list_effects(out, effects.StartTask)
    lead.task_started(now, 'a1')
    if len(gang) > 1:
        lead.receive(now, 'other', gang_messages.MemberStarted('a1', 7.0))
    return lead, start.labels


def test_taken_accelerator_is_refused_until_it_is_free():
    """Guards against an accelerator that holds two attempts."""
    member = _make()
    token = _reserve(member, 0.0)
    out = member.receive(0.1, 'coordinator', _make_reserve('a2'))
    assert _get_refusal(out) == 'taken'
    # A repeat is answered with the same reservation, not refused.
    assert _reserve(member, 0.2) == token
    out = member.receive(1.0, 'coordinator', gang_messages.StopGang('a1', 'x'))
    assert sent.list_messages(out, gang_messages.MemberStopped)
    assert _reserve(member, 1.1, 'a2')


def test_stale_revision_is_refused_with_the_newer_one():
    """Guards against placements under a configuration that is replaced."""
    member = _make()
    member.set_revision(0.0, 5)
    out = member.receive(0.0, 'c', _make_reserve(revision=4))
    assert out[0].message == gang_messages.ReserveRefused(
        'a1', 'stale-revision', 5
    )
    assert _reserve_with(member, revision=6)
    out = member.receive(0.0, 'c', _make_reserve('a2', revision=5))
    assert _get_refusal(out) == 'stale-revision'


def _reserve_with(member, revision):
    out = member.receive(0.0, 'c', _make_reserve(revision=revision))
    return sent.list_messages(out, gang_messages.Reserved)


def test_draining_agent_refuses_and_keeps_what_runs():
    member, _, _ = _run_member()
    assert member.drain(1.0) == []
    assert len(member.list_gangs()) == 1
    out = member.receive(1.0, 'c', _make_reserve('a2'))
    assert _get_refusal(out) == 'draining'


def test_expired_reservation_is_closed_for_good():
    """Guards against a late Reserve that takes accelerators again."""
    member = _make()
    _reserve(member, 0.0)
    out = member.receive(5.0, 'coordinator', _make_reserve())
    assert _get_refusal(out) == 'closed'
    assert member.list_gangs() == ()


def test_paused_member_does_not_start_an_expired_reservation():
    """Guards against a partial start after a pause."""
    member = _make()
    token = _reserve(member, 0.0)
    out = member.receive(5.1, 'lead', gang_messages.StartMember('a1', token))
    assert not sent.list_effects(out, effects.StartTask)
    assert sent.list_messages(out, gang_messages.MemberRefused)


def test_late_start_of_another_incarnation_is_refused():
    """Guards against a replayed Reserve and StartMember after a restart."""
    old = _make(seed=1)
    token = _reserve(old, 0.0)
    restarted = _make(seed=2)
    _reserve(restarted, 1.0)
    for message in (
        gang_messages.StartMember('a1', token),
        gang_messages.GangStatus('a1', 'committed', token),
    ):
        out = restarted.receive(1.1, 'lead', message)
        assert not sent.list_effects(out, effects.StartTask)


def test_late_commit_of_another_incarnation_is_not_refused_for_good():
    """Guards against NotRun for a gang that an earlier run committed."""
    token = _reserve(_make('lead', 1), 0.0, name='lead')
    restarted = _make('lead', 2)
    _reserve(restarted, 1.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 't'))
    for now in (1.1, 7.0):
        out = restarted.receive(now, 'coordinator', commit)
        assert sent.list_messages(out, gang_messages.GangStatus)
        assert not sent.list_messages(out, gang_messages.CommitRefused)
        assert not sent.list_effects(out, effects.StartTask)


def test_restarted_agent_is_silent_about_the_past_until_leases_end():
    """Guards against MemberStopped while a former run's tasks still run."""
    member = members.Member('other', 2, random.Random(1))
    stop = gang_messages.StopGang('a1', 'x')
    assert member.receive(0.0, 'lead', stop) == []
    assert _get_refusal(member.receive(1.0, 'c', _make_reserve())) == (
        'unhealthy'
    )
    out = member.receive(30.0, 'lead', stop)
    assert sent.list_messages(out, gang_messages.MemberStopped)


def test_member_in_doubt_asks_the_lead_and_obeys():
    """Guards against a lost StartMember and a lost release."""
    member = _make()
    token = _reserve(member, 0.0)
    assert member.tick(2.4) == []
    (send,) = member.tick(2.5)
    assert send == effects.Send('lead', gang_messages.QueryGang('a1', token))
    status = gang_messages.GangStatus('a1', 'undecided', token)
    assert member.receive(2.6, 'lead', status) == []
    status = gang_messages.GangStatus('a1', 'committed', token)
    out = member.receive(2.7, 'lead', status)
    assert sent.list_effects(out, effects.StartTask)

    member = _make()
    token = _reserve(member, 0.0)
    member.receive(
        2.6, 'lead', gang_messages.GangStatus('a1', 'unknown', token)
    )
    assert member.list_gangs() == ()


def test_unacknowledged_gang_stays_closed_without_its_tombstone():
    """Guards against an old 'committed' that answers a new reservation."""
    lead, _ = _run_lead(gang=GANG[:1])
    lead.task_ended(1.0, 'a1', 0)
    lead.tick(300.0)
    out = lead.receive(300.0, 'c', _make_reserve(name='lead'))
    assert _get_refusal(out) == 'closed'


def test_query_of_an_unknown_attempt_closes_it():
    """Guards against a commit after a member released on 'unknown'."""
    lead = _make('lead')
    out = lead.receive(0.0, 'other', gang_messages.QueryGang('a1', 't'))
    assert (
        sent.list_messages(out, gang_messages.GangStatus)[0].state == 'unknown'
    )
    out = lead.receive(0.1, 'c', _make_reserve(name='lead'))
    assert _get_refusal(out) == 'closed'


def test_lead_repeats_start_member_until_it_is_answered():
    """Guards against a gang that stays partial after a lost message."""
    lead = _make('lead')
    token = _reserve(lead, 0.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 'other-token'))
    out = lead.receive(1.0, 'coordinator', commit)
    assert sent.list_messages(out, gang_messages.Committed)
    start = gang_messages.StartMember('a1', 'other-token', 5.0)
    assert effects.Send('other', start) in out
    assert effects.Send('other', start) in lead.tick(2.0)
    lead.receive(2.1, 'other', gang_messages.MemberStarted('a1', 7.0))
    assert effects.Send('other', start) not in lead.tick(4.0)
    # A commit whose answer was lost is answered again, without a new start.
    out = lead.receive(4.1, 'coordinator', commit)
    assert sent.list_messages(out, gang_messages.Committed)
    assert not sent.list_effects(out, effects.StartTask)


def test_lead_does_not_commit_a_reservation_that_ends():
    """Guards against starts that reach expired members."""
    lead = _make('lead')
    token = _reserve(lead, 0.0, name='lead')
    commit = gang_messages.Commit('a1', (token, 't'))
    out = lead.receive(4.5, 'coordinator', commit)
    assert sent.list_messages(out, gang_messages.CommitRefused)
    query = gang_messages.QueryGang('a1')
    (report,) = sent.list_messages(
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
    """Guards against a gang that goes on in part."""
    lead, _ = _run_lead()
    out = lead.receive(1.0, 'other', message)
    assert sent.list_effects(out, effects.StopTask)
    out = lead.task_ended(1.5, 'a1', None)
    reports = sent.list_messages(out, gang_messages.GangFinished)
    assert len(reports) == 2
    assert reports[0].committed
    assert reports[0].stopped
    failed = isinstance(message, gang_messages.MemberFinished)
    assert reports[0].exit_code == (1 if failed else None)


def test_end_is_reported_until_it_is_acknowledged():
    """Guards against a verdict that is lost with one message."""
    gang = (gang_messages.Member('lead', (0,)),)
    lead, _ = _run_lead(gang=gang)
    out = lead.task_ended(1.0, 'a1', 0)
    targets = {e.to for e in out if isinstance(e, effects.Send)}
    assert targets == {'owner', 'coordinator'}
    ack = gang_messages.GangFinishedAck('a1')
    lead.receive(1.1, 'coordinator', ack)
    reported = [e.to for t in range(2, 600) for e in lead.tick(float(t))]
    assert set(reported) == {'owner'}
    assert len(reported) > 10
    lead.receive(600.0, 'owner', ack)
    assert all(not lead.tick(600.0 + t) for t in range(300))


def test_silent_lead_ends_the_gang_on_the_member():
    """Guards against members that outlive their lead."""
    member, _, uptime = _run_member()
    beat = gang_messages.GangBeat('a1', 5.0, uptime=uptime)
    assert member.receive(5.0, 'lead', beat)[0].message.reply
    patience = timing.compute_member_patience(5.0)
    assert not sent.list_effects(member.tick(patience), effects.StopTask)
    out = member.tick(patience + 0.1)
    assert sent.list_effects(out, effects.StopTask)
    assert member.list_leases(patience + 0.1) == ()


def test_beat_that_waited_in_a_paused_member_does_not_prolong_it():
    """Guards against a gang that runs on after its lead gave it up."""
    member, _, uptime = _run_member()
    late = gang_messages.GangBeat('a1', 5.0, uptime=uptime)
    member.receive(20.0, 'lead', late)
    out = member.receive(22.5, 'lead', late)
    assert sent.list_effects(out, effects.StopTask)


def test_frozen_lead_ends_the_gang_when_it_resumes():
    lead, _ = _run_lead()
    patience = timing.compute_lead_patience(5.0)
    out = lead.receive(
        patience + 0.1, 'other', gang_messages.GangBeat('a1', 0.0, True, 9.0)
    )
    assert sent.list_effects(out, effects.StopTask)
    assert sent.list_messages(out, gang_messages.StopGang)


def test_gang_of_an_unreachable_member_ends_after_its_leases():
    """Guards against a report while a cut-off member may still run."""
    lead, _ = _run_lead()
    lead.receive(1.0, 'owner', gang_messages.StopGang('a1', 'cancelled'))
    lead.task_ended(1.5, 'a1', None)
    settle = timing.compute_settle_seconds(2)
    out = lead.tick(settle - 0.1)
    assert not sent.list_messages(out, gang_messages.GangFinished)
    reports = sent.list_messages(lead.tick(settle), gang_messages.GangFinished)
    assert reports
    assert not reports[0].stopped


def test_member_stops_when_its_lead_does_not_know_the_gang():
    member, _, uptime = _run_member()
    out = member.receive(
        1.0, 'lead', gang_messages.GangStatus('a1', 'unknown')
    )
    assert sent.list_effects(out, effects.StopTask)
    beat = gang_messages.GangBeat('a1', 0.0, reply=True, uptime=uptime)
    out = _make('lead').receive(1.0, 'other', beat)
    assert (
        sent.list_messages(out, gang_messages.GangStatus)[0].state == 'unknown'
    )


def test_stop_gives_a_grace_and_then_revokes_the_lease():
    """Guards against a borrower that does not stop: 2 s, 1 s, revocation."""
    member, _, _ = _run_member()
    stop = gang_messages.StopGang('a1', 'reclaimed', 2.0)
    (stop_task,) = member.receive(1.0, 'lead', stop)
    assert stop_task == effects.StopTask('a1', 2.0)
    assert not member.tick(3.9)
    assert member.tick(4.0) == [effects.RevokeTask('a1')]
    out = member.task_ended(4.1, 'a1', None)
    assert out == [effects.Send('lead', gang_messages.MemberStopped('a1'))]


def test_successor_adopts_a_member_and_waits_for_its_lead():
    """Guards against chains of restarts that keep a given-up gang alive."""
    _, labels, _ = _run_member()
    successor = members.Member('other', 2, random.Random(5))
    successor.adopt(100.0, 'a1', labels, (0, 1))
    successor.adoption_done(100.0)
    (gang,) = successor.list_gangs()
    assert (gang.lead, gang.owner, gang.account) == ('lead', 'owner', 'c')
    assert gang.guaranteed
    out = successor.tick(100.1)
    (answer,) = sent.list_messages(out, gang_messages.GangBeat)
    assert successor.list_leases(100.2) == ()
    beat = gang_messages.GangBeat('a1', 5.0, uptime=answer.uptime)
    successor.receive(100.2, 'lead', beat)
    (renewal,) = successor.list_leases(100.3)
    assert renewal.max_lease_seconds <= timing.MAX_LEASE_SECONDS


def test_successor_adopts_the_lead_with_its_members():
    """Guards against labels that can't rebuild the decision record."""
    _, labels = _run_lead()
    successor = members.Member('lead', 2, random.Random(5))
    out = successor.adopt(100.0, 'a1', labels, (0,))
    start = gang_messages.StartMember('a1', 'other-token', 5.0)
    assert effects.Send('other', start) in out
    out = successor.receive(101.0, 'owner', gang_messages.QueryGang('a1'))
    assert (
        sent.list_messages(out, gang_messages.GangStatus)[0].state
        == 'committed'
    )


@pytest.mark.parametrize('missing', ['lead', 'token', 'tokens', 'owner'])
def test_tasks_with_incomplete_labels_are_stopped(missing):
    _, labels = _run_lead()
    del labels[missing]
    successor = members.Member('lead', 2, random.Random(5))
    out = successor.adopt(100.0, 'a1', labels, (0,))
    assert sent.list_effects(out, effects.StopTask)
    assert len(successor.list_gangs()) == 1


def test_tombstones_are_bounded_and_expire():
    """Guards against memory that grows with the number of attempts."""
    tombstones = records.Tombstones()
    for index in range(records.MAX_TOMBSTONES + 10):
        tombstones.add(0.0, f'a{index}', 'j', records.Fate.CLOSED)
    assert len(tombstones) == records.MAX_TOMBSTONES
    tombstones.expire(timing.TOMBSTONE_SECONDS)
    assert len(tombstones) == 0

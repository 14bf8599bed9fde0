"""Answers of an agent to the messages of the gang protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.gang import lead as leads
from damaskpin.gang import metrics
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages

if TYPE_CHECKING:
    from damaskpin.gang import holdings


def reserve(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.Reserve,
) -> None:
    """Hold accelerators for an attempt, or refuse."""
    known = held.entries.get(message.attempt)
    if known is not None:
        if known.phase is records.Phase.RESERVED:
            held.send(
                sender, gang_messages.Reserved(message.attempt, known.token)
            )
        return
    reason = _check_reserve(held, now, message)
    if reason:
        metrics.REFUSALS.add(1, {'reason': reason})
        held.send(
            sender,
            gang_messages.ReserveRefused(
                message.attempt, reason, held.revision
            ),
        )
        return
    held.revision = max(held.revision, message.revision)
    holding = records.Holding(
        attempt=message.attempt,
        job=message.job,
        account=message.account,
        owner=message.owner,
        accelerators=message.accelerators,
        lead=message.lead,
        members=message.members,
        coordinator=sender,
        guaranteed=message.guaranteed,
        command=message.command,
        token=f'{held.rng.getrandbits(48):012x}',
        phase=records.Phase.RESERVED,
        reserved=now,
        expires=now + message.ttl,
        next_query=now + message.ttl / 2,
        # The start message brings the interval of the gang.
        right_until=now
        + timing.compute_member_patience(timing.MIN_BEAT_SECONDS),
    )
    held.entries[message.attempt] = holding
    held.send(sender, gang_messages.Reserved(message.attempt, holding.token))


def _check_reserve(
    held: holdings.Holdings, now: float, message: gang_messages.Reserve
) -> str:
    wanted = set(message.accelerators)
    if message.attempt in held.gangs:
        return 'closed'
    if held.tombstones.get(message.attempt) is not None:
        return 'closed'
    if held.draining:
        return 'draining'
    if message.revision < held.revision:
        return 'stale-revision'
    if not held.knows_all(now):
        return 'unhealthy'
    if not wanted or not wanted <= set(range(held.accelerators)):
        return 'unhealthy'
    agents = [member.agent for member in message.members]
    if message.lead == held.instance and held.instance not in agents:
        return 'unhealthy'
    for holding in held.entries.values():
        if wanted.intersection(holding.accelerators):
            return 'taken'
    return ''


def commit(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.Commit,
) -> None:
    """Decide, as the lead, whether the gang starts."""
    attempt = message.attempt
    gang = held.gangs.get(attempt)
    if gang is not None:
        held.send(sender, gang_messages.Committed(attempt))
        gang.add_watcher(sender)
        return
    holding = held.entries.get(attempt)
    if holding is None or not held.is_undecided(holding):
        _answer_closed(held, now, sender, message)
        return
    agents = [member.agent for member in holding.members]
    own = agents.index(held.instance)
    if len(message.tokens) != len(agents) or (
        message.tokens[own] != holding.token
    ):
        # The commit belongs to the reservation of another incarnation,
        # which may have started it.
        held.send(sender, gang_messages.GangStatus(attempt, 'unknown'))
        return
    if now + timing.COMMIT_MARGIN_SECONDS > holding.expires:
        held.close(now, holding, records.Fate.ABORTED, 'expired')
        _answer_closed(held, now, sender, message)
        return
    held.lead_gang(now, holding, message.tokens)
    held.start_tasks(now, holding, message.tokens)
    held.send(sender, gang_messages.Committed(attempt))


def _answer_closed(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.Commit,
) -> None:
    """Answer a commit of an attempt that this agent does not hold.

    It refuses for good only the reservation that the commit names: an
    earlier incarnation may have committed another one.
    """
    attempt = message.attempt
    tombstone = held.tombstones.get(attempt)
    aborted = tombstone and tombstone.fate is records.Fate.ABORTED
    if tombstone and aborted and tombstone.token in message.tokens:
        held.send(
            sender, gang_messages.CommitRefused(attempt, tombstone.reason)
        )
    elif held.knows_all(now):
        held.send(sender, gang_messages.GangStatus(attempt, 'unknown'))


def start_member(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.StartMember,
) -> None:
    """Start the tasks of a committed gang."""
    attempt = message.attempt
    holding = held.entries.get(attempt)
    if holding is None:
        tombstone = held.tombstones.get(attempt)
        if tombstone and tombstone.fate is records.Fate.FINISHED:
            held.send_end(sender, attempt, tombstone)
        elif tombstone is not None:
            held.send(sender, gang_messages.MemberRefused(attempt, 'closed'))
        elif held.knows_all(now):
            held.tombstones.add(now, attempt, '', records.Fate.CLOSED)
            held.send(sender, gang_messages.MemberRefused(attempt, 'unknown'))
    elif holding.token != message.token:
        if holding.phase is records.Phase.RESERVED:
            held.send(sender, gang_messages.MemberRefused(attempt, 'unknown'))
    else:
        if holding.confirmed:
            right = holding.reserved + timing.compute_member_patience(
                message.interval
            )
            holding.right_until = max(holding.right_until, right)
        if holding.phase is records.Phase.RESERVED:
            held.start_tasks(now, holding, ())
        elif holding.phase is records.Phase.RUNNING:
            held.tell_started(now, holding)


def answer_query(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.QueryGang,
) -> None:
    """Tell the decision about a gang that this agent leads."""
    attempt = message.attempt
    gang = held.gangs.get(attempt)
    holding = held.entries.get(attempt)
    tombstone = held.tombstones.get(attempt)
    state = 'unknown'
    if gang is not None:
        state = _answer_for_gang(held, gang, sender, message.token)
    elif holding is not None:
        if not held.is_undecided(holding):
            return
        state = 'undecided'
    elif tombstone and tombstone.fate is records.Fate.ABORTED:
        held.report_aborted(sender, tombstone)
        state = 'ended'
    elif not held.knows_all(now):
        return
    else:
        # A reservation that is still under way must not be granted once
        # somebody has acted on this answer.
        held.tombstones.add(now, attempt, '', records.Fate.CLOSED)
    held.send(sender, gang_messages.GangStatus(attempt, state, message.token))


def _answer_for_gang(
    held: holdings.Holdings, gang: leads.Gang, sender: str, token: str
) -> str:
    committed = gang.decision is leads.Decision.COMMITTED
    if not gang.has_member(sender) or not token:
        gang.add_watcher(sender)
        ended = gang.decision is leads.Decision.ENDED
        return 'ended' if ended else 'committed'
    if not gang.check_token(sender, token):
        return 'unknown'
    if committed:
        held.send(sender, gang.make_beat(sender))
    return 'committed' if committed else 'ended'


def learn_decision(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.GangStatus,
) -> None:
    """Act on the decision of the lead."""
    holding = held.entries.get(message.attempt)
    if holding is None or holding.lead != sender:
        return
    if sender == held.instance:
        return
    reserved = holding.phase is records.Phase.RESERVED
    match message.state:
        case 'committed':
            if reserved and message.token == holding.token:
                held.start_tasks(now, holding, ())
        case 'ended' | 'unknown':
            if reserved:
                held.close(now, holding, records.Fate.RELEASED, message.state)
            else:
                held.stop_tasks(now, holding, 0.0)


def answer_beat(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.GangBeat,
) -> None:
    """Answer a beat of the lead."""
    attempt = message.attempt
    holding = held.entries.get(attempt)
    if holding is None:
        tombstone = held.tombstones.get(attempt)
        if tombstone is not None:
            held.send_end(sender, attempt, tombstone)
        elif held.knows_all(now):
            held.send(sender, gang_messages.MemberStopped(attempt))
        return
    if holding.lead != sender or holding.phase not in (
        records.Phase.STARTING,
        records.Phase.RUNNING,
    ):
        return
    answered = message.uptime - held.epoch
    if held.started is not None and held.started <= answered <= now:
        right = answered + timing.compute_member_patience(message.interval)
        holding.right_until = max(holding.right_until, right)
        holding.confirmed = True
    if holding.phase is records.Phase.RUNNING:
        held.send_beat(now, holding)


def note_beat(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.GangBeat,
) -> None:
    """Note the answer of a member to a beat."""
    gang = held.gangs.get(message.attempt)
    if gang is not None:
        if gang.decision is leads.Decision.COMMITTED:
            gang.note_beat(now, sender, message.uptime)
        return
    if message.attempt in held.entries:
        return
    if held.knows_all(now):
        held.send(sender, gang_messages.GangStatus(message.attempt, 'unknown'))


def stop(
    held: holdings.Holdings,
    now: float,
    sender: str,
    message: gang_messages.StopGang,
) -> None:
    """End an attempt here, or everywhere when this agent leads it."""
    attempt = message.attempt
    gang = held.gangs.get(attempt)
    if gang is not None:
        gang.add_watcher(sender)
        gang.end(now, message.reason, message.grace)
        return
    holding = held.entries.get(attempt)
    if holding is not None:
        if holding.phase is not records.Phase.RESERVED:
            held.stop_tasks(now, holding, message.grace)
            return
        fate = records.Fate.RELEASED
        if held.is_undecided(holding):
            fate = records.Fate.ABORTED
        held.close(now, holding, fate, message.reason)
    elif not held.knows_all(now):
        return
    held.tombstones.add(now, attempt, '', records.Fate.CLOSED)
    tombstone = held.tombstones.get(attempt)
    if tombstone is None:
        return
    held.send_end(sender, attempt, tombstone)
    if tombstone.fate is records.Fate.ABORTED:
        held.report_aborted(sender, tombstone)
    elif tombstone.fate is records.Fate.CLOSED:
        held.send(sender, gang_messages.GangStatus(attempt, 'unknown'))

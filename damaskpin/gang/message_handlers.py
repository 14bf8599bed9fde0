"""Handlers of an agent for the messages of the gang protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.gang import lead as leads
from damaskpin.gang import metrics
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages

if TYPE_CHECKING:
    from damaskpin.gang import attempt_table


def handle_reserve(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.Reserve,
) -> None:
    """Reserve accelerators for an attempt, or refuse the reservation."""
    existing = table.allocations.get(message.attempt)
    if existing is not None:
        if existing.phase is records.Phase.RESERVED:
            table.send(
                sender, gang_messages.Reserved(message.attempt, existing.token)
            )
        return
    reason = _check_reserve(table, now, message)
    if reason:
        metrics.REFUSALS.add(1, {'reason': reason})
        table.send(
            sender,
            gang_messages.ReserveRefused(
                message.attempt, reason, table.revision
            ),
        )
        return
    table.revision = max(table.revision, message.revision)
    allocation = records.Allocation(
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
        token=f'{table.rng.getrandbits(48):012x}',
        phase=records.Phase.RESERVED,
        reserved_at=now,
        expires_at=now + message.ttl,
        next_query_at=now + message.ttl / 2,
        # The start message will contain the heartbeat interval of the gang;
        # until then the shortest interval applies.
        lead_deadline=now
        + timing.compute_lead_timeout(timing.MIN_HEARTBEAT_SECONDS),
    )
    table.allocations[message.attempt] = allocation
    table.send(
        sender, gang_messages.Reserved(message.attempt, allocation.token)
    )


def _check_reserve(
    table: attempt_table.AttemptTable,
    now: float,
    message: gang_messages.Reserve,
) -> str:
    requested = set(message.accelerators)
    if message.attempt in table.gangs:
        return 'closed'
    if table.tombstones.get(message.attempt) is not None:
        return 'closed'
    if table.draining:
        return 'draining'
    if message.revision < table.revision:
        return 'stale-revision'
    if not table.knows_all_tasks(now):
        return 'unhealthy'
    if not requested or not requested <= set(range(table.accelerators)):
        return 'unhealthy'
    agents = [member.agent for member in message.members]
    if message.lead == table.instance and table.instance not in agents:
        return 'unhealthy'
    for allocation in table.allocations.values():
        if requested.intersection(allocation.accelerators):
            return 'taken'
    return ''


def handle_commit(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.Commit,
) -> None:
    """Decide, as the lead, whether a gang starts, and answer the commit."""
    attempt = message.attempt
    gang = table.gangs.get(attempt)
    if gang is not None:
        table.send(sender, gang_messages.Committed(attempt))
        gang.add_watcher(sender)
        return
    allocation = table.allocations.get(attempt)
    if allocation is None or not table.is_undecided(allocation):
        _answer_closed_commit(table, now, sender, message)
        return
    agents = [member.agent for member in allocation.members]
    own_index = agents.index(table.instance)
    if len(message.tokens) != len(agents) or (
        message.tokens[own_index] != allocation.token
    ):
        # The commit names a reservation that an earlier process of this agent
        # made. That process may have started the gang.
        table.send(sender, gang_messages.GangStatus(attempt, 'unknown'))
        return
    if now + timing.COMMIT_MARGIN_SECONDS > allocation.expires_at:
        table.close(now, allocation, records.Outcome.ABORTED, 'expired')
        _answer_closed_commit(table, now, sender, message)
        return
    table.add_led_gang(now, allocation, message.tokens)
    table.start_tasks(now, allocation, message.tokens)
    table.send(sender, gang_messages.Committed(attempt))


def _answer_closed_commit(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.Commit,
) -> None:
    """Answer a commit of an attempt without an undecided reservation.

    A commit is finally refused only if it names the reservation that this
    agent has aborted. If it names another reservation, an earlier process of
    the agent may have committed that one.
    """
    attempt = message.attempt
    tombstone = table.tombstones.get(attempt)
    aborted = tombstone and tombstone.outcome is records.Outcome.ABORTED
    if tombstone and aborted and tombstone.token in message.tokens:
        table.send(
            sender, gang_messages.CommitRefused(attempt, tombstone.reason)
        )
    elif table.knows_all_tasks(now):
        table.send(sender, gang_messages.GangStatus(attempt, 'unknown'))


def handle_start_member(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.StartMember,
) -> None:
    """Start the tasks of this member of a committed gang."""
    attempt = message.attempt
    allocation = table.allocations.get(attempt)
    if allocation is None:
        tombstone = table.tombstones.get(attempt)
        if tombstone and tombstone.outcome is records.Outcome.FINISHED:
            table.send_member_end(sender, attempt, tombstone)
        elif tombstone is not None:
            table.send(sender, gang_messages.MemberRefused(attempt, 'closed'))
        elif table.knows_all_tasks(now):
            table.tombstones.add(now, attempt, '', records.Outcome.CLOSED)
            table.send(sender, gang_messages.MemberRefused(attempt, 'unknown'))
    elif allocation.token != message.token:
        if allocation.phase is records.Phase.RESERVED:
            table.send(sender, gang_messages.MemberRefused(attempt, 'unknown'))
    else:
        if allocation.lead_confirmed:
            deadline = allocation.reserved_at + timing.compute_lead_timeout(
                message.interval
            )
            allocation.lead_deadline = max(allocation.lead_deadline, deadline)
        if allocation.phase is records.Phase.RESERVED:
            table.start_tasks(now, allocation, ())
        elif allocation.phase is records.Phase.RUNNING:
            table.notify_started(now, allocation)


def handle_query(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.QueryGang,
) -> None:
    """Answer a query with the state of a gang that this agent leads."""
    attempt = message.attempt
    gang = table.gangs.get(attempt)
    allocation = table.allocations.get(attempt)
    tombstone = table.tombstones.get(attempt)
    state = 'unknown'
    if gang is not None:
        state = _answer_led_gang(table, gang, sender, message.token)
    elif allocation is not None:
        if not table.is_undecided(allocation):
            return
        state = 'undecided'
    elif tombstone and tombstone.outcome is records.Outcome.ABORTED:
        table.send_aborted(sender, tombstone)
        state = 'ended'
    elif not table.knows_all_tasks(now):
        return
    else:
        # The sender of the query takes the answer 'unknown' as final: a member
        # releases its reservation, and the owner records that the lead lost
        # the attempt. The tombstone ensures that a delayed reservation request
        # for the attempt is refused from now on.
        table.tombstones.add(now, attempt, '', records.Outcome.CLOSED)
    table.send(sender, gang_messages.GangStatus(attempt, state, message.token))


def _answer_led_gang(
    table: attempt_table.AttemptTable,
    gang: leads.Gang,
    sender: str,
    token: str,
) -> str:
    committed = gang.decision is leads.Decision.COMMITTED
    if not gang.has_member(sender) or not token:
        gang.add_watcher(sender)
        ended = gang.decision is leads.Decision.ENDED
        return 'ended' if ended else 'committed'
    if not gang.check_token(sender, token):
        return 'unknown'
    if committed:
        table.send(sender, gang.make_heartbeat(sender))
    return 'committed' if committed else 'ended'


def handle_gang_status(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.GangStatus,
) -> None:
    """Start, release or stop a member as its lead has decided."""
    allocation = table.allocations.get(message.attempt)
    if allocation is None or allocation.lead != sender:
        return
    if sender == table.instance:
        return
    reserved = allocation.phase is records.Phase.RESERVED
    match message.state:
        case 'committed':
            if reserved and message.token == allocation.token:
                table.start_tasks(now, allocation, ())
        case 'ended' | 'unknown':
            if reserved:
                table.close(
                    now, allocation, records.Outcome.RELEASED, message.state
                )
            else:
                table.stop_tasks(now, allocation, 0.0)


def handle_heartbeat(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.GangBeat,
) -> None:
    """Reply to a heartbeat of the lead, and extend the member's deadline."""
    attempt = message.attempt
    allocation = table.allocations.get(attempt)
    if allocation is None:
        tombstone = table.tombstones.get(attempt)
        if tombstone is not None:
            table.send_member_end(sender, attempt, tombstone)
        elif table.knows_all_tasks(now):
            table.send(sender, gang_messages.MemberStopped(attempt))
        return
    if allocation.lead != sender or allocation.phase not in (
        records.Phase.STARTING,
        records.Phase.RUNNING,
    ):
        return
    answered_at = message.uptime - table.clock_offset
    if table.started_at is not None and table.started_at <= answered_at <= now:
        deadline = answered_at + timing.compute_lead_timeout(message.interval)
        allocation.lead_deadline = max(allocation.lead_deadline, deadline)
        allocation.lead_confirmed = True
    if allocation.phase is records.Phase.RUNNING:
        table.send_heartbeat_reply(now, allocation)


def handle_heartbeat_reply(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.GangBeat,
) -> None:
    """Record the reply of a member to a heartbeat of this lead."""
    gang = table.gangs.get(message.attempt)
    if gang is not None:
        if gang.decision is leads.Decision.COMMITTED:
            gang.record_heartbeat(now, sender, message.uptime)
        return
    if message.attempt in table.allocations:
        return
    if table.knows_all_tasks(now):
        table.send(
            sender, gang_messages.GangStatus(message.attempt, 'unknown')
        )


def handle_stop(
    table: attempt_table.AttemptTable,
    now: float,
    sender: str,
    message: gang_messages.StopGang,
) -> None:
    """Stop an attempt on this worker, or a gang that this agent leads."""
    attempt = message.attempt
    gang = table.gangs.get(attempt)
    if gang is not None:
        gang.add_watcher(sender)
        gang.end(now, message.reason, message.grace)
        return
    allocation = table.allocations.get(attempt)
    if allocation is not None:
        if allocation.phase is not records.Phase.RESERVED:
            table.stop_tasks(now, allocation, message.grace)
            return
        outcome = records.Outcome.RELEASED
        if table.is_undecided(allocation):
            outcome = records.Outcome.ABORTED
        table.close(now, allocation, outcome, message.reason)
    elif not table.knows_all_tasks(now):
        return
    table.tombstones.add(now, attempt, '', records.Outcome.CLOSED)
    tombstone = table.tombstones.get(attempt)
    if tombstone is None:
        return
    table.send_member_end(sender, attempt, tombstone)
    if tombstone.outcome is records.Outcome.ABORTED:
        table.send_aborted(sender, tombstone)
    elif tombstone.outcome is records.Outcome.CLOSED:
        table.send(sender, gang_messages.GangStatus(attempt, 'unknown'))

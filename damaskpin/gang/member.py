"""Agent side of the gang protocol: gang members and leads on a worker.

A member is the part of a gang on one worker. The lead is the first member; its
agent decides whether the gang starts.
"""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin.gang import attempt_table
from damaskpin.gang import message_handlers
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

    from damaskpin import effects

LOG = logging.getLogger(__name__)

MAX_LED_GANGS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Permission to renew the leases of an attempt's tasks.

    :ivar lease_seconds: lease length while the agent runs.
    :ivar max_lease_seconds: longest lease that a stopping agent may set, so
        that the tasks run until the next process of the agent adopts them.
    """

    attempt: str
    lease_seconds: float
    max_lease_seconds: float


class Member:
    """Manages the gang members on one worker and the gangs led from it.

    After a restart, the agent refuses reservations and does not answer for
    attempts of its earlier processes until ``finish_adoption`` is called
    or the leases that those processes renewed must have expired.

    :param instance: instance id of the agent.
    :param accelerators: number of accelerators of the worker.
    :param rng: random generator of tokens; its seed must differ between
        incarnations of the agent.
    """

    __slots__ = ('_table',)

    def __init__(
        self, instance: str, accelerators: int, rng: random.Random
    ) -> None:
        self._table = attempt_table.AttemptTable(instance, accelerators, rng)

    def adopt(
        self,
        now: float,
        attempt: str,
        labels: dict[str, str],
        accelerators: tuple[int, ...],
    ) -> list[effects.Effect]:
        """Adopt the tasks that an earlier process of the agent started.

        Called for each attempt on the worker before any message is handled.

        :param now: monotonic seconds.
        :param labels: labels of the tasks.
        :param accelerators: indexes of the accelerators that the tasks hold.
        """
        self._table.end_overdue(now)
        if attempt in self._table.allocations:
            return self._table.flush_effects(now)
        parsed = records.parse_labels(attempt, labels, accelerators)
        if parsed is None:
            LOG.warning(
                'stopping tasks of attempt %s: incomplete labels', attempt
            )
            allocation = _make_unlabelled_allocation(attempt, accelerators)
            self._table.allocations[attempt] = allocation
            self._table.stop_tasks(now, allocation, 0.0)
            return self._table.flush_effects(now)
        allocation, tokens = parsed
        self._table.allocations[attempt] = allocation
        allocation.max_lease = timing.MAX_LEASE_SECONDS
        allocation.lead_deadline = now + timing.LEASE_SECONDS
        allocation.lead_confirmed = allocation.lead == self._table.instance
        if allocation.lead_confirmed:
            self._table.add_led_gang(now, allocation, tokens)
        return self._table.flush_effects(now)

    def finish_adoption(self, now: float) -> list[effects.Effect]:
        """Record that every task on the worker was passed to ``adopt``."""
        self._table.end_overdue(now)
        self._table.adoption_finished = True
        return self._table.flush_effects(now)

    def handle_task_started(
        self, now: float, attempt: str
    ) -> list[effects.Effect]:
        """Record that the worker runs the tasks of an attempt."""
        self._table.end_overdue(now)
        allocation = self._table.allocations.get(attempt)
        if allocation and allocation.phase is records.Phase.STARTING:
            allocation.phase = records.Phase.RUNNING
            self._table.notify_started(now, allocation)
        return self._table.flush_effects(now)

    def handle_task_refused(
        self, now: float, attempt: str, reason: str
    ) -> list[effects.Effect]:
        """Close an attempt whose tasks the worker refused to start."""
        self._table.end_overdue(now)
        allocation = self._table.allocations.get(attempt)
        if allocation is not None:
            self._table.close(now, allocation, records.Outcome.STOPPED, reason)
        return self._table.flush_effects(now)

    def handle_task_ended(
        self, now: float, attempt: str, exit_code: int | None
    ) -> list[effects.Effect]:
        """Record that the tasks of an attempt ended.

        :param exit_code: largest exit code; ``None`` when the tasks were
            stopped or their leases expired.
        """
        self._table.end_overdue(now)
        allocation = self._table.allocations.get(attempt)
        if allocation is not None:
            self._table.record_tasks_ended(now, allocation, exit_code)
        return self._table.flush_effects(now)

    def set_revision(self, now: float, revision: int) -> list[effects.Effect]:
        """Set the configuration revision; refuse older reservations."""
        self._table.end_overdue(now)
        self._table.revision = max(self._table.revision, revision)
        return self._table.flush_effects(now)

    def drain(self, now: float) -> list[effects.Effect]:
        """Refuse new reservations and commits; running tasks continue."""
        self._table.end_overdue(now)
        self._table.draining = True
        for allocation in list(self._table.allocations.values()):
            if self._table.is_undecided(allocation):
                self._table.close(
                    now, allocation, records.Outcome.ABORTED, 'draining'
                )
        return self._table.flush_effects(now)

    def list_gangs(self) -> tuple[messages.GangState, ...]:
        """Return the attempts that hold accelerators of this worker."""
        return tuple(
            messages.GangState(
                attempt=allocation.attempt,
                job=allocation.job,
                account=allocation.account,
                accelerators=allocation.accelerators,
                lead=allocation.lead,
                running=allocation.phase is not records.Phase.RESERVED,
                guaranteed=allocation.guaranteed,
                owner=allocation.owner,
            )
            for allocation in self._table.allocations.values()
        )

    def list_renewals(self, now: float) -> tuple[LeaseRenewal, ...]:
        """Return permissions to renew the leases of attempts' tasks now."""
        renewals = []
        for allocation in self._table.allocations.values():
            max_lease_seconds = timing.MAX_LEASE_SECONDS
            if allocation.phase not in (
                records.Phase.STARTING,
                records.Phase.RUNNING,
            ):
                continue
            if allocation.lead != self._table.instance:
                lead_time_left = allocation.lead_deadline - now
                if not allocation.lead_confirmed or lead_time_left < 0:
                    continue
                max_lease_seconds = min(
                    max_lease_seconds, lead_time_left + timing.LEASE_SECONDS
                )
            renewals.append(
                LeaseRenewal(
                    allocation.attempt, timing.LEASE_SECONDS, max_lease_seconds
                )
            )
        return tuple(renewals)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of the gang protocol.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        self._table.end_overdue(now)
        attempt = getattr(message, 'attempt', '')
        gang = self._table.gangs.get(attempt)
        match message:
            case gang_messages.Reserve():
                message_handlers.handle_reserve(
                    self._table, now, sender, message
                )
            case gang_messages.Commit():
                message_handlers.handle_commit(
                    self._table, now, sender, message
                )
            case gang_messages.StartMember():
                message_handlers.handle_start_member(
                    self._table, now, sender, message
                )
            case gang_messages.QueryGang():
                message_handlers.handle_query(
                    self._table, now, sender, message
                )
            case gang_messages.GangStatus():
                message_handlers.handle_gang_status(
                    self._table, now, sender, message
                )
            case gang_messages.GangBeat(reply=False):
                message_handlers.handle_heartbeat(
                    self._table, now, sender, message
                )
            case gang_messages.GangBeat():
                message_handlers.handle_heartbeat_reply(
                    self._table, now, sender, message
                )
            case gang_messages.StopGang():
                message_handlers.handle_stop(self._table, now, sender, message)
            case gang_messages.MemberStarted() if gang:
                gang.record_started(now, sender, message.uptime)
            case gang_messages.MemberRefused() if gang:
                reason = f'{sender} refused: {message.reason}'
                gang.record_stopped(now, sender, reason)
            case gang_messages.MemberStopped() if gang:
                gang.record_stopped(now, sender, f'{sender} stopped')
            case gang_messages.MemberFinished() if gang:
                gang.record_finished(now, sender, message.exit_code)
            case gang_messages.GangFinishedAck() if gang:
                gang.acknowledge(sender)
        return self._table.flush_effects(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Send messages that are due, and end attempts that are overdue."""
        self._table.end_overdue(now)
        for allocation in list(self._table.allocations.values()):
            self._table.send_due_messages(now, allocation)
        self._table.tombstones.expire(now)
        for gang in list(self._table.gangs.values()):
            if gang.is_expired(now) or len(self._table.gangs) > MAX_LED_GANGS:
                self._table.remove_ended_gang(gang)
        return self._table.flush_effects(now)


def _make_unlabelled_allocation(
    attempt: str, accelerators: tuple[int, ...]
) -> records.Allocation:
    return records.Allocation(
        attempt=attempt,
        job='',
        account='',
        owner='',
        accelerators=accelerators,
        lead='',
        members=(),
        coordinator='',
        guaranteed=False,
        command=(),
        token='',
        phase=records.Phase.RUNNING,
        max_lease=timing.MAX_LEASE_SECONDS,
    )

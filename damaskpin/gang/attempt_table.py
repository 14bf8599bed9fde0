"""Attempts on one worker: reservations, tasks, and gangs led from it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import lead as leads
from damaskpin.gang import metrics
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

LOG = logging.getLogger(__name__)

QUERY_INTERVAL_SECONDS = 0.5
# Longest grace period of stopping tasks. The lease of stopping tasks is not
# renewed any more, but at least 10 s of it remain, because leases are renewed
# every few seconds.
MAX_GRACE_SECONDS = 10.0
# Interval at which the revocation of a lease is repeated, because the call to
# the worker may fail.
REVOKE_INTERVAL_SECONDS = 2.0


class AttemptTable:
    """Keeps the attempts of one worker, and queues effects for the daemon.

    :param instance: instance id of the agent.
    :param accelerators: number of accelerators of the worker.
    :param rng: random generator of tokens; its seed must differ between
        incarnations of the agent.
    :ivar allocations: accelerators in use or reserved, by attempt.
    :ivar gangs: committed gangs that this agent leads, by attempt.
    :ivar tombstones: records of attempts that can't start here any more.
    :ivar clock_offset: seconds added to the agent's clock in messages.
    :ivar started_at: time of the first call after the start of the agent's
        process, monotonic seconds; ``None`` before it.
    :ivar adoption_finished: whether the agent has adopted every task that it
        found on the worker when it started.
    :ivar draining: whether the agent refuses new reservations and commits.
    :ivar revision: highest configuration revision that the agent knows.
    """

    __slots__ = (
        '_queued_effects',
        'accelerators',
        'adoption_finished',
        'allocations',
        'clock_offset',
        'draining',
        'gangs',
        'instance',
        'revision',
        'rng',
        'started_at',
        'tombstones',
    )

    def __init__(
        self, instance: str, accelerators: int, rng: random.Random
    ) -> None:
        self.instance = instance
        self.accelerators = accelerators
        self.rng = rng
        # Heartbeat replies carry the agent's clock with a random offset, so
        # that the agent rejects a time that an earlier process of it sent.
        self.clock_offset = rng.uniform(1e3, 1e6)
        self.started_at: float | None = None
        self.adoption_finished = False
        self.draining = False
        self.revision = 0
        self.allocations: dict[str, records.Allocation] = {}
        self.gangs: dict[str, leads.Gang] = {}
        self.tombstones = records.Tombstones()
        self._queued_effects: list[effects.Effect] = []

    def end_overdue(self, now: float) -> None:
        """Expire reservations, and stop or end attempts that are overdue.

        Called before each input, so that a process that was paused does not
        act on reservations and heartbeats that are outdated.
        """
        if self.started_at is None:
            self.started_at = now
        for allocation in list(self.allocations.values()):
            match allocation.phase:
                case records.Phase.RESERVED:
                    if now >= allocation.expires_at:
                        outcome = records.Outcome.RELEASED
                        if self.is_undecided(allocation):
                            outcome = records.Outcome.ABORTED
                        self.close(now, allocation, outcome, 'expired')
                case records.Phase.STOPPING:
                    if now >= allocation.assume_ended_at:
                        self.record_tasks_ended(now, allocation, None)
                case _:
                    self._stop_overdue_tasks(now, allocation)
        for gang in self.gangs.values():
            gang.end_if_timed_out(now)

    def _stop_overdue_tasks(
        self, now: float, allocation: records.Allocation
    ) -> None:
        is_lead = allocation.lead == self.instance
        if not is_lead and now > allocation.lead_deadline:
            LOG.warning(
                'stopping tasks of attempt %s: no heartbeat from lead %s',
                allocation.attempt,
                allocation.lead,
                extra={'attempt': allocation.attempt},
            )
            self.stop_tasks(now, allocation, 0.0)
        elif (
            allocation.phase is records.Phase.STARTING
            and now >= allocation.start_deadline
        ):
            LOG.warning(
                'stopping attempt %s: worker did not start it within %s s',
                allocation.attempt,
                timing.START_TIMEOUT_SECONDS,
                extra={'attempt': allocation.attempt},
            )
            self.stop_tasks(now, allocation, 0.0)

    def send_due_messages(
        self, now: float, allocation: records.Allocation
    ) -> None:
        """Queue an attempt's due query to its lead or lease revocation."""
        if allocation.phase is records.Phase.STOPPING:
            if now >= allocation.revoke_at:
                allocation.revoke_at = now + REVOKE_INTERVAL_SECONDS
                metrics.REVOCATIONS.add(1)
                self._queued_effects.append(
                    effects.RevokeTask(allocation.attempt)
                )
            return
        if allocation.lead == self.instance or now < allocation.next_query_at:
            return
        reserved = allocation.phase is records.Phase.RESERVED
        if not reserved and allocation.lead_confirmed:
            return
        allocation.next_query_at = now + QUERY_INTERVAL_SECONDS
        if not reserved:
            self.send_heartbeat_reply(now, allocation)
        self.send(
            allocation.lead,
            gang_messages.QueryGang(allocation.attempt, allocation.token),
        )

    def add_led_gang(
        self,
        now: float,
        allocation: records.Allocation,
        tokens: tuple[str, ...],
    ) -> None:
        """Add the decision record of a committed gang that this agent leads.

        :param tokens: reservation tokens, in the order of the members.
        """
        self.gangs[allocation.attempt] = leads.Gang(
            now,
            self.instance,
            allocation.attempt,
            allocation.job,
            [member.agent for member in allocation.members],
            tokens,
            [allocation.owner, allocation.coordinator],
            self.rng,
        )
        if allocation.phase is records.Phase.RUNNING:
            self.gangs[allocation.attempt].record_started(
                now, self.instance, 0.0
            )

    def start_tasks(
        self,
        now: float,
        allocation: records.Allocation,
        tokens: tuple[str, ...],
    ) -> None:
        """Ask the worker to start the tasks of an attempt."""
        allocation.phase = records.Phase.STARTING
        allocation.start_deadline = now + timing.START_TIMEOUT_SECONDS
        self._queued_effects.append(
            effects.StartTask(
                attempt=allocation.attempt,
                accelerators=allocation.accelerators,
                command=allocation.command,
                lease_seconds=timing.LEASE_SECONDS,
                labels=records.make_labels(allocation, tokens),
            )
        )

    def notify_started(
        self, now: float, allocation: records.Allocation
    ) -> None:
        """Report to the lead that the tasks of this member run."""
        gang = self.gangs.get(allocation.attempt)
        if gang is not None:
            gang.record_started(now, self.instance, 0.0)
            return
        self.send(
            allocation.lead,
            gang_messages.MemberStarted(
                allocation.attempt, now + self.clock_offset
            ),
        )

    def stop_tasks(
        self, now: float, allocation: records.Allocation, grace: float
    ) -> None:
        """Ask the worker to stop the tasks of an attempt."""
        if allocation.phase is records.Phase.STOPPING:
            return
        grace = min(grace, MAX_GRACE_SECONDS)
        allocation.phase = records.Phase.STOPPING
        allocation.revoke_at = now + grace + timing.STOP_TIMEOUT_SECONDS
        allocation.assume_ended_at = (
            now + allocation.max_lease + timing.TIMEOUT_MARGIN_SECONDS
        )
        self._queued_effects.append(
            effects.StopTask(allocation.attempt, grace)
        )

    def record_tasks_ended(
        self, now: float, allocation: records.Allocation, exit_code: int | None
    ) -> None:
        """Close an attempt whose tasks have ended.

        :param exit_code: largest exit code; ``None`` if the tasks were stopped
            or their leases expired.
        """
        stopping = allocation.phase is records.Phase.STOPPING
        if exit_code is None or stopping:
            self.close(now, allocation, records.Outcome.STOPPED, 'stopped')
        else:
            self.close(
                now,
                allocation,
                records.Outcome.FINISHED,
                'finished',
                exit_code,
            )

    def close(
        self,
        now: float,
        allocation: records.Allocation,
        outcome: records.Outcome,
        reason: str,
        exit_code: int = 0,
    ) -> None:
        """Release the accelerators of an attempt and notify the lead."""
        attempt = allocation.attempt
        del self.allocations[attempt]
        self.tombstones.add(
            now,
            attempt,
            allocation.job,
            outcome,
            reason,
            exit_code,
            allocation.token,
        )
        gang = self.gangs.get(attempt)
        if gang is not None:
            if outcome is records.Outcome.FINISHED:
                gang.record_finished(now, self.instance, exit_code)
            else:
                reason = f'{self.instance}: {reason}'
                gang.record_stopped(now, self.instance, reason)
        elif outcome in (records.Outcome.STOPPED, records.Outcome.FINISHED):
            tombstone = self.tombstones.get(attempt)
            if allocation.lead and tombstone is not None:
                self.send_member_end(allocation.lead, attempt, tombstone)

    def send_member_end(
        self, to: str, attempt: str, tombstone: records.Tombstone
    ) -> None:
        """Send how an attempt ended on this worker.

        :param to: instance id of the receiver.
        """
        if tombstone.outcome is records.Outcome.FINISHED:
            message = gang_messages.MemberFinished(
                attempt, tombstone.exit_code
            )
            self.send(to, message)
        else:
            self.send(to, gang_messages.MemberStopped(attempt))

    def send_heartbeat_reply(
        self, now: float, allocation: records.Allocation
    ) -> None:
        """Send the reply to a heartbeat of the lead."""
        self.send(
            allocation.lead,
            gang_messages.GangBeat(
                allocation.attempt,
                0.0,
                reply=True,
                uptime=now + self.clock_offset,
            ),
        )

    def send_aborted(self, to: str, tombstone: records.Tombstone) -> None:
        """Send the report that this agent, as the lead, aborted a gang.

        :param to: instance id of the receiver.
        """
        self.send(
            to,
            gang_messages.GangFinished(
                attempt=tombstone.attempt,
                job=tombstone.job,
                committed=False,
                exit_code=None,
                reason=tombstone.reason,
                token=tombstone.token,
            ),
        )

    def remove_ended_gang(self, gang: leads.Gang) -> None:
        """Drop the decision record of a gang if the gang has ended."""
        if gang.decision is leads.Decision.ENDED:
            del self.gangs[gang.attempt]

    def is_undecided(self, allocation: records.Allocation) -> bool:
        """Return whether this agent, as the lead, has yet to decide a gang."""
        reserved = allocation.phase is records.Phase.RESERVED
        return reserved and allocation.lead == self.instance

    def knows_all_tasks(self, now: float) -> bool:
        """Return whether all tasks on the worker are known.

        Tasks that an earlier process of the agent started are unknown until
        they were adopted or until their leases must have expired.
        """
        if self.adoption_finished or self.started_at is None:
            return self.adoption_finished
        return now >= self.started_at + timing.MAX_LEASE_SECONDS

    def send(self, to: str, message: messages.Message) -> None:
        """Queue a message to an instance."""
        self._queued_effects.append(effects.Send(to, message))

    def flush_effects(self, now: float) -> list[effects.Effect]:
        """Return the queued effects, with the messages of the led gangs."""
        for gang in self.gangs.values():
            self._queued_effects.extend(gang.tick(now))
            allocation = self.allocations.get(gang.attempt)
            if allocation and gang.decision is leads.Decision.ENDING:
                self.stop_tasks(now, allocation, gang.grace)
        due_effects, self._queued_effects = self._queued_effects, []
        return due_effects

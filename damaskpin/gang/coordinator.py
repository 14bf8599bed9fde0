"""Coordinator side of the gang protocol: reserve, request grant, commit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import metrics
from damaskpin.gang import placement as placements
from damaskpin.gang import timers
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

    from damaskpin.model import job as jobs


class Coordinator:
    """Starts gangs, and follows each one until it has ended.

    :param instance: instance id of the entry that runs the coordinator.
    :param rng: random generator of the jitter of repeat intervals.
    """

    __slots__ = (
        '_attempt_by_job',
        '_claims',
        '_instance',
        '_placements',
        '_queued_effects',
        '_rng',
        '_timers',
    )

    def __init__(self, instance: str, rng: random.Random) -> None:
        self._instance = instance
        self._rng = rng
        self._placements: dict[str, placements.Placement] = {}
        self._attempt_by_job: dict[str, str] = {}
        self._claims = placements.AcceleratorClaims()
        self._timers = timers.Timers()
        self._queued_effects: list[effects.Effect] = []

    def place(
        self,
        now: float,
        attempt: str,
        job: jobs.Job,
        owner: str,
        members: tuple[gang_messages.Member, ...],
        revision: int,
        guaranteed: bool,
    ) -> list[effects.Effect]:
        """Start a gang on all members or on none.

        :param now: monotonic seconds.
        :param attempt: attempt id, unique among all coordinators.
        :param owner: instance id of the entry that grants attempts.
        :param members: members; the first is the lead.
        :param revision: configuration revision of the placement.
        :param guaranteed: whether the accelerators belong to the client
            account's guarantee.
        """
        placement = placements.Placement(
            attempt, job, owner, members, revision, guaranteed, now
        )
        if attempt in self._placements or job.id in self._attempt_by_job:
            self._emit_failed(placement, 'already placed', ())
            return self._flush_effects()
        conflicting = [
            self._placements[name]
            for name in self._claims.find_conflicts(placement)
        ]
        for other in conflicting:
            if other.sort_key < placement.sort_key:
                self._emit_failed(placement, 'conflict', ())
                return self._flush_effects()
        for other in conflicting:
            placement.has_displaced_younger_placement = True
            self._fail(now, other, 'conflict', ())
        self._placements[attempt] = placement
        self._attempt_by_job[job.id] = attempt
        self._claims.claim(placement)
        self._advance(now, placement)
        return self._flush_effects()

    def stop(
        self, now: float, job_id: str, reason: str, grace: float
    ) -> list[effects.Effect]:
        """Stop the gang of a job, whether it runs or is being placed.

        :param reason: reason that is reported to the owner; ``reclaimed`` if
            the client account that owns the accelerators needs them.
        :param grace: seconds that the tasks have for a checkpoint.
        """
        attempt = self._attempt_by_job.get(job_id)
        if attempt is None:
            return []
        placement = self._placements[attempt]
        if placement.phase in (
            placements.Phase.RESERVING,
            placements.Phase.GRANTING,
        ):
            self._fail(now, placement, reason, ())
        elif placement.requested_stop is None:
            placement.requested_stop = (reason, grace)
            placement.reset_backoff(now)
            self._advance(now, placement)
        return self._flush_effects()

    def handle_agent_lost(
        self, now: float, instance: str
    ) -> list[effects.Effect]:
        """Fail or end the gangs that need an agent that was lost."""
        for placement in list(self._placements.values()):
            match placement.phase:
                case placements.Phase.RESERVING | placements.Phase.GRANTING:
                    if instance in placement.agents:
                        self._fail(now, placement, 'lost', (instance,))
                case placements.Phase.COMMITTING | placements.Phase.RUNNING:
                    if instance == placement.lead:
                        self._record_lead_lost(now, placement)
        return self._flush_effects()

    def list_attempts(self) -> tuple[str, ...]:
        """Return the attempts that are placed, running or being released."""
        return tuple(self._placements)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of the gang protocol.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        attempt = getattr(message, 'attempt', '')
        placement = self._placements.get(attempt)
        if placement is None:
            # The gang's end was handled already, or an earlier process of this
            # coordinator placed the gang.
            if isinstance(message, gang_messages.GangFinished):
                self._send(sender, gang_messages.GangFinishedAck(attempt))
            return self._flush_effects()
        # The placement's time-outs are handled before the message, so that a
        # coordinator process that was paused does not act on an overdue
        # placement.
        self._advance(now, placement)
        match message:
            case gang_messages.Reserved():
                placement.record_reservation(now, sender, message.token)
            case gang_messages.ReserveRefused():
                placement.record_refusal(now, sender, message.reason)
            case gang_messages.Granted() if (
                placement.phase is placements.Phase.GRANTING
            ):
                placement.phase = placements.Phase.COMMITTING
                self._claims.release(placement)
                placement.reset_backoff(now)
            case gang_messages.Denied() if (
                placement.phase is placements.Phase.GRANTING
            ):
                self._fail(now, placement, f'denied: {message.reason}', ())
            case gang_messages.Committed():
                self._record_committed(now, placement)
            case gang_messages.CommitRefused():
                if placement.phase is placements.Phase.COMMITTING:
                    refused = (placement.lead,)
                    self._fail(now, placement, message.reason, refused)
            case gang_messages.GangStatus() if sender == placement.lead:
                self._handle_gang_status(now, placement, message.state)
            case gang_messages.GangFinished():
                self._send(sender, gang_messages.GangFinishedAck(attempt))
                self._handle_gang_finished(now, placement, message)
            case (
                gang_messages.MemberStopped()
                | gang_messages.MemberRefused()
                | gang_messages.MemberFinished()
            ):
                placement.released.add(sender)
            case gang_messages.GangFinishedAck() if sender == placement.owner:
                placement.owner_acknowledged = True
        self._advance(now, placement)
        return self._flush_effects()

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat messages that are due, and fail overdue placements."""
        for attempt in self._timers.pop_due(now):
            placement = self._placements.get(attempt)
            if placement is not None:
                self._advance(now, placement)
        return self._flush_effects()

    # Answers of members and owners

    def _record_committed(
        self, now: float, placement: placements.Placement
    ) -> None:
        if placement.phase is not placements.Phase.COMMITTING:
            return
        placement.phase = placements.Phase.RUNNING
        placement.started = True
        metrics.PLACEMENTS.add(1, {'outcome': 'started'})
        self._queued_effects.append(
            effects.GangStarted(placement.job.id, placement.attempt)
        )
        if placement.requested_stop is None:
            placement.next_send_at = now + placements.POLL_SECONDS

    def _handle_gang_status(
        self, now: float, placement: placements.Placement, state: str
    ) -> None:
        if placement.phase not in (
            placements.Phase.COMMITTING,
            placements.Phase.RUNNING,
        ):
            return
        match state:
            case 'committed':
                self._record_committed(now, placement)
                if not placement.record_lost:
                    placement.lead_lost_at = None
            case 'unknown':
                # The agent of the lead has restarted. If the gang was
                # committed, an earlier process of the agent committed it.
                placement.record_lost = True
                self._record_lead_lost(now, placement)

    def _handle_gang_finished(
        self,
        now: float,
        placement: placements.Placement,
        message: gang_messages.GangFinished,
    ) -> None:
        if placement.phase not in (
            placements.Phase.COMMITTING,
            placements.Phase.RUNNING,
        ):
            return
        if not message.committed:
            if message.token == placement.tokens[placement.lead]:
                self._fail(now, placement, message.reason, ())
            else:
                self._handle_gang_status(now, placement, 'unknown')
            return
        self._report_end(placement, message.exit_code, message.reason)

    # Timers and time-outs

    def _advance(self, now: float, placement: placements.Placement) -> None:
        """Handle the time-outs and messages due for a placement."""
        if placement.attempt not in self._placements:
            return
        match placement.phase:
            case placements.Phase.RESERVING | placements.Phase.GRANTING:
                failure = placement.find_failure(now)
                if failure is not None:
                    self._fail(now, placement, *failure)
                    return
            case placements.Phase.COMMITTING | placements.Phase.RUNNING:
                self._end_if_lead_lost(now, placement)
            case placements.Phase.RELEASING if placement.is_released(now):
                self._remove_placement(placement)
        if placement.attempt not in self._placements:
            return
        if now >= placement.next_send_at:
            self._queued_effects.extend(
                placement.make_due_messages(now, self._rng)
            )
        self._timers.set(
            placement.attempt, placement.compute_next_due_time(now)
        )

    def _end_if_lead_lost(
        self, now: float, placement: placements.Placement
    ) -> None:
        if placement.lead_lost_at is None:
            return
        if now >= placement.orphans_end_at:
            self._report_end(placement, None, 'lead is lost')

    # Failed placements and ended gangs

    def _fail(
        self,
        now: float,
        placement: placements.Placement,
        reason: str,
        agents: tuple[str, ...],
    ) -> None:
        """Fail a placement that can't start any more, and release it.

        The gang can't be committed any more: only this coordinator holds the
        reservation tokens and it sends no further commit, or the lead has
        finally refused the commit.
        """
        self._emit_failed(placement, reason, agents)
        placement.released.update(placement.refusal_reasons)
        placement.phase = placements.Phase.RELEASING
        placement.fail_at = None
        placement.reason = reason
        self._attempt_by_job.pop(placement.job.id, None)
        self._claims.release(placement)
        placement.reset_backoff(now)
        self._advance(now, placement)

    def _report_end(
        self,
        placement: placements.Placement,
        exit_code: int | None,
        reason: str,
    ) -> None:
        self._queued_effects.append(
            effects.GangEnded(
                placement.job.id, placement.attempt, exit_code, reason
            )
        )
        self._attempt_by_job.pop(placement.job.id, None)
        self._remove_placement(placement)

    def _record_lead_lost(
        self, now: float, placement: placements.Placement
    ) -> None:
        if placement.lead_lost_at is None:
            placement.lead_lost_at = now
            placement.reset_backoff(now)
            self._advance(now, placement)

    def _remove_placement(self, placement: placements.Placement) -> None:
        self._placements.pop(placement.attempt, None)
        self._timers.remove(placement.attempt)

    def _emit_failed(
        self,
        placement: placements.Placement,
        reason: str,
        agents: tuple[str, ...],
    ) -> None:
        metrics.PLACEMENTS.add(1, {'outcome': 'failed'})
        self._queued_effects.append(
            effects.GangFailed(
                placement.job.id, placement.attempt, reason, agents
            )
        )

    def _send(self, to: str, message: messages.Message) -> None:
        self._queued_effects.append(effects.Send(to, message))

    def _flush_effects(self) -> list[effects.Effect]:
        due_effects, self._queued_effects = self._queued_effects, []
        return due_effects

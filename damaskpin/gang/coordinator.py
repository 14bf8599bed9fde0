"""Coordinator side of gangs: reserve, ask for the grant, commit."""

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
    """Drives placements until their gangs have ended.

    :param instance: instance id of the entry.
    :param rng: for jitter.
    """

    __slots__ = (
        '_by_job',
        '_cells',
        '_instance',
        '_out',
        '_placements',
        '_rng',
        '_timers',
    )

    def __init__(self, instance: str, rng: random.Random) -> None:
        self._instance = instance
        self._rng = rng
        self._placements: dict[str, placements.Placement] = {}
        self._by_job: dict[str, str] = {}
        self._cells = placements.Cells()
        self._timers = timers.Timers()
        self._out: list[effects.Effect] = []

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
        :param attempt: attempt id, unique in the fleet.
        :param owner: instance id of the entry that grants attempts.
        :param members: members; the first is the lead.
        :param revision: configuration revision of the placement.
        """
        placement = placements.Placement(
            attempt, job, owner, members, revision, guaranteed, now
        )
        if attempt in self._placements or job.id in self._by_job:
            self._emit_failed(placement, 'already placed', ())
            return self._flush()
        rivals = [
            self._placements[name]
            for name in self._cells.find_rivals(placement)
        ]
        for rival in rivals:
            if rival.order < placement.order:
                self._emit_failed(placement, 'conflict', ())
                return self._flush()
        for rival in rivals:
            placement.evicts = True
            self._fail(now, rival, 'conflict', ())
        self._placements[attempt] = placement
        self._by_job[job.id] = attempt
        self._cells.take(placement)
        self._advance(now, placement)
        return self._flush()

    def stop(
        self, now: float, job_id: str, reason: str, grace: float
    ) -> list[effects.Effect]:
        """Stop a job's gang, whether it runs or is being placed.

        :param reason: reason that the owner is told; ``reclaimed`` when the
            accelerators are needed by their account.
        :param grace: seconds for a checkpoint.
        """
        attempt = self._by_job.get(job_id)
        if attempt is None:
            return []
        placement = self._placements[attempt]
        if placement.phase in (
            placements.Phase.RESERVING,
            placements.Phase.GRANTING,
        ):
            self._fail(now, placement, reason, ())
        elif placement.stop is None:
            placement.stop = (reason, grace)
            placement.hurry(now)
            self._advance(now, placement)
        return self._flush()

    def agent_lost(self, now: float, instance: str) -> list[effects.Effect]:
        """Note that an agent is dead or can't be reached."""
        for placement in list(self._placements.values()):
            match placement.phase:
                case placements.Phase.RESERVING | placements.Phase.GRANTING:
                    if instance in placement.agents:
                        self._fail(now, placement, 'lost', (instance,))
                case placements.Phase.COMMITTING | placements.Phase.RUNNING:
                    if instance == placement.lead:
                        self._lose(now, placement)
        return self._flush()

    def list_attempts(self) -> tuple[str, ...]:
        """Return the attempts that have not ended or are being released."""
        return tuple(self._placements)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        attempt = getattr(message, 'attempt', '')
        placement = self._placements.get(attempt)
        if placement is None:
            # A former coordinator of this name started the gang.
            if isinstance(message, gang_messages.GangFinished):
                self._send(sender, gang_messages.GangFinishedAck(attempt))
            return self._flush()
        # A process that was paused finds its placements overdue first.
        self._advance(now, placement)
        match message:
            case gang_messages.Reserved():
                placement.note_reserved(now, sender, message.token)
            case gang_messages.ReserveRefused():
                placement.note_refused(now, sender, message.reason)
            case gang_messages.Granted() if (
                placement.phase is placements.Phase.GRANTING
            ):
                placement.phase = placements.Phase.COMMITTING
                self._cells.free(placement)
                placement.hurry(now)
            case gang_messages.Denied() if (
                placement.phase is placements.Phase.GRANTING
            ):
                self._fail(now, placement, f'denied: {message.reason}', ())
            case gang_messages.Committed():
                self._note_committed(now, placement)
            case gang_messages.CommitRefused():
                if placement.phase is placements.Phase.COMMITTING:
                    refused = (placement.lead,)
                    self._fail(now, placement, message.reason, refused)
            case gang_messages.GangStatus() if sender == placement.lead:
                self._note_status(now, placement, message.state)
            case gang_messages.GangFinished():
                self._send(sender, gang_messages.GangFinishedAck(attempt))
                self._note_finished(now, placement, message)
            case (
                gang_messages.MemberStopped()
                | gang_messages.MemberRefused()
                | gang_messages.MemberFinished()
            ):
                placement.released.add(sender)
            case gang_messages.GangFinishedAck() if sender == placement.owner:
                placement.owner_told = True
        self._advance(now, placement)
        return self._flush()

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat what is due and give up what is overdue."""
        for attempt in self._timers.pop_due(now):
            placement = self._placements.get(attempt)
            if placement is not None:
                self._advance(now, placement)
        return self._flush()

    # Answers

    def _note_committed(
        self, now: float, placement: placements.Placement
    ) -> None:
        if placement.phase is not placements.Phase.COMMITTING:
            return
        placement.phase = placements.Phase.RUNNING
        placement.started = True
        metrics.PLACEMENTS.add(1, {'outcome': 'started'})
        self._out.append(
            effects.GangStarted(placement.job.id, placement.attempt)
        )
        if placement.stop is None:
            placement.next_send = now + placements.POLL_SECONDS

    def _note_status(
        self, now: float, placement: placements.Placement, state: str
    ) -> None:
        if placement.phase not in (
            placements.Phase.COMMITTING,
            placements.Phase.RUNNING,
        ):
            return
        match state:
            case 'committed':
                self._note_committed(now, placement)
                if not placement.forgotten:
                    placement.lost_at = None
            case 'unknown':
                # The reservation that was committed, if it was, belongs to an
                # earlier incarnation of the lead.
                placement.forgotten = True
                self._lose(now, placement)

    def _note_finished(
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
                self._note_status(now, placement, 'unknown')
            return
        self._end(placement, message.exit_code, message.reason)

    # Progress

    def _advance(self, now: float, placement: placements.Placement) -> None:
        """Do what is due for a placement and set its timer."""
        if placement.attempt not in self._placements:
            return
        match placement.phase:
            case placements.Phase.RESERVING | placements.Phase.GRANTING:
                failure = placement.find_failure(now)
                if failure is not None:
                    self._fail(now, placement, *failure)
                    return
            case placements.Phase.COMMITTING | placements.Phase.RUNNING:
                self._check_lost(now, placement)
            case placements.Phase.RELEASING if placement.is_released(now):
                self._drop(placement)
        if placement.attempt not in self._placements:
            return
        if now >= placement.next_send:
            self._out.extend(placement.repeat(now, self._rng))
        self._timers.set(placement.attempt, placement.compute_due(now))

    def _check_lost(self, now: float, placement: placements.Placement) -> None:
        if placement.lost_at is None:
            return
        if now >= placement.settled_at:
            self._end(placement, None, 'lead is lost')

    # Ends

    def _fail(
        self,
        now: float,
        placement: placements.Placement,
        reason: str,
        agents: tuple[str, ...],
    ) -> None:
        """End a placement that can't start any more.

        Only this coordinator holds the tokens, and it commits no more; or the
        lead has refused for good.
        """
        self._emit_failed(placement, reason, agents)
        placement.released.update(placement.refused)
        placement.phase = placements.Phase.RELEASING
        placement.fail_at = None
        placement.reason = reason
        self._by_job.pop(placement.job.id, None)
        self._cells.free(placement)
        placement.hurry(now)
        self._advance(now, placement)

    def _end(
        self,
        placement: placements.Placement,
        exit_code: int | None,
        reason: str,
    ) -> None:
        self._out.append(
            effects.GangEnded(
                placement.job.id, placement.attempt, exit_code, reason
            )
        )
        self._by_job.pop(placement.job.id, None)
        self._drop(placement)

    def _lose(self, now: float, placement: placements.Placement) -> None:
        if placement.lost_at is None:
            placement.lost_at = now
            placement.hurry(now)
            self._advance(now, placement)

    def _drop(self, placement: placements.Placement) -> None:
        self._placements.pop(placement.attempt, None)
        self._timers.remove(placement.attempt)

    def _emit_failed(
        self,
        placement: placements.Placement,
        reason: str,
        agents: tuple[str, ...],
    ) -> None:
        metrics.PLACEMENTS.add(1, {'outcome': 'failed'})
        self._out.append(
            effects.GangFailed(
                placement.job.id, placement.attempt, reason, agents
            )
        )

    def _send(self, to: str, message: messages.Message) -> None:
        self._out.append(effects.Send(to, message))

    def _flush(self) -> list[effects.Effect]:
        out, self._out = self._out, []
        return out

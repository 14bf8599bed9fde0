"""Coordinator side of gangs: reserve, ask for the grant, commit."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import metrics
from damaskpin.gang import timers
from damaskpin.gang import timing
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

    from damaskpin.model import job as jobs

# Half of a reservation's ttl: what remains is for the commit and the starts.
PLACE_SECONDS = timing.RESERVATION_SECONDS / 2
# After a refusal, others that refuse are waited for, so that the next
# placement avoids all of them.
REFUSAL_SECONDS = 0.2
REPEAT_SECONDS = 0.3
MAX_REPEAT_SECONDS = 5.0
POLL_SECONDS = 30.0
LOST_POLL_SECONDS = 2.0
# The owner asks the lead itself when it misses the end of an attempt.
NOTICE_SECONDS = 60.0


class Phase(enum.Enum):
    """Phase of a placement."""

    RESERVING = 'reserving'
    GRANTING = 'granting'
    COMMITTING = 'committing'
    RUNNING = 'running'
    # It failed; reservations are released and the owner is told.
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class Placement:
    """One attempt to start a gang.

    :ivar tokens: reservations that members have answered.
    :ivar refused: members that refused, with their reasons.
    :ivar evicts: it displaced a younger placement, whose reservations may
        take a moment to go.
    :ivar asked_owner: the owner may have granted the attempt.
    :ivar stop: reason and grace of a requested stop.
    :ivar lost_at: since when the lead is gone or does not know the gang.
    :ivar forgotten: the lead lost its record, for good.
    """

    attempt: str
    job: jobs.Job
    owner: str
    members: tuple[messages.Member, ...]
    revision: int
    guaranteed: bool
    began: float
    phase: Phase = Phase.RESERVING
    tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    refused: dict[str, str] = dataclasses.field(default_factory=dict)
    released: set[str] = dataclasses.field(default_factory=set)
    fail_at: float | None = None
    evicts: bool = False
    asked_owner: bool = False
    owner_told: bool = False
    started: bool = False
    stop: tuple[str, float] | None = None
    lost_at: float | None = None
    forgotten: bool = False
    reason: str = ''
    next_send: float = 0.0
    delay: float = REPEAT_SECONDS

    @property
    def lead(self) -> str:
        """Agent of the first member."""
        return self.members[0].agent

    @property
    def agents(self) -> tuple[str, ...]:
        """Agents of all members."""
        return tuple(member.agent for member in self.members)

    @property
    def released_by(self) -> float:
        """When the reservations have expired by themselves."""
        return self.began + PLACE_SECONDS + timing.RESERVATION_SECONDS

    @property
    def settled_at(self) -> float:
        """When nothing runs any more of a gang whose lead is lost."""
        settle = timing.compute_settle_seconds(len(self.members))
        return (self.lost_at or 0.0) + settle

    @property
    def order(self) -> tuple[int, float, str]:
        """Place in the total order of gangs; smaller goes first."""
        submitted = self.began - self.job.age_seconds
        return self.job.spec.priority, submitted, self.job.id


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
        self._placements: dict[str, Placement] = {}
        self._by_job: dict[str, str] = {}
        # Accelerators of placements that are not committed yet.
        self._cells: dict[tuple[str, int], str] = {}
        self._timers = timers.Timers()
        self._out: list[effects.Effect] = []

    def place(
        self,
        now: float,
        attempt: str,
        job: jobs.Job,
        owner: str,
        members: tuple[messages.Member, ...],
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
        placement = Placement(
            attempt, job, owner, members, revision, guaranteed, now
        )
        if attempt in self._placements or job.id in self._by_job:
            self._emit_failed(placement, 'already placed', ())
            return self._flush()
        for rival in self._find_rivals(placement):
            if rival.order < placement.order:
                self._emit_failed(placement, 'conflict', ())
                return self._flush()
        for rival in self._find_rivals(placement):
            placement.evicts = True
            self._fail(now, rival, 'conflict', ())
        self._placements[attempt] = placement
        self._by_job[job.id] = attempt
        for member in members:
            for index in member.accelerators:
                self._cells[member.agent, index] = attempt
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
        if placement.phase in (Phase.RESERVING, Phase.GRANTING):
            self._fail(now, placement, reason, ())
        elif placement.stop is None:
            placement.stop = (reason, grace)
            self._hurry(now, placement)
            self._advance(now, placement)
        return self._flush()

    def agent_lost(self, now: float, instance: str) -> list[effects.Effect]:
        """Note that an agent is dead or can't be reached."""
        for placement in list(self._placements.values()):
            match placement.phase:
                case Phase.RESERVING | Phase.GRANTING:
                    if instance in placement.agents:
                        self._fail(now, placement, 'lost', (instance,))
                case Phase.COMMITTING | Phase.RUNNING:
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
            if isinstance(message, messages.GangFinished):
                self._send(sender, messages.GangFinishedAck(attempt))
            return self._flush()
        # A process that was paused finds its placements overdue first.
        self._advance(now, placement)
        match message:
            case messages.Reserved():
                self._note_reserved(now, placement, sender, message.token)
            case messages.ReserveRefused():
                self._note_refused(now, placement, sender, message.reason)
            case messages.Granted() if placement.phase is Phase.GRANTING:
                placement.phase = Phase.COMMITTING
                self._free_cells(placement)
                self._hurry(now, placement)
            case messages.Denied() if placement.phase is Phase.GRANTING:
                self._fail(now, placement, f'denied: {message.reason}', ())
            case messages.Committed():
                self._note_committed(now, placement)
            case messages.CommitRefused():
                if placement.phase is Phase.COMMITTING:
                    refused = (placement.lead,)
                    self._fail(now, placement, message.reason, refused)
            case messages.GangStatus() if sender == placement.lead:
                self._note_status(now, placement, message.state)
            case messages.GangFinished():
                self._send(sender, messages.GangFinishedAck(attempt))
                self._note_finished(now, placement, message)
            case (
                messages.MemberStopped()
                | messages.MemberRefused()
                | messages.MemberFinished()
            ):
                placement.released.add(sender)
            case messages.GangFinishedAck() if sender == placement.owner:
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

    def _note_reserved(
        self, now: float, placement: Placement, agent: str, token: str
    ) -> None:
        if placement.phase is Phase.RELEASING:
            placement.released.discard(agent)
            return
        if placement.phase is not Phase.RESERVING:
            return
        if agent in placement.agents and agent not in placement.refused:
            placement.tokens[agent] = token
        if len(placement.tokens) == len(placement.members):
            placement.phase = Phase.GRANTING
            placement.asked_owner = True
            self._hurry(now, placement)

    def _note_refused(
        self, now: float, placement: Placement, agent: str, reason: str
    ) -> None:
        if placement.phase is not Phase.RESERVING:
            return
        if agent not in placement.agents or agent in placement.tokens:
            return
        if reason == 'taken' and placement.evicts:
            return
        placement.refused[agent] = reason
        if placement.fail_at is None:
            placement.fail_at = now + REFUSAL_SECONDS

    def _note_committed(self, now: float, placement: Placement) -> None:
        if placement.phase is not Phase.COMMITTING:
            return
        placement.phase = Phase.RUNNING
        placement.started = True
        metrics.PLACEMENTS.add(1, {'outcome': 'started'})
        self._out.append(
            effects.GangStarted(placement.job.id, placement.attempt)
        )
        if placement.stop is None:
            placement.next_send = self._draw_delay(now, POLL_SECONDS)

    def _note_status(
        self, now: float, placement: Placement, state: str
    ) -> None:
        if placement.phase not in (Phase.COMMITTING, Phase.RUNNING):
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
        placement: Placement,
        message: messages.GangFinished,
    ) -> None:
        if placement.phase not in (Phase.COMMITTING, Phase.RUNNING):
            return
        if not message.committed:
            if message.token == placement.tokens[placement.lead]:
                self._fail(now, placement, message.reason, ())
            else:
                self._note_status(now, placement, 'unknown')
            return
        self._end(placement, message.exit_code, message.reason)

    # Progress

    def _advance(self, now: float, placement: Placement) -> None:
        """Do what is due for a placement and set its timer."""
        if placement.attempt not in self._placements:
            return
        match placement.phase:
            case Phase.RESERVING | Phase.GRANTING:
                self._check_placing(now, placement)
            case Phase.COMMITTING | Phase.RUNNING:
                self._check_lost(now, placement)
            case Phase.RELEASING:
                self._check_released(now, placement)
        if placement.attempt not in self._placements:
            return
        if now >= placement.next_send:
            self._repeat(now, placement)
        self._timers.set(placement.attempt, self._compute_due(now, placement))

    def _compute_due(self, now: float, placement: Placement) -> float:
        due = [placement.next_send]
        match placement.phase:
            case Phase.RESERVING | Phase.GRANTING:
                due.append(placement.began + PLACE_SECONDS)
                if placement.fail_at is not None:
                    due.append(placement.fail_at)
            case Phase.RELEASING:
                due.append(placement.released_by)
            case _ if placement.lost_at is not None:
                due.append(placement.settled_at)
        # A time that has passed has been acted on.
        return min(time for time in due if time > now)

    def _check_placing(self, now: float, placement: Placement) -> None:
        answered = len(placement.tokens) + len(placement.refused)
        refusing = placement.fail_at is not None
        if refusing and (
            answered == len(placement.members) or now >= placement.fail_at
        ):
            agents = tuple(placement.refused)
            reason = ', '.join(sorted(set(placement.refused.values())))
            self._fail(now, placement, reason, agents)
        elif now < placement.began + PLACE_SECONDS:
            return
        elif placement.phase is Phase.GRANTING:
            self._fail(now, placement, 'owner is silent', ())
        else:
            agents = tuple(
                agent
                for agent in placement.agents
                if agent not in placement.tokens
            )
            self._fail(now, placement, 'no answer', agents)

    def _check_lost(self, now: float, placement: Placement) -> None:
        if placement.lost_at is None:
            return
        if now >= placement.settled_at:
            self._end(placement, None, 'lead is lost')

    def _check_released(self, now: float, placement: Placement) -> None:
        limit = placement.released_by
        released = placement.released.issuperset(placement.agents)
        told = placement.owner_told or not placement.asked_owner
        if now >= limit:
            # The reservations have expired by themselves.
            released = True
            told = told or now >= limit + NOTICE_SECONDS
        if released and told:
            self._drop(placement)

    def _repeat(self, now: float, placement: Placement) -> None:
        attempt = placement.attempt
        match placement.phase:
            case Phase.RESERVING:
                self._send_reserves(placement)
            case Phase.GRANTING:
                self._send(
                    placement.owner,
                    messages.RequestGrant(
                        placement.job.id,
                        attempt,
                        placement.lead,
                        placement.agents,
                        placement.tokens[placement.lead],
                    ),
                )
            case Phase.RELEASING:
                self._send_releases(now, placement)
            case _ if placement.stop is not None:
                reason, grace = placement.stop
                self._send(
                    placement.lead, messages.StopGang(attempt, reason, grace)
                )
            case _ if placement.lost_at is not None:
                self._send(placement.lead, messages.QueryGang(attempt))
                placement.next_send = self._draw_delay(now, LOST_POLL_SECONDS)
                return
            case Phase.COMMITTING:
                tokens = tuple(placement.tokens[a] for a in placement.agents)
                self._send(placement.lead, messages.Commit(attempt, tokens))
            case Phase.RUNNING:
                # Finds the end of a gang whose notice was lost.
                self._send(placement.lead, messages.QueryGang(attempt))
                placement.next_send = self._draw_delay(now, POLL_SECONDS)
                return
        placement.next_send = self._draw_delay(now, placement.delay)
        placement.delay = min(2 * placement.delay, MAX_REPEAT_SECONDS)

    def _send_reserves(self, placement: Placement) -> None:
        for member in placement.members:
            agent = member.agent
            if agent in placement.tokens or agent in placement.refused:
                continue
            led = agent == placement.lead
            self._send(
                agent,
                messages.Reserve(
                    attempt=placement.attempt,
                    job=placement.job.id,
                    account=placement.job.account,
                    owner=placement.owner,
                    accelerators=member.accelerators,
                    lead=placement.lead,
                    members=placement.members if led else (),
                    revision=placement.revision,
                    ttl=timing.RESERVATION_SECONDS,
                    guaranteed=placement.guaranteed,
                    command=tuple(placement.job.spec.command),
                ),
            )

    def _send_releases(self, now: float, placement: Placement) -> None:
        limit = placement.released_by
        for agent in placement.agents:
            if agent not in placement.released and now < limit:
                self._send(
                    agent,
                    messages.StopGang(placement.attempt, placement.reason),
                )
        if placement.asked_owner and not placement.owner_told:
            self._send(
                placement.owner,
                messages.GangFinished(
                    attempt=placement.attempt,
                    job=placement.job.id,
                    committed=False,
                    exit_code=None,
                    reason=placement.reason,
                    token=placement.tokens.get(placement.lead, ''),
                ),
            )

    # Ends

    def _fail(
        self,
        now: float,
        placement: Placement,
        reason: str,
        agents: tuple[str, ...],
    ) -> None:
        """End a placement that can't start any more.

        Only this coordinator holds the tokens, and it commits no more; or the
        lead has refused for good.
        """
        self._emit_failed(placement, reason, agents)
        placement.released.update(placement.refused)
        placement.phase = Phase.RELEASING
        placement.fail_at = None
        placement.reason = reason
        self._by_job.pop(placement.job.id, None)
        self._free_cells(placement)
        self._hurry(now, placement)
        self._advance(now, placement)

    def _end(
        self, placement: Placement, exit_code: int | None, reason: str
    ) -> None:
        self._out.append(
            effects.GangEnded(
                placement.job.id, placement.attempt, exit_code, reason
            )
        )
        self._by_job.pop(placement.job.id, None)
        self._drop(placement)

    def _lose(self, now: float, placement: Placement) -> None:
        if placement.lost_at is None:
            placement.lost_at = now
            self._hurry(now, placement)
            self._advance(now, placement)

    def _drop(self, placement: Placement) -> None:
        self._placements.pop(placement.attempt, None)
        self._timers.remove(placement.attempt)

    def _free_cells(self, placement: Placement) -> None:
        for member in placement.members:
            for index in member.accelerators:
                cell = (member.agent, index)
                if self._cells.get(cell) == placement.attempt:
                    del self._cells[cell]

    def _find_rivals(self, placement: Placement) -> list[Placement]:
        """Return placements that want some of the same accelerators."""
        attempts = {
            self._cells[member.agent, index]
            for member in placement.members
            for index in member.accelerators
            if (member.agent, index) in self._cells
        }
        return [self._placements[attempt] for attempt in sorted(attempts)]

    def _emit_failed(
        self, placement: Placement, reason: str, agents: tuple[str, ...]
    ) -> None:
        metrics.PLACEMENTS.add(1, {'outcome': 'failed'})
        self._out.append(
            effects.GangFailed(
                placement.job.id, placement.attempt, reason, agents
            )
        )

    def _hurry(self, now: float, placement: Placement) -> None:
        """Make the next step due at once, with a short back-off after it."""
        placement.next_send = now
        placement.delay = REPEAT_SECONDS

    def _draw_delay(self, now: float, delay: float) -> float:
        return now + delay * self._rng.uniform(0.75, 1.25)

    def _send(self, to: str, message: messages.Message) -> None:
        self._out.append(effects.Send(to, message))

    def _flush(self) -> list[effects.Effect]:
        out, self._out = self._out, []
        return out

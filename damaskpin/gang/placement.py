"""One attempt to start a gang, as the coordinator sees it."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import timing
from damaskpin.peer import gang_messages

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
    members: tuple[gang_messages.Member, ...]
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
    def cells(self) -> list[tuple[str, int]]:
        """Accelerators of all members."""
        return [
            (member.agent, index)
            for member in self.members
            for index in member.accelerators
        ]

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

    def note_reserved(self, now: float, agent: str, token: str) -> None:
        """Note that a member holds its accelerators."""
        if self.phase is Phase.RELEASING:
            # The release overtook the reservation.
            self.released.discard(agent)
            return
        if self.phase is not Phase.RESERVING:
            return
        if agent in self.agents and agent not in self.refused:
            self.tokens[agent] = token
        if len(self.tokens) == len(self.members):
            self.phase = Phase.GRANTING
            self.asked_owner = True
            self.hurry(now)

    def note_refused(self, now: float, agent: str, reason: str) -> None:
        """Note that a member does not hold its accelerators."""
        if self.phase is not Phase.RESERVING:
            return
        if agent not in self.agents or agent in self.tokens:
            return
        if reason == 'taken' and self.evicts:
            return
        self.refused[agent] = reason
        if self.fail_at is None:
            self.fail_at = now + REFUSAL_SECONDS

    def find_failure(self, now: float) -> tuple[str, tuple[str, ...]] | None:
        """Return the reason to give up and the agents that caused it."""
        answered = len(self.tokens) + len(self.refused)
        if self.fail_at is not None and (
            answered == len(self.members) or now >= self.fail_at
        ):
            reason = ', '.join(sorted(set(self.refused.values())))
            return reason, tuple(self.refused)
        if now < self.began + PLACE_SECONDS:
            return None
        if self.phase is Phase.GRANTING:
            return 'owner is silent', ()
        silent = [agent for agent in self.agents if agent not in self.tokens]
        return 'no answer', tuple(silent)

    def is_released(self, now: float) -> bool:
        """Tell whether a failed placement needs no more messages."""
        released = self.released.issuperset(self.agents)
        told = self.owner_told or not self.asked_owner
        if now >= self.released_by:
            released = True
            told = told or now >= self.released_by + NOTICE_SECONDS
        return released and told

    def hurry(self, now: float) -> None:
        """Make the next step due at once, with a short back-off after it."""
        self.next_send = now
        self.delay = REPEAT_SECONDS

    def compute_due(self, now: float) -> float:
        """Return when something is due next."""
        due = [self.next_send]
        match self.phase:
            case Phase.RESERVING | Phase.GRANTING:
                due.append(self.began + PLACE_SECONDS)
                if self.fail_at is not None:
                    due.append(self.fail_at)
            case Phase.RELEASING:
                due.append(self.released_by)
            case _ if self.lost_at is not None:
                due.append(self.settled_at)
        # A time that has passed has been acted on.
        return min(time for time in due if time > now)

    def repeat(self, now: float, rng: random.Random) -> list[effects.Effect]:
        """Return what is to be sent, and set the time of the next repeat."""
        lead = self.lead
        delay = self.delay
        match self.phase:
            case Phase.RESERVING:
                out = self._make_reserves()
            case Phase.GRANTING:
                request = gang_messages.RequestGrant(
                    self.job.id,
                    self.attempt,
                    lead,
                    self.agents,
                    self.tokens[lead],
                )
                out = [effects.Send(self.owner, request)]
            case Phase.RELEASING:
                out = self._make_releases(now)
            case _ if self.stop is not None:
                stop = gang_messages.StopGang(self.attempt, *self.stop)
                out = [effects.Send(lead, stop)]
            case Phase.COMMITTING if self.lost_at is None:
                tokens = tuple(self.tokens[agent] for agent in self.agents)
                commit = gang_messages.Commit(self.attempt, tokens)
                out = [effects.Send(lead, commit)]
            case _:
                # Finds the end of a gang whose notice was lost.
                lost = self.lost_at is not None
                delay = LOST_POLL_SECONDS if lost else POLL_SECONDS
                out = [
                    effects.Send(lead, gang_messages.QueryGang(self.attempt))
                ]
        self.next_send = now + delay * rng.uniform(0.75, 1.25)
        self.delay = min(2 * self.delay, MAX_REPEAT_SECONDS)
        return out

    def _make_reserves(self) -> list[effects.Effect]:
        out: list[effects.Effect] = []
        for member in self.members:
            agent = member.agent
            if agent in self.tokens or agent in self.refused:
                continue
            reserve = gang_messages.Reserve(
                attempt=self.attempt,
                job=self.job.id,
                account=self.job.account,
                owner=self.owner,
                accelerators=member.accelerators,
                lead=self.lead,
                members=self.members if agent == self.lead else (),
                revision=self.revision,
                ttl=timing.RESERVATION_SECONDS,
                guaranteed=self.guaranteed,
                command=tuple(self.job.spec.command),
            )
            out.append(effects.Send(agent, reserve))
        return out

    def _make_releases(self, now: float) -> list[effects.Effect]:
        out: list[effects.Effect] = []
        for agent in self.agents:
            if agent not in self.released and now < self.released_by:
                stop = gang_messages.StopGang(self.attempt, self.reason)
                out.append(effects.Send(agent, stop))
        if self.asked_owner and not self.owner_told:
            notice = gang_messages.GangFinished(
                attempt=self.attempt,
                job=self.job.id,
                committed=False,
                exit_code=None,
                reason=self.reason,
                token=self.tokens.get(self.lead, ''),
            )
            out.append(effects.Send(self.owner, notice))
        return out


class Cells:
    """Accelerators of placements that are not committed yet."""

    __slots__ = ('_holders',)

    def __init__(self) -> None:
        self._holders: dict[tuple[str, int], str] = {}

    def take(self, placement: Placement) -> None:
        """Note the accelerators of a placement."""
        for cell in placement.cells:
            self._holders[cell] = placement.attempt

    def free(self, placement: Placement) -> None:
        """Forget the accelerators of a placement."""
        for cell in placement.cells:
            if self._holders.get(cell) == placement.attempt:
                del self._holders[cell]

    def find_rivals(self, placement: Placement) -> list[str]:
        """Return attempts that want some of the same accelerators."""
        holders = {self._holders.get(cell, '') for cell in placement.cells}
        return sorted(holders - {''})

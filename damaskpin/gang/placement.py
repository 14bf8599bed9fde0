"""Placement of a gang: the coordinator's record of one attempt of a job."""

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

# Time limit for all reservations and the grant: half of the time until a
# reservation expires. The other half is left for the commit and the start
# messages.
PLACEMENT_TIMEOUT_SECONDS = timing.RESERVATION_SECONDS / 2
# Time that the coordinator waits for more refusals after the first one, so
# that the next placement avoids all agents that refuse.
REFUSAL_WAIT_SECONDS = 0.2
REPEAT_INTERVAL_SECONDS = 0.3
MAX_REPEAT_INTERVAL_SECONDS = 5.0
POLL_SECONDS = 30.0
LEAD_LOST_POLL_SECONDS = 2.0
# Period after the expiry of the reservations in which the coordinator still
# notifies the owner of a failed placement. An owner that misses the notice
# queries the lead.
OWNER_NOTICE_SECONDS = 60.0


class Phase(enum.Enum):
    """Phase of a placement."""

    RESERVING = 'reserving'
    GRANTING = 'granting'
    COMMITTING = 'committing'
    RUNNING = 'running'
    # The placement failed; its reservations are being released and its owner
    # is being notified.
    RELEASING = 'releasing'


@dataclasses.dataclass(slots=True)
class Placement:
    """State of one attempt to start a gang, kept by the coordinator.

    :ivar attempt: id of the attempt.
    :ivar owner: instance id of the entry that grants the job's attempts.
    :ivar members: members of the gang; the first is the lead.
    :ivar revision: configuration revision of the placement.
    :ivar guaranteed: whether the accelerators belong to the client account's
        guarantee.
    :ivar placed_at: when the placement was made, monotonic seconds.
    :ivar tokens: reservation tokens that members have sent, by agent.
    :ivar refusal_reasons: reasons of refused reservations, by agent.
    :ivar released: agents that hold no reservation of the attempt any more.
    :ivar fail_at: when the placement fails after a refusal.
    :ivar has_displaced_younger_placement: whether the coordinator failed
        another placement of lower precedence to free accelerators for this
        one. The agents may still hold the reservations of the failed one.
    :ivar grant_requested: whether the owner may have granted the attempt.
    :ivar owner_acknowledged: whether the owner acknowledged the failure.
    :ivar requested_stop: reason and grace period (seconds) of a stop.
    :ivar started: whether the lead has confirmed the commit.
    :ivar lead_lost_at: since when the lead is lost or does not know the gang,
        monotonic seconds; ``None`` if neither is the case.
    :ivar record_lost: whether the lead permanently lost its record of the
        gang.
    :ivar reason: why the placement failed; empty until then.
    :ivar next_send_at: when the next message is due, monotonic seconds.
    :ivar repeat_delay: seconds until an unanswered message is repeated.
    """

    attempt: str
    job: jobs.Job
    owner: str
    members: tuple[gang_messages.Member, ...]
    revision: int
    guaranteed: bool
    placed_at: float
    phase: Phase = Phase.RESERVING
    tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    refusal_reasons: dict[str, str] = dataclasses.field(default_factory=dict)
    released: set[str] = dataclasses.field(default_factory=set)
    fail_at: float | None = None
    has_displaced_younger_placement: bool = False
    grant_requested: bool = False
    owner_acknowledged: bool = False
    started: bool = False
    requested_stop: tuple[str, float] | None = None
    lead_lost_at: float | None = None
    record_lost: bool = False
    reason: str = ''
    next_send_at: float = 0.0
    repeat_delay: float = REPEAT_INTERVAL_SECONDS

    @property
    def lead(self) -> str:
        """Agent of the first member."""
        return self.members[0].agent

    @property
    def agents(self) -> tuple[str, ...]:
        """Agents of all members."""
        return tuple(member.agent for member in self.members)

    @property
    def accelerator_keys(self) -> list[tuple[str, int]]:
        """Agent and index of each accelerator of all members."""
        return [
            (member.agent, index)
            for member in self.members
            for index in member.accelerators
        ]

    @property
    def release_deadline(self) -> float:
        """When all reservations must have expired, monotonic seconds."""
        return (
            self.placed_at
            + PLACEMENT_TIMEOUT_SECONDS
            + timing.RESERVATION_SECONDS
        )

    @property
    def orphans_end_at(self) -> float:
        """When all members of a lost lead have stopped, monotonic seconds."""
        timeout = timing.compute_orphan_timeout(len(self.members))
        return (self.lead_lost_at or 0.0) + timeout

    @property
    def sort_key(self) -> tuple[int, float, str]:
        """Key of the total order of gangs; the smaller key has precedence."""
        submitted = self.placed_at - self.job.age_seconds
        return self.job.spec.priority, submitted, self.job.id

    def record_reservation(self, now: float, agent: str, token: str) -> None:
        """Record the reservation of a member.

        Once all members have reserved, the grant is requested from the owner.
        """
        if self.phase is Phase.RELEASING:
            # The agent got the request to reserve after the request to
            # release, so it is asked again to release its reservation.
            self.released.discard(agent)
            return
        if self.phase is not Phase.RESERVING:
            return
        if agent in self.agents and agent not in self.refusal_reasons:
            self.tokens[agent] = token
        if len(self.tokens) == len(self.members):
            self.phase = Phase.GRANTING
            self.grant_requested = True
            self.reset_backoff(now)

    def record_refusal(self, now: float, agent: str, reason: str) -> None:
        """Record that a member refused to reserve its accelerators."""
        if self.phase is not Phase.RESERVING:
            return
        if agent not in self.agents or agent in self.tokens:
            return
        if reason == 'taken' and self.has_displaced_younger_placement:
            return
        self.refusal_reasons[agent] = reason
        if self.fail_at is None:
            self.fail_at = now + REFUSAL_WAIT_SECONDS

    def find_failure(self, now: float) -> tuple[str, tuple[str, ...]] | None:
        """Return why the placement fails and the agents that caused it.

        :returns: ``None`` if the placement goes on.
        """
        answer_count = len(self.tokens) + len(self.refusal_reasons)
        if self.fail_at is not None and (
            answer_count == len(self.members) or now >= self.fail_at
        ):
            reason = ', '.join(sorted(set(self.refusal_reasons.values())))
            return reason, tuple(self.refusal_reasons)
        if now < self.placed_at + PLACEMENT_TIMEOUT_SECONDS:
            return None
        if self.phase is Phase.GRANTING:
            return 'no answer from the owner', ()
        unanswered = [
            agent for agent in self.agents if agent not in self.tokens
        ]
        return 'no answer', tuple(unanswered)

    def is_released(self, now: float) -> bool:
        """Return whether a failed placement can be forgotten.

        The placement is forgotten once no agent holds a reservation of it and
        the owner need not be notified any longer.
        """
        released = self.released.issuperset(self.agents)
        owner_informed = self.owner_acknowledged or not self.grant_requested
        if now >= self.release_deadline:
            released = True
            owner_informed = (
                owner_informed
                or now >= self.release_deadline + OWNER_NOTICE_SECONDS
            )
        return released and owner_informed

    def reset_backoff(self, now: float) -> None:
        """Make the next message due at once, and reset the repeat delay."""
        self.next_send_at = now
        self.repeat_delay = REPEAT_INTERVAL_SECONDS

    def compute_next_due_time(self, now: float) -> float:
        """Return the next time at which a message or time-out is due."""
        due = [self.next_send_at]
        match self.phase:
            case Phase.RESERVING | Phase.GRANTING:
                due.append(self.placed_at + PLACEMENT_TIMEOUT_SECONDS)
                if self.fail_at is not None:
                    due.append(self.fail_at)
            case Phase.RELEASING:
                due.append(self.release_deadline)
            case _ if self.lead_lost_at is not None:
                due.append(self.orphans_end_at)
        # Messages and time-outs due at a past time were handled before this
        # call, so these times are left out.
        return min(time for time in due if time > now)

    def make_due_messages(
        self, now: float, rng: random.Random
    ) -> list[effects.Effect]:
        """Return the messages that are due, and schedule their repetition."""
        lead = self.lead
        delay = self.repeat_delay
        match self.phase:
            case Phase.RESERVING:
                due_effects = self._make_reserve_messages()
            case Phase.GRANTING:
                request = gang_messages.RequestGrant(
                    self.job.id,
                    self.attempt,
                    lead,
                    self.agents,
                    self.tokens[lead],
                )
                due_effects = [effects.Send(self.owner, request)]
            case Phase.RELEASING:
                due_effects = self._make_release_messages(now)
            case _ if self.requested_stop is not None:
                stop = gang_messages.StopGang(
                    self.attempt, *self.requested_stop
                )
                due_effects = [effects.Send(lead, stop)]
            case Phase.COMMITTING if self.lead_lost_at is None:
                tokens = tuple(self.tokens[agent] for agent in self.agents)
                commit = gang_messages.Commit(self.attempt, tokens)
                due_effects = [effects.Send(lead, commit)]
            case _:
                # If the GangFinished message of the lead was lost, the answer
                # to this query shows that the gang has ended.
                lost = self.lead_lost_at is not None
                delay = LEAD_LOST_POLL_SECONDS if lost else POLL_SECONDS
                due_effects = [
                    effects.Send(lead, gang_messages.QueryGang(self.attempt))
                ]
        self.next_send_at = now + delay * rng.uniform(0.75, 1.25)
        self.repeat_delay = min(
            2 * self.repeat_delay, MAX_REPEAT_INTERVAL_SECONDS
        )
        return due_effects

    def _make_reserve_messages(self) -> list[effects.Effect]:
        due_effects: list[effects.Effect] = []
        for member in self.members:
            agent = member.agent
            if agent in self.tokens or agent in self.refusal_reasons:
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
            due_effects.append(effects.Send(agent, reserve))
        return due_effects

    def _make_release_messages(self, now: float) -> list[effects.Effect]:
        due_effects: list[effects.Effect] = []
        for agent in self.agents:
            if agent not in self.released and now < self.release_deadline:
                stop = gang_messages.StopGang(self.attempt, self.reason)
                due_effects.append(effects.Send(agent, stop))
        if self.grant_requested and not self.owner_acknowledged:
            notice = gang_messages.GangFinished(
                attempt=self.attempt,
                job=self.job.id,
                committed=False,
                exit_code=None,
                reason=self.reason,
                token=self.tokens.get(self.lead, ''),
            )
            due_effects.append(effects.Send(self.owner, notice))
        return due_effects


class AcceleratorClaims:
    """Accelerators claimed by placements that are not committed yet."""

    __slots__ = ('_claimed_by',)

    def __init__(self) -> None:
        self._claimed_by: dict[tuple[str, int], str] = {}

    def claim(self, placement: Placement) -> None:
        """Claim the accelerators of a placement."""
        for key in placement.accelerator_keys:
            self._claimed_by[key] = placement.attempt

    def release(self, placement: Placement) -> None:
        """Remove the claims of a placement on its accelerators."""
        for key in placement.accelerator_keys:
            if self._claimed_by.get(key) == placement.attempt:
                del self._claimed_by[key]

    def find_conflicts(self, placement: Placement) -> list[str]:
        """Return the attempts that claim accelerators of a placement."""
        attempts = {
            self._claimed_by.get(key, '') for key in placement.accelerator_keys
        }
        return sorted(attempts - {''})

"""What the router of an entry knows about one agent."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.peer import messages
    from damaskpin.service import breaker as breakers

RAMP_S = 5.0
# Reported load older than this says little: requests take less time.
FRESH_S = 2.0
# Weight of the newest answer in the slowness.
TIME_WEIGHT = 0.1
# An agent that got no requests because it was slow is tried again: what was
# learnt about it halves in this time.
SLOWNESS_HALF_LIFE_S = 10.0
MAX_SLOWNESS = 16.0
NEGLIGIBLE_SLOWNESS = 0.1


@dataclasses.dataclass(slots=True)
class Agent:
    """An agent, as one entry sees it.

    :ivar tier: distance; 0 is the entry's own data centre.
    :ivar updated: when the state was reported.
    :ivar outstanding: attempts that this entry has open on the agent.
    :ivar hold_until: nothing is sent before this time.
    :ivar slowness: mean time of answers relative to all agents, at least 1.
    :ivar slowness_at: when the slowness was learnt.
    :ivar slots: slots by service, of targets that accept work.
    :ivar others: slots that other entries use, by service.
    :ivar ramp_from: when a returning target began to ramp up, by service.
    :ivar opened_by_failure: whether failures opened the breaker last.
    """

    state: messages.AgentState
    tier: int
    breaker: breakers.Breaker
    updated: float
    outstanding: int = 0
    hold_until: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    slots: dict[str, int] = dataclasses.field(default_factory=dict)
    others: dict[str, int] = dataclasses.field(default_factory=dict)
    ramp_from: dict[str, float] = dataclasses.field(default_factory=dict)
    opened_by_failure: bool = False

    def count_free(self, now: float, service: str) -> int:
        """Return the number of slots that seem free."""
        used = self.outstanding
        if now - self.updated < FRESH_S:
            used += self.others[service]
        slots = self.slots[service]
        ramp_from = self.ramp_from.get(service)
        if ramp_from is not None:
            if now - ramp_from >= RAMP_S:
                del self.ramp_from[service]
            else:
                slots = max(1, int(slots * (now - ramp_from) / RAMP_S))
        return slots - used

    def compute_cost(self, now: float, service: str) -> float:
        """Return the load with one more request, scaled by the slowness."""
        used = self.outstanding + self.others[service] + 1
        return used / self.slots[service] * self._compute_slowness(now)

    def learn_time(self, now: float, ratio: float) -> None:
        """Learn from an answer.

        :param ratio: its time relative to the mean of all agents.
        """
        slowness = self._compute_slowness(now)
        slowness += TIME_WEIGHT * (min(MAX_SLOWNESS, ratio) - slowness)
        # Below 1 it would draw requests to targets that answer at once
        # because they do nothing.
        self.slowness = max(1.0, slowness)
        self.slowness_at = now

    def _compute_slowness(self, now: float) -> float:
        if self.slowness <= 1.0:
            return 1.0
        age = now - self.slowness_at
        rest = (self.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
        # Any rest would decide between idle agents for ever.
        return 1.0 + rest if rest > NEGLIGIBLE_SLOWNESS else 1.0

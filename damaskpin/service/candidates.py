"""State that the router of an entry keeps for each agent."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.peer import messages
    from damaskpin.service import breaker as breakers

# Time in which the load of a target that returned rises to its full number of
# slots.
RAMP_UP_S = 5.0
# Maximum age of an agent's reported load. Older reports are ignored, because
# most requests end sooner.
MAX_LOAD_AGE_S = 2.0
# Weight of the newest answer in the moving average of the slowness.
ANSWER_TIME_WEIGHT = 0.1
# The difference between the slowness and 1 halves in this time, so that an
# agent that gets no requests because it was slow is eventually tried again.
SLOWNESS_HALF_LIFE_S = 10.0
MAX_SLOWNESS = 16.0
NEGLIGIBLE_SLOWNESS = 0.1


@dataclasses.dataclass(slots=True)
class AgentCandidate:
    """An agent that an entry may choose for an attempt.

    Times are monotonic, in seconds.

    :ivar state: last report of the agent.
    :ivar tier: distance from the entry: 0 in the same data centre, 1 in the
        same region, 2 elsewhere.
    :ivar reported_at: when the last report arrived.
    :ivar outstanding: attempts of this entry that occupy a slot of the agent.
    :ivar paused_until: time before which no attempt is sent to the agent.
    :ivar slowness: moving average of the agent's answer times, relative to
        the mean of all agents; at least 1.
    :ivar slowness_updated_at: when the slowness was last updated.
    :ivar slots: slots of the targets that accept requests, by service.
    :ivar slots_used_by_others: slots that other entries use, by service.
    :ivar ramp_up_start: when the gradual rise of the load of a target that
        returned began, by service.
    :ivar opened_by_failure: whether the breaker was last opened by failed
        attempts rather than by silence.
    """

    state: messages.AgentState
    tier: int
    breaker: breakers.Breaker
    reported_at: float
    outstanding: int = 0
    paused_until: float = 0.0
    slowness: float = 1.0
    slowness_updated_at: float = 0.0
    slots: dict[str, int] = dataclasses.field(default_factory=dict)
    slots_used_by_others: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    ramp_up_start: dict[str, float] = dataclasses.field(default_factory=dict)
    opened_by_failure: bool = False

    def count_free_slots(self, now: float, service: str) -> int:
        """Return the estimated number of free slots of a service."""
        used = self.outstanding
        if now - self.reported_at < MAX_LOAD_AGE_S:
            used += self.slots_used_by_others[service]
        slots = self.slots[service]
        ramp_up_start = self.ramp_up_start.get(service)
        if ramp_up_start is not None:
            if now - ramp_up_start >= RAMP_UP_S:
                del self.ramp_up_start[service]
            else:
                slots = max(1, int(slots * (now - ramp_up_start) / RAMP_UP_S))
        return slots - used

    def compute_weighted_load(self, now: float, service: str) -> float:
        """Return the load after one more request, times the slowness."""
        used = self.outstanding + self.slots_used_by_others[service] + 1
        return used / self.slots[service] * self._compute_slowness(now)

    def update_slowness(self, now: float, ratio: float) -> None:
        """Update the slowness from the time of an answer.

        :param ratio: time of the answer, relative to the mean of all agents.
        """
        slowness = self._compute_slowness(now)
        slowness += ANSWER_TIME_WEIGHT * (min(MAX_SLOWNESS, ratio) - slowness)
        # A slowness below 1 would attract requests to faulty targets that
        # answer at once without doing the work.
        self.slowness = max(1.0, slowness)
        self.slowness_updated_at = now

    def _compute_slowness(self, now: float) -> float:
        if self.slowness <= 1.0:
            return 1.0
        age = now - self.slowness_updated_at
        decayed = (self.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
        # A slowness of hardly more than 1 is returned as 1, because otherwise
        # the slightest difference would decide between idle agents for ever.
        return 1.0 + decayed if decayed > NEGLIGIBLE_SLOWNESS else 1.0

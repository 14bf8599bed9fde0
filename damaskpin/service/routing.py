"""Selection of the agent that an entry sends a service request to."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from damaskpin.service import breaker as breakers
from damaskpin.service import candidates

if TYPE_CHECKING:
    from collections.abc import Collection
    import random

    from damaskpin.peer import messages

# Time in which no attempt is sent to an agent that has refused an attempt
# because all its slots were busy.
BUSY_PAUSE_S = 0.1
# Longest time in which no attempt is sent to an agent after it refused an
# attempt because its target is leaving. A newer report of the agent ends the
# pause early.
LEAVING_PAUSE_S = 15.0
RANDOM_DRAWS = 6
TIER_COUNT = 3
# Largest share of a service's agents whose circuit breakers may be open
# because of failed attempts. If attempts fail on more agents, the requests are
# more likely at fault than the targets.
MAX_FAILING_SHARE = 0.5
MAX_FORMER_INSTANCES = 8192
# Minimum time between full scans of a tier without free slots. Scanning 1,500
# agents for every request would take more than a tenth of a core. Slots freed
# by an answer are found without a scan, in the list of recent agents.
SCAN_INTERVAL_S = 0.05
MAX_RECENT_AGENTS = 64
# Weight of the newest answer in the moving average of the answer times of all
# agents.
MEAN_TIME_WEIGHT = 0.01


@dataclasses.dataclass(slots=True)
class _Tier:
    """Agents of one service at the same distance from the entry.

    :ivar recent_agents: agents that have just reported or ended an attempt,
        and may therefore have a free slot.
    :ivar next_scan_at: monotonic time before which the tier is not scanned
        again, because the last scan found no free slot.
    """

    agents: list[candidates.AgentCandidate] = dataclasses.field(
        default_factory=list
    )
    recent_agents: collections.deque[candidates.AgentCandidate] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_RECENT_AGENTS)
        )
    )
    next_scan_at: float = float('-inf')


class Router:
    """Chooses the agent of each attempt by distance, health and load.

    :param data_centre: data centre of the entry.
    :param region: region of the entry.
    :param rng: source of random choices.
    """

    __slots__ = (
        '_agents',
        '_data_centre',
        '_former_instances',
        '_mean_answer_seconds',
        '_pools',
        '_region',
        '_rng',
    )

    def __init__(
        self, data_centre: str, region: str, rng: random.Random
    ) -> None:
        self._data_centre = data_centre
        self._region = region
        self._rng = rng
        self._agents: dict[str, candidates.AgentCandidate] = {}
        self._mean_answer_seconds: float | None = None
        self._pools: dict[str, tuple[_Tier, ...]] = {}
        # Instance ids of agents that were removed or stopped accepting
        # requests, oldest first. When such an agent returns, its load is
        # raised gradually.
        self._former_instances: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def set_agent(self, now: float, state: messages.AgentState) -> None:
        """Add or update an agent from its report; ignore outdated reports."""
        instance = state.peer.instance
        agent = self._agents.get(instance)
        if agent is not None:
            previous = agent.state
            if previous.peer.incarnation != state.peer.incarnation:
                self.remove_agent(now, instance)
                agent = None
            elif (state.sequence, state.uptime) < (
                previous.sequence,
                previous.uptime,
            ):
                return
        if agent is None:
            agent = self._add_agent(now, state)
        elif agent.state.sequence < state.sequence:
            agent.paused_until = min(agent.paused_until, now + BUSY_PAUSE_S)
        agent.state = state
        agent.reported_at = now
        self._set_targets(now, agent)

    def remove_agent(self, now: float, instance: str) -> None:
        """Remove an agent that was lost."""
        agent = self._agents.pop(instance, None)
        if agent is None:
            return
        for service in list(agent.slots):
            self._leave_pool(agent, service)
        self._former_instances[instance] = None
        if len(self._former_instances) > MAX_FORMER_INSTANCES:
            self._former_instances.popitem(last=False)

    def get_agent(self, instance: str) -> messages.AgentState | None:
        """Return the last reported state of an agent, or ``None``."""
        agent = self._agents.get(instance)
        return agent.state if agent is not None else None

    def has_accepting_target(self, service: str) -> bool:
        """Return whether any target accepts requests for a service."""
        return any(tier.agents for tier in self._pools.get(service, ()))

    def count_slots(self, service: str) -> int:
        """Return the slots of a service on agents with a closed breaker."""
        return sum(
            agent.slots[service]
            for tier in self._pools.get(service, ())
            for agent in tier.agents
            if agent.breaker.is_closed()
        )

    def list_breakers(self) -> dict[str, str]:
        """Return the breaker states that are not closed, by instance id."""
        return {
            instance: agent.breaker.state
            for instance, agent in self._agents.items()
            if not agent.breaker.is_closed()
        }

    def choose_agent(
        self, now: float, service: str, exclude: Collection[str] = ()
    ) -> messages.AgentState | None:
        """Choose the nearest suitable agent with a free slot.

        :param exclude: instance ids that must not be chosen.
        :returns: reported state of the agent, or ``None`` if no slot is free.
        """
        for tier in self._pools.get(service, ()):
            if not tier.agents:
                continue
            agent = self._choose_in_tier(now, service, tier, exclude)
            if agent is not None:
                return agent.state
        return None

    def can_send_to(self, now: float, instance: str, service: str) -> bool:
        """Return whether an attempt may be sent to an agent now."""
        agent = self._agents.get(instance)
        return agent is not None and self._is_usable(now, service, agent)

    def record_attempt_start(self, now: float, instance: str) -> None:
        """Record that an attempt was sent to an agent."""
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding += 1
        agent.breaker.record_start(now)

    def record_attempt_end(
        self,
        now: float,
        instance: str,
        outcome: breakers.Outcome,
        seconds: float | None = None,
    ) -> None:
        """Record the end of an attempt.

        Must be called once for each call of ``record_attempt_start``.

        :param seconds: duration of an answered attempt, or ``None``.
        """
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding = max(0, agent.outstanding - 1)
        self._add_to_recent(agent)
        match outcome:
            case breakers.Outcome.ANSWERED if seconds is not None:
                self._record_answer_time(now, agent, seconds)
            case breakers.Outcome.BUSY:
                agent.paused_until = now + BUSY_PAUSE_S * self._rng.uniform(
                    0.5, 1.5
                )
            case breakers.Outcome.TARGET_LEAVING:
                agent.paused_until = now + LEAVING_PAUSE_S
            case breakers.Outcome.FAILED:
                if (
                    agent.breaker.would_open_on_failure()
                    and self._is_breaker_limit_reached(agent)
                ):
                    return
        was_closed = agent.breaker.is_closed()
        if agent.breaker.record_outcome(now, outcome):
            agent.ramp_up_start = dict.fromkeys(agent.slots, now)
        if was_closed and not agent.breaker.is_closed():
            agent.opened_by_failure = outcome is breakers.Outcome.FAILED

    def _add_agent(
        self, now: float, state: messages.AgentState
    ) -> candidates.AgentCandidate:
        peer = state.peer
        if peer.data_centre == self._data_centre:
            tier = 0
        elif peer.region == self._region:
            tier = 1
        else:
            tier = 2
        agent = candidates.AgentCandidate(
            state, tier, breakers.Breaker(peer.instance, self._rng), now
        )
        self._agents[peer.instance] = agent
        return agent

    def _set_targets(
        self, now: float, agent: candidates.AgentCandidate
    ) -> None:
        state = agent.state
        accepting: dict[str, messages.TargetState] = {}
        if state.healthy and not state.draining:
            accepting = {
                target.service: target
                for target in state.targets
                if not target.leaving and target.slots > 0
            }
        for service in list(agent.slots):
            if service not in accepting:
                self._leave_pool(agent, service)
                self._former_instances[state.peer.instance] = None
        for service, target in accepting.items():
            if service not in agent.slots:
                self._join_pool(now, agent, service)
            agent.slots[service] = target.slots
            # The reported number of busy slots includes the attempts of this
            # entry.
            agent.slots_used_by_others[service] = max(
                0, target.busy - agent.outstanding
            )
        self._add_to_recent(agent)

    def _add_to_recent(self, agent: candidates.AgentCandidate) -> None:
        for service in agent.slots:
            self._pools[service][agent.tier].recent_agents.append(agent)

    def _join_pool(
        self, now: float, agent: candidates.AgentCandidate, service: str
    ) -> None:
        pool = self._pools.get(service)
        if pool is None:
            pool = tuple(_Tier() for _ in range(TIER_COUNT))
            self._pools[service] = pool
        pool[agent.tier].agents.append(agent)
        if agent.state.peer.instance in self._former_instances:
            agent.ramp_up_start[service] = now

    def _leave_pool(
        self, agent: candidates.AgentCandidate, service: str
    ) -> None:
        self._pools[service][agent.tier].agents.remove(agent)
        del agent.slots[service]

    def _choose_in_tier(
        self,
        now: float,
        service: str,
        tier: _Tier,
        exclude: Collection[str],
    ) -> candidates.AgentCandidate | None:
        first = None
        for _ in range(RANDOM_DRAWS):
            index = int(self._rng.random() * len(tier.agents))
            agent = tier.agents[index]
            if agent is first or not self._is_usable(
                now, service, agent, exclude
            ):
                continue
            if first is None:
                first = agent
                continue
            return self._choose_less_loaded(now, service, first, agent)
        if first is not None:
            return first
        while tier.recent_agents:
            if self._is_usable(now, service, tier.recent_agents[0], exclude):
                return tier.recent_agents[0]
            tier.recent_agents.popleft()
        if now < tier.next_scan_at:
            return None
        usable = [
            agent
            for agent in tier.agents
            if self._is_usable(now, service, agent, exclude)
        ]
        if not usable and not exclude:
            tier.next_scan_at = now + SCAN_INTERVAL_S
        if len(usable) < 2:
            return usable[0] if usable else None
        return self._choose_less_loaded(
            now, service, *self._rng.sample(usable, 2)
        )

    def _record_answer_time(
        self, now: float, agent: candidates.AgentCandidate, seconds: float
    ) -> None:
        mean = (
            seconds
            if self._mean_answer_seconds is None
            else self._mean_answer_seconds
        )
        self._mean_answer_seconds = mean + MEAN_TIME_WEIGHT * (seconds - mean)
        if self._mean_answer_seconds > 0:
            agent.update_slowness(now, seconds / self._mean_answer_seconds)

    def _choose_less_loaded(
        self,
        now: float,
        service: str,
        first: candidates.AgentCandidate,
        second: candidates.AgentCandidate,
    ) -> candidates.AgentCandidate:
        if second.compute_weighted_load(
            now, service
        ) < first.compute_weighted_load(now, service):
            return second
        return first

    def _is_usable(
        self,
        now: float,
        service: str,
        agent: candidates.AgentCandidate,
        exclude: Collection[str] = (),
    ) -> bool:
        return (
            service in agent.slots
            and agent.count_free_slots(now, service) > 0
            and now >= agent.paused_until
            and agent.breaker.allows_attempt(now)
            and agent.state.peer.instance not in exclude
        )

    def _is_breaker_limit_reached(
        self, agent: candidates.AgentCandidate
    ) -> bool:
        """Return whether failures may open no further breaker.

        The limit is ``MAX_FAILING_SHARE`` of the agents of a service, but at
        least one agent.
        """
        for service in agent.slots:
            service_agents = [
                service_agent
                for tier in self._pools[service]
                for service_agent in tier.agents
            ]
            failing = sum(
                service_agent.opened_by_failure
                and not service_agent.breaker.is_closed()
                for service_agent in service_agents
            )
            if failing + 1 > max(1, len(service_agents) * MAX_FAILING_SHARE):
                return True
        return False

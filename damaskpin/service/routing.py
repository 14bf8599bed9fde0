"""Choice of an agent for a service request, on the entry side."""

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

# After a refusal for lack of slots the agent is left alone this long.
BUSY_HOLD_S = 0.1
# A refusal of a leaving target holds until a newer report, at most this long.
LEFT_HOLD_S = 15.0
SAMPLES = 6
TIERS = 3
# Failures may take at most this share of a service's targets out of use:
# beyond it the requests are more likely at fault than the targets.
MAX_FAILING_SHARE = 0.5
MAX_KNOWN = 8192
# When all slots are taken, looking at each of 1,500 agents for every request
# would cost more than a tenth of a core; slots that become free by an answer
# are found through the recent agents.
SCAN_INTERVAL_S = 0.05
MAX_RECENT = 64
# Weight of the newest answer in the mean time of all agents.
MEAN_WEIGHT = 0.01


@dataclasses.dataclass(slots=True)
class _Tier:
    """The agents of a service at one distance.

    :ivar recent: agents that may just have got a free slot.
    :ivar scan_after: no agent had a free slot before this time, except for
        the recent ones.
    """

    agents: list[candidates.Agent] = dataclasses.field(default_factory=list)
    recent: collections.deque[candidates.Agent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )
    scan_after: float = float('-inf')


class Router:
    """Chooses agents by distance, health and load.

    :param data_centre: data centre of the entry.
    :param region: region of the entry.
    :param rng: source of random choices.
    """

    __slots__ = (
        '_agents',
        '_data_centre',
        '_known',
        '_mean_seconds',
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
        self._agents: dict[str, candidates.Agent] = {}
        self._mean_seconds: float | None = None
        self._pools: dict[str, tuple[_Tier, ...]] = {}
        # Instances that were seen before, oldest first: they ramp up when
        # they return.
        self._known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def set_agent(self, now: float, state: messages.AgentState) -> None:
        """Add or update an agent; older reports are ignored."""
        instance = state.peer.instance
        agent = self._agents.get(instance)
        if agent is not None:
            old = agent.state
            if old.peer.incarnation != state.peer.incarnation:
                self.remove_agent(now, instance)
                agent = None
            elif (state.sequence, state.uptime) < (old.sequence, old.uptime):
                return
        if agent is None:
            agent = self._add(now, state)
        elif agent.state.sequence < state.sequence:
            agent.hold_until = min(agent.hold_until, now + BUSY_HOLD_S)
        agent.state = state
        agent.updated = now
        self._set_targets(now, agent)

    def remove_agent(self, now: float, instance: str) -> None:
        """Forget a lost agent."""
        agent = self._agents.pop(instance, None)
        if agent is None:
            return
        for service in list(agent.slots):
            self._leave_pool(agent, service)
        self._known[instance] = None
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)

    def get_agent(self, instance: str) -> messages.AgentState | None:
        """Return the last state of an agent."""
        agent = self._agents.get(instance)
        return agent.state if agent is not None else None

    def knows_service(self, service: str) -> bool:
        """Return whether any agent has an accepting target of a service."""
        return any(tier.agents for tier in self._pools.get(service, ()))

    def count_slots(self, service: str) -> int:
        """Return the number of slots on healthy agents."""
        return sum(
            agent.slots[service]
            for tier in self._pools.get(service, ())
            for agent in tier.agents
            if agent.breaker.is_closed()
        )

    def list_breakers(self) -> dict[str, str]:
        """Return the agents whose breaker is not closed, with its state."""
        return {
            instance: agent.breaker.state
            for instance, agent in self._agents.items()
            if not agent.breaker.is_closed()
        }

    def choose(
        self, now: float, service: str, exclude: Collection[str] = ()
    ) -> messages.AgentState | None:
        """Choose an agent with a free slot.

        :param exclude: instance ids that must not be chosen.
        :returns: state of the agent, or ``None`` when no slot is free.
        """
        for tier in self._pools.get(service, ()):
            if not tier.agents:
                continue
            agent = self._pick(now, service, tier, exclude)
            if agent is not None:
                return agent.state
        return None

    def has_room(self, now: float, instance: str, service: str) -> bool:
        """Return whether a given agent has a free slot."""
        agent = self._agents.get(instance)
        return agent is not None and self._is_usable(now, service, agent)

    def started(self, now: float, instance: str) -> None:
        """Record that an attempt was sent to an agent."""
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding += 1
        agent.breaker.start(now)

    def finished(
        self,
        now: float,
        instance: str,
        outcome: breakers.Outcome,
        seconds: float | None = None,
    ) -> None:
        """Record the end of an attempt; once for each ``started``.

        :param seconds: how long an answered attempt took, if known.
        """
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding = max(0, agent.outstanding - 1)
        self._mark_recent(agent)
        match outcome:
            case breakers.Outcome.ANSWERED if seconds is not None:
                self._learn_time(now, agent, seconds)
            case breakers.Outcome.BUSY:
                agent.hold_until = now + BUSY_HOLD_S * self._rng.uniform(
                    0.5, 1.5
                )
            case breakers.Outcome.LEFT:
                agent.hold_until = now + LEFT_HOLD_S
            case breakers.Outcome.FAILED:
                if agent.breaker.is_next_to_open() and self._is_limit_reached(
                    agent
                ):
                    return
        was_closed = agent.breaker.is_closed()
        if agent.breaker.finish(now, outcome):
            agent.ramp_from = dict.fromkeys(agent.slots, now)
        if was_closed and not agent.breaker.is_closed():
            agent.opened_by_failure = outcome is breakers.Outcome.FAILED

    def _add(self, now: float, state: messages.AgentState) -> candidates.Agent:
        peer = state.peer
        if peer.data_centre == self._data_centre:
            tier = 0
        elif peer.region == self._region:
            tier = 1
        else:
            tier = 2
        agent = candidates.Agent(
            state, tier, breakers.Breaker(peer.instance, self._rng), now
        )
        self._agents[peer.instance] = agent
        return agent

    def _set_targets(self, now: float, agent: candidates.Agent) -> None:
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
                self._known[state.peer.instance] = None
        for service, target in accepting.items():
            if service not in agent.slots:
                self._join_pool(now, agent, service)
            agent.slots[service] = target.slots
            # The reported number contains the attempts of this entry.
            agent.others[service] = max(0, target.busy - agent.outstanding)
        self._mark_recent(agent)

    def _mark_recent(self, agent: candidates.Agent) -> None:
        for service in agent.slots:
            self._pools[service][agent.tier].recent.append(agent)

    def _join_pool(
        self, now: float, agent: candidates.Agent, service: str
    ) -> None:
        pool = self._pools.get(service)
        if pool is None:
            pool = tuple(_Tier() for _ in range(TIERS))
            self._pools[service] = pool
        pool[agent.tier].agents.append(agent)
        if agent.state.peer.instance in self._known:
            agent.ramp_from[service] = now

    def _leave_pool(self, agent: candidates.Agent, service: str) -> None:
        self._pools[service][agent.tier].agents.remove(agent)
        del agent.slots[service]

    def _pick(
        self,
        now: float,
        service: str,
        tier: _Tier,
        exclude: Collection[str],
    ) -> candidates.Agent | None:
        first = None
        for _ in range(SAMPLES):
            index = int(self._rng.random() * len(tier.agents))
            agent = tier.agents[index]
            if agent is first or not self._is_usable(
                now, service, agent, exclude
            ):
                continue
            if first is None:
                first = agent
                continue
            return self._take_cheaper(now, service, first, agent)
        if first is not None:
            return first
        while tier.recent:
            if self._is_usable(now, service, tier.recent[0], exclude):
                return tier.recent[0]
            tier.recent.popleft()
        if now < tier.scan_after:
            return None
        usable = [
            agent
            for agent in tier.agents
            if self._is_usable(now, service, agent, exclude)
        ]
        if not usable and not exclude:
            tier.scan_after = now + SCAN_INTERVAL_S
        if len(usable) < 2:
            return usable[0] if usable else None
        return self._take_cheaper(now, service, *self._rng.sample(usable, 2))

    def _learn_time(
        self, now: float, agent: candidates.Agent, seconds: float
    ) -> None:
        mean = seconds if self._mean_seconds is None else self._mean_seconds
        self._mean_seconds = mean + MEAN_WEIGHT * (seconds - mean)
        if self._mean_seconds > 0:
            agent.learn_time(now, seconds / self._mean_seconds)

    def _take_cheaper(
        self,
        now: float,
        service: str,
        first: candidates.Agent,
        second: candidates.Agent,
    ) -> candidates.Agent:
        if second.compute_cost(now, service) < first.compute_cost(
            now, service
        ):
            return second
        return first

    def _is_usable(
        self,
        now: float,
        service: str,
        agent: candidates.Agent,
        exclude: Collection[str] = (),
    ) -> bool:
        return (
            service in agent.slots
            and agent.count_free(now, service) > 0
            and now >= agent.hold_until
            and agent.breaker.allows(now)
            and agent.state.peer.instance not in exclude
        )

    def _is_limit_reached(self, agent: candidates.Agent) -> bool:
        """Return whether too many agents are out of use for failures."""
        for service in agent.slots:
            members = [
                member
                for tier in self._pools[service]
                for member in tier.agents
            ]
            failing = sum(
                member.opened_by_failure and not member.breaker.is_closed()
                for member in members
            )
            if failing + 1 > max(1, len(members) * MAX_FAILING_SHARE):
                return True
        return False

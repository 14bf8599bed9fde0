"""Choice of an agent for a service request, on the entry side."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from damaskpin.service import breaker as breakers

if TYPE_CHECKING:
    from collections.abc import Collection
    import random

    from damaskpin.peer import messages

RAMP_S = 5.0
# Reported load older than this says little: requests take less time.
FRESH_S = 2.0
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


@dataclasses.dataclass(slots=True)
class _Agent:
    """What the router knows about one agent.

    :ivar outstanding: attempts that this entry has open on the agent.
    :ivar others: slots that other entries use, by service.
    :ivar ramp_from: when a returning target began to ramp up, by service.
    """

    state: messages.AgentState
    tier: int
    breaker: breakers.Breaker
    updated: float
    outstanding: int = 0
    hold_until: float = 0.0
    slots: dict[str, int] = dataclasses.field(default_factory=dict)
    others: dict[str, int] = dataclasses.field(default_factory=dict)
    ramp_from: dict[str, float] = dataclasses.field(default_factory=dict)
    opened_by_failure: bool = False


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
        self._agents: dict[str, _Agent] = {}
        self._pools: dict[str, tuple[list[_Agent], ...]] = {}
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
        return any(self._pools.get(service, ()))

    def count_slots(self, service: str) -> int:
        """Return the number of slots on healthy agents."""
        return sum(
            agent.slots[service]
            for tier in self._pools.get(service, ())
            for agent in tier
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
            if not tier:
                continue
            agent = self._pick(now, service, tier, exclude)
            if agent is not None:
                return agent.state
        return None

    def has_room(self, now: float, instance: str, service: str) -> bool:
        """Return whether a given agent has a free slot."""
        agent = self._agents.get(instance)
        return (
            agent is not None
            and service in agent.slots
            and self._is_usable(now, service, agent)
        )

    def started(self, now: float, instance: str) -> None:
        """Record that an attempt was sent to an agent."""
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding += 1
        agent.breaker.start(now)

    def finished(
        self, now: float, instance: str, outcome: breakers.Outcome
    ) -> None:
        """Record the end of an attempt; once for each ``started``."""
        agent = self._agents.get(instance)
        if agent is None:
            return
        agent.outstanding = max(0, agent.outstanding - 1)
        match outcome:
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

    def _add(self, now: float, state: messages.AgentState) -> _Agent:
        peer = state.peer
        if peer.data_centre == self._data_centre:
            tier = 0
        elif peer.region == self._region:
            tier = 1
        else:
            tier = 2
        agent = _Agent(state, tier, breakers.Breaker(self._rng), now)
        self._agents[peer.instance] = agent
        return agent

    def _set_targets(self, now: float, agent: _Agent) -> None:
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

    def _join_pool(self, now: float, agent: _Agent, service: str) -> None:
        pool = self._pools.setdefault(service, tuple([] for _ in range(TIERS)))
        pool[agent.tier].append(agent)
        if agent.state.peer.instance in self._known:
            agent.ramp_from[service] = now

    def _leave_pool(self, agent: _Agent, service: str) -> None:
        self._pools[service][agent.tier].remove(agent)
        del agent.slots[service]

    def _pick(
        self,
        now: float,
        service: str,
        tier: list[_Agent],
        exclude: Collection[str],
    ) -> _Agent | None:
        first = None
        for _ in range(SAMPLES):
            agent = tier[int(self._rng.random() * len(tier))]
            if agent is first or not self._is_usable(
                now, service, agent, exclude
            ):
                continue
            if first is None:
                first = agent
                continue
            return self._take_less_loaded(service, first, agent)
        usable = [
            agent
            for agent in tier
            if self._is_usable(now, service, agent, exclude)
        ]
        if len(usable) < 2:
            return usable[0] if usable else None
        return self._take_less_loaded(service, *self._rng.sample(usable, 2))

    def _take_less_loaded(
        self, service: str, first: _Agent, second: _Agent
    ) -> _Agent:
        if _compute_load(second, service) < _compute_load(first, service):
            return second
        return first

    def _is_usable(
        self,
        now: float,
        service: str,
        agent: _Agent,
        exclude: Collection[str] = (),
    ) -> bool:
        used = agent.outstanding
        if now - agent.updated < FRESH_S:
            used += agent.others[service]
        slots = agent.slots[service]
        ramp_from = agent.ramp_from.get(service)
        if ramp_from is not None:
            if now - ramp_from >= RAMP_S:
                del agent.ramp_from[service]
            else:
                slots = max(1, int(slots * (now - ramp_from) / RAMP_S))
        return (
            used < slots
            and now >= agent.hold_until
            and agent.breaker.allows(now)
            and agent.state.peer.instance not in exclude
        )

    def _is_limit_reached(self, agent: _Agent) -> bool:
        """Return whether too many agents are out of use for failures."""
        for service in agent.slots:
            members = [
                member for tier in self._pools[service] for member in tier
            ]
            failing = sum(
                member.opened_by_failure and not member.breaker.is_closed()
                for member in members
            )
            if failing + 1 > max(1, len(members) * MAX_FAILING_SHARE):
                return True
        return False


def _compute_load(agent: _Agent, service: str) -> float:
    return (agent.outstanding + agent.others[service]) / agent.slots[service]

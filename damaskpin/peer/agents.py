"""Agents of a region as one of its entries knows them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import zlib

import msgspec

from damaskpin.peer import events
from damaskpin.peer import messages
from damaskpin.peer import timing

if TYPE_CHECKING:
    from collections.abc import Container


@dataclasses.dataclass(slots=True)
class _Agent:
    """An agent of the region.

    :ivar home: entry that it reports to; empty while none is known.
    :ivar heard: when it reported here, or when its home was lost or changed.
    """

    state: messages.AgentState
    home: str
    heard: float
    interval: float


class RegionAgents:
    """Liveness and states of the agents of a region; free of I/O.

    :param instance: instance id of this entry.
    """

    __slots__ = ('_agents', '_changed', '_instance', '_lost')

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._agents: dict[str, _Agent] = {}
        self._changed: dict[str, messages.AgentState] = {}
        self._lost: list[tuple[str, str]] = []

    def list_states(self) -> list[messages.AgentState]:
        """Return the states of the live agents."""
        return [agent.state for agent in self._agents.values()]

    def list_names(self, home: str) -> list[str]:
        """Return the instance ids of the agents of a home entry."""
        return [
            name for name, agent in self._agents.items() if agent.home == home
        ]

    def find(self, name: str) -> messages.AgentState | None:
        """Return the state of a live agent."""
        agent = self._agents.get(name)
        return agent.state if agent else None

    def receive_report(
        self, now: float, report: messages.AgentReport
    ) -> tuple[list[events.Output], bool]:
        """Note the report of an agent to this entry.

        :returns: events, and whether the reported state is held.
        """
        outputs: list[events.Output] = []
        agent = self._agents.get(report.instance)
        if agent and agent.state.peer.incarnation != report.incarnation:
            outputs += self._forget(report.instance)
            agent = None
        if report.state is not None:
            outputs += self._accept_state(now, report.state)
            agent = self._agents[report.instance]
        known = agent is not None and agent.state.sequence == report.sequence
        interval = self.get_interval()
        if agent is not None:
            agent.heard = now
            agent.interval = interval
            agent.home = self._instance
            if agent.state.revision != report.revision:
                agent.state = _replace_revision(agent.state, report)
            outputs.append(
                events.RevisionSeen(report.instance, report.revision)
            )
        return outputs, known

    def receive_update(
        self, now: float, sender: str, update: messages.RegionUpdate
    ) -> list[events.Output]:
        """Note what another home entry tells about its agents."""
        outputs: list[events.Output] = []
        for state in update.agents:
            outputs += self._merge_state(now, sender, state)
        for name, incarnation in update.lost:
            agent = self._agents.get(name)
            if not agent or agent.state.peer.incarnation != incarnation:
                continue
            if agent.home == sender:
                outputs += self._forget(name, forward=False)
        if not update.full:
            return outputs
        named = {state.peer.instance for state in update.agents}
        for name, agent in list(self._agents.items()):
            if agent.home == sender and name not in named:
                # The sender may have restarted and not have heard the agent
                # yet, or the agent may report to another home by now.
                agent.home = ''
                agent.heard = now
        return outputs

    def find_silent(self, now: float) -> list[events.Output]:
        """Forget agents that no longer report to this entry."""
        outputs: list[events.Output] = []
        for name, agent in list(self._agents.items()):
            if agent.home != self._instance:
                continue
            if now - agent.heard > timing.MISSED_HEARTBEATS * agent.interval:
                outputs += self._forget(name)
        return outputs

    def find_orphans(
        self, now: float, entries: Container[str]
    ) -> list[events.Output]:
        """Forget agents of dead homes that no other entry took over.

        :param entries: instance ids of the other live entries.
        """
        outputs: list[events.Output] = []
        for name, agent in list(self._agents.items()):
            orphaned = (
                agent.home != self._instance and agent.home not in entries
            )
            if orphaned and now - agent.heard > timing.MAX_AGENT_INTERVAL_S:
                outputs += self._forget(name, forward=False)
        return outputs

    def release(self, now: float, home: str) -> None:
        """Give the agents of a lost home time to report to another one."""
        for agent in self._agents.values():
            if agent.home == home:
                agent.heard = now

    def take_changes(self) -> messages.RegionUpdate | None:
        """Return what the entries of the region have to be told."""
        if not self._changed and not self._lost:
            return None
        update = messages.RegionUpdate(
            tuple(self._changed.values()), tuple(self._lost)
        )
        self._changed.clear()
        self._lost.clear()
        return update

    def make_full_update(self) -> messages.RegionUpdate:
        """Return the states of all agents that report here."""
        return messages.RegionUpdate(
            tuple(
                agent.state
                for agent in self._agents.values()
                if agent.home == self._instance
            ),
            full=True,
        )

    def compute_digest(self, home: str) -> int:
        """Return the checksum over the agents of a home entry."""
        digest = 0
        for name, agent in self._agents.items():
            if agent.home != home:
                continue
            text = (
                f'{name}:{agent.state.peer.incarnation}:{agent.state.sequence}'
            )
            digest ^= zlib.crc32(text.encode())
        return digest

    def get_interval(self) -> float:
        """Return the seconds between two reports of an agent."""
        count = sum(
            agent.home == self._instance for agent in self._agents.values()
        )
        return timing.pace(
            count,
            timing.AGENT_BYTES_PER_S,
            timing.MIN_INTERVAL_S,
            timing.MAX_AGENT_INTERVAL_S,
        )

    def _accept_state(
        self, now: float, state: messages.AgentState
    ) -> list[events.Output]:
        name = state.peer.instance
        self._agents[name] = _Agent(
            state, self._instance, now, self.get_interval()
        )
        self._changed[name] = state
        return [events.AddressLearned(state.peer), events.AgentChanged(state)]

    def _merge_state(
        self, now: float, sender: str, state: messages.AgentState
    ) -> list[events.Output]:
        name = state.peer.instance
        outputs: list[events.Output] = []
        agent = self._agents.get(name)
        if agent is not None:
            same = agent.state.peer.incarnation == state.peer.incarnation
            if same and agent.state.sequence > state.sequence:
                return []
            reports_here = (
                agent.home == self._instance
                and now - agent.heard < agent.interval
            )
            # An agent that reports here decides itself which incarnation is
            # the current one; the update may be about a former one.
            if not same and reports_here:
                return []
            if not same:
                outputs += self._forget(name, forward=False)
        self._agents[name] = _Agent(
            state, sender, now, timing.MAX_AGENT_INTERVAL_S
        )
        return [
            *outputs,
            events.AddressLearned(state.peer),
            events.AgentChanged(state),
        ]

    def _forget(self, name: str, forward: bool = True) -> list[events.Output]:
        agent = self._agents.pop(name)
        self._changed.pop(name, None)
        incarnation = agent.state.peer.incarnation
        if forward:
            self._lost.append((name, incarnation))
        return [events.AgentLost(name, incarnation)]


def _replace_revision(
    state: messages.AgentState, report: messages.AgentReport
) -> messages.AgentState:
    return msgspec.structs.replace(state, revision=report.revision)

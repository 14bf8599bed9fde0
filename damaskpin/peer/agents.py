"""Liveness and states of a region's agents, tracked by an entry.

An agent reports to one entry of its region, its home entry. The home entry
forwards changed agent states to the other entries of the region.
"""

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

    :ivar home: instance id of the agent's home entry; empty if unknown.
    :ivar last_heard_time: time of the agent's last report to this entry, or of
        the last update or loss of its home entry.
    :ivar interval: seconds after ``last_heard_time`` until the next report of
        the agent is due.
    """

    state: messages.AgentState
    home: str
    last_heard_time: float
    interval: float


class RegionAgents:
    """State machine that tracks the agents of a region, without I/O.

    :param instance: instance id of this entry.
    """

    __slots__ = ('_agents', '_changed_states', '_instance', '_lost_agents')

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._agents: dict[str, _Agent] = {}
        self._changed_states: dict[str, messages.AgentState] = {}
        self._lost_agents: list[tuple[str, str]] = []

    def list_states(self) -> list[messages.AgentState]:
        """Return the states of the live agents."""
        return [agent.state for agent in self._agents.values()]

    def list_names(self, home: str) -> list[str]:
        """Return the instance ids of the agents that report to an entry."""
        return [
            name for name, agent in self._agents.items() if agent.home == home
        ]

    def find(self, name: str) -> messages.AgentState | None:
        """Return the state of a live agent, or ``None`` if it is unknown."""
        agent = self._agents.get(name)
        return agent.state if agent else None

    def receive_report(
        self, now: float, report: messages.AgentReport
    ) -> tuple[list[events.Output], bool]:
        """Handle the report of an agent to this entry.

        :returns: events, and whether this entry knows the agent's current
            state; if not, the agent must send its full state.
        """
        outputs: list[events.Output] = []
        agent = self._agents.get(report.instance)
        if agent and agent.state.peer.incarnation != report.incarnation:
            outputs += self._remove_agent(report.instance)
            agent = None
        if report.state is not None:
            outputs += self._accept_state(now, report.state)
            agent = self._agents[report.instance]
        known = agent is not None and agent.state.sequence == report.sequence
        interval = self.get_report_interval()
        if agent is not None:
            agent.last_heard_time = now
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
        """Handle an update of another entry about agents that report to it."""
        outputs: list[events.Output] = []
        for state in update.agents:
            outputs += self._merge_state(now, sender, state)
        for name, incarnation in update.lost:
            agent = self._agents.get(name)
            if not agent or agent.state.peer.incarnation != incarnation:
                continue
            if agent.home == sender:
                outputs += self._remove_agent(name, forward=False)
        if not update.full:
            return outputs
        reported_names = {state.peer.instance for state in update.agents}
        for name, agent in list(self._agents.items()):
            if agent.home == sender and name not in reported_names:
                # The sender's list of all its agents lacks this agent, which
                # may still be alive: it may not have reported to the sender
                # since the sender restarted, or it may have chosen another
                # home entry. It is removed only if it reports to no entry
                # before its timeout.
                agent.home = ''
                agent.last_heard_time = now
        return outputs

    def remove_silent(self, now: float) -> list[events.Output]:
        """Remove agents that reported to this entry but stopped reporting."""
        outputs: list[events.Output] = []
        for name, agent in list(self._agents.items()):
            if agent.home != self._instance:
                continue
            if (
                now - agent.last_heard_time
                > timing.MISSED_HEARTBEATS * agent.interval
            ):
                outputs += self._remove_agent(name)
        return outputs

    def remove_orphans(
        self, now: float, entries: Container[str]
    ) -> list[events.Output]:
        """Remove agents whose home entry is dead or unknown, after a timeout.

        An agent that reports to another entry in time is kept.

        :param entries: instance ids of the other live entries.
        """
        outputs: list[events.Output] = []
        for name, agent in list(self._agents.items()):
            orphaned = (
                agent.home != self._instance and agent.home not in entries
            )
            if (
                orphaned
                and now - agent.last_heard_time > timing.MAX_AGENT_INTERVAL_S
            ):
                outputs += self._remove_agent(name, forward=False)
        return outputs

    def restart_timeouts(self, now: float, home: str) -> None:
        """Restart the timeouts of a lost entry's agents.

        This gives the agents time to report to another entry.

        :param home: instance id of the lost entry.
        """
        for agent in self._agents.values():
            if agent.home == home:
                agent.last_heard_time = now

    def take_changes(self) -> messages.RegionUpdate | None:
        """Return the changes to send to the region's entries; clear them."""
        if not self._changed_states and not self._lost_agents:
            return None
        update = messages.RegionUpdate(
            tuple(self._changed_states.values()), tuple(self._lost_agents)
        )
        self._changed_states.clear()
        self._lost_agents.clear()
        return update

    def make_full_update(self) -> messages.RegionUpdate:
        """Return an update with all agents that report to this entry."""
        return messages.RegionUpdate(
            tuple(
                agent.state
                for agent in self._agents.values()
                if agent.home == self._instance
            ),
            full=True,
        )

    def compute_digest(self, home: str) -> int:
        """Return a checksum over the agents that report to an entry.

        :param home: instance id of the entry.
        """
        digest = 0
        for name, agent in self._agents.items():
            if agent.home != home:
                continue
            checksum_input = (
                f'{name}:{agent.state.peer.incarnation}:{agent.state.sequence}'
            )
            digest ^= zlib.crc32(checksum_input.encode())
        return digest

    def get_report_interval(self) -> float:
        """Return the seconds between two reports of an agent.

        The interval grows with the number of agents of this entry.
        """
        count = sum(
            agent.home == self._instance for agent in self._agents.values()
        )
        return timing.compute_interval(
            count * timing.AGENT_HEARTBEAT_BYTES,
            timing.AGENT_BYTES_PER_S,
            timing.MAX_AGENT_INTERVAL_S,
        )

    def _accept_state(
        self, now: float, state: messages.AgentState
    ) -> list[events.Output]:
        name = state.peer.instance
        known = self._agents.get(name)
        self._agents[name] = _Agent(
            state, self._instance, now, self.get_report_interval()
        )
        # A change of the agent's busy slots does not increase the state's
        # sequence number. It is not forwarded to other entries, because only
        # the agent's home entry uses busy slots.
        if (
            known is None
            or known.home != self._instance
            or known.state.sequence != state.sequence
        ):
            self._changed_states[name] = state
        return [events.AddressLearned(state.peer), events.AgentChanged(state)]

    def _merge_state(
        self, now: float, sender: str, state: messages.AgentState
    ) -> list[events.Output]:
        name = state.peer.instance
        outputs: list[events.Output] = []
        agent = self._agents.get(name)
        if agent is not None:
            same_incarnation = (
                agent.state.peer.incarnation == state.peer.incarnation
            )
            if same_incarnation and agent.state.sequence > state.sequence:
                return []
            reports_here = (
                agent.home == self._instance
                and now - agent.last_heard_time < agent.interval
            )
            # An agent's own reports to this entry show its current
            # incarnation; another entry's update may be about a former one.
            if not same_incarnation and reports_here:
                return []
            if not same_incarnation:
                outputs += self._remove_agent(name, forward=False)
        self._agents[name] = _Agent(
            state, sender, now, timing.MAX_AGENT_INTERVAL_S
        )
        return [
            *outputs,
            events.AddressLearned(state.peer),
            events.AgentChanged(state),
        ]

    def _remove_agent(
        self, name: str, forward: bool = True
    ) -> list[events.Output]:
        agent = self._agents.pop(name)
        self._changed_states.pop(name, None)
        incarnation = agent.state.peer.incarnation
        if forward:
            self._lost_agents.append((name, incarnation))
        return [events.AgentLost(name, incarnation)]


def _replace_revision(
    state: messages.AgentState, report: messages.AgentReport
) -> messages.AgentState:
    return msgspec.structs.replace(state, revision=report.revision)

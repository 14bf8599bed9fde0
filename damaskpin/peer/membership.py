"""Membership of an entry: other entries, agents and their liveness."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import zlib

import msgspec

from damaskpin import effects
from damaskpin.peer import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# Heartbeats are paced by bytes, so that a daemon of a large fleet stays below
# 3 KB/s: agents take half of it, entries of the region and of other regions
# share the rest. A heartbeat with its reply costs about this many bytes on
# the wire, headers and acknowledgements included.
AGENT_HEARTBEAT_BYTES = 400
ENTRY_HEARTBEAT_BYTES = 550
AGENT_BYTES_PER_S = 1500
REGION_BYTES_PER_S = 800
REMOTE_BYTES_PER_S = 400
MIN_INTERVAL_S = 1.0
MAX_AGENT_INTERVAL_S = 12.0
MAX_ENTRY_INTERVAL_S = 12.0
MISSED_HEARTBEATS = 3
FORWARD_INTERVAL_S = 0.2
# Two mismatches in a row, because an update may be on its way.
DIGEST_MISMATCHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AgentChanged:
    """An agent of the region is new or reported another state."""

    state: messages.AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLost:
    """An agent is dead, or its process was replaced."""

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry is dead, has left, or its process was replaced."""

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A peer applied this configuration revision."""

    instance: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddressLearned:
    """The address of a process is known."""

    peer: messages.Peer


Event = AddressLearned | AgentChanged | AgentLost | EntryLost | RevisionSeen
Output = effects.Effect | Event


@dataclasses.dataclass(slots=True)
class _Entry:
    peer: messages.Peer
    heard: float
    interval: float
    next_beat: float
    revision: int = 0
    draining: bool = False
    mismatches: int = 0


@dataclasses.dataclass(slots=True)
class _Agent:
    state: messages.AgentState
    home: str
    heard: float
    interval: float


class EntryMembership:
    """What an entry knows about the fleet; free of I/O.

    :param peer: this process.
    :param now: monotonic seconds.
    """

    __slots__ = (
        '_agents',
        '_changed',
        '_draining',
        '_entries',
        '_lost',
        '_next_forward',
        '_version',
        'peer',
        'revision',
    )

    def __init__(self, peer: messages.Peer, now: float) -> None:
        self.peer = peer
        self.revision = 0
        self._draining = False
        self._entries: dict[str, _Entry] = {}
        self._agents: dict[str, _Agent] = {}
        self._changed: dict[str, messages.AgentState] = {}
        self._lost: list[tuple[str, str]] = []
        self._next_forward = now
        self._version = ''
        self._update_version()

    @property
    def draining(self) -> bool:
        """Whether this entry is about to leave, so that agents leave it."""
        return self._draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self._draining = draining
        # Agents get the list without this entry only under another version.
        self._update_version()

    def list_entries(self) -> list[messages.Peer]:
        """Return the live entries of all regions, with this one, by name."""
        peers = [entry.peer for entry in self._entries.values()]
        return sorted([*peers, self.peer], key=lambda peer: peer.instance)

    def list_agents(self) -> list[messages.AgentState]:
        """Return the live agents of the region."""
        return [agent.state for agent in self._agents.values()]

    def list_revisions(self) -> dict[str, int]:
        """Return the revision that each known process reported."""
        revisions = {self.peer.instance: self.revision}
        for name, entry in self._entries.items():
            revisions[name] = entry.revision
        for name, agent in self._agents.items():
            revisions[name] = agent.state.revision
        return revisions

    def list_home_agents(self) -> list[str]:
        """Return the instance ids of the agents that report here."""
        return [
            name
            for name, agent in self._agents.items()
            if agent.home == self.peer.instance
        ]

    def find_peer(self, instance: str) -> messages.Peer | None:
        """Return an entry or an agent of the region by its instance id.

        An agent asks an entry for itself to learn that it answers again.
        """
        if instance == self.peer.instance:
            return self.peer
        if instance in self._entries:
            return self._entries[instance].peer
        if instance in self._agents:
            return self._agents[instance].state.peer
        return None

    def get_coordinator(self, region: str) -> str | None:
        """Return the entry that coordinates a region.

        :returns: the smallest instance id among the region's live entries
            that are not draining, or ``None``.
        """
        names = [
            name
            for name, entry in self._entries.items()
            if entry.peer.region == region and not entry.draining
        ]
        if self.peer.region == region and not self.draining:
            names.append(self.peer.instance)
        return min(names, default=None)

    def is_watcher(self) -> bool:
        """Return whether this entry watches the store for its data centre."""
        return not any(
            entry.peer.data_centre == self.peer.data_centre
            and name < self.peer.instance
            for name, entry in self._entries.items()
        )

    def learn_entries(
        self, now: float, peers: Iterable[messages.Peer]
    ) -> list[Output]:
        """Contact entries that the store or a seed named.

        They count as live only after they have answered.
        """
        outputs: list[Output] = []
        for peer in peers:
            if peer.instance == self.peer.instance:
                continue
            known = self._entries.get(peer.instance)
            if known and known.peer == peer:
                continue
            outputs.append(AddressLearned(peer))
            outputs.append(
                effects.Send(peer.instance, self._make_beat(MIN_INTERVAL_S))
            )
        return outputs

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[Output]:
        """Handle a membership message; others are ignored."""
        match message:
            case messages.AgentReport():
                return self._receive_report(now, message)
            case messages.EntryBeat():
                return self._receive_beat(now, message)
            case messages.RegionUpdate():
                return self._receive_update(now, sender, message)
            case messages.FindPeer(instance):
                peer = self.find_peer(instance)
                if peer is None:
                    return []
                return [effects.Send(sender, messages.PeerFound(peer))]
            case messages.PeerFound(peer):
                return [AddressLearned(peer)]
            case messages.SyncRequest():
                return [effects.Send(sender, self._make_full_update())]
        return []

    def tick(self, now: float) -> list[Output]:
        """Send what is due and find dead peers."""
        outputs = self._find_dead(now)
        outputs += self._send_beats(now)
        if now >= self._next_forward:
            self._next_forward = now + FORWARD_INTERVAL_S
            outputs += self._forward_changes()
        return outputs

    def leave(self) -> list[Output]:
        """Tell all entries that this one is leaving."""
        beat = messages.EntryBeat(
            self.peer, self.revision, MIN_INTERVAL_S, True, True, True
        )
        return [effects.Send(name, beat) for name in self._entries]

    def _receive_report(
        self, now: float, report: messages.AgentReport
    ) -> list[Output]:
        outputs: list[Output] = []
        agent = self._agents.get(report.instance)
        if agent and agent.state.peer.incarnation != report.incarnation:
            outputs += self._forget_agent(report.instance)
            agent = None
        if report.state is not None:
            outputs += self._accept_state(now, report.state)
            agent = self._agents[report.instance]
        known = agent is not None and agent.state.sequence == report.sequence
        interval = self._get_agent_interval()
        if agent is not None:
            agent.heard = now
            agent.interval = interval
            agent.home = self.peer.instance
            if agent.state.revision != report.revision:
                agent.state = _replace_revision(agent.state, report)
            outputs.append(RevisionSeen(report.instance, report.revision))
        entries: tuple[messages.Peer, ...] = ()
        if report.entries_version != self._version:
            entries = tuple(
                peer
                for peer in self.list_entries()
                if peer.region == self.peer.region
                and not self._is_draining(peer.instance)
            )
        ack = messages.ReportAck(
            interval, self.revision, not known, self._version, entries
        )
        outputs.append(effects.Send(report.instance, ack))
        return outputs

    def _accept_state(
        self, now: float, state: messages.AgentState
    ) -> list[Output]:
        name = state.peer.instance
        known = self._agents.get(name)
        self._agents[name] = _Agent(
            state, self.peer.instance, now, self._get_agent_interval()
        )
        # Busy slots alone do not raise the sequence; only the home uses them.
        if (
            known is None
            or known.home != self.peer.instance
            or known.state.sequence != state.sequence
        ):
            self._changed[name] = state
        return [AddressLearned(state.peer), AgentChanged(state)]

    def _receive_beat(
        self, now: float, beat: messages.EntryBeat
    ) -> list[Output]:
        outputs: list[Output] = []
        name = beat.peer.instance
        if name == self.peer.instance:
            return []
        entry = self._entries.get(name)
        same = entry and entry.peer.incarnation == beat.peer.incarnation
        if beat.leaving:
            # A late one of a former process says nothing about its successor.
            return self._forget_entry(now, name) if same else []
        if entry and not same:
            outputs += self._forget_entry(now, name)
            entry = None
        if entry is None:
            entry = _Entry(beat.peer, now, beat.interval, now)
            self._entries[name] = entry
            self._update_version()
            outputs.append(AddressLearned(beat.peer))
            if beat.peer.region == self.peer.region:
                outputs.append(effects.Send(name, messages.SyncRequest()))
        if entry.draining != beat.draining:
            entry.draining = beat.draining
            self._update_version()
        entry.heard = now
        entry.interval = beat.interval
        entry.revision = beat.revision
        entry.next_beat = max(entry.next_beat, now + entry.interval)
        outputs.append(RevisionSeen(name, beat.revision))
        outputs += self._check_digest(name, entry, beat)
        if not beat.reply:
            interval = self._get_entry_interval(entry)
            outputs.append(
                effects.Send(name, self._make_beat(interval, reply=True))
            )
        return outputs

    def _check_digest(
        self, name: str, entry: _Entry, beat: messages.EntryBeat
    ) -> list[Output]:
        if beat.peer.region != self.peer.region:
            return []
        if beat.digest == self._compute_digest(name):
            entry.mismatches = 0
            return []
        entry.mismatches += 1
        if entry.mismatches < DIGEST_MISMATCHES:
            return []
        entry.mismatches = 0
        return [effects.Send(name, messages.SyncRequest())]

    def _receive_update(
        self, now: float, sender: str, update: messages.RegionUpdate
    ) -> list[Output]:
        outputs: list[Output] = []
        if sender not in self._entries:
            return outputs
        for state in update.agents:
            outputs += self._merge_state(now, sender, state)
        for name, incarnation in update.lost:
            agent = self._agents.get(name)
            if not agent or agent.state.peer.incarnation != incarnation:
                continue
            if agent.home == sender:
                outputs += self._forget_agent(name, forward=False)
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

    def _merge_state(
        self, now: float, sender: str, state: messages.AgentState
    ) -> list[Output]:
        name = state.peer.instance
        outputs: list[Output] = []
        agent = self._agents.get(name)
        if agent is not None:
            same = agent.state.peer.incarnation == state.peer.incarnation
            if same and agent.state.sequence > state.sequence:
                return []
            reports_here = (
                agent.home == self.peer.instance
                and now - agent.heard < agent.interval
            )
            # An agent that reports here decides itself which incarnation is
            # the current one; the update may be about a former one.
            if not same and reports_here:
                return []
            if not same:
                outputs += self._forget_agent(name, forward=False)
        self._agents[name] = _Agent(state, sender, now, MAX_AGENT_INTERVAL_S)
        return [*outputs, AddressLearned(state.peer), AgentChanged(state)]

    def _find_dead(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for name, agent in list(self._agents.items()):
            if agent.home != self.peer.instance:
                continue
            if now - agent.heard > MISSED_HEARTBEATS * agent.interval:
                outputs += self._forget_agent(name)
        for name, entry in list(self._entries.items()):
            limit = MISSED_HEARTBEATS * max(
                entry.interval, self._get_entry_interval(entry)
            )
            if now - entry.heard > limit:
                outputs += self._forget_entry(now, name)
        # The home of an agent died and no other entry took the agent over.
        for name, agent in list(self._agents.items()):
            orphaned = (
                agent.home != self.peer.instance
                and agent.home not in self._entries
            )
            if orphaned and now - agent.heard > MAX_AGENT_INTERVAL_S:
                outputs += self._forget_agent(name, forward=False)
        return outputs

    def _forget_agent(self, name: str, forward: bool = True) -> list[Output]:
        agent = self._agents.pop(name)
        self._changed.pop(name, None)
        incarnation = agent.state.peer.incarnation
        if forward:
            self._lost.append((name, incarnation))
        return [AgentLost(name, incarnation)]

    def _forget_entry(self, now: float, name: str) -> list[Output]:
        entry = self._entries.pop(name)
        self._update_version()
        # Its agents get the time to report to another home.
        for agent in self._agents.values():
            if agent.home == name:
                agent.heard = now
        return [EntryLost(name, entry.peer.incarnation)]

    def _send_beats(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for name, entry in self._entries.items():
            if now < entry.next_beat:
                continue
            interval = self._get_entry_interval(entry)
            # The entry with the smaller name starts the exchange; the other
            # one does only when it has not heard it for a while.
            waiting = self.peer.instance > name
            if waiting and now - entry.heard < 1.5 * interval:
                continue
            entry.next_beat = now + interval
            outputs.append(effects.Send(name, self._make_beat(interval)))
        return outputs

    def _forward_changes(self) -> list[Output]:
        if not self._changed and not self._lost:
            return []
        update = messages.RegionUpdate(
            tuple(self._changed.values()), tuple(self._lost)
        )
        self._changed.clear()
        self._lost.clear()
        return [
            effects.Send(name, update)
            for name, entry in self._entries.items()
            if entry.peer.region == self.peer.region
        ]

    def _make_full_update(self) -> messages.RegionUpdate:
        return messages.RegionUpdate(
            tuple(
                agent.state
                for agent in self._agents.values()
                if agent.home == self.peer.instance
            ),
            full=True,
        )

    def _make_beat(
        self, interval: float, reply: bool = False
    ) -> messages.EntryBeat:
        return messages.EntryBeat(
            self.peer,
            self.revision,
            interval,
            self.draining,
            reply,
            digest=self._compute_digest(self.peer.instance),
        )

    def _compute_digest(self, home: str) -> int:
        digest = 0
        for name, agent in self._agents.items():
            if agent.home != home:
                continue
            text = (
                f'{name}:{agent.state.peer.incarnation}:{agent.state.sequence}'
            )
            digest ^= zlib.crc32(text.encode())
        return digest

    def _is_draining(self, name: str) -> bool:
        if name == self.peer.instance:
            return self.draining
        return self._entries[name].draining

    def _get_agent_interval(self) -> float:
        count = sum(
            agent.home == self.peer.instance for agent in self._agents.values()
        )
        return _pace(
            count * AGENT_HEARTBEAT_BYTES / AGENT_BYTES_PER_S,
            MAX_AGENT_INTERVAL_S,
        )

    def _get_entry_interval(self, entry: _Entry) -> float:
        near = entry.peer.region == self.peer.region
        count = sum(
            (other.peer.region == self.peer.region) == near
            for other in self._entries.values()
        )
        budget = REGION_BYTES_PER_S if near else REMOTE_BYTES_PER_S
        return _pace(
            count * ENTRY_HEARTBEAT_BYTES / budget, MAX_ENTRY_INTERVAL_S
        )

    def _update_version(self) -> None:
        text = ','.join(
            f'{peer.instance}:{peer.incarnation}'
            for peer in self.list_entries()
            if peer.region == self.peer.region
            and not self._is_draining(peer.instance)
        )
        self._version = f'{zlib.crc32(text.encode()):x}'


def _pace(seconds: float, longest: float) -> float:
    return min(max(seconds, MIN_INTERVAL_S), longest)


def _replace_revision(
    state: messages.AgentState, report: messages.AgentReport
) -> messages.AgentState:
    return msgspec.structs.replace(state, revision=report.revision)

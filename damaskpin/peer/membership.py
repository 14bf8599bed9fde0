"""Membership of an entry: other entries and their liveness."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
import zlib

from damaskpin import effects
from damaskpin.peer import agents
from damaskpin.peer import events
from damaskpin.peer import messages
from damaskpin.peer import timing

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclasses.dataclass(slots=True)
class _Entry:
    peer: messages.Peer
    heard: float
    interval: float
    next_beat: float
    revision: int = 0
    draining: bool = False
    mismatches: int = 0


class EntryMembership:
    """What an entry knows about the fleet; free of I/O.

    :param peer: this process.
    :param now: monotonic seconds.
    """

    __slots__ = (
        '_agents',
        '_draining',
        '_entries',
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
        self._agents = agents.RegionAgents(peer.instance)
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
        return self._agents.list_states()

    def list_revisions(self) -> dict[str, int]:
        """Return the revision that each known process reported."""
        revisions = {self.peer.instance: self.revision}
        for name, entry in self._entries.items():
            revisions[name] = entry.revision
        for state in self._agents.list_states():
            revisions[state.peer.instance] = state.revision
        return revisions

    def list_home_agents(self) -> list[str]:
        """Return the instance ids of the agents that report here."""
        return self._agents.list_names(self.peer.instance)

    def find_peer(self, instance: str) -> messages.Peer | None:
        """Return an entry or an agent of the region by its instance id.

        An agent asks an entry for itself to learn that it answers again.
        """
        if instance == self.peer.instance:
            return self.peer
        if instance in self._entries:
            return self._entries[instance].peer
        state = self._agents.find(instance)
        return state.peer if state else None

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

    def learn_entries(
        self, now: float, peers: Iterable[messages.Peer]
    ) -> list[events.Output]:
        """Contact entries that the store or a seed named.

        They count as live only after they have answered.
        """
        outputs: list[events.Output] = []
        for peer in peers:
            if peer.instance == self.peer.instance:
                continue
            known = self._entries.get(peer.instance)
            if known and known.peer == peer:
                continue
            outputs.append(events.AddressLearned(peer))
            outputs.append(
                effects.Send(
                    peer.instance, self._make_beat(timing.MIN_INTERVAL_S)
                )
            )
        return outputs

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[events.Output]:
        """Handle a membership message; others are ignored."""
        match message:
            case messages.AgentReport():
                return self._receive_report(now, message)
            case messages.EntryBeat():
                return self._receive_beat(now, message)
            case messages.RegionUpdate() if sender in self._entries:
                return self._agents.receive_update(now, sender, message)
            case messages.FindPeer(instance):
                peer = self.find_peer(instance)
                if peer is None:
                    return []
                return [effects.Send(sender, messages.PeerFound(peer))]
            case messages.PeerFound(peer):
                return [events.AddressLearned(peer)]
            case messages.SyncRequest():
                return [effects.Send(sender, self._agents.make_full_update())]
        return []

    def tick(self, now: float) -> list[events.Output]:
        """Send what is due and find dead peers."""
        outputs = self._find_dead(now)
        outputs += self._send_beats(now)
        if now >= self._next_forward:
            self._next_forward = now + timing.FORWARD_INTERVAL_S
            outputs += self._forward_changes()
        return outputs

    def leave(self) -> list[events.Output]:
        """Tell all entries that this one is leaving."""
        beat = messages.EntryBeat(
            self.peer, self.revision, timing.MIN_INTERVAL_S, True, True, True
        )
        return [effects.Send(name, beat) for name in self._entries]

    def _receive_report(
        self, now: float, report: messages.AgentReport
    ) -> list[events.Output]:
        outputs, known = self._agents.receive_report(now, report)
        entries: tuple[messages.Peer, ...] = ()
        if report.entries_version != self._version:
            entries = tuple(
                peer
                for peer in self.list_entries()
                if peer.region == self.peer.region
                and not self._is_draining(peer.instance)
            )
        ack = messages.ReportAck(
            self._agents.get_interval(),
            self.revision,
            not known,
            self._version,
            entries,
        )
        outputs.append(effects.Send(report.instance, ack))
        return outputs

    def _receive_beat(
        self, now: float, beat: messages.EntryBeat
    ) -> list[events.Output]:
        outputs: list[events.Output] = []
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
            outputs.append(events.AddressLearned(beat.peer))
            if beat.peer.region == self.peer.region:
                outputs.append(effects.Send(name, messages.SyncRequest()))
        if entry.draining != beat.draining:
            entry.draining = beat.draining
            self._update_version()
        entry.heard = now
        entry.interval = beat.interval
        entry.revision = beat.revision
        entry.next_beat = max(entry.next_beat, now + entry.interval)
        outputs.append(events.RevisionSeen(name, beat.revision))
        outputs += self._check_digest(name, entry, beat)
        if not beat.reply:
            interval = self._get_entry_interval(entry)
            outputs.append(
                effects.Send(name, self._make_beat(interval, reply=True))
            )
        return outputs

    def _check_digest(
        self, name: str, entry: _Entry, beat: messages.EntryBeat
    ) -> list[events.Output]:
        if beat.peer.region != self.peer.region:
            return []
        if beat.digest == self._agents.compute_digest(name):
            entry.mismatches = 0
            return []
        entry.mismatches += 1
        if entry.mismatches < timing.DIGEST_MISMATCHES:
            return []
        entry.mismatches = 0
        return [effects.Send(name, messages.SyncRequest())]

    def _find_dead(self, now: float) -> list[events.Output]:
        outputs = self._agents.find_silent(now)
        for name, entry in list(self._entries.items()):
            limit = timing.MISSED_HEARTBEATS * max(
                entry.interval, self._get_entry_interval(entry)
            )
            if now - entry.heard > limit:
                outputs += self._forget_entry(now, name)
        return outputs + self._agents.find_orphans(now, self._entries)

    def _forget_entry(self, now: float, name: str) -> list[events.Output]:
        entry = self._entries.pop(name)
        self._update_version()
        self._agents.release(now, name)
        return [events.EntryLost(name, entry.peer.incarnation)]

    def _send_beats(self, now: float) -> list[events.Output]:
        outputs: list[events.Output] = []
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

    def _forward_changes(self) -> list[events.Output]:
        update = self._agents.take_changes()
        if update is None:
            return []
        return [
            effects.Send(name, update)
            for name, entry in self._entries.items()
            if entry.peer.region == self.peer.region
        ]

    def _make_beat(
        self, interval: float, reply: bool = False
    ) -> messages.EntryBeat:
        return messages.EntryBeat(
            self.peer,
            self.revision,
            interval,
            self.draining,
            reply,
            digest=self._agents.compute_digest(self.peer.instance),
        )

    def _is_draining(self, name: str) -> bool:
        if name == self.peer.instance:
            return self.draining
        return self._entries[name].draining

    def _get_entry_interval(self, entry: _Entry) -> float:
        near = entry.peer.region == self.peer.region
        count = sum(
            (other.peer.region == self.peer.region) == near
            for other in self._entries.values()
        )
        budget = (
            timing.REGION_BYTES_PER_S if near else timing.REMOTE_BYTES_PER_S
        )
        return timing.pace(
            count * timing.ENTRY_HEARTBEAT_BYTES,
            budget,
            timing.MAX_ENTRY_INTERVAL_S,
        )

    def _update_version(self) -> None:
        text = ','.join(
            f'{peer.instance}:{peer.incarnation}'
            for peer in self.list_entries()
            if peer.region == self.peer.region
            and not self._is_draining(peer.instance)
        )
        self._version = f'{zlib.crc32(text.encode()):x}'

"""Membership as seen by an entry: liveness of the other processes."""

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
    """Another live entry.

    :ivar last_heard_time: time of the other entry's last heartbeat.
    :ivar interval: seconds until the other entry's next heartbeat, as it
        announced.
    :ivar next_heartbeat_time: time at which this entry must send a heartbeat
        to the other one.
    :ivar digest_mismatches: consecutive heartbeats whose digest differed.
    """

    peer: messages.Peer
    last_heard_time: float
    interval: float
    next_heartbeat_time: float
    revision: int = 0
    draining: bool = False
    digest_mismatches: int = 0


class EntryMembership:
    """State machine that tracks live entries and agents, without I/O.

    :param peer: identity of this entry.
    :param now: monotonic time in seconds.
    :ivar revision: configuration revision that this entry has applied.
    """

    __slots__ = (
        '_agents',
        '_draining',
        '_entries',
        '_entries_version',
        '_next_forward_time',
        'peer',
        'revision',
    )

    def __init__(self, peer: messages.Peer, now: float) -> None:
        self.peer = peer
        self.revision = 0
        self._draining = False
        self._entries: dict[str, _Entry] = {}
        self._agents = agents.RegionAgents(peer.instance)
        self._next_forward_time = now
        self._entries_version = ''
        self._update_entries_version()

    @property
    def draining(self) -> bool:
        """Whether this entry drains, so that agents report to other ones."""
        return self._draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self._draining = draining
        # This entry sends its list of entries only to agents that have another
        # version of it. The version must therefore change, so that agents
        # learn that they have to choose another home entry.
        self._update_entries_version()

    def list_entries(self) -> list[messages.Peer]:
        """Return the live entries of all regions, sorted by instance id.

        The list includes this entry itself.
        """
        peers = [entry.peer for entry in self._entries.values()]
        return sorted([*peers, self.peer], key=lambda peer: peer.instance)

    def list_agents(self) -> list[messages.AgentState]:
        """Return the live agents of the region."""
        return self._agents.list_states()

    def list_revisions(self) -> dict[str, int]:
        """Return the configuration revision that each process reported."""
        revisions = {self.peer.instance: self.revision}
        for name, entry in self._entries.items():
            revisions[name] = entry.revision
        for state in self._agents.list_states():
            revisions[state.peer.instance] = state.revision
        return revisions

    def list_home_agents(self) -> list[str]:
        """Return the instance ids of the agents whose home is this entry."""
        return self._agents.list_names(self.peer.instance)

    def find_peer(self, instance: str) -> messages.Peer | None:
        """Return an entry or an agent of the region by its instance id.

        This entry itself is found too: agents ask an entry for its own
        address to check whether it answers again.
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
        """Send heartbeats to entries that the store or a seed listed.

        An entry counts as live only after it has answered.
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
                    peer.instance, self._make_heartbeat(timing.MIN_INTERVAL_S)
                )
            )
        return outputs

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[events.Output]:
        """Handle a membership message; other messages are ignored."""
        match message:
            case messages.AgentReport():
                return self._receive_report(now, message)
            case messages.EntryBeat():
                return self._receive_heartbeat(now, message)
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
        """Remove dead peers and send due heartbeats and updates."""
        outputs = self._remove_dead_processes(now)
        outputs += self._send_heartbeats(now)
        if now >= self._next_forward_time:
            self._next_forward_time = now + timing.FORWARD_INTERVAL_S
            outputs += self._forward_changes()
        return outputs

    def leave(self) -> list[events.Output]:
        """Return messages to all other entries that this entry is leaving."""
        heartbeat = messages.EntryBeat(
            self.peer, self.revision, timing.MIN_INTERVAL_S, True, True, True
        )
        return [effects.Send(name, heartbeat) for name in self._entries]

    def _receive_report(
        self, now: float, report: messages.AgentReport
    ) -> list[events.Output]:
        outputs, known = self._agents.receive_report(now, report)
        entries: tuple[messages.Peer, ...] = ()
        if report.entries_version != self._entries_version:
            entries = tuple(
                peer
                for peer in self.list_entries()
                if peer.region == self.peer.region
                and not self._is_draining(peer.instance)
            )
        ack = messages.ReportAck(
            self._agents.get_report_interval(),
            self.revision,
            not known,
            self._entries_version,
            entries,
        )
        outputs.append(effects.Send(report.instance, ack))
        return outputs

    def _receive_heartbeat(
        self, now: float, heartbeat: messages.EntryBeat
    ) -> list[events.Output]:
        outputs: list[events.Output] = []
        name = heartbeat.peer.instance
        if name == self.peer.instance:
            return []
        entry = self._entries.get(name)
        same_incarnation = (
            entry and entry.peer.incarnation == heartbeat.peer.incarnation
        )
        if heartbeat.leaving:
            # A leave message of an entry's former incarnation may arrive late;
            # it must not remove the entry's current incarnation.
            return self._remove_entry(now, name) if same_incarnation else []
        if entry and not same_incarnation:
            outputs += self._remove_entry(now, name)
            entry = None
        if entry is None:
            entry = _Entry(heartbeat.peer, now, heartbeat.interval, now)
            self._entries[name] = entry
            self._update_entries_version()
            outputs.append(events.AddressLearned(heartbeat.peer))
            if heartbeat.peer.region == self.peer.region:
                outputs.append(effects.Send(name, messages.SyncRequest()))
        if entry.draining != heartbeat.draining:
            entry.draining = heartbeat.draining
            self._update_entries_version()
        entry.last_heard_time = now
        entry.interval = heartbeat.interval
        entry.revision = heartbeat.revision
        entry.next_heartbeat_time = max(
            entry.next_heartbeat_time, now + entry.interval
        )
        outputs.append(events.RevisionSeen(name, heartbeat.revision))
        outputs += self._check_digest(name, entry, heartbeat)
        if not heartbeat.reply:
            interval = self._get_entry_interval(entry)
            outputs.append(
                effects.Send(name, self._make_heartbeat(interval, reply=True))
            )
        return outputs

    def _check_digest(
        self, name: str, entry: _Entry, heartbeat: messages.EntryBeat
    ) -> list[events.Output]:
        if heartbeat.peer.region != self.peer.region:
            return []
        if heartbeat.digest == self._agents.compute_digest(name):
            entry.digest_mismatches = 0
            return []
        entry.digest_mismatches += 1
        if entry.digest_mismatches < timing.MAX_DIGEST_MISMATCHES:
            return []
        entry.digest_mismatches = 0
        return [effects.Send(name, messages.SyncRequest())]

    def _remove_dead_processes(self, now: float) -> list[events.Output]:
        outputs = self._agents.remove_silent(now)
        for name, entry in list(self._entries.items()):
            timeout = timing.MISSED_HEARTBEATS * max(
                entry.interval, self._get_entry_interval(entry)
            )
            if now - entry.last_heard_time > timeout:
                outputs += self._remove_entry(now, name)
        return outputs + self._agents.remove_orphans(now, self._entries)

    def _remove_entry(self, now: float, name: str) -> list[events.Output]:
        entry = self._entries.pop(name)
        self._update_entries_version()
        self._agents.restart_timeouts(now, name)
        return [events.EntryLost(name, entry.peer.incarnation)]

    def _send_heartbeats(self, now: float) -> list[events.Output]:
        outputs: list[events.Output] = []
        for name, entry in self._entries.items():
            if now < entry.next_heartbeat_time:
                continue
            interval = self._get_entry_interval(entry)
            # Of two entries, the one with the smaller name sends heartbeats
            # and the other replies. The other sends one only after 1.5
            # intervals without a heartbeat.
            is_responder = self.peer.instance > name
            if is_responder and now - entry.last_heard_time < 1.5 * interval:
                continue
            entry.next_heartbeat_time = now + interval
            outputs.append(effects.Send(name, self._make_heartbeat(interval)))
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

    def _make_heartbeat(
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
        same_region = entry.peer.region == self.peer.region
        count = sum(
            (other.peer.region == self.peer.region) == same_region
            for other in self._entries.values()
        )
        budget = (
            timing.REGION_BYTES_PER_S
            if same_region
            else timing.REMOTE_BYTES_PER_S
        )
        return timing.compute_interval(
            count * timing.ENTRY_HEARTBEAT_BYTES,
            budget,
            timing.MAX_ENTRY_INTERVAL_S,
        )

    def _update_entries_version(self) -> None:
        checksum_input = ','.join(
            f'{peer.instance}:{peer.incarnation}'
            for peer in self.list_entries()
            if peer.region == self.peer.region
            and not self._is_draining(peer.instance)
        )
        self._entries_version = f'{zlib.crc32(checksum_input.encode()):x}'

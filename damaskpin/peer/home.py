"""Membership of an agent: its home entry and the reports to it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from damaskpin import effects
from damaskpin.peer import events
from damaskpin.peer import messages
from damaskpin.peer import timing

if TYPE_CHECKING:
    from collections.abc import Iterable

# The first report of a change leaves at once; further ones wait this long, so
# that a burst of changes costs one report.
MIN_REPORT_GAP_S = 0.1
FIRST_INTERVAL_S = 1.0
FAILED_ENTRY_S = 5.0


class AgentHome:
    """Chooses the home entry and reports to it; free of I/O.

    :param state: state of this agent when it starts.
    :param now: monotonic seconds; the uptime counts from here.
    """

    __slots__ = (
        '_entries',
        '_failed',
        '_heard',
        '_home',
        '_interval',
        '_last_report',
        '_next_probe',
        '_send_full',
        '_started',
        '_version',
        'state',
    )

    def __init__(self, state: messages.AgentState, now: float) -> None:
        self.state = state
        self._started = now
        self._entries: dict[str, messages.Peer] = {}
        self._failed: dict[str, float] = {}
        self._home = ''
        self._version = ''
        self._interval = FIRST_INTERVAL_S
        self._last_report = now - FIRST_INTERVAL_S
        self._next_probe = now
        self._heard = now
        self._send_full = True

    @property
    def home(self) -> str:
        """Instance id of the home entry; empty while none is known."""
        return self._home

    def get_uptime(self, now: float) -> float:
        """Return the seconds since this agent started."""
        return now - self._started

    def needs_entries(self, now: float) -> bool:
        """Return whether the seeds have to be asked for entries."""
        silent = now - self._heard > timing.MISSED_HEARTBEATS * (
            self._interval
        )
        return not self._entries or silent

    def learn_entries(
        self, now: float, peers: Iterable[messages.Peer]
    ) -> list[events.Output]:
        """Replace the known entries and choose the home again."""
        # The home sends its list only to an agent that holds another version;
        # a list of a seed may differ from the one that was held.
        self._version = ''
        self._entries = {
            peer.instance: peer
            for peer in peers
            if peer.region == self.state.peer.region
        }
        self._choose_home(now)
        return [events.AddressLearned(peer) for peer in self._entries.values()]

    def set_state(self, now: float, state: messages.AgentState) -> None:
        """Note a changed state; the next report carries it.

        :param state: new state; its sequence and uptime are set here.
        """
        current = msgspec.structs.replace(
            state, sequence=self.state.sequence, uptime=self.state.uptime
        )
        if current == self.state:
            return
        self.state = msgspec.structs.replace(
            state,
            sequence=self.state.sequence + 1,
            uptime=self.get_uptime(now),
        )
        self._send_full = True

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[events.Output]:
        """Handle an answer of the home entry."""
        match message:
            case messages.PeerFound(peer):
                if self._failed.pop(sender, None) is not None:
                    self._choose_home(now)
                return [events.AddressLearned(peer)]
            case messages.ReportAck() if sender == self._home:
                pass
            case _:
                return []
        self._heard = now
        self._interval = message.interval
        outputs: list[events.Output] = [
            events.RevisionSeen(sender, message.revision)
        ]
        if message.need_full:
            self._send_full = True
        if message.entries:
            outputs += self.learn_entries(now, message.entries)
            self._version = message.entries_version
        return outputs

    def call_failed(self, now: float, instance: str) -> None:
        """Leave a home entry that could not be reached."""
        self._failed[instance] = now
        if instance == self._home:
            self._choose_home(now)

    def tick(self, now: float) -> list[events.Output]:
        """Report when a change or the interval asks for it."""
        if (
            self._home
            and now - self._heard > timing.MISSED_HEARTBEATS * self._interval
        ):
            self.call_failed(now, self._home)
        if not self._home:
            return []
        outputs = self._probe_failed(now)
        due = MIN_REPORT_GAP_S if self._send_full else self._interval
        if now - self._last_report < due:
            return outputs
        self._last_report = now
        state = None
        if self._send_full:
            self.state = msgspec.structs.replace(
                self.state, uptime=self.get_uptime(now)
            )
            state = self.state
            self._send_full = False
        report = messages.AgentReport(
            self.state.peer.instance,
            self.state.peer.incarnation,
            self.state.sequence,
            self.state.revision,
            self.get_uptime(now),
            state,
            self._version,
        )
        return [*outputs, effects.Send(self._home, report)]

    def _probe_failed(self, now: float) -> list[events.Output]:
        """Ask failed entries for an answer, after which they are usable.

        An entry that failed once may be live all the time for the others, so
        that no new list of entries would bring the agent back to it.
        """
        if now < self._next_probe:
            return []
        self._next_probe = now + FAILED_ENTRY_S
        return [
            effects.Send(name, messages.FindPeer(name))
            for name in self._failed
            if name in self._entries
        ]

    def _choose_home(self, now: float) -> None:
        for name, failed in list(self._failed.items()):
            if now - failed > FAILED_ENTRY_S:
                del self._failed[name]
        candidates = [
            peer
            for peer in self._entries.values()
            if peer.instance not in self._failed
        ] or list(self._entries.values())
        near = [
            peer
            for peer in candidates
            if peer.data_centre == self.state.peer.data_centre
        ]
        home = max(near or candidates, key=self._score_entry, default=None)
        name = home.instance if home else ''
        if name == self._home:
            return
        self._home = name
        self._heard = now
        self._send_full = True

    def _score_entry(self, peer: messages.Peer) -> bytes:
        # Rendezvous hashing: an entry that comes or goes moves only its own
        # share of the agents.
        text = f'{peer.instance}/{self.state.peer.instance}'
        return hashlib.sha256(text.encode()).digest()

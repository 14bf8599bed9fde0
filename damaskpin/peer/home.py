"""Membership as seen by an agent: its home entry and reports to it."""

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

# Shortest time between two reports of an agent. A changed state is reported at
# once after a longer pause; changes in quick succession share one report.
MIN_REPORT_GAP_S = 0.1
INITIAL_REPORT_INTERVAL_S = 1.0
# Time between probes of entries that did not answer, and time after which such
# an entry may be chosen as home entry again.
FAILED_ENTRY_RETRY_S = 5.0


class AgentHome:
    """State machine that chooses a home entry and reports to it.

    The home entry is the entry of the agent's region to which the agent
    reports and which tracks the agent's liveness. The state machine does no
    I/O.

    :param state: initial state of this agent.
    :param now: monotonic time in seconds, from which the uptime counts.
    """

    __slots__ = (
        '_busy_slots_changed',
        '_entries',
        '_entries_version',
        '_failed_since',
        '_home',
        '_last_answer_time',
        '_last_report_time',
        '_must_send_state',
        '_next_probe_time',
        '_report_interval',
        '_start_time',
        'state',
    )

    def __init__(self, state: messages.AgentState, now: float) -> None:
        self.state = state
        self._start_time = now
        self._entries: dict[str, messages.Peer] = {}
        self._failed_since: dict[str, float] = {}
        self._home = ''
        self._entries_version = ''
        self._report_interval = INITIAL_REPORT_INTERVAL_S
        self._last_report_time = now - INITIAL_REPORT_INTERVAL_S
        self._next_probe_time = now
        self._last_answer_time = now
        self._must_send_state = True
        self._busy_slots_changed = False

    @property
    def home(self) -> str:
        """Instance id of the home entry; empty if no entry is known."""
        return self._home

    def get_uptime(self, now: float) -> float:
        """Return the seconds since this agent started."""
        return now - self._start_time

    def needs_entries(self, now: float) -> bool:
        """Return whether the agent must ask the seeds for a list of entries.

        It must if it knows no entry or its home entry does not answer.
        """
        home_is_silent = (
            now - self._last_answer_time
            > timing.MISSED_HEARTBEATS * (self._report_interval)
        )
        return not self._entries or home_is_silent

    def learn_entries(
        self, now: float, peers: Iterable[messages.Peer]
    ) -> list[events.Output]:
        """Replace the known entries and choose the home entry again."""
        # The home entry sends its list of entries only to agents with another
        # version of it. The list of a seed may differ from that of the home
        # entry, so its version counts as unknown.
        self._entries_version = ''
        self._entries = {
            peer.instance: peer
            for peer in peers
            if peer.region == self.state.peer.region
        }
        self._choose_home(now)
        return [events.AddressLearned(peer) for peer in self._entries.values()]

    def set_state(self, now: float, state: messages.AgentState) -> None:
        """Replace the state of this agent, which the next report sends.

        :param state: new state; its sequence and uptime are overwritten.
        """
        current = msgspec.structs.replace(
            state, sequence=self.state.sequence, uptime=self.state.uptime
        )
        if current == self.state:
            return
        if _clear_busy_slots(current) == _clear_busy_slots(self.state):
            # Busy slots change with every request, so a change of these alone
            # waits for the next regular report.
            self.state = current
            self._busy_slots_changed = True
            return
        self.state = msgspec.structs.replace(
            state,
            sequence=self.state.sequence + 1,
            uptime=self.get_uptime(now),
        )
        self._must_send_state = True

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[events.Output]:
        """Handle an answer to a report or to a probe of a failed entry."""
        match message:
            case messages.PeerFound(peer):
                if self._failed_since.pop(sender, None) is not None:
                    self._choose_home(now)
                return [events.AddressLearned(peer)]
            case messages.ReportAck() if sender == self._home:
                pass
            case _:
                return []
        self._last_answer_time = now
        self._report_interval = message.interval
        outputs: list[events.Output] = [
            events.RevisionSeen(sender, message.revision)
        ]
        if message.need_full:
            self._must_send_state = True
        if message.entries:
            outputs += self.learn_entries(now, message.entries)
            self._entries_version = message.entries_version
        return outputs

    def handle_call_failure(self, now: float, instance: str) -> None:
        """Mark an entry as failed; choose another home entry if it was that.

        :param instance: instance id of the entry that did not answer.
        """
        self._failed_since[instance] = now
        if instance == self._home:
            self._choose_home(now)

    def tick(self, now: float) -> list[events.Output]:
        """Send a report if one is due; replace a home entry that is silent."""
        if (
            self._home
            and now - self._last_answer_time
            > timing.MISSED_HEARTBEATS * self._report_interval
        ):
            self.handle_call_failure(now, self._home)
        if not self._home:
            return []
        outputs = self._probe_failed(now)
        report_delay = (
            MIN_REPORT_GAP_S
            if self._must_send_state
            else self._report_interval
        )
        if now - self._last_report_time < report_delay:
            return outputs
        self._last_report_time = now
        state = None
        if self._must_send_state or self._busy_slots_changed:
            self.state = msgspec.structs.replace(
                self.state, uptime=self.get_uptime(now)
            )
            state = self.state
            self._must_send_state = False
            self._busy_slots_changed = False
        report = messages.AgentReport(
            self.state.peer.instance,
            self.state.peer.incarnation,
            self.state.sequence,
            self.state.revision,
            self.get_uptime(now),
            state,
            self._entries_version,
        )
        return [*outputs, effects.Send(self._home, report)]

    def _probe_failed(self, now: float) -> list[events.Output]:
        """Send a probe to each failed entry; an answer makes it usable.

        A failed entry may have stayed live for the other entries. The list of
        entries then never changes, so only a probe shows that it answers.
        """
        if now < self._next_probe_time:
            return []
        self._next_probe_time = now + FAILED_ENTRY_RETRY_S
        return [
            effects.Send(name, messages.FindPeer(name))
            for name in self._failed_since
            if name in self._entries
        ]

    def _choose_home(self, now: float) -> None:
        for name, failure_time in list(self._failed_since.items()):
            if now - failure_time > FAILED_ENTRY_RETRY_S:
                del self._failed_since[name]
        candidates = [
            peer
            for peer in self._entries.values()
            if peer.instance not in self._failed_since
        ] or list(self._entries.values())
        same_data_centre = [
            peer
            for peer in candidates
            if peer.data_centre == self.state.peer.data_centre
        ]
        home = max(
            same_data_centre or candidates, key=self._score_entry, default=None
        )
        name = home.instance if home else ''
        if name == self._home:
            return
        self._home = name
        self._last_answer_time = now
        self._must_send_state = True

    def _score_entry(self, peer: messages.Peer) -> bytes:
        # Rendezvous hashing: when an entry joins or leaves, only the agents
        # whose home it is change their home.
        hash_input = f'{peer.instance}/{self.state.peer.instance}'
        return hashlib.sha256(hash_input.encode()).digest()


def _clear_busy_slots(state: messages.AgentState) -> messages.AgentState:
    targets = tuple(
        msgspec.structs.replace(target, busy=0) for target in state.targets
    )
    return msgspec.structs.replace(state, targets=targets)

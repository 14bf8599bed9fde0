"""Events that the membership state machines report to the daemon.

A process has an instance id, which it keeps when it restarts, and an
incarnation, a random token of the current run of the process.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin import effects

if TYPE_CHECKING:
    from damaskpin.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class AgentChanged:
    """An agent of the region joined or reported a changed state."""

    state: messages.AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLost:
    """An agent is dead, or another incarnation has replaced it."""

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry is dead, has left, or another incarnation has replaced it."""

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A peer reported the configuration revision that it has applied."""

    instance: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddressLearned:
    """The address of a process became known."""

    peer: messages.Peer


Event = AddressLearned | AgentChanged | AgentLost | EntryLost | RevisionSeen
Output = effects.Effect | Event

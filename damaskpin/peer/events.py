"""What membership tells its daemon."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin import effects

if TYPE_CHECKING:
    from damaskpin.peer import messages


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

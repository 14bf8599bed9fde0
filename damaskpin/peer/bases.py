"""Base classes of messages between processes and of their fields."""

from __future__ import annotations

import msgspec


class Value(msgspec.Struct, frozen=True, array_like=True):
    """Base class of structured values inside messages."""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages; the class name is sent as their tag."""


class Frame(Value):
    """Header fields of one call or reply.

    :ivar sender: instance id of the sending process.
    :ivar incarnation: random token of this run of the sending process.
    :ivar address: URL on which the sending process listens.
    """

    sender: str
    incarnation: str
    address: str

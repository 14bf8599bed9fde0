"""Base classes of messages between processes, and of their parts."""

from __future__ import annotations

import msgspec


class Value(msgspec.Struct, frozen=True, array_like=True):
    """Base class of values inside messages."""


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages; the class name is the tag."""


class Frame(Value):
    """Head of what one call or reply carries.

    :ivar sender: instance id of the sender.
    :ivar incarnation: incarnation of the sender.
    :ivar address: address where the sender listens.
    """

    sender: str
    incarnation: str
    address: str

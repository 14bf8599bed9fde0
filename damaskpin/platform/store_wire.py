"""Request and answer bodies of the platform's key-value store."""

from __future__ import annotations

import base64

import msgspec

from damaskpin import errors


class Item(msgspec.Struct):
    """A key of the store with its value as base64 text.

    :ivar revision: revision of the key's last write or of its removal.
    :ivar created: revision at which the key was created.
    :ivar lease: id of the lease whose end removes the key; 0 for none.
    :ivar removed: whether the item reports the removal of the key.
    """

    key: str
    value: str = ''
    revision: int = 0
    created: int = 0
    lease: int = 0
    removed: bool = False


class ItemPage(msgspec.Struct, rename='camel'):
    """A page of the store's items below a prefix."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class WatchAnswer(msgspec.Struct, rename='camel'):
    """Answer to a watch: the changed keys.

    :ivar store_revision: revision up to which the changes are complete.
    """

    events: list[Item]
    store_revision: int


class Write(msgspec.Struct, omit_defaults=True):
    """A key and value to write in a transaction."""

    key: str
    value: str
    lease: int = 0


class RevisionCondition(msgspec.Struct):
    """Condition of a transaction: the revision that a key must have."""

    key: str
    revision: int


class TransactionBody(msgspec.Struct, rename='camel'):
    """A transaction: writes and removals under conditions."""

    expected_rev: list[RevisionCondition]
    puts: list[Write]
    remove: list[str]


class TransactionAnswer(msgspec.Struct):
    """Answer to a transaction that took effect."""

    revision: int


class ConflictAnswer(msgspec.Struct):
    """Answer to a transaction whose conditions did not hold."""

    items: list[Item] = []


class LeaseBody(msgspec.Struct, rename='camel', omit_defaults=True):
    """A lease that is requested or granted; its TTL is in milliseconds."""

    ttl_ms: int
    lease: int = 0


def decode_value(text: str) -> bytes:
    """Decode the base64 text of a stored value.

    :raises damaskpin.errors.MalformedError: not base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise errors.MalformedError(str(error)) from error


def encode_value(value: bytes) -> str:
    """Encode a value to store as base64 text."""
    return base64.b64encode(value).decode('ascii')

"""Data types of the store: items, changes, transactions and leases."""

from __future__ import annotations

import msgspec


class StoredItem(msgspec.Struct, frozen=True):
    """A key and its value.

    :ivar revision: revision of the last write of the key.
    :ivar created: revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created: int


class Removal(msgspec.Struct, frozen=True):
    """A key that was removed.

    :ivar revision: store revision of the removal.
    """

    key: str
    revision: int


Change = StoredItem | Removal


class Put(msgspec.Struct, frozen=True):
    """A write of a key in a transaction.

    :ivar lease: id of the lease whose end removes the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all.

    :ivar expected: revisions that keys must have; 0 for an absent key.
    :ivar removals: keys to remove.
    """

    expected: dict[str, int]
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """Result of a transaction that took effect.

    :ivar revision: store revision of the transaction's writes.
    """

    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """Result of a transaction that wrote nothing: a revision differed.

    :ivar items: current items of the keys in ``expected`` that exist.
    """

    items: dict[str, StoredItem]


class Page(msgspec.Struct, frozen=True):
    """One page of a listing of the items below a prefix.

    :ivar more: whether another page follows.
    :ivar revision: revision of the store when the page was read.
    """

    items: tuple[StoredItem, ...]
    more: bool
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes that a watch returned.

    :ivar revision: revision after which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: int


class Lease(msgspec.Struct, frozen=True):
    """A lease that the store granted.

    :ivar ttl: seconds without renewal after which the lease ends.
    """

    id: int
    ttl: float

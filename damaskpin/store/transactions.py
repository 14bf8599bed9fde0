"""Values of the store's key space and conditional writes."""

from __future__ import annotations

import msgspec


class StoredItem(msgspec.Struct, frozen=True):
    """A key and its value.

    :ivar revision: revision of the last change.
    :ivar created: revision of the creation.
    """

    key: str
    value: bytes
    revision: int
    created: int


class Removal(msgspec.Struct, frozen=True):
    """A key that was removed at a revision."""

    key: str
    revision: int


Change = StoredItem | Removal


class Put(msgspec.Struct, frozen=True):
    """A value to write.

    :ivar lease: lease that removes the key when it ends; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all.

    :ivar expected: revisions that the keys must have; 0 for absent.
    """

    expected: dict[str, int]
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """The transaction took effect at a revision."""

    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """A condition did not hold; nothing was written.

    :ivar items: current items of the expected keys, without absent ones.
    """

    items: dict[str, StoredItem]


class Page(msgspec.Struct, frozen=True):
    """Items below a prefix.

    :ivar revision: revision of the store when the page was read.
    """

    items: tuple[StoredItem, ...]
    more: bool
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """What a watch returned.

    :ivar revision: the next watch continues after this revision.
    """

    changes: tuple[Change, ...]
    revision: int


class Lease(msgspec.Struct, frozen=True):
    """A granted lease.

    :ivar ttl: seconds without renewal after which it ends.
    """

    id: int
    ttl: float

"""Keys, conditions, operations and outcomes of calls to the store."""

from __future__ import annotations

import msgspec

from damaskpin.store import wire


class KeyValue(msgspec.Struct, frozen=True):
    """A key of the store.

    :ivar mod_revision: revision of the last write of this key.
    :ivar create_revision: revision at which the key was created.
    :ivar version: number of writes since it was created.
    :ivar lease: lease that keeps the key; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    version: int
    lease: int = 0


class Listing(msgspec.Struct, frozen=True):
    """The keys of a prefix, in the order of their names, at one revision."""

    revision: int
    items: tuple[KeyValue, ...]


class TxnResult(msgspec.Struct, frozen=True):
    """Outcome of a transaction.

    :ivar succeeded: whether the comparisons held.
    :ivar revision: revision of the store after the transaction; that of the
        writes if there were any.
    :ivar reads: what the ``Get`` operations that were run found, in order.
    """

    succeeded: bool
    revision: int
    reads: tuple[KeyValue | None, ...] = ()


class Lease(msgspec.Struct, frozen=True):
    """A granted lease.

    :ivar ttl: seconds without a keepalive after which it expires.
    """

    id: int
    ttl: int


class HasRevision(msgspec.Struct, frozen=True):
    """Holds while the key was last written at a revision; 0: it is absent."""

    key: str
    mod_revision: int


class HasCreateRevision(msgspec.Struct, frozen=True):
    """Holds while the key was created at a revision; 0: it is absent."""

    key: str
    create_revision: int


class HasVersion(msgspec.Struct, frozen=True):
    """Holds while the key has a version; 0: it is absent."""

    key: str
    version: int


class HasValue(msgspec.Struct, frozen=True):
    """Holds while the key exists and has a value."""

    key: str
    value: bytes


Compare = HasRevision | HasCreateRevision | HasVersion | HasValue


class Put(msgspec.Struct, frozen=True):
    """Write a key.

    :ivar lease: lease that keeps the key; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Get(msgspec.Struct, frozen=True):
    """Read a key inside a transaction."""

    key: str


class Delete(msgspec.Struct, frozen=True):
    """Delete a key; an absent key is no error."""

    key: str


Operation = Put | Get | Delete


def compute_range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix.

    :param prefix: prefix; its last byte must be below 255, as in UTF-8.
    """
    encoded = prefix.encode()
    return encoded[:-1] + bytes([encoded[-1] + 1])


def make_key_value(pair: wire.StoredPair) -> KeyValue:
    """Return the typed form of a stored pair."""
    return KeyValue(
        key=pair.key.decode(errors='replace'),
        value=pair.value,
        mod_revision=pair.mod_revision,
        create_revision=pair.create_revision,
        version=pair.version,
        lease=pair.lease,
    )


def encode_compare(compare: Compare) -> wire.Compare:
    """Return the gateway's form of a condition."""
    key = compare.key.encode()
    match compare:
        case HasRevision():
            return wire.Compare(
                key, 'MOD', 'EQUAL', mod_revision=str(compare.mod_revision)
            )
        case HasCreateRevision():
            return wire.Compare(
                key,
                'CREATE',
                'EQUAL',
                create_revision=str(compare.create_revision),
            )
        case HasVersion():
            return wire.Compare(
                key, 'VERSION', 'EQUAL', version=str(compare.version)
            )
        case HasValue():
            return wire.Compare(key, 'VALUE', 'EQUAL', value=compare.value)


def encode_operation(operation: Operation) -> wire.Operation:
    """Return the gateway's form of an operation."""
    key = operation.key.encode()
    match operation:
        case Put():
            put = wire.Put(key, operation.value, str(operation.lease))
            return wire.Operation(request_put=put)
        case Get():
            return wire.Operation(request_range=wire.Range(key))
        case Delete():
            return wire.Operation(request_delete_range=wire.Range(key))

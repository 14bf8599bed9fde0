"""Keys, conditions, operations and results of calls to etcd."""

from __future__ import annotations

import msgspec

from damaskpin.store import wire


class KeyValue(msgspec.Struct, frozen=True):
    """A key of the store with its value.

    :ivar mod_revision: revision of the last write of this key.
    :ivar create_revision: revision at which the key was created.
    :ivar version: number of writes since the key was created.
    :ivar lease: id of the lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    version: int
    lease: int = 0


class Listing(msgspec.Struct, frozen=True):
    """The keys of a range, sorted by name, as of one store revision."""

    revision: int
    items: tuple[KeyValue, ...]


class TxnResult(msgspec.Struct, frozen=True):
    """Result of a transaction.

    :ivar succeeded: whether all conditions held.
    :ivar revision: revision of the store after the transaction; if it wrote
        keys, the revision of these writes.
    :ivar reads: results of the ``Get`` operations that were run, in order;
        ``None`` for an absent key.
    """

    succeeded: bool
    revision: int
    reads: tuple[KeyValue | None, ...] = ()


class Lease(msgspec.Struct, frozen=True):
    """A lease that the store granted.

    :ivar ttl: seconds without renewal after which the lease expires.
    """

    id: int
    ttl: int


class HasRevision(msgspec.Struct, frozen=True):
    """Condition on the revision of a key's last write; 0 means absent."""

    key: str
    mod_revision: int


class HasCreateRevision(msgspec.Struct, frozen=True):
    """Condition on the revision of a key's creation; 0 means absent."""

    key: str
    create_revision: int


class HasVersion(msgspec.Struct, frozen=True):
    """Condition on the number of writes of a key; 0 means absent."""

    key: str
    version: int


class HasValue(msgspec.Struct, frozen=True):
    """Condition that a key exists and has the given value."""

    key: str
    value: bytes


Compare = HasRevision | HasCreateRevision | HasVersion | HasValue


class Put(msgspec.Struct, frozen=True):
    """Operation that writes a key inside a transaction.

    :ivar lease: id of the lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


class Get(msgspec.Struct, frozen=True):
    """Operation that reads a key inside a transaction."""

    key: str


class Delete(msgspec.Struct, frozen=True):
    """Operation that deletes a key, if it exists, in a transaction."""

    key: str


Operation = Put | Get | Delete


def compute_range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix.

    :param prefix: prefix; its last byte must be below 255, as in UTF-8.
    """
    encoded = prefix.encode()
    return encoded[:-1] + bytes([encoded[-1] + 1])


def make_key_value(pair: wire.StoredPair) -> KeyValue:
    """Convert a key and value from the gateway's JSON form."""
    return KeyValue(
        key=pair.key.decode(errors='replace'),
        value=pair.value,
        mod_revision=pair.mod_revision,
        create_revision=pair.create_revision,
        version=pair.version,
        lease=pair.lease,
    )


def encode_compare(compare: Compare) -> wire.Compare:
    """Convert a condition to the gateway's JSON form."""
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
    """Convert an operation to the gateway's JSON form."""
    key = operation.key.encode()
    match operation:
        case Put():
            put = wire.Put(key, operation.value, str(operation.lease))
            return wire.Operation(request_put=put)
        case Get():
            return wire.Operation(request_range=wire.Range(key))
        case Delete():
            return wire.Operation(request_delete_range=wire.Range(key))

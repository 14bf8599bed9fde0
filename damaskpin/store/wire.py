"""JSON messages of the etcd v3 gateway.

Bytes are encoded as base64 and int64 numbers as strings. Answers omit fields
with default values.
"""

from __future__ import annotations

import msgspec


class _Request(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class of requests to the etcd gateway."""


class Range(_Request):
    key: bytes
    range_end: bytes = b''


class Put(_Request):
    key: bytes
    value: bytes
    lease: str = '0'


class Compare(_Request):
    """Condition of a transaction on one field of a key."""

    key: bytes
    target: str
    result: str
    version: str | None = None
    create_revision: str | None = None
    mod_revision: str | None = None
    value: bytes | None = None


class Operation(_Request):
    """One operation of a transaction; exactly one field is set."""

    request_range: Range | None = None
    request_put: Put | None = None
    request_delete_range: Range | None = None


class Txn(_Request):
    compare: list[Compare]
    success: list[Operation]
    failure: list[Operation]


class LeaseRequest(_Request):
    ID: str = '0'
    TTL: str = '0'


class WatchCreate(_Request):
    key: bytes
    range_end: bytes
    start_revision: str


class Watch(_Request):
    create_request: WatchCreate


class Header(msgspec.Struct, frozen=True):
    revision: int = 0


class StoredPair(msgspec.Struct, frozen=True):
    """A key with its value and revisions in an answer of etcd."""

    key: bytes
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    value: bytes = b''
    lease: int = 0


class RangeAnswer(msgspec.Struct, frozen=True):
    header: Header
    kvs: list[StoredPair] = []


class WriteAnswer(msgspec.Struct, frozen=True):
    header: Header
    deleted: int = 0


class OperationAnswer(msgspec.Struct, frozen=True):
    response_range: RangeAnswer | None = None


class TxnAnswer(msgspec.Struct, frozen=True):
    header: Header
    succeeded: bool = False
    responses: list[OperationAnswer] = []


class LeaseAnswer(msgspec.Struct, frozen=True):
    ID: int = 0
    TTL: int = 0


class StreamedLease(msgspec.Struct, frozen=True):
    result: LeaseAnswer


class Event(msgspec.Struct, frozen=True):
    kv: StoredPair
    type: str = 'PUT'


class WatchAnswer(msgspec.Struct, frozen=True):
    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[Event] = []


class StreamedWatch(msgspec.Struct, frozen=True):
    result: WatchAnswer


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of an etcd answer that reports an error.

    :ivar code: gRPC status code.
    """

    message: str = ''
    code: int = 0

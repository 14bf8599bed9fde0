"""JSON messages of the etcd v3 gateway for the simulated store.

The gateway writes int64 as strings and bytes as base64, and omits fields that
have their default value.
"""

from __future__ import annotations

import msgspec

# msgspec omits a field only if its value is the default object itself, so all
# messages use this object for the number 0.
ZERO = '0'


def format_int64(number: int) -> str:
    """Return a number as the string that the gateway writes for an int64."""
    return str(number) if number else ZERO


class _Message(msgspec.Struct, omit_defaults=True):
    """Base class of gateway messages."""


class RangeRequest(_Message):
    key: bytes = b''
    range_end: bytes = b''
    limit: int = 0
    revision: int = 0
    serializable: bool = False
    keys_only: bool = False
    count_only: bool = False


class PutRequest(_Message):
    key: bytes = b''
    value: bytes = b''
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(_Message):
    key: bytes = b''
    range_end: bytes = b''
    prev_kv: bool = False


class Compare(_Message):
    key: bytes = b''
    target: str = 'VERSION'
    result: str = 'EQUAL'
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b''


class RequestOp(_Message):
    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(_Message):
    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []


class CompactionRequest(_Message):
    revision: int = 0


class LeaseRequest(_Message):
    TTL: int = 0
    ID: int = 0


class WatchCreateRequest(_Message):
    key: bytes = b''
    range_end: bytes = b''
    start_revision: int = 0


class WatchRequest(_Message):
    create_request: WatchCreateRequest


class Header(_Message):
    revision: str
    cluster_id: str = ''
    member_id: str = ''
    raft_term: str = ''


class KeyValue(_Message):
    key: bytes
    create_revision: str = ZERO
    mod_revision: str = ZERO
    version: str = ZERO
    value: bytes = b''
    lease: str = ZERO


class RangeResponse(_Message):
    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: str = ZERO


class PutResponse(_Message):
    header: Header
    prev_kv: KeyValue | None = None


class DeleteRangeResponse(_Message):
    header: Header
    deleted: str = ZERO
    prev_kvs: list[KeyValue] = []


class ResponseOp(_Message):
    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteRangeResponse | None = None


class TxnResponse(_Message):
    header: Header
    succeeded: bool = False
    responses: list[ResponseOp] = []


class CompactionResponse(_Message):
    header: Header


class LeaseResponse(_Message):
    header: Header
    ID: str = ZERO
    TTL: str = ZERO


class Event(_Message):
    kv: KeyValue
    type: str = 'PUT'


class WatchResponse(_Message):
    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: str = ZERO
    events: list[Event] = []


class Streamed(_Message):
    """One line of an answer that is sent as a stream."""

    result: LeaseResponse | WatchResponse


class Failure(_Message):
    """Body of an error answer.

    :ivar code: gRPC status code.
    """

    error: str
    code: int
    message: str

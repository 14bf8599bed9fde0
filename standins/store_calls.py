"""Calls of the etcd v3 gateway on the state of the store's stand-in."""

from __future__ import annotations

import asyncio
import collections
import operator
import time
from typing import Literal

import msgspec

from standins import store_state
from standins import store_wire as wire

MAX_VALUE_BYTES = 1024 * 1024

_COMPARISONS = {
    'EQUAL': operator.eq,
    'NOT_EQUAL': operator.ne,
    'GREATER': operator.gt,
    'LESS': operator.lt,
}
# gRPC status code -> HTTP status, as the gateway maps them.
HTTP_STATUS = {3: 400, 5: 404, 11: 400, 12: 404, 14: 503}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the control endpoint sets.

    :ivar down: answer 503 without a leader, or close connections.
    :ivar slow: seconds between a request and its effect.
    :ivar lose_answers: next writes that take effect without an answer.
    :ivar expire_leases: expire all leases, once.
    :ivar stale: revisions by which answers of range are behind.
    :ivar silence_watches: present watches stay open but send nothing more,
        once.
    """

    down: Literal['', '503', 'closed'] = ''
    slow: float = 0.0
    lose_answers: int = 0
    expire_leases: bool = False
    stale: int = 0
    silence_watches: bool = False


class GatewayError(Exception):
    """An error answer of the gateway; ``code`` is the gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class Store:
    """Carries out the gateway's calls on a state.

    :ivar calls: number of calls of each kind.
    :ivar waiting: watches that wait at present.
    :ivar silences: number of times that watches were silenced.
    """

    def __init__(self) -> None:
        self.state = store_state.State()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting = 0
        self.silences = 0
        self._changed = asyncio.Event()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and wake the watches, which end when down."""
        if self.faults.down and not faults.down:
            self.state.extend_leases(time.monotonic())
        if faults.expire_leases:
            self.state.expire_leases(float('inf'))
            faults.expire_leases = False
        if faults.silence_watches:
            self.silences += 1
            faults.silence_watches = False
        self.faults = faults
        self.notify()

    def notify(self) -> None:
        """Wake all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next write or change of the faults."""
        await self._changed.wait()

    def expire_leases(self) -> None:
        """Expire leases, except during an outage, as etcd does."""
        if self.faults.down:
            return
        before = self.state.revision
        self.state.expire_leases(time.monotonic())
        if self.state.revision != before:
            self.notify()

    def call(self, kind: str, body: bytes) -> msgspec.Struct:
        """Carry out a call that has one answer.

        :raises GatewayError: the call is refused.
        """
        before = self.state.revision
        try:
            return self._dispatch(kind, body)
        except store_state.LeaseNotFoundError as error:
            raise GatewayError(
                5, 'etcdserver: requested lease not found'
            ) from error
        except store_state.CompactedError as error:
            raise GatewayError(
                11, 'etcdserver: mvcc: required revision has been compacted'
            ) from error
        finally:
            if self.state.revision != before:
                self.notify()

    def make_header(self, revision: int = 0) -> wire.Header:
        """Return the header of an answer."""
        return wire.Header(
            revision=wire.format_int64(revision or self.state.revision),
            cluster_id='1',
            member_id='1',
            raft_term='2',
        )

    def _dispatch(self, kind: str, body: bytes) -> msgspec.Struct:
        newest = self.state.revision
        match kind:
            case 'range':
                # Never below the revision of an empty store.
                shown = max(1, newest - self.faults.stale)
                return self._range(decode(body, wire.RangeRequest), shown)
            case 'put':
                put = decode(body, wire.PutRequest)
                answer = self._put(put, newest + 1)
                self.state.finish_write()
                return answer
            case 'deleterange':
                request = decode(body, wire.DeleteRangeRequest)
                answer = self._delete_range(request, newest + 1)
                self.state.finish_write()
                return answer
            case 'txn':
                return self._txn(decode(body, wire.TxnRequest), newest + 1)
            case 'compaction':
                request = decode(body, wire.CompactionRequest)
                if request.revision > newest:
                    raise GatewayError(
                        11,
                        'etcdserver: mvcc: required revision is a future '
                        'revision',
                    )
                self.state.compact(request.revision)
                return wire.CompactionResponse(self.make_header())
            case 'grant' | 'keepalive' | 'revoke':
                return self._lease(kind, decode(body, wire.LeaseRequest))
        raise GatewayError(12, 'Not Implemented')

    def _range(
        self, request: wire.RangeRequest, newest: int
    ) -> wire.RangeResponse:
        if request.revision > newest:
            raise GatewayError(
                11, 'etcdserver: mvcc: required revision is a future revision'
            )
        found = self.state.read(
            request.key, request.range_end, request.revision or newest
        )
        shown = found[: request.limit] if request.limit else found
        return wire.RangeResponse(
            header=self.make_header(newest),
            kvs=[]
            if request.count_only
            else [make_key_value(value, request.keys_only) for value in shown],
            more=len(shown) < len(found),
            count=wire.format_int64(len(found)),
        )

    def _put(
        self, request: wire.PutRequest, revision: int
    ) -> wire.PutResponse:
        self._check_put(request)
        former = self.state.put(
            request.key, request.value, request.lease, revision
        )
        return wire.PutResponse(
            header=self.make_header(revision),
            prev_kv=make_key_value(former)
            if former and request.prev_kv
            else None,
        )

    def _delete_range(
        self, request: wire.DeleteRangeRequest, revision: int
    ) -> wire.DeleteRangeResponse:
        deleted = self.state.delete(request.key, request.range_end, revision)
        return wire.DeleteRangeResponse(
            header=self.make_header(revision if deleted else 0),
            deleted=wire.format_int64(len(deleted)),
            prev_kvs=[make_key_value(value) for value in deleted]
            if request.prev_kv
            else [],
        )

    def _txn(
        self, request: wire.TxnRequest, revision: int
    ) -> wire.TxnResponse:
        for operations in (request.success, request.failure):
            self._check_puts(
                [item.request_put for item in operations if item.request_put]
            )
        succeeded = all(self._compare(item) for item in request.compare)
        operations = request.success if succeeded else request.failure
        responses = []
        for item in operations:
            answer = wire.ResponseOp()
            if item.request_put is not None:
                answer.response_put = self._put(item.request_put, revision)
            elif item.request_delete_range is not None:
                answer.response_delete_range = self._delete_range(
                    item.request_delete_range, revision
                )
            elif item.request_range is not None:
                answer.response_range = self._range(
                    item.request_range, revision
                )
            responses.append(answer)
        self.state.finish_write()
        return wire.TxnResponse(
            header=self.make_header(),
            succeeded=succeeded,
            responses=responses,
        )

    def _check_puts(self, puts: list[wire.PutRequest]) -> None:
        # Checked before the first write, so that a transaction is whole.
        if len({put.key for put in puts}) < len(puts):
            raise GatewayError(
                3, 'etcdserver: duplicate key given in txn request'
            )
        for put in puts:
            self._check_put(put)

    def _check_put(self, put: wire.PutRequest) -> None:
        if not put.key:
            raise GatewayError(3, 'etcdserver: key is not provided')
        if len(put.value) > MAX_VALUE_BYTES:
            raise GatewayError(3, 'etcdserver: request is too large')
        if put.lease and put.lease not in self.state.leases:
            raise store_state.LeaseNotFoundError

    def _compare(self, item: wire.Compare) -> bool:
        found = self.state.read(item.key)
        match item.target:
            case 'VERSION':
                actual = found[0].version if found else 0
                wanted = item.version
            case 'CREATE':
                actual = found[0].create_revision if found else 0
                wanted = item.create_revision
            case 'MOD':
                actual = found[0].mod_revision if found else 0
                wanted = item.mod_revision
            case 'VALUE':
                # A missing key has no value, so no comparison holds.
                if not found:
                    return False
                actual = found[0].value
                wanted = item.value
            case _:
                raise GatewayError(3, f'unknown compare target {item.target}')
        if item.result not in _COMPARISONS:
            raise GatewayError(3, f'unknown compare result {item.result}')
        return _COMPARISONS[item.result](actual, wanted)

    def _lease(self, kind: str, request: wire.LeaseRequest) -> msgspec.Struct:
        now = time.monotonic()
        if kind == 'grant':
            lease = self.state.grant_lease(now, request.TTL, request.ID)
        elif kind == 'revoke':
            self.state.revoke_lease(request.ID)
            return wire.LeaseResponse(self.make_header())
        else:
            lease = self.state.leases.get(request.ID)
            if lease is None:
                return wire.Streamed(
                    wire.LeaseResponse(
                        self.make_header(), wire.format_int64(request.ID)
                    )
                )
            lease.expires = now + lease.ttl
        answer = wire.LeaseResponse(
            self.make_header(),
            wire.format_int64(lease.id),
            wire.format_int64(lease.ttl),
        )
        return wire.Streamed(answer) if kind == 'keepalive' else answer


def decode(body: bytes, type_: type) -> msgspec.Struct:
    """Decode a request; int64 may come as a string or a number."""
    try:
        return msgspec.json.decode(body, type=type_, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise GatewayError(3, str(error)) from error


def make_key_value(
    value: store_state.StoredValue, keys_only: bool = False
) -> wire.KeyValue:
    """Return the gateway's form of a stored value."""
    return wire.KeyValue(
        key=value.key,
        create_revision=wire.format_int64(value.create_revision),
        mod_revision=wire.format_int64(value.mod_revision),
        version=wire.format_int64(value.version),
        value=b'' if keys_only else value.value,
        lease=wire.format_int64(value.lease),
    )

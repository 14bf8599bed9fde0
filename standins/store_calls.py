"""Calls of the etcd v3 gateway, executed on the simulated store's state."""

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
    """Faults of the simulated store, set through ``/standin/faults``.

    :ivar down: outage: ``503`` answers that there is no leader, ``closed``
        closes the connections; empty for none.
    :ivar slow: delay between the receipt and the effect of a call, in seconds.
    :ivar lose_answers: number of the next writes that take effect without an
        answer.
    :ivar expire_leases: expires all leases once when set.
    :ivar stale: number of revisions by which the answers to range lag.
    :ivar silence_watches: when set, watches that are open now stay open but
        send no more events.
    """

    down: Literal['', '503', 'closed'] = ''
    slow: float = 0.0
    lose_answers: int = 0
    expire_leases: bool = False
    stale: int = 0
    silence_watches: bool = False


class GatewayError(Exception):
    """Error answer of the gateway.

    :param code: gRPC status code.
    :param message: text of the error.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class Store:
    """Executes the calls of the gateway and applies the faults.

    :ivar state: keys, revisions and leases.
    :ivar faults: faults in force.
    :ivar calls: number of calls of each kind.
    :ivar waiting_watches: number of open watches.
    :ivar silence_count: number of times that the open watches were silenced.
    """

    def __init__(self) -> None:
        self.state = store_state.State()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0
        self.silence_count = 0
        self._changed = asyncio.Event()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and wake the watches, which end in an outage."""
        if self.faults.down and not faults.down:
            self.state.extend_leases(time.monotonic())
        if faults.expire_leases:
            self.state.expire_leases(float('inf'))
            faults.expire_leases = False
        if faults.silence_watches:
            self.silence_count += 1
            faults.silence_watches = False
        self.faults = faults
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wake all open watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next write or change of the faults."""
        await self._changed.wait()

    def expire_leases(self) -> None:
        """Remove expired leases; none expire during an outage, as in etcd."""
        if self.faults.down:
            return
        former_revision = self.state.revision
        self.state.expire_leases(time.monotonic())
        if self.state.revision != former_revision:
            self.notify_watches()

    def execute(self, kind: str, body: bytes) -> msgspec.Struct:
        """Execute a call that has one answer.

        :param kind: last part of the path, such as ``put``.
        :param body: JSON request.
        :returns: the answer.
        :raises GatewayError: the call is refused.
        """
        former_revision = self.state.revision
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
            if self.state.revision != former_revision:
                self.notify_watches()

    def make_header(self, revision: int = 0) -> wire.Header:
        """Return the header of an answer.

        :param revision: revision shown; 0 for the newest.
        """
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
                # An empty store has revision 1, so no answer shows less.
                shown_revision = max(1, newest - self.faults.stale)
                return self._range(
                    decode(body, wire.RangeRequest), shown_revision
                )
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
                return self._execute_lease_call(
                    kind, decode(body, wire.LeaseRequest)
                )
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
        # All puts are checked before the first write, so that a refused
        # transaction has no effect.
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
                expected = item.version
            case 'CREATE':
                actual = found[0].create_revision if found else 0
                expected = item.create_revision
            case 'MOD':
                actual = found[0].mod_revision if found else 0
                expected = item.mod_revision
            case 'VALUE':
                # A comparison with the value of a missing key is always false.
                if not found:
                    return False
                actual = found[0].value
                expected = item.value
            case _:
                raise GatewayError(3, f'unknown compare target {item.target}')
        if item.result not in _COMPARISONS:
            raise GatewayError(3, f'unknown compare result {item.result}')
        return _COMPARISONS[item.result](actual, expected)

    def _execute_lease_call(
        self, kind: str, request: wire.LeaseRequest
    ) -> msgspec.Struct:
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
    """Decode a JSON request, in which int64 may be strings or numbers.

    :raises GatewayError: the request is not valid.
    """
    try:
        return msgspec.json.decode(body, type=type_, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise GatewayError(3, str(error)) from error


def make_key_value(
    value: store_state.StoredValue, keys_only: bool = False
) -> wire.KeyValue:
    """Return the gateway message for a stored value."""
    return wire.KeyValue(
        key=value.key,
        create_revision=wire.format_int64(value.create_revision),
        mod_revision=wire.format_int64(value.mod_revision),
        version=wire.format_int64(value.version),
        value=b'' if keys_only else value.value,
        lease=wire.format_int64(value.lease),
    )

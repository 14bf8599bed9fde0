"""Mapping of failed store calls to errors.

The error tells whether the call may have taken effect in the store.
"""

from __future__ import annotations

import errno
import socket

import msgspec
from tornado import httpclient

from damaskpin import errors
from damaskpin.store import wire

_GRPC_NOT_FOUND = 5
_GRPC_UNAVAILABLE = 14
# Ends of the error messages, with status "unavailable", that etcd returns
# before it proposes a write to its cluster. With other messages, such as
# "request timed out" and "leader changed", the write was proposed and may
# still take effect.
_NOT_PROPOSED_MESSAGES = ('no leader', 'not capable', 'server stopped')
_NOT_CONNECTED_ERRNOS = {
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EADDRNOTAVAIL,
}
# Messages of Tornado timeouts that occur before the request is sent.
_NOT_SENT_MESSAGES = (
    'Timeout while connecting',
    'Timeout while resolving',
    'Timeout in request queue',
)


def make_call_error(path: str, error: Exception) -> errors.StoreError:
    """Return the store error for a call that got no answer.

    :param error: exception of the HTTP client.
    """
    error_message = f'{path}: {error}'
    match error:
        case socket.gaierror():
            return errors.StoreUnavailableError(error_message)
        case OSError() if error.errno in _NOT_CONNECTED_ERRNOS:
            return errors.StoreUnavailableError(error_message)
        case httpclient.HTTPError() if str(error).startswith(
            _NOT_SENT_MESSAGES
        ):
            return errors.StoreUnavailableError(error_message)
    return errors.StoreUncertainError(error_message)


def make_answer_error(path: str, status: int, body: bytes) -> Exception:
    """Return the store error for an HTTP answer that reports a failure.

    :param body: body of the answer of the etcd gateway.
    """
    try:
        failure = msgspec.json.decode(body, type=wire.ErrorAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        failure = wire.ErrorAnswer()
    error_message = f'{path}: status {status}: {failure.message}'
    if failure.code == _GRPC_NOT_FOUND and 'lease' in failure.message:
        return errors.StoreLeaseError(error_message)
    if 400 <= status < 500:
        return errors.StoreUnavailableError(error_message)
    if failure.code == _GRPC_UNAVAILABLE and any(
        failure.message.endswith(reason) for reason in _NOT_PROPOSED_MESSAGES
    ):
        return errors.StoreUnavailableError(error_message)
    return errors.StoreUncertainError(error_message)

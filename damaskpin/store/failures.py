"""What a failed call to the store says about its effect."""

from __future__ import annotations

import errno
import socket

import msgspec
from tornado import httpclient

from damaskpin import errors
from damaskpin.store import wire

_GRPC_NOT_FOUND = 5
_GRPC_UNAVAILABLE = 14
# Unavailable answers that etcd gives before it proposes a write. Others, as
# "request timed out" and "leader changed", come after the proposal.
_NOT_PROPOSED = ('no leader', 'not capable', 'server stopped')
_NOT_CONNECTED = {
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EADDRNOTAVAIL,
}
# Texts of tornado's timeouts that end before the request is sent.
_NOT_SENT = (
    'Timeout while connecting',
    'Timeout while resolving',
    'Timeout in request queue',
)


def make_call_error(path: str, error: Exception) -> errors.StoreError:
    """Return the error of a call that got no answer."""
    text = f'{path}: {error}'
    match error:
        case socket.gaierror():
            return errors.StoreUnavailableError(text)
        case OSError() if error.errno in _NOT_CONNECTED:
            return errors.StoreUnavailableError(text)
        case httpclient.HTTPError() if str(error).startswith(_NOT_SENT):
            return errors.StoreUnavailableError(text)
    return errors.StoreUnknownError(text)


def make_answer_error(path: str, status: int, body: bytes) -> Exception:
    """Return the error that an answer of the gateway stands for."""
    try:
        failure = msgspec.json.decode(body, type=wire.Failure)
    except (msgspec.DecodeError, UnicodeDecodeError):
        failure = wire.Failure()
    text = f'{path}: status {status}: {failure.message}'
    if failure.code == _GRPC_NOT_FOUND and 'lease' in failure.message:
        return errors.StoreLeaseError(text)
    if 400 <= status < 500:
        return errors.StoreUnavailableError(text)
    if failure.code == _GRPC_UNAVAILABLE and any(
        failure.message.endswith(reason) for reason in _NOT_PROPOSED
    ):
        return errors.StoreUnavailableError(text)
    return errors.StoreUnknownError(text)

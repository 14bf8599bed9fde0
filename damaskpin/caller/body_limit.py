"""Limit on the size of request bodies, enforced while they are received."""

from __future__ import annotations

import http
import re
from typing import TYPE_CHECKING

import msgspec
from tornado import httputil

from damaskpin.caller import problems

if TYPE_CHECKING:
    from collections.abc import Awaitable

MAX_BODY_BYTES = 1_000_000
# If the server closed the connection during the upload, the caller would see
# a connection reset instead of the 413 response. Bodies up to this size are
# therefore read to their end and discarded.
MAX_DISCARDED_BYTES = 16 * MAX_BODY_BYTES
MAX_CONTENT_LENGTH_DIGITS = 18

_CONTENT_LENGTH_PATTERN = re.compile(r'^[0-9]+$')


class BodyLimiter(httputil.HTTPServerConnectionDelegate):
    """Answers requests with oversized bodies with 413, passes on all others.

    :param application: web application that handles the other requests.
    """

    __slots__ = ('_application',)

    def __init__(
        self, application: httputil.HTTPServerConnectionDelegate
    ) -> None:
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that receives the parts of one request."""
        return _SizeLimitedRequest(
            request_conn,
            self._application.start_request(server_conn, request_conn),
        )


class _SizeLimitedRequest(httputil.HTTPMessageDelegate):
    __slots__ = (
        '_connection',
        '_delegate',
        '_method',
        '_received_bytes',
        '_rejected',
    )

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        self._connection = connection
        self._delegate = delegate
        self._method = ''
        self._received_bytes = 0
        self._rejected = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._method = getattr(start_line, 'method', '')
        declared_length = _parse_content_length(
            headers.get('Content-Length', '')
        )
        if declared_length <= MAX_BODY_BYTES:
            return self._delegate.headers_received(start_line, headers)
        self._rejected = True
        expects_continue = headers.get('Expect', '').lower() == '100-continue'
        if expects_continue or declared_length > MAX_DISCARDED_BYTES:
            self._reject()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        # A request with chunked transfer encoding declares no body length.
        self._received_bytes += len(chunk)
        if self._received_bytes > MAX_BODY_BYTES:
            self._rejected = True
        if self._rejected:
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        if self._rejected:
            self._reject()
            return
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()

    def _reject(self) -> None:
        status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        verdict = 'not-run' if self._method == 'POST' else ''
        body = msgspec.json.encode(
            problems.Problem(
                status.phrase,
                status.value,
                f'request body is larger than {MAX_BODY_BYTES} bytes',
                verdict,
            )
        )
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': problems.CONTENT_TYPE,
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
        )
        if verdict:
            headers['Damaskpin-Verdict'] = verdict
        self._connection.write_headers(
            httputil.ResponseStartLine(
                'HTTP/1.1', status.value, status.phrase
            ),
            headers,
            body,
        )
        self._connection.finish()


def _parse_content_length(text: str) -> int:
    # The HTTP server rejects a malformed Content-Length when it reads the
    # body.
    if not _CONTENT_LENGTH_PATTERN.match(text):
        return 0
    # int() raises ValueError for strings of more than 4300 digits.
    return int(text[:MAX_CONTENT_LENGTH_DIGITS])

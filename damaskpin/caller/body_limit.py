"""Limit on the size of callers' bodies, enforced before they are kept."""

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
# A caller that is still sending would see a reset connection instead of the
# answer, so the rest of a moderately large body is read and thrown away.
MAX_DISCARDED_BYTES = 16 * MAX_BODY_BYTES
MAX_LENGTH_DIGITS = 18

_LENGTH_PATTERN = re.compile(r'^[0-9]+$')


class BodyLimit(httputil.HTTPServerConnectionDelegate):
    """Answers oversized bodies with 413 and passes on all other requests.

    :param application: receiver of the requests.
    """

    __slots__ = ('_application',)

    def __init__(
        self, application: httputil.HTTPServerConnectionDelegate
    ) -> None:
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _LimitedRequest(
            request_conn,
            self._application.start_request(server_conn, request_conn),
        )


class _LimitedRequest(httputil.HTTPMessageDelegate):
    __slots__ = ('_connection', '_inner', '_method', '_received', '_refused')

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        inner: httputil.HTTPMessageDelegate,
    ) -> None:
        self._connection = connection
        self._inner = inner
        self._method = ''
        self._received = 0
        self._refused = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._method = getattr(start_line, 'method', '')
        length = _parse_length(headers.get('Content-Length', ''))
        if length <= MAX_BODY_BYTES:
            return self._inner.headers_received(start_line, headers)
        self._refused = True
        waits = headers.get('Expect', '').lower() == '100-continue'
        if waits or length > MAX_DISCARDED_BYTES:
            self._answer()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        # A body that is sent in chunks declares no length.
        self._received += len(chunk)
        if self._received > MAX_BODY_BYTES:
            self._refused = True
        if self._refused:
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        if self._refused:
            self._answer()
            return
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()

    def _answer(self) -> None:
        status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        verdict = 'not-run' if self._method == 'POST' else ''
        body = msgspec.json.encode(
            problems.Problem(
                status.phrase,
                status.value,
                f'the body is larger than {MAX_BODY_BYTES} bytes',
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


def _parse_length(text: str) -> int:
    # A malformed length is refused when the body is read.
    if not _LENGTH_PATTERN.match(text):
        return 0
    # int() refuses texts of thousands of digits.
    return int(text[:MAX_LENGTH_DIGITS])

"""HTTP client that reuses connections."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import msgspec
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from damaskpin import connections
from damaskpin import errors
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Protocol

    class Caller(Protocol):
        """Interface for HTTP calls to one server."""

        def call(self, request: HttpRequest) -> Awaitable[HttpAnswer]:
            """Make a call and return the answer, of any status.

            :raises damaskpin.errors.CallError: no answer arrived.
            """

    class ProgressCaller(Caller, Protocol):
        """Interface for calls whose answers may take long to arrive."""

        def has_progress(self, request: HttpRequest) -> bool:
            """Return whether more of the answer has arrived meanwhile."""


# Each waiting watch and each pending request to a worker takes a connection.
MAX_CONNECTIONS = 64

# Methods of calls without effect on the server, which may be sent repeatedly.
READ_METHODS = ('GET',)

# Errors of libcurl before it sends any part of the request over the last
# connection that it has tried.
UNSENT_ERRORS = (
    pycurl.E_ABORTED_BY_CALLBACK,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_COULDNT_RESOLVE_HOST,
)


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """An HTTP request.

    :ivar path: path and query of the URL.
    :ivar body: JSON body; ``None`` for none.
    :ivar timeout: seconds to wait for the answer.
    :ivar patience: seconds without an answer after which a read may also be
        sent another way; 0 for not before it has failed.
    :ivar transfer: seconds beyond the timeout that an answer may take to
        arrive once it has begun.
    """

    method: str
    path: str
    body: bytes | None
    timeout: float
    headers: dict[str, str] = {}
    patience: float = 0.0
    transfer: float = 0.0


class HttpAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An HTTP answer of any status."""

    status: int
    body: bytes


class HttpCaller:
    """HTTP client of one server.

    :param address: IP address and port of the server.
    :ivar calls: number of calls that were made.
    """

    __slots__ = (
        '_base',
        '_client',
        '_connections',
        '_last_timeout',
        '_sendings',
        'calls',
    )

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )
        self._connections = connections.Connections()
        self._last_timeout = 0.0
        self._sendings: dict[int, connections.Sending] = {}
        self.calls = 0

    async def call(self, request: HttpRequest) -> HttpAnswer:
        """Make an HTTP call.

        :returns: the answer, of any status.
        :raises damaskpin.errors.CallError: no complete answer arrived in
            time.
        """
        self.calls += 1
        sending = connections.Sending(self._connections)
        try:
            return await self._send(request, sending)
        except errors.CallError:
            if not sending.has_found_end:
                raise
        # The connection had ended before any part of the request was sent.
        sending = connections.Sending(self._connections, is_fresh=True)
        return await self._send(request, sending)

    def has_progress(self, request: HttpRequest) -> bool:
        """Return whether more of an answer has arrived since last asked.

        :param request: the very request that is under way.
        """
        sending = self._sendings.get(id(request))
        return sending is not None and sending.has_progress()

    def close(self) -> None:
        """Close all connections to the server."""
        self._client.close()

    async def _send(
        self, request: HttpRequest, sending: connections.Sending
    ) -> HttpAnswer:
        prepared = prepare_request(
            self._base,
            request,
            functools.partial(self._prepare_curl, request, sending),
        )
        fetch = self._client.fetch(prepared, raise_error=False)
        self._sendings[id(request)] = sending
        try:
            await self._wait_for_begin(fetch, request, sending)
            # Cancelling the fetch itself would not end it, and its later
            # error would be logged as a fault.
            answer = await asyncio.shield(fetch)
        except asyncio.CancelledError:
            fetch.add_done_callback(self._handle_unused_answer)
            raise
        except curl_httpclient.CurlError as error:
            # ``raise_error`` affects only answers of the server; a timeout or
            # a broken connection is always raised.
            sent = sending.has_begun or error.errno not in UNSENT_ERRORS
            self._record_error(error)
            refused = (
                error.errno == pycurl.E_COULDNT_CONNECT
                and sending.was_refused()
            )
            raise errors.CallError(
                describe_error(error), sent, refused, sending.received > 0
            ) from error
        finally:
            self._sendings.pop(id(request), None)
        return HttpAnswer(answer.code, answer.body or b'')

    async def _wait_for_begin(
        self,
        fetch: asyncio.Future[httpclient.HTTPResponse],
        request: HttpRequest,
        sending: connections.Sending,
    ) -> None:
        """Wait until an answer has begun that may take longer than others.

        :raises damaskpin.errors.CallError: it has not begun in time.
        """
        if not request.transfer:
            return
        await asyncio.wait({fetch}, timeout=request.timeout)
        if fetch.done() or sending.received:
            return
        self._last_timeout = clocks.get_monotonic_time()
        fetch.add_done_callback(self._handle_unused_answer)
        raise errors.CallError(
            f'no answer within {request.timeout:.1f} s', sending.has_begun
        )

    def _record_error(self, error: curl_httpclient.CurlError) -> None:
        if error.errno == pycurl.E_OPERATION_TIMEDOUT:
            self._last_timeout = clocks.get_monotonic_time()

    def _handle_unused_answer(
        self, fetch: asyncio.Future[httpclient.HTTPResponse]
    ) -> None:
        """Retrieve the error of a call that nobody waits for any more."""
        if fetch.cancelled():
            return
        error = fetch.exception()
        if isinstance(error, curl_httpclient.CurlError):
            self._record_error(error)

    def _prepare_curl(
        self,
        request: HttpRequest,
        sending: connections.Sending,
        curl: pycurl.Curl,
    ) -> None:
        sending.curl = curl
        # Handles keep their options from one request to the next.
        curl.setopt(pycurl.NOPROGRESS, not request.transfer)
        curl.setopt(pycurl.XFERINFOFUNCTION, sending.watch_body)
        self._avoid_old_connections(curl)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._connections.add)
        if sending.is_fresh:
            curl.setopt(pycurl.FRESH_CONNECT, True)
        if request.method not in READ_METHODS:
            curl.setopt(pycurl.PREREQFUNCTION, sending.begin)

    def _avoid_old_connections(self, curl: pycurl.Curl) -> None:
        """Use only connections that are younger than the last timeout.

        When one connection went silent, others that were open may be dead,
        too, and each of them would cost a timeout.
        """
        age = clocks.get_monotonic_time() - self._last_timeout
        # libcurl compares whole seconds and takes 0 for no limit.
        curl.setopt(pycurl.FRESH_CONNECT, age < 1)
        curl.setopt(pycurl.MAXLIFETIME_CONN, int(age))


def prepare_request(
    base: str,
    request: HttpRequest,
    prepare_curl: Callable[[pycurl.Curl], None],
) -> httpclient.HTTPRequest:
    """Return a request for tornado's HTTP client.

    :param base: URL of the server without a path.
    :param prepare_curl: sets options of libcurl's handle.
    """
    headers = dict(request.headers)
    if request.body is not None:
        headers['Content-Type'] = 'application/json'
    return httpclient.HTTPRequest(
        base + request.path,
        method=request.method,
        headers=headers,
        body=request.body,
        connect_timeout=request.timeout,
        request_timeout=request.timeout + request.transfer,
        allow_nonstandard_methods=True,
        decompress_response=False,
        follow_redirects=False,
        prepare_curl_callback=prepare_curl,
    )


def describe_error(error: curl_httpclient.CurlError) -> str:
    """Return the reason why a call got no answer."""
    if error.errno == pycurl.E_ABORTED_BY_CALLBACK:
        return 'the connection ended without an answer'
    return str(error.message)

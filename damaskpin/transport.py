"""HTTP client that reuses connections, and one for a single connection."""

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
    """

    method: str
    path: str
    body: bytes | None
    timeout: float
    headers: dict[str, str] = {}
    patience: float = 0.0


class HttpAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An HTTP answer of any status."""

    status: int
    body: bytes


class HttpCaller:
    """HTTP client of one server.

    :param address: IP address and port of the server.
    :ivar calls: number of calls that were made.
    """

    __slots__ = ('_base', '_client', '_connections', '_last_timeout', 'calls')

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )
        self._connections = connections.Connections()
        self._last_timeout = 0.0
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

    def close(self) -> None:
        """Close all connections to the server."""
        self._client.close()

    async def _send(
        self, request: HttpRequest, sending: connections.Sending
    ) -> HttpAnswer:
        prepared = prepare_request(
            self._base,
            request,
            functools.partial(self._prepare_curl, request.method, sending),
        )
        fetch = self._client.fetch(prepared, raise_error=False)
        try:
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
                describe_error(error), sent, refused
            ) from error
        return HttpAnswer(answer.code, answer.body or b'')

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
        self, method: str, sending: connections.Sending, curl: pycurl.Curl
    ) -> None:
        sending.curl = curl
        self._avoid_old_connections(curl)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._connections.add)
        if sending.is_fresh:
            curl.setopt(pycurl.FRESH_CONNECT, True)
        if method not in READ_METHODS:
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


class HttpConnection:
    """One connection to a server, opened by the first call.

    It is never replaced by another one: once it has ended, a call fails and
    nothing of it is sent. One call is made at a time.

    :param address: IP address and port of the server.
    """

    __slots__ = ('_base', '_client', '_fetch', '_sockets')

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._client: curl_httpclient.CurlAsyncHTTPClient | None = None
        self._fetch: asyncio.Future[httpclient.HTTPResponse] | None = None
        self._sockets = connections.SingleSocket()

    async def call(self, request: HttpRequest) -> HttpAnswer:
        """Make an HTTP call.

        :returns: the answer, of any status.
        :raises damaskpin.errors.CallError: no complete answer arrived in
            time, or the connection had ended before.
        """
        if self._client is None:
            self._client = make_single_client()
        sending = connections.Sending(self._sockets)
        is_first = not self._sockets.is_open
        self._fetch = self._client.fetch(
            prepare_request(
                self._base,
                request,
                functools.partial(self._prepare_curl, sending),
            ),
            raise_error=False,
        )
        try:
            # Cancelling the fetch itself would not end it.
            answer = await asyncio.shield(self._fetch)
        except curl_httpclient.CurlError as error:
            raise errors.CallError(
                describe_error(error),
                sending.has_begun,
                is_first and sending.was_refused(),
            ) from error
        return HttpAnswer(answer.code, answer.body or b'')

    def close(self) -> None:
        """Close the connection, after the call that uses it, if any."""
        if self._client is None:
            return
        if self._fetch is None or self._fetch.done():
            self._client.close()
            return
        self._fetch.add_done_callback(
            functools.partial(self._close_after_call, self._client)
        )

    def _close_after_call(
        self,
        client: curl_httpclient.CurlAsyncHTTPClient,
        fetch: asyncio.Future[httpclient.HTTPResponse],
    ) -> None:
        if not fetch.cancelled():
            fetch.exception()  # nobody waits for the result any more
        client.close()

    def _prepare_curl(
        self, sending: connections.Sending, curl: pycurl.Curl
    ) -> None:
        sending.curl = curl
        # A proxy of the environment would answer in the server's place.
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._sockets.add)
        curl.setopt(pycurl.PREREQFUNCTION, sending.begin)


def make_single_client() -> curl_httpclient.CurlAsyncHTTPClient:
    """Return a client that makes one call at a time.

    :raises damaskpin.errors.CallError: libcurl can't be set up, for example
        without a free file descriptor.
    """
    try:
        return curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=1
        )
    except pycurl.error as error:
        raise errors.CallError(str(error), False) from error


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
        request_timeout=request.timeout,
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

"""HTTP client for a single connection."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import pycurl
from tornado import curl_httpclient

from damaskpin import connections
from damaskpin import errors
from damaskpin import transport

if TYPE_CHECKING:
    from tornado import httpclient


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

    async def call(
        self, request: transport.HttpRequest
    ) -> transport.HttpAnswer:
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
            transport.prepare_request(
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
                transport.describe_error(error),
                sending.has_begun,
                is_first and sending.was_refused(),
            ) from error
        return transport.HttpAnswer(answer.code, answer.body or b'')

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

"""HTTP client for the calls of an agent to its targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httpclient

from damaskpin import errors
from damaskpin import verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent import futures

MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
ATTEMPT_HEADER = 'Damaskpin-Attempt'


class CallError(errors.TargetError):
    """A call to a target that did not yield a complete answer.

    :param reason: description of the error.
    :param reached: whether the target may have received the request.
    """

    def __init__(self, reason: str, reached: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.reached = reached


class TargetClient:
    """HTTP client that sends requests to targets.

    :param max_connections: maximum number of simultaneous connections.
    """

    __slots__ = ('_http',)

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=max_connections,
            max_body_size=MAX_ANSWER_BYTES,
            max_buffer_size=2 * MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Refuse further calls; calls in progress continue."""
        self._http.close()

    async def call(
        self,
        url: str,
        attempt: str,
        body: bytes,
        content_type: str,
        timeout: float,
        trace: str = '',
    ) -> verdict.Answer:
        """Send one request to a target and return its answer.

        :param url: announced URL of the target.
        :param attempt: attempt id.
        :param timeout: seconds within which the complete answer must arrive.
        :param trace: value of the ``traceparent`` header; empty for none.
        :raises CallError: if no complete answer arrives.
        """
        reached = False

        def write_body(
            write: Callable[[bytes], futures.Future[None]],
        ) -> object:
            # Tornado calls this directly after it wrote the headers. Before
            # that, no byte of the request has left this process.
            nonlocal reached
            reached = True
            return write(body)

        headers = {
            'Content-Type': content_type,
            'Content-Length': str(len(body)),
            ATTEMPT_HEADER: attempt,
        }
        if trace:
            headers['traceparent'] = trace
        request = httpclient.HTTPRequest(
            url,
            method='POST',
            headers=headers,
            body_producer=write_body,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout),
            request_timeout=timeout,
            # A redirect could send the request to a second target.
            follow_redirects=False,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except Exception as error:
            raise CallError(_describe_error(error), reached) from error
        # Tornado reports connection errors as status 599.
        if response.code == 599 or response.body is None:
            raise CallError(_describe_error(response.error), reached)
        return verdict.Answer(
            status=response.code,
            body=response.body,
            content_type=response.headers.get(
                'Content-Type', 'application/octet-stream'
            ),
        )


def _describe_error(error: BaseException | None) -> str:
    return f'{type(error).__name__}: {error}'

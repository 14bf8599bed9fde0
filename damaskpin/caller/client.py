"""Client of the HTTP interface of the entry processes."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING
import uuid

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from damaskpin import errors

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from damaskpin.model import job as jobs

CONNECT_TIMEOUT_S = 3.0
# An attached job may run for hours, so this time-out is only a safeguard. A
# caller that wants to wait for a shorter time cancels the call itself.
ATTACHED_JOB_TIMEOUT_S = 30 * 24 * 3600.0


class Response(msgspec.Struct, frozen=True):
    """HTTP response of an entry.

    :ivar verdict: ``not-run``, ``may-have-run``, ``ran``, or empty for
        requests that start no work.
    :ivar attempt: id of the service request or job.
    :ivar location: path of the job that was submitted; empty for none.
    :ivar retry_after: seconds after which the request may be sent again.
    """

    status: int
    body: bytes
    verdict: str
    attempt: str
    location: str = ''
    retry_after: float | None = None

    def read_json(self) -> Any:
        """Return the decoded JSON body of the response."""
        return json.loads(self.body)


class Client:
    """Sends requests to the first of several entries that is reachable.

    :param urls: base URLs of the entries or of their load balancer.
    :param token: bearer token of a client account or of the operators.
    """

    __slots__ = ('_http', '_token', '_urls')

    def __init__(self, urls: Sequence[str], token: str) -> None:
        if not urls:
            raise errors.SettingsError(
                'entry URLs are empty; at least one is required'
            )
        self._urls = [url.rstrip('/') for url in urls]
        self._token = token
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=2000
        )

    async def run(
        self,
        service: str,
        body: bytes,
        *,
        idempotent: bool = True,
        key: str = '',
        deadline: float = 30.0,
        priority: str = 'normal',
    ) -> Response:
        """Send a service request and wait for its complete response.

        :param deadline: seconds within which the request must finish.
        :param key: idempotency key. A non-idempotent request without a key
            gets a generated one, so that a retry at another entry cannot run
            it twice.
        """
        if not idempotent and not key:
            key = str(uuid.uuid4())
        headers = {
            'Damaskpin-Idempotent': 'true' if idempotent else 'false',
            'Damaskpin-Deadline': f'{deadline:g}',
            'Damaskpin-Priority': priority,
        }
        if key:
            headers['Idempotency-Key'] = key
        return await self.fetch(
            'POST',
            f'/v1/services/{service}',
            body,
            headers,
            timeout=deadline + 5.0,
        )

    async def submit(
        self, spec: jobs.JobSpec, *, detached: bool = True, key: str = ''
    ) -> Response:
        """Submit a job and, unless it is detached, wait until it ends.

        :param spec: specification of the job.
        :param detached: return as soon as the job is recorded.
        :param key: idempotency key; generated when empty.
        """
        headers = {'Idempotency-Key': key or str(uuid.uuid4())}
        if detached:
            headers['Prefer'] = 'respond-async'
        return await self.fetch(
            'POST',
            '/v1/jobs',
            msgspec.json.encode(spec),
            headers,
            timeout=30.0 if detached else ATTACHED_JOB_TIMEOUT_S,
        )

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Response:
        """Send one request; try the next entry if a connection is refused.

        A request that may have reached an entry without a response is retried
        at the next one only if it is idempotent: a GET or DELETE, a request
        with an idempotency key, or one that is marked as idempotent.

        :param timeout: seconds to wait for the response of one entry.
        :raises damaskpin.errors.PeerUnreachableError: all connections were
            refused.
        :raises damaskpin.errors.PeerTimeoutError: no response was received,
            but an entry may have got the request.
        """
        request_headers = dict(headers or {})
        request_headers['Authorization'] = f'Bearer {self._token}'
        retryable = (
            method in ('GET', 'DELETE')
            or 'Idempotency-Key' in request_headers
            or request_headers.get('Damaskpin-Idempotent') == 'true'
        )
        last_failure = ''
        for url in self._urls:
            request = httpclient.HTTPRequest(
                url + path,
                method=method,
                body=body,
                headers=request_headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout,
                allow_nonstandard_methods=True,
            )
            try:
                http_response = await self._http.fetch(
                    request, raise_error=False
                )
            except ConnectionRefusedError:
                continue
            except (OSError, httpclient.HTTPError) as error:
                last_failure = f'{url}: {error}'
                if retryable:
                    continue
                break
            if http_response.code == 599:
                last_failure = f'{url}: {http_response.error}'
                if retryable:
                    continue
                break
            return _make_response(http_response)
        if last_failure:
            raise errors.PeerTimeoutError(f'no answer from {last_failure}')
        raise errors.PeerUnreachableError(
            f'connection refused by all entries: {", ".join(self._urls)}'
        )

    def close(self) -> None:
        """Close all connections to the entries."""
        self._http.close()


def _make_response(http_response: httpclient.HTTPResponse) -> Response:
    retry_after = http_response.headers.get('Retry-After')
    return Response(
        http_response.code,
        http_response.body or b'',
        http_response.headers.get('Damaskpin-Verdict', ''),
        http_response.headers.get('Damaskpin-Attempt', ''),
        http_response.headers.get('Location', ''),
        float(retry_after) if retry_after else None,
    )

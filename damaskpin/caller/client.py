"""Client of the entries' HTTP interface."""

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
# An attached job may run for hours; its caller bounds the wait itself.
MAX_WAIT_S = 30 * 24 * 3600.0


class Response(msgspec.Struct, frozen=True):
    """Answer of an entry.

    :ivar verdict: ``not-run``, ``may-have-run``, ``ran``, or empty for
        requests that start no work.
    :ivar attempt: id of the request or job.
    """

    status: int
    body: bytes
    verdict: str
    attempt: str
    location: str = ''
    retry_after: float | None = None

    def read_json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Client:
    """Calls one of several entries, and another one when it is gone.

    :param urls: base URLs of the entries or of their balancer.
    :param token: token of a client account, or of the operators.
    """

    __slots__ = ('_http', '_token', '_urls')

    def __init__(self, urls: Sequence[str], token: str) -> None:
        if not urls:
            raise errors.SettingsError('no entry URL is given')
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
        """Run a service request and wait for the whole answer.

        :param deadline: seconds to wait.
        :param key: idempotency key; one is made for non-idempotent requests,
            so that a repeat at another entry cannot run it again.
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
        """Submit a job; attached ones are waited for.

        :param spec: what to run.
        :param detached: return as soon as the job is recorded.
        :param key: idempotency key; one is made when it is empty.
        """
        headers = {'Idempotency-Key': key or str(uuid.uuid4())}
        if detached:
            headers['Prefer'] = 'respond-async'
        return await self.fetch(
            'POST',
            '/v1/jobs',
            msgspec.json.encode(spec),
            headers,
            timeout=30.0 if detached else MAX_WAIT_S,
        )

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Response:
        """Send one request; a refused connection goes to the next entry.

        A request whose connection broke after it was sent is repeated only
        when it has an idempotency key or changes nothing.

        :param timeout: seconds to wait for the answer.
        :raises damaskpin.errors.PeerUnreachableError: no entry was reached.
        :raises damaskpin.errors.PeerTimeoutError: sent, but no answer.
        """
        sent = dict(headers or {})
        sent['Authorization'] = f'Bearer {self._token}'
        repeatable = (
            method in ('GET', 'DELETE')
            or 'Idempotency-Key' in sent
            or sent.get('Damaskpin-Idempotent') == 'true'
        )
        unanswered = ''
        for url in self._urls:
            request = httpclient.HTTPRequest(
                url + path,
                method=method,
                body=body,
                headers=sent,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout,
                allow_nonstandard_methods=True,
            )
            try:
                answer = await self._http.fetch(request, raise_error=False)
            except ConnectionRefusedError:
                continue
            except (OSError, httpclient.HTTPError) as error:
                unanswered = f'{url}: {error}'
                if repeatable:
                    continue
                break
            if answer.code == 599:
                unanswered = f'{url}: {answer.error}'
                if repeatable:
                    continue
                break
            return _make_response(answer)
        if unanswered:
            raise errors.PeerTimeoutError(f'no answer; {unanswered}')
        raise errors.PeerUnreachableError(
            f'no entry was reached at {", ".join(self._urls)}'
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


def _make_response(answer: httpclient.HTTPResponse) -> Response:
    retry_after = answer.headers.get('Retry-After')
    return Response(
        answer.code,
        answer.body or b'',
        answer.headers.get('Damaskpin-Verdict', ''),
        answer.headers.get('Damaskpin-Attempt', ''),
        answer.headers.get('Location', ''),
        float(retry_after) if retry_after else None,
    )

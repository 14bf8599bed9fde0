"""Client of a platform worker's HTTP API."""

from __future__ import annotations

from typing import TypeVar
import urllib.parse

import msgspec
from tornado import httpclient

from damaskpin import errors

# Time limit of a request in seconds. A lease renewal that exceeds it can still
# be repeated well before the lease expires.
REQUEST_TIMEOUT_S = 2.0

_T = TypeVar('_T')


class Task(msgspec.Struct, frozen=True):
    """A task on a worker, which runs one member of a gang.

    :ivar state: ``running`` or ``ended``.
    :ivar end: ``exited``, ``stopped``, ``revoked`` or ``lease-expired``;
        empty while the task runs.
    :ivar exit_code: exit code; ``None`` unless the task exited by itself.
    :ivar lease_remaining: seconds until the lease expires.
    """

    id: str
    command: list[str]
    accelerators: list[int]
    labels: dict[str, str]
    state: str
    end: str = ''
    exit_code: int | None = None
    lease_remaining: float = 0.0


class AcceleratorUsage(msgspec.Struct, frozen=True):
    """Usage of one accelerator.

    :ivar busy: whether the accelerator was in use when measured.
    :ivar task: id of the task that occupies the accelerator; empty if it is
        free.
    """

    index: int
    busy: bool
    task: str = ''


class Usage(msgspec.Struct, frozen=True):
    """Accelerator usage as measured by a worker.

    :ivar age_seconds: age of the measurement in seconds.
    """

    age_seconds: float
    accelerators: list[AcceleratorUsage]


class _TaskList(msgspec.Struct, frozen=True):
    tasks: list[Task]


class WorkerClient:
    """Client of one worker's HTTP API.

    :param url: base URL of the API.
    :param timeout: time limit of one call in seconds.
    """

    __slots__ = ('_http', '_timeout', '_url')

    def __init__(self, url: str, timeout: float = REQUEST_TIMEOUT_S) -> None:
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._http = httpclient.AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close the client's connections."""
        self._http.close()

    async def start_task(
        self,
        task: str,
        command: tuple[str, ...],
        accelerators: tuple[int, ...],
        lease_seconds: float,
        labels: dict[str, str],
    ) -> Task:
        """Start a task; repeating the call with equal arguments is safe.

        :param lease_seconds: seconds after which the worker ends the task
            unless the lease is renewed.
        :raises damaskpin.errors.WorkerUnavailableError: the worker did not
            answer; the task may have started.
        :raises damaskpin.errors.WorkerError: the worker refused the task.
        """
        return await self._call(
            'PUT',
            self._make_path(task),
            Task,
            {
                'command': command,
                'accelerators': accelerators,
                'lease_seconds': lease_seconds,
                'labels': labels,
            },
        )

    async def renew_task(self, task: str, lease_seconds: float) -> Task:
        """Renew the lease after which the worker ends the task.

        :param lease_seconds: seconds until the renewed lease expires.
        :raises damaskpin.errors.WorkerError: the task has ended.
        """
        return await self._call(
            'POST',
            self._make_path(task, '/renew'),
            Task,
            {'lease_seconds': lease_seconds},
        )

    async def checkpoint_task(self, task: str, grace_seconds: float) -> Task:
        """Ask a task to save a checkpoint.

        :param grace_seconds: time limit for the checkpoint in seconds.
        """
        return await self._call(
            'POST',
            self._make_path(task, '/checkpoint'),
            Task,
            {'grace_seconds': grace_seconds},
        )

    async def throttle_task(self, task: str, rate: float) -> Task:
        """Limit the speed of a task.

        :param rate: fraction of full speed, above 0 and at most 1.
        """
        return await self._call(
            'POST', self._make_path(task, '/throttle'), Task, {'rate': rate}
        )

    async def stop_task(self, task: str) -> Task:
        """Ask a task to end; the task may ignore the request."""
        return await self._call(
            'POST', self._make_path(task, '/stop'), Task, {}
        )

    async def revoke_task(self, task: str) -> Task:
        """Revoke the lease of a task, which ends the task by force."""
        return await self._call('DELETE', self._make_path(task), Task)

    async def list_tasks(self) -> list[Task]:
        """Return the running and the recently ended tasks."""
        return (await self._call('GET', '/v1/tasks', _TaskList)).tasks

    async def get_usage(self) -> Usage:
        """Return the latest usage measurement, which may be outdated."""
        return await self._call('GET', '/v1/usage', Usage)

    def _make_path(self, task: str, action: str = '') -> str:
        return '/v1/tasks/' + urllib.parse.quote(task, safe='') + action

    async def _call(
        self,
        method: str,
        path: str,
        response_type: type[_T],
        body: dict[str, object] | None = None,
    ) -> _T:
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            headers={'Content-Type': 'application/json'},
            connect_timeout=self._timeout,
            request_timeout=self._timeout,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            raise errors.WorkerUnavailableError(
                f'worker {self._url} did not answer: {error}'
            ) from error
        # Tornado reports its own timeouts and closed connections as 599.
        if response.code >= 500:
            raise errors.WorkerUnavailableError(
                f'worker {self._url} failed: {response.code} {response.reason}'
            )
        if response.code >= 400:
            detail = response.body.decode(errors='replace')
            raise errors.WorkerError(
                f'worker {self._url} refused {method} {path}: {detail}'
            )
        try:
            return msgspec.json.decode(response.body, type=response_type)
        except msgspec.DecodeError as error:
            raise errors.WorkerUnavailableError(
                f'worker {self._url} sent a malformed answer: {error}'
            ) from error

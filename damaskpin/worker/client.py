"""Client of a platform worker's HTTP API."""

from __future__ import annotations

from typing import TypeVar
import urllib.parse

import msgspec
from tornado import httpclient

from damaskpin import errors

# A renewal that takes longer than this is repeated well inside the lease.
REQUEST_TIMEOUT_S = 2.0

_T = TypeVar('_T')


class Task(msgspec.Struct, frozen=True):
    """The tasks of one gang member on a worker.

    :ivar state: ``running`` or ``ended``.
    :ivar end: ``exited``, ``stopped``, ``revoked`` or ``lease-expired``;
        empty while it runs.
    :ivar exit_code: exit code, or ``None`` unless the task exited by itself.
    :ivar lease_remaining: seconds until the lease runs out.
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
    """Use of one accelerator.

    :ivar task: id of the task that holds it; empty when it is free.
    """

    index: int
    busy: bool
    task: str = ''


class Usage(msgspec.Struct, frozen=True):
    """What a worker measured.

    :ivar age_seconds: age of the measurement.
    """

    age_seconds: float
    accelerators: list[AcceleratorUsage]


class _TaskList(msgspec.Struct, frozen=True):
    tasks: list[Task]


class WorkerClient:
    """Calls one worker.

    :param url: base URL of the worker's API.
    :param timeout: seconds that one call may take.
    """

    __slots__ = ('_http', '_timeout', '_url')

    def __init__(self, url: str, timeout: float = REQUEST_TIMEOUT_S) -> None:
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._http = httpclient.AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Release the client's connections."""
        self._http.close()

    async def start_task(
        self,
        task: str,
        command: tuple[str, ...],
        accelerators: tuple[int, ...],
        lease_seconds: float,
        labels: dict[str, str],
    ) -> Task:
        """Start a task; repeating a call with equal arguments is safe.

        :raises damaskpin.errors.WorkerUnavailableError: no answer; the task
            may have started.
        :raises damaskpin.errors.WorkerError: the worker refused it.
        """
        return await self._call(
            'PUT',
            self._locate(task),
            Task,
            {
                'command': command,
                'accelerators': accelerators,
                'lease_seconds': lease_seconds,
                'labels': labels,
            },
        )

    async def renew_task(self, task: str, lease_seconds: float) -> Task:
        """Set the time after which the worker ends the task.

        :raises damaskpin.errors.WorkerError: the task has ended.
        """
        return await self._call(
            'POST',
            self._locate(task, '/renew'),
            Task,
            {'lease_seconds': lease_seconds},
        )

    async def checkpoint_task(self, task: str, grace_seconds: float) -> Task:
        """Ask the task to save its state.

        :param grace_seconds: time that it may take.
        """
        return await self._call(
            'POST',
            self._locate(task, '/checkpoint'),
            Task,
            {'grace_seconds': grace_seconds},
        )

    async def throttle_task(self, task: str, rate: float) -> Task:
        """Slow a task down.

        :param rate: share of full speed, above 0 and at most 1.
        """
        return await self._call(
            'POST', self._locate(task, '/throttle'), Task, {'rate': rate}
        )

    async def stop_task(self, task: str) -> Task:
        """Ask the task to end; it may ignore that."""
        return await self._call('POST', self._locate(task, '/stop'), Task, {})

    async def revoke_task(self, task: str) -> Task:
        """Revoke the lease, which ends the task whether it agrees or not."""
        return await self._call('DELETE', self._locate(task), Task)

    async def list_tasks(self) -> list[Task]:
        """Return running tasks and those that ended lately."""
        return (await self._call('GET', '/v1/tasks', _TaskList)).tasks

    async def get_usage(self) -> Usage:
        """Return the last measurement, which lags behind."""
        return await self._call('GET', '/v1/usage', Usage)

    def _locate(self, task: str, action: str = '') -> str:
        return '/v1/tasks/' + urllib.parse.quote(task, safe='') + action

    async def _call(
        self,
        method: str,
        path: str,
        answer: type[_T],
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
            return msgspec.json.decode(response.body, type=answer)
        except msgspec.DecodeError as error:
            raise errors.WorkerUnavailableError(
                f'worker {self._url} sent a malformed answer: {error}'
            ) from error

"""Execution and monitoring of an agent's tasks on its worker."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import errors
from damaskpin.worker import client as worker_client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.gang import member as members

LOG = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
# Polling interval without tasks, when a poll only checks the worker's health.
IDLE_POLL_INTERVAL_S = 1.0
LEASE_RENEWAL_INTERVAL_S = 4.0
WORKER_RETRY_INTERVAL_S = 0.5
# Lease set on running tasks when their agent stops, so that the next agent
# process has time to adopt them.
HANDOVER_LEASE_S = 30.0


class TaskRunner:
    """Starts, stops and monitors tasks on the worker for gang members.

    :param url: URL of the worker's task interface.
    :param member: state machine of the gang members on the worker.
    :param apply: callback that carries out effects.
    :param get_time: callback that returns monotonic seconds.
    :ivar healthy: whether the worker answered the last poll.
    """

    __slots__ = (
        '_apply',
        '_get_time',
        '_member',
        '_renewal_times',
        '_worker_client',
        'healthy',
    )

    def __init__(
        self,
        url: str,
        member: members.Member,
        apply: Callable[[Iterable[effects.Effect]], None],
        get_time: Callable[[], float],
    ) -> None:
        self._worker_client = worker_client.WorkerClient(url)
        self._member = member
        self._apply = apply
        self._get_time = get_time
        # Monotonic time of the last lease renewal, by running attempt.
        self._renewal_times: dict[str, float] = {}
        self.healthy = True

    async def adopt(self) -> None:
        """Adopt the tasks that a previous process of the agent started."""
        tasks = await self._list_tasks()
        now = self._get_time()
        for task in tasks:
            LOG.info('adopting a task', extra={'attempt': task.id})
            self._apply(
                self._member.adopt(
                    now, task.id, task.labels, tuple(task.accelerators)
                )
            )
            if task.state == 'running':
                self._renewal_times[task.id] = now
                continue
            # The task ended while no agent was running, so its gang has not
            # been notified yet.
            self._apply(
                self._member.handle_task_ended(now, task.id, task.exit_code)
            )
        self._apply(self._member.finish_adoption(now))

    async def _list_tasks(self) -> list[worker_client.Task]:
        # The call is repeated until it succeeds, because no accelerator may
        # be reserved before the running tasks are known.
        while True:
            try:
                return await self._worker_client.list_tasks()
            except errors.WorkerError as error:
                LOG.warning('the worker did not list its tasks: %s', error)
            await asyncio.sleep(WORKER_RETRY_INTERVAL_S)

    async def start(self, effect: effects.StartTask) -> None:
        """Start the tasks of a gang member and report the outcome to it."""
        try:
            await self._worker_client.start_task(
                effect.attempt,
                effect.command,
                effect.accelerators,
                effect.lease_seconds,
                effect.labels,
            )
        except errors.WorkerError as error:
            LOG.warning(
                'the worker refused a task',
                extra={'attempt': effect.attempt, 'reason': str(error)},
            )
            await self._revoke_task(effect)
            self._apply(
                self._member.handle_task_refused(
                    self._get_time(), effect.attempt, str(error)
                )
            )
            return
        now = self._get_time()
        self._renewal_times[effect.attempt] = now
        self._apply(self._member.handle_task_started(now, effect.attempt))

    async def _revoke_task(self, effect: effects.StartTask) -> None:
        """Revoke the lease of a task whose start may have succeeded."""
        try:
            await self._worker_client.revoke_task(effect.attempt)
        except errors.WorkerUnavailableError:
            # The lease is not renewed, so the worker stops the task when the
            # lease expires.
            await asyncio.sleep(effect.lease_seconds)
        except errors.WorkerError as error:
            LOG.debug('the worker has no such task: %s', error)

    async def stop(self, attempt: str, grace: float) -> None:
        """Stop the tasks of an attempt, after an optional checkpoint.

        :param grace: seconds for the checkpoint; 0 for no checkpoint.
        """
        try:
            if grace > 0:
                await self._worker_client.checkpoint_task(attempt, grace)
                await asyncio.sleep(grace)
            await self._worker_client.stop_task(attempt)
        except errors.WorkerError as error:
            LOG.info(
                'stopping a task failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )

    async def revoke(self, attempt: str) -> None:
        """Revoke the lease of tasks that did not stop on request."""
        try:
            await self._worker_client.revoke_task(attempt)
        except errors.WorkerError as error:
            LOG.info(
                'revoking a lease failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )

    async def poll_forever(self) -> None:
        """Poll the worker, report ended tasks and renew leases forever."""
        while True:
            await asyncio.sleep(
                POLL_INTERVAL_S
                if self._renewal_times
                else IDLE_POLL_INTERVAL_S
            )
            await self._poll_worker()

    async def _poll_worker(self) -> None:
        # Only tasks started before the call are checked: a task that starts
        # during the call may be missing from the answer.
        attempts = list(self._renewal_times)
        try:
            tasks = {
                task.id: task
                for task in await self._worker_client.list_tasks()
            }
        except errors.WorkerError as error:
            if self.healthy:
                LOG.warning('the worker does not answer: %s', error)
            self.healthy = False
            return
        self.healthy = True
        now = self._get_time()
        for attempt in attempts:
            task = tasks.get(attempt)
            if task is not None and task.state == 'running':
                continue
            self._renewal_times.pop(attempt, None)
            code = task.exit_code if task else None
            self._apply(self._member.handle_task_ended(now, attempt, code))
        for renewal in self._member.list_renewals(now):
            last_renewal = self._renewal_times.get(renewal.attempt, now)
            if now - last_renewal >= LEASE_RENEWAL_INTERVAL_S:
                await self._renew_task(renewal.attempt, renewal.lease_seconds)

    async def _renew_task(self, attempt: str, seconds: float) -> None:
        try:
            await self._worker_client.renew_task(attempt, seconds)
        except errors.WorkerError as error:
            LOG.warning(
                'renewing a lease failed',
                extra={'attempt': attempt, 'reason': str(error)},
            )
            return
        if attempt in self._renewal_times:
            self._renewal_times[attempt] = self._get_time()

    async def extend_task_leases(self) -> None:
        """Extend the task leases so that the next agent can adopt them."""
        for renewal in self._member.list_renewals(self._get_time()):
            seconds = min(HANDOVER_LEASE_S, renewal.max_lease_seconds)
            await self._renew_task(renewal.attempt, seconds)

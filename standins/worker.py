"""Simulated worker: HTTP server that runs simulated tasks.

No processes are started. The state of a task is computed on each call from its
command, its rate and lease, and the time.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from typing import Any
from typing import TYPE_CHECKING

import fire
import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

if TYPE_CHECKING:
    from collections.abc import Callable

# Ended tasks stay listed so that a restarted agent can read their exit codes.
ENDED_TASK_RETENTION_S = 300.0
COMMAND_NOT_FOUND = 127


class StartBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/tasks/<id>``, which starts a task."""

    command: list[str]
    accelerators: list[int]
    lease_seconds: float
    labels: dict[str, str] = {}


class RefusalError(Exception):
    """The worker refuses a call.

    :param status: HTTP status code.
    :param detail: reason of the refusal, for the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclasses.dataclass(slots=True)
class Task:
    """A simulated task; all times are monotonic seconds.

    :ivar measured_at: time at which ``work_left`` was computed.
    :ivar lease_expires: time at which the lease ends the task.
    :ivar work_left: seconds of work left at ``measured_at``, at full speed.
    :ivar exit_code: exit code of the task when its work is done.
    :ivar stubborn: whether the task ignores requests to stop.
    :ivar rate: speed, as a share of the full speed.
    :ivar checkpoints: number of checkpoints taken.
    :ivar end: how the task ended; empty while it runs.
    :ivar ended: time at which the task ended.
    """

    id: str
    body: StartBody
    started: float
    measured_at: float
    lease_expires: float
    work_left: float
    exit_code: int
    stubborn: bool
    rate: float = 1.0
    checkpoints: int = 0
    end: str = ''
    ended: float | None = None

    def advance(self, now: float) -> None:
        """Compute the progress, and the end if any, of the task at a time.

        :param now: monotonic seconds.
        """
        if self.ended is not None:
            return
        completion = self.measured_at + self.work_left / self.rate
        if min(completion, self.lease_expires) > now:
            self.work_left -= (now - self.measured_at) * self.rate
            self.measured_at = now
        elif completion <= self.lease_expires:
            self.finish(completion, 'exited')
        else:
            self.finish(self.lease_expires, 'lease-expired')

    def finish(self, now: float, end: str) -> None:
        """Mark the task as ended unless it has ended before.

        :param now: monotonic seconds.
        :param end: how the task ended, such as ``exited``.
        """
        if self.ended is None:
            self.ended = now
            self.end = end

    def describe(self, now: float) -> dict[str, Any]:
        """Return the description of the task for JSON answers."""
        return {
            'id': self.id,
            'command': self.body.command,
            'accelerators': self.body.accelerators,
            'labels': self.body.labels,
            'state': 'running' if self.ended is None else 'ended',
            'end': self.end,
            'exit_code': self.exit_code if self.end == 'exited' else None,
            'lease_remaining': (
                max(0.0, self.lease_expires - now)
                if self.ended is None
                else 0.0
            ),
            'rate': self.rate,
            'checkpoints': self.checkpoints,
        }


class Worker:
    """Simulated tasks on the accelerators of one instance.

    :param accelerators: number of accelerators.
    :param usage_lag: age of reported usage, in seconds.
    :param fail_all: whether every started task fails at once.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        accelerators: int,
        usage_lag: float,
        fail_all: bool,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._accelerators = accelerators
        self._usage_lag = usage_lag
        self._fail_all = fail_all
        self._clock = clock
        self._tasks: dict[str, Task] = {}

    def advance(self) -> float:
        """Advance all tasks to now and drop those that ended long ago.

        :returns: the time, in monotonic seconds.
        """
        now = self._clock()
        for task in list(self._tasks.values()):
            task.advance(now)
            if (
                task.ended is not None
                and task.ended + ENDED_TASK_RETENTION_S < now
            ):
                del self._tasks[task.id]
        return now

    def start(self, task_id: str, body: StartBody) -> dict[str, Any]:
        """Start a task and return its description.

        Repeating the call with an equal body returns the same task.

        :param task_id: id of the task.
        :raises RefusalError: the call is not valid, or the task or one of
            its accelerators is in use.
        """
        now = self.advance()
        existing = self._tasks.get(task_id)
        if existing is not None:
            if existing.body != body:
                raise RefusalError(409, f'task {task_id} exists')
            return existing.describe(now)
        self._check_accelerators(body.accelerators)
        if body.lease_seconds <= 0:
            raise RefusalError(400, 'lease_seconds must be above 0')
        duration, exit_code, stubborn = _parse_command(body.command)
        if self._fail_all:
            duration, exit_code, stubborn = 0.0, 1, False
        task = Task(
            id=task_id,
            body=body,
            started=now,
            measured_at=now,
            lease_expires=now + body.lease_seconds,
            work_left=duration,
            exit_code=exit_code,
            stubborn=stubborn,
        )
        self._tasks[task_id] = task
        return task.describe(now)

    def apply_action(
        self, task_id: str, action: str, value: float
    ) -> dict[str, Any]:
        """Renew, checkpoint, throttle or stop a running task.

        :param action: ``renew``, ``checkpoint``, ``throttle`` or ``stop``.
        :param value: seconds of the lease for ``renew``, rate for
            ``throttle``.
        :raises RefusalError: the task is not running, or the value is out of
            range.
        """
        now = self.advance()
        task = self._get_running(task_id)
        if action == 'renew':
            if value <= 0:
                raise RefusalError(400, 'lease_seconds must be above 0')
            task.lease_expires = now + value
        elif action == 'checkpoint':
            task.checkpoints += 1
        elif action == 'throttle':
            if not 0 < value <= 1:
                raise RefusalError(400, 'rate must be in (0, 1]')
            task.rate = value
        elif not task.stubborn:
            task.finish(now, 'stopped')
        return task.describe(now)

    def revoke(self, task_id: str) -> dict[str, Any]:
        """Revoke the lease of a task, which ends it; the call may be repeated.

        :raises RefusalError: there is no such task.
        """
        now = self.advance()
        task = self._tasks.get(task_id)
        if task is None:
            raise RefusalError(404, f'no task {task_id}')
        task.finish(now, 'revoked')
        return task.describe(now)

    def list_tasks(self) -> dict[str, Any]:
        """Return the descriptions of the running and recently ended tasks."""
        now = self.advance()
        return {'tasks': [task.describe(now) for task in self._tasks.values()]}

    def measure_usage(self) -> dict[str, Any]:
        """Return the task on each accelerator ``usage_lag`` seconds ago."""
        usage_time = self.advance() - self._usage_lag
        task_ids: dict[int, str] = {}
        for task in self._tasks.values():
            ended = task.ended
            if task.started <= usage_time and (
                ended is None or ended > usage_time
            ):
                task_ids.update(dict.fromkeys(task.body.accelerators, task.id))
        return {
            'age_seconds': self._usage_lag,
            'accelerators': [
                {
                    'index': index,
                    'busy': index in task_ids,
                    'task': task_ids.get(index, ''),
                }
                for index in range(self._accelerators)
            ],
        }

    def _check_accelerators(self, indexes: list[int]) -> None:
        if not indexes or len(set(indexes)) != len(indexes):
            raise RefusalError(
                400, 'accelerators must list distinct indexes, at least one'
            )
        if not all(0 <= index < self._accelerators for index in indexes):
            raise RefusalError(400, 'an accelerator index is out of range')
        for task in self._tasks.values():
            taken = set(task.body.accelerators) & set(indexes)
            if task.ended is None and taken:
                raise RefusalError(
                    409, f'accelerators {sorted(taken)} are taken'
                )

    def _get_running(self, task_id: str) -> Task:
        task = self._tasks.get(task_id)
        if task is None:
            raise RefusalError(404, f'no task {task_id}')
        if task.ended is not None:
            raise RefusalError(409, f'task {task_id} has ended: {task.end}')
        return task


def _parse_command(command: list[str]) -> tuple[float, int, bool]:
    match command:
        case ['sleep', seconds]:
            return float(seconds), 0, False
        case ['fail', seconds]:
            return float(seconds), 1, False
        case ['stubborn', seconds]:
            return float(seconds), 0, True
        case _:
            return 0.0, COMMAND_NOT_FOUND, False


class _Handler(web.RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def respond(self, call: Callable[[], dict[str, Any]]) -> None:
        """Answer with the result of a call, or with the error it raises."""
        try:
            self.write(call())
        except RefusalError as error:
            self.set_status(error.status)
            self.write({'error': str(error)})
        except (ValueError, msgspec.DecodeError) as error:
            self.set_status(400)
            self.write({'error': str(error)})


class _TaskHandler(_Handler):
    def put(self, task_id: str) -> None:
        self.respond(
            lambda: self.worker.start(
                task_id, msgspec.json.decode(self.request.body, type=StartBody)
            )
        )

    def delete(self, task_id: str) -> None:
        self.respond(lambda: self.worker.revoke(task_id))


class _ActionHandler(_Handler):
    _VALUE_FIELDS = {
        'renew': 'lease_seconds',
        'checkpoint': 'grace_seconds',
        'throttle': 'rate',
        'stop': '',
    }

    def post(self, task_id: str, action: str) -> None:
        def apply_action() -> dict[str, Any]:
            field = self._VALUE_FIELDS[action]
            body = json.loads(self.request.body or b'{}')
            value = float(body.get(field, 0.0)) if field else 0.0
            return self.worker.apply_action(task_id, action, value)

        self.respond(apply_action)


class _ListHandler(_Handler):
    def get(self) -> None:
        self.respond(self.worker.list_tasks)


class _UsageHandler(_Handler):
    def get(self) -> None:
        self.respond(self.worker.measure_usage)


def make_application(worker: Worker) -> web.Application:
    """Return the HTTP application that serves a worker."""
    options = {'worker': worker}
    return web.Application(
        [
            (r'/v1/tasks', _ListHandler, options),
            (r'/v1/tasks/([^/]+)', _TaskHandler, options),
            (
                r'/v1/tasks/([^/]+)/(renew|checkpoint|throttle|stop)',
                _ActionHandler,
                options,
            ),
            (r'/v1/usage', _UsageHandler, options),
        ]
    )


async def serve(
    port: int, accelerators: int, usage_lag: float, fail_all: bool
) -> None:
    """Serve a simulated worker until the process is ended."""
    worker = Worker(accelerators, usage_lag, fail_all)
    server = httpserver.HTTPServer(make_application(worker))
    sockets = netutil.bind_sockets(port, '127.0.0.1')
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    print(json.dumps({'listening': f'http://127.0.0.1:{port}'}), flush=True)
    await asyncio.Event().wait()


def run(
    port: int,
    accelerators: int = 8,
    usage_lag: float = 5.0,
    fail_all: bool = False,
) -> None:
    """Run a simulated worker.

    :param port: port on 127.0.0.1; 0 takes a free one, which is printed.
    :param accelerators: number of accelerators.
    :param usage_lag: age of reported usage, in seconds.
    :param fail_all: whether every started task fails at once.
    """
    try:
        asyncio.run(serve(port, accelerators, usage_lag, fail_all))
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    fire.Fire(run)

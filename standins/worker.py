"""Stand-in of a platform worker with simulated tasks.

No real processes are started: what a task does follows from its command and
from the time, and is computed when somebody looks.
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

# Ended tasks stay listed so that a restarted agent can read exit codes.
ENDED_KEPT_S = 300.0
COMMAND_NOT_FOUND = 127


class StartBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/tasks/<id>``."""

    command: list[str]
    accelerators: list[int]
    lease_seconds: float
    labels: dict[str, str] = {}


class RefusalError(Exception):
    """The worker refuses an operation.

    :param status: HTTP status code.
    :param detail: explanation.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclasses.dataclass(slots=True)
class Task:
    """A simulated task.

    :ivar work_left: seconds of work left at ``measured``, at full speed.
    :ivar exit_code: exit code once the work is done.
    :ivar stubborn: ignores a request to stop.
    """

    id: str
    body: StartBody
    started: float
    measured: float
    lease_until: float
    work_left: float
    exit_code: int
    stubborn: bool
    rate: float = 1.0
    checkpoints: int = 0
    end: str = ''
    ended: float | None = None

    def settle(self, now: float) -> None:
        """Advance the task to a time.

        :param now: monotonic seconds.
        """
        if self.ended is not None:
            return
        done = self.measured + self.work_left / self.rate
        if min(done, self.lease_until) > now:
            self.work_left -= (now - self.measured) * self.rate
            self.measured = now
        elif done <= self.lease_until:
            self.finish(done, 'exited')
        else:
            self.finish(self.lease_until, 'lease-expired')

    def finish(self, now: float, end: str) -> None:
        """End the task.

        :param now: monotonic seconds.
        :param end: how it ended.
        """
        if self.ended is None:
            self.ended = now
            self.end = end

    def describe(self, now: float) -> dict[str, Any]:
        """Return the JSON form of the task."""
        return {
            'id': self.id,
            'command': self.body.command,
            'accelerators': self.body.accelerators,
            'labels': self.body.labels,
            'state': 'running' if self.ended is None else 'ended',
            'end': self.end,
            'exit_code': self.exit_code if self.end == 'exited' else None,
            'lease_remaining': (
                max(0.0, self.lease_until - now) if self.ended is None else 0.0
            ),
            'rate': self.rate,
            'checkpoints': self.checkpoints,
        }


class Worker:
    """Tasks on the accelerators of one machine.

    :param accelerators: number of accelerators.
    :param usage_lag: age of reported usage, in seconds.
    :param fail_all: every task that it starts fails.
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

    def settle(self) -> float:
        """Advance all tasks to the present.

        :returns: the present, in monotonic seconds.
        """
        now = self._clock()
        for task in list(self._tasks.values()):
            task.settle(now)
            if task.ended is not None and task.ended + ENDED_KEPT_S < now:
                del self._tasks[task.id]
        return now

    def start(self, name: str, body: StartBody) -> dict[str, Any]:
        """Start a task, or return the one that an equal call started."""
        now = self.settle()
        known = self._tasks.get(name)
        if known is not None:
            if known.body != body:
                raise RefusalError(409, f'task {name} exists')
            return known.describe(now)
        self._check_accelerators(body.accelerators)
        if body.lease_seconds <= 0:
            raise RefusalError(400, 'lease_seconds must be above 0')
        duration, exit_code, stubborn = _parse_command(body.command)
        if self._fail_all:
            duration, exit_code, stubborn = 0.0, 1, False
        task = Task(
            id=name,
            body=body,
            started=now,
            measured=now,
            lease_until=now + body.lease_seconds,
            work_left=duration,
            exit_code=exit_code,
            stubborn=stubborn,
        )
        self._tasks[name] = task
        return task.describe(now)

    def change(self, name: str, action: str, value: float) -> dict[str, Any]:
        """Renew, checkpoint, throttle or stop a running task."""
        now = self.settle()
        task = self._get_running(name)
        if action == 'renew':
            if value <= 0:
                raise RefusalError(400, 'lease_seconds must be above 0')
            task.lease_until = now + value
        elif action == 'checkpoint':
            task.checkpoints += 1
        elif action == 'throttle':
            if not 0 < value <= 1:
                raise RefusalError(400, 'rate must be in (0, 1]')
            task.rate = value
        elif not task.stubborn:
            task.finish(now, 'stopped')
        return task.describe(now)

    def revoke(self, name: str) -> dict[str, Any]:
        """Revoke the lease of a task; repeating the call is safe."""
        now = self.settle()
        task = self._tasks.get(name)
        if task is None:
            raise RefusalError(404, f'no task {name}')
        task.finish(now, 'revoked')
        return task.describe(now)

    def list_tasks(self) -> dict[str, Any]:
        """Return all tasks that are kept."""
        now = self.settle()
        return {'tasks': [task.describe(now) for task in self._tasks.values()]}

    def measure_usage(self) -> dict[str, Any]:
        """Return the use of the accelerators ``usage_lag`` seconds ago."""
        then = self.settle() - self._usage_lag
        holders: dict[int, str] = {}
        for task in self._tasks.values():
            ended = task.ended
            if task.started <= then and (ended is None or ended > then):
                holders.update(dict.fromkeys(task.body.accelerators, task.id))
        return {
            'age_seconds': self._usage_lag,
            'accelerators': [
                {
                    'index': index,
                    'busy': index in holders,
                    'task': holders.get(index, ''),
                }
                for index in range(self._accelerators)
            ],
        }

    def _check_accelerators(self, indexes: list[int]) -> None:
        if not indexes or len(set(indexes)) != len(indexes):
            raise RefusalError(400, 'accelerators must be distinct')
        if not all(0 <= index < self._accelerators for index in indexes):
            raise RefusalError(400, 'no such accelerator')
        for task in self._tasks.values():
            taken = set(task.body.accelerators) & set(indexes)
            if task.ended is None and taken:
                raise RefusalError(409, f'accelerators {sorted(taken)} taken')

    def _get_running(self, name: str) -> Task:
        task = self._tasks.get(name)
        if task is None:
            raise RefusalError(404, f'no task {name}')
        if task.ended is not None:
            raise RefusalError(409, f'task {name} has ended: {task.end}')
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
        """Answer with the result of a call, or with its refusal."""
        try:
            self.write(call())
        except RefusalError as error:
            self.set_status(error.status)
            self.write({'error': str(error)})
        except (ValueError, msgspec.DecodeError) as error:
            self.set_status(400)
            self.write({'error': str(error)})


class _TaskHandler(_Handler):
    def put(self, name: str) -> None:
        self.respond(
            lambda: self.worker.start(
                name, msgspec.json.decode(self.request.body, type=StartBody)
            )
        )

    def delete(self, name: str) -> None:
        self.respond(lambda: self.worker.revoke(name))


class _ActionHandler(_Handler):
    _FIELDS = {
        'renew': 'lease_seconds',
        'checkpoint': 'grace_seconds',
        'throttle': 'rate',
        'stop': '',
    }

    def post(self, name: str, action: str) -> None:
        def change() -> dict[str, Any]:
            field = self._FIELDS[action]
            body = json.loads(self.request.body or b'{}')
            value = float(body.get(field, 0.0)) if field else 0.0
            return self.worker.change(name, action, value)

        self.respond(change)


class _ListHandler(_Handler):
    def get(self) -> None:
        self.respond(self.worker.list_tasks)


class _UsageHandler(_Handler):
    def get(self) -> None:
        self.respond(self.worker.measure_usage)


def make_application(worker: Worker) -> web.Application:
    """Return the HTTP application of a worker."""
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
    """Serve until the process is ended."""
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
    """Run a stand-in worker.

    :param port: port on 127.0.0.1; 0 takes a free one, which is printed.
    :param accelerators: number of accelerators.
    :param usage_lag: age of reported usage, in seconds.
    :param fail_all: every task that it starts fails.
    """
    try:
        asyncio.run(serve(port, accelerators, usage_lag, fail_all))
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    fire.Fire(run)

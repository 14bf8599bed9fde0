"""Tests of the task runner of an agent with a fake worker."""

from __future__ import annotations

import asyncio
import random

from damaskpin import effects
from damaskpin.daemon import task_runner
from damaskpin.gang import member as members
from damaskpin.worker import client as worker_client


class FakeWorkerClient:
    """Worker client that lists the given tasks and accepts every start."""

    def __init__(self, listed_tasks: list[worker_client.Task]) -> None:
        self.listed_tasks = listed_tasks
        self.release_listing = asyncio.Event()

    async def list_tasks(self) -> list[worker_client.Task]:
        answer = list(self.listed_tasks)
        await self.release_listing.wait()
        return answer

    async def start_task(self, *arguments: object) -> None:
        return None


class RecordingMember(members.Member):
    """Gang member that records the reported ends of tasks."""

    def __init__(self) -> None:
        super().__init__('agent-1', 8, random.Random(0))
        self.ended: list[tuple[str, int | None]] = []

    def handle_task_ended(
        self, now: float, attempt: str, exit_code: int | None
    ) -> list[effects.Effect]:
        self.ended.append((attempt, exit_code))
        return super().handle_task_ended(now, attempt, exit_code)


def make_runner(
    member: members.Member, worker: FakeWorkerClient
) -> task_runner.TaskRunner:
    runner = task_runner.TaskRunner(
        'http://127.0.0.1:1', member, lambda outputs: None, lambda: 1.0
    )
    runner._worker_client = worker
    return runner


def test_task_that_starts_during_a_poll_is_not_reported_as_ended():
    """Guards against treating a task that just started as ended.

    The worker lists its tasks before the start; the list arrives after it.
    """

    async def run() -> list[tuple[str, int | None]]:
        member = RecordingMember()
        worker = FakeWorkerClient([])
        runner = make_runner(member, worker)
        poll = asyncio.ensure_future(runner._poll_worker())
        await asyncio.sleep(0)
        await runner.start(
            effects.StartTask('a.1', (0,), ('sleep', '9'), 15.0, {})
        )
        worker.release_listing.set()
        await poll
        return member.ended

    assert asyncio.run(run()) == []


def test_task_that_ended_during_an_agent_restart_is_reported():
    """Guards against losing the end of a task while its agent restarts."""

    async def run() -> list[tuple[str, int | None]]:
        member = RecordingMember()
        ended = worker_client.Task(
            id='a.1',
            command=['sleep', '1'],
            accelerators=[0],
            labels={},
            state='ended',
            end='exited',
            exit_code=0,
        )
        worker = FakeWorkerClient([ended])
        worker.release_listing.set()
        await make_runner(member, worker).adopt()
        return member.ended

    assert asyncio.run(run()) == [('a.1', 0)]

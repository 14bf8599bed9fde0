"""Tests of the worker client against a simulated worker process."""

import asyncio
import json
import subprocess
import sys

import pytest

from damaskpin import errors
from damaskpin.worker import client as clients


@pytest.fixture
def open_worker():
    """Return a function that starts a simulated worker.

    The worker processes are terminated after the test.
    """
    processes = []

    def start_worker(*arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', 'standins.worker', '--port', '0']
            + list(arguments),
            stdout=subprocess.PIPE,
        )
        processes.append(process)
        return json.loads(process.stdout.readline())['listening']

    yield start_worker
    for process in processes:
        process.terminate()
        process.wait(10)
        process.stdout.close()


def _run_scenario(url, scenario, timeout=2.0):
    async def call():
        client = clients.WorkerClient(url, timeout)
        try:
            return await scenario(client)
        finally:
            client.close()

    return asyncio.run(call())


async def _wait_for_end(client, task):
    for _ in range(100):
        for listed in await client.list_tasks():
            if listed.id == task and listed.state == 'ended':
                return listed
        await asyncio.sleep(0.05)
    raise AssertionError(f'task {task} did not end')


@pytest.mark.parametrize(
    ('command', 'end', 'exit_code'),
    [
        (('sleep', '0.2'), 'exited', 0),
        (('fail', '0.2'), 'exited', 1),
        (('sleep', '60'), 'lease-expired', None),
        (('no-such-command',), 'exited', 127),
    ],
)
def test_ended_task_reports_its_end_and_exit_code(
    open_worker, command, end, exit_code
):
    """Guards against a lost exit code; it decides whether the run failed."""

    async def scenario(client):
        labels = {'job': 'j', 'lead': 'agent-1'}
        await client.start_task('a/1', command, (0, 1), 0.5, labels)
        task = await _wait_for_end(client, 'a/1')
        assert (task.end, task.exit_code) == (end, exit_code)
        assert task.labels == labels

    _run_scenario(open_worker(), scenario)


def test_start_is_idempotent_and_occupied_accelerator_is_refused(open_worker):
    """Guards against tasks started twice and accelerators assigned twice."""

    async def scenario(client):
        for _ in range(2):
            await client.start_task('a', ('sleep', '60'), (0,), 5.0, {})
        assert len(await client.list_tasks()) == 1
        with pytest.raises(errors.WorkerError, match='taken'):
            await client.start_task('b', ('sleep', '60'), (0, 1), 5.0, {})
        with pytest.raises(errors.WorkerError, match='exists'):
            await client.start_task('a', ('sleep', '9'), (0,), 5.0, {})

    _run_scenario(open_worker('--accelerators', '2'), scenario)


def test_task_that_ignores_a_stop_is_ended_by_revocation(open_worker):
    """Guards against a task that keeps borrowed accelerators forever."""

    async def scenario(client):
        await client.start_task('a', ('stubborn', '60'), (0,), 30.0, {})
        await client.checkpoint_task('a', 0.1)
        assert (await client.stop_task('a')).state == 'running'
        assert (await client.revoke_task('a')).end == 'revoked'
        with pytest.raises(errors.WorkerError, match='ended'):
            await client.renew_task('a', 15.0)

    _run_scenario(open_worker(), scenario)


def test_renewal_and_throttling_extend_a_task(open_worker):
    async def scenario(client):
        # Both calls must arrive before the first lease and the work end.
        await client.start_task('a', ('sleep', '1.5'), (0,), 1.5, {})
        await client.throttle_task('a', 0.01)
        assert (await client.renew_task('a', 15.0)).lease_remaining > 14
        await asyncio.sleep(2.0)
        assert (await client.stop_task('a')).end == 'stopped'

    _run_scenario(open_worker(), scenario)


def test_usage_measurement_is_delayed(open_worker):
    async def scenario(client):
        await client.start_task('a', ('sleep', '60'), (1,), 30.0, {})
        assert not any(a.busy for a in (await client.get_usage()).accelerators)
        await asyncio.sleep(0.4)
        usage = await client.get_usage()
        assert [a.index for a in usage.accelerators if a.busy] == [1]

    _run_scenario(open_worker('--usage-lag', '0.3'), scenario)


def test_failing_worker_fails_every_task(open_worker):
    async def scenario(client):
        await client.start_task('a', ('sleep', '60'), (0,), 30.0, {})
        assert (await _wait_for_end(client, 'a')).exit_code == 1

    _run_scenario(open_worker('--fail-all'), scenario)


def test_unresponsive_worker_is_reported_as_unavailable():
    """Guards against a missing answer that is treated as a refusal."""

    async def scenario(client):
        closed = asyncio.Event()

        async def stay_silent(reader, writer):
            # The client closes its connection after the timeout.
            await reader.read()
            writer.close()
            closed.set()

        server = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        unresponsive = clients.WorkerClient(f'http://127.0.0.1:{port}', 0.2)
        with pytest.raises(errors.WorkerUnavailableError):
            await unresponsive.list_tasks()
        unresponsive.close()
        server.close()
        await asyncio.wait_for(closed.wait(), 10.0)
        with pytest.raises(errors.WorkerUnavailableError):
            await client.list_tasks()

    _run_scenario('http://127.0.0.1:1', scenario, 0.5)

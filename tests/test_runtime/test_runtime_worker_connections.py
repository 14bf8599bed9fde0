"""Tests of how the connections to the worker are opened, kept and closed."""

from __future__ import annotations

import asyncio
import gc
import itertools
import logging
import resource

import pytest

from damaskpin.agent import calls
from damaskpin.agent import connection_pool
from damaskpin.model import work
from damaskpin.platform import worker as workers
from damaskpin.runtime import clocks
from damaskpin.runtime import worker_connections
from tests.test_runtime import replaced_worker
from tests.test_runtime import worker_calls

LIFETIME = work.Lifetime(replaced_worker.ID, 1000)
ACCEPTED = calls.Accepted(5000)

# Time in seconds within which a start is carried out though its connection
# has ended.
MAX_START_S = 0.2

# Time in seconds for which calls are made to a process that does not identify
# itself, and between two of them.
UNKNOWN_S = 1.0
CALL_INTERVAL_S = 0.02

# Time in seconds after which a closed client leaves nothing open; a call that
# is under way then may last for its timeout.
MAX_CLOSE_S = 2.0


def _start_many(client, indexes):
    """Return the results of starts that are made at once."""
    return asyncio.gather(
        *(
            client.start(worker_calls.make_start(LIFETIME, index))
            for index in indexes
        )
    )


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('pause', [0.0, 0.05, 1.1])
def test_connections_that_end_while_the_process_lives_lose_no_start(
    is_reset, pause
):
    """Guards against starts that fail because the server ends connections."""

    async def scenario(worker, client):
        assert await _start_many(client, range(4)) == [ACCEPTED] * 4
        if is_reset:
            worker.process.reset_connections()
        else:
            worker.process.close_connections()
        await asyncio.sleep(pause)
        started = clocks.get_monotonic_time()
        assert await _start_many(client, range(4, 8)) == [ACCEPTED] * 4
        assert clocks.get_monotonic_time() - started < MAX_START_S
        lists = await client.renew_lease(worker_calls.make_poll(LIFETIME))
        assert len(lists.running) == 8
        assert len(worker_calls.list_tasks(worker)) == 8

    worker_calls.play(scenario)


def test_start_is_carried_out_while_a_held_poll_is_reset():
    """Guards against starts that wait for the poll or fail with it."""

    async def scenario(worker, client):
        poll = worker_calls.make_poll(LIFETIME, 2.0)
        held = asyncio.ensure_future(client.renew_lease(poll))
        await asyncio.sleep(0.1)
        worker.process.reset_connections()
        started = clocks.get_monotonic_time()
        assert await _start_many(client, [0]) == [ACCEPTED]
        assert isinstance(await held, calls.Unanswered)
        assert clocks.get_monotonic_time() - started < MAX_START_S
        assert len(worker.process.runs) == 1

    worker_calls.play(scenario)


def test_one_timeout_is_enough_to_leave_all_silent_connections():
    """Guards against a timeout for each connection that a burst has opened.

    New connections work. The start that got no answer counts as sent.
    """

    async def scenario(worker, client):
        assert await _start_many(client, range(6)) == [ACCEPTED] * 6
        worker.process.silence_connections()
        silent = await client.start(worker_calls.make_start(LIFETIME, 6))
        assert isinstance(silent, calls.Unanswered)
        assert silent.sent
        started = clocks.get_monotonic_time()
        for index in range(7, 13):
            assert await _start_many(client, [index]) == [ACCEPTED]
        assert clocks.get_monotonic_time() - started < workers.TIMEOUT_S
        assert len(worker_calls.list_tasks(worker)) == 13

    worker_calls.play(scenario)


def test_start_over_a_new_connection_that_is_silent_counts_as_unsent():
    """Guards against a run that waits although its start has not left."""

    async def scenario(worker, client):
        worker.process.silent.add(1)
        silent = await client.start(worker_calls.make_start(LIFETIME))
        assert isinstance(silent, calls.Unanswered)
        assert not silent.sent
        assert worker_calls.list_tasks(worker) == []
        assert await _start_many(client, [0]) == [ACCEPTED]

    worker_calls.play(scenario)


@pytest.mark.parametrize(
    'answer',
    [
        {},
        {'born': 0},
        {'born': 'text'},
        {'born': '1000'},
        {'born': None},
        {'born': True},
        {'born': 1000.5},
        {'born': -1},
        {'born': [1000]},
    ],
)
def test_process_that_does_not_identify_itself_gets_no_start(answer):
    """Guards against a start for a process that can't be told from others."""

    async def scenario(worker, client):
        worker.process.answers = [answer]
        result = await client.start(worker_calls.make_start(LIFETIME))
        assert result == calls.Withheld(connection_pool.UNKNOWN_PROCESS)
        assert worker_calls.list_effects(worker, LIFETIME.born) == []
        worker.process.answers = []
        await asyncio.sleep(2 * connection_pool.FIRST_PAUSE_S)
        assert await _start_many(client, [0]) == [ACCEPTED]

    worker_calls.play(scenario)


def test_unknown_process_is_called_and_logged_ever_more_rarely(caplog):
    """Guards against calls and log records without end."""
    caplog.set_level(logging.WARNING, connection_pool.LOG.name)

    async def scenario(worker, client):
        worker.process.answers = [{'born': 'text'}]
        times = []
        end = clocks.get_monotonic_time() + UNKNOWN_S
        while clocks.get_monotonic_time() < end:
            read = len(worker.calls)
            result = await client.start(worker_calls.make_start(LIFETIME))
            assert isinstance(result, calls.Withheld)
            if len(worker.calls) > read:
                times.append(clocks.get_monotonic_time())
            await asyncio.sleep(CALL_INTERVAL_S)
        pauses = [
            after - before for before, after in itertools.pairwise(times)
        ]
        assert len(pauses) == 3
        for pause, least in zip(pauses, [0.1, 0.2, 0.4], strict=True):
            assert pause > 0.9 * least

    worker_calls.play(scenario)
    records = [r for r in caplog.records if r.name == connection_pool.LOG.name]
    assert 1 <= len(records) <= 1 + UNKNOWN_S


@pytest.mark.parametrize('cut_at', [5, 16, 20, 36, 45])
def test_answer_that_is_cut_off_lists_no_runs(cut_at):
    """Guards against runs that count as lost when an answer is cut off.

    libcurl takes a status line without the rest for a whole answer.
    """

    async def scenario(worker, client):
        assert await _start_many(client, [0]) == [ACCEPTED]
        worker.process.cut_at = cut_at
        result = await client.renew_lease(worker_calls.make_poll(LIFETIME))
        assert isinstance(result, calls.Unanswered)
        assert result.sent

    worker_calls.play(scenario)


def test_worker_with_another_id_gets_no_start():
    """Guards against a start for a worker that has another id, status 421."""

    async def scenario(worker, client):
        worker.process.answers = [421]
        refused = [calls.Refused(calls.OTHER_LIFETIME)]
        for _ in range(5):
            assert await _start_many(client, [0]) == refused
        assert worker_calls.list_effects(worker, LIFETIME.born) == []

    worker_calls.play(scenario)


def test_calls_one_after_another_use_one_connection():
    """Guards against a connection, and an identification, for each call."""

    async def scenario(worker, client):
        for index in range(100):
            await client.renew_lease(worker_calls.make_poll(LIFETIME))
            await client.start(worker_calls.make_start(LIFETIME, index % 8))
            await client.stop(worker_calls.make_stop(LIFETIME, index % 8))
        assert worker.process.accepted == 1
        assert client.opened == 1
        assert len(worker.calls) == 301

    worker_calls.play(scenario)


def test_burst_of_starts_takes_few_connections():
    """Guards against starts that time out as their connections are opened.

    Opening one holds up the event loop, so that most of 300 at once have
    timed out.
    """

    async def scenario(worker, client):
        worker.process.cpu = 300 * replaced_worker.RUN_CPU
        held = asyncio.ensure_future(
            client.renew_lease(worker_calls.make_poll(LIFETIME, 1.0))
        )
        assert await _start_many(client, range(300)) == [ACCEPTED] * 300
        assert (await held).born == LIFETIME.born
        assert worker.process.accepted <= worker_connections.MAX_CALLS + 1
        await asyncio.sleep(0.1)  # the worker sees the end of others
        assert (
            len(worker.process.writers) <= connection_pool.MAX_IDLE_CONNECTIONS
        )

    worker_calls.play(scenario)


def test_start_without_a_free_descriptor_counts_as_unsent():
    """Guards against a start that is never repeated, as its call raises."""

    async def scenario(worker, client):
        gc.collect()
        _, hard_limit = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard_limit))
        try:
            results = await _start_many(client, range(20))
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for result in results:
            assert isinstance(result, calls.Unanswered)
            assert not result.sent
            assert not result.refused
        assert worker.calls == []
        assert await _start_many(client, range(20)) == [ACCEPTED] * 20

    worker_calls.play(scenario)


async def _cancel_held_poll(client):
    poll = worker_calls.make_poll(LIFETIME, 0.5)
    held = asyncio.ensure_future(client.renew_lease(poll))
    await asyncio.sleep(0.1)
    held.cancel()
    with pytest.raises(asyncio.CancelledError):
        await held
    client.close()


async def _cancel_call_at_once(client):
    pending = asyncio.ensure_future(
        client.start(worker_calls.make_start(LIFETIME))
    )
    await asyncio.sleep(0)
    pending.cancel()
    with pytest.raises(asyncio.CancelledError):
        await pending
    client.close()


async def _close_during_held_poll(client):
    poll = worker_calls.make_poll(LIFETIME, 0.5)
    held = asyncio.ensure_future(client.renew_lease(poll))
    await asyncio.sleep(0.1)
    client.close()
    await held


async def _close_idle(client):
    await _start_many(client, range(4))
    client.close()


@pytest.mark.parametrize('is_silent', [True, False])
@pytest.mark.parametrize(
    'use',
    [
        _cancel_held_poll,
        _cancel_call_at_once,
        _close_during_held_poll,
        _close_idle,
    ],
)
def test_closed_client_leaves_nothing_open(use, is_silent):
    """Guards against descriptors and handlers that outlast their client.

    A call may be under way when it is cancelled or the client is closed.
    """

    async def scenario(worker, client):
        if is_silent:
            worker.process.silent = set(range(1, 10))
        gc.collect()  # descriptors of the tests before
        before = worker_calls.count_resources()
        other_client = worker_calls.make_client(worker.address)
        await use(other_client)
        end = clocks.get_monotonic_time() + MAX_CLOSE_S
        while clocks.get_monotonic_time() < end:
            await asyncio.sleep(0.05)
            if worker_calls.count_resources() == before:
                break
        assert worker_calls.count_resources() == before
        assert other_client.opened, 'the client has opened no connection'

    worker_calls.play(scenario)

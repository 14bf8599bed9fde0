"""Tests of calls to a worker that another process replaces."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.agent import calls
from damaskpin.model import work
from tests.test_runtime import replaced_worker
from tests.test_runtime import worker_calls

FORMER = work.Lifetime(replaced_worker.ID, 1000)
NEXT = work.Lifetime(replaced_worker.ID, 2000)
OTHER_PROCESS = calls.OtherProcess(NEXT, 0)


async def _make_all_calls(client, lifetime):
    """Return the results of a poll, a start and a stop."""
    return [
        await client.renew_lease(worker_calls.make_poll(lifetime)),
        await client.start(worker_calls.make_start(lifetime)),
        await client.stop(worker_calls.make_stop(lifetime)),
    ]


def test_calls_for_the_former_process_are_not_sent_to_the_next():
    """Guards against starts, stops and leases that reach another process.

    The connection of the calls before has ended with the former process.
    """

    async def scenario(worker, client):
        lists, *accepted = await _make_all_calls(client, FORMER)
        assert lists.born == FORMER.born
        assert accepted == [calls.Accepted(5000)] * 2
        await worker.replace()
        results = await _make_all_calls(client, FORMER)
        assert results == [OTHER_PROCESS] * 3
        assert worker_calls.list_effects(worker, NEXT.born) == []
        lists, *accepted = await _make_all_calls(client, NEXT)
        assert lists.born == NEXT.born
        assert accepted == [calls.Accepted(5000)] * 2

    worker_calls.play(scenario)


@pytest.mark.parametrize('pause', [0.0, 0.05, 1.1])
def test_start_after_a_poll_of_the_former_process_is_not_sent(pause):
    """Guards against a start that the next process carries out.

    libcurl looks at connections that were idle for a second before it uses
    them, and replaces those that have ended.
    """

    async def scenario(worker, client):
        poll = worker_calls.make_poll(FORMER)
        assert (await client.renew_lease(poll)).born == FORMER.born
        await worker.replace()
        await asyncio.sleep(pause)
        result = await client.start(worker_calls.make_start(FORMER))
        assert worker_calls.list_tasks(worker) == []
        assert worker.process.runs == {}
        assert result == OTHER_PROCESS

    worker_calls.play(scenario)


def test_held_poll_of_a_former_process_is_not_sent_to_the_next():
    """Guards against a lease for a process that the agent does not know."""

    async def scenario(worker, client):
        poll = worker_calls.make_poll(FORMER, 2.0)
        held = asyncio.ensure_future(client.renew_lease(poll))
        await asyncio.sleep(0.1)
        assert worker.calls[-1].body['waitMs'] == 2000
        await worker.replace()
        result = await held
        assert isinstance(result, calls.Unanswered)
        assert result.sent
        start = worker_calls.make_start(FORMER)
        assert await client.start(start) == OTHER_PROCESS
        assert await client.renew_lease(poll) == OTHER_PROCESS
        assert worker_calls.list_effects(worker, NEXT.born) == []

    worker_calls.play(scenario)


def _check_starts(worker, results):
    """Check the results of starts against the calls that were read.

    A start that counts as unsent and was read would be repeated elsewhere.
    """
    tasks = worker_calls.list_tasks(worker)
    assert len(set(tasks)) == len(tasks), 'a start was read twice'
    assert worker_calls.list_effects(worker, NEXT.born) == []
    for index, result in enumerate(results):
        item = worker_calls.make_run(index).item
        was_read = f'{item.job}.0.0.{index}' in tasks
        match result:
            case calls.Accepted():
                assert was_read
            case calls.Unanswered(sent=False) | calls.OtherProcess():
                assert not was_read
            case calls.Unanswered():
                pass
            case _:
                pytest.fail(f'unexpected result {result}')


@pytest.mark.parametrize('delay', range(16))
def test_starts_of_the_moment_of_replacement_reach_only_their_process(delay):
    """Guards against starts that the next process carries out.

    The worker is replaced after a number of milliseconds of sixteen starts,
    the first of which find connections that are open already.
    """

    async def scenario(worker, client):
        poll = worker_calls.make_poll(FORMER)
        await asyncio.gather(*(client.renew_lease(poll) for _ in range(4)))
        starts = [
            asyncio.ensure_future(
                client.start(worker_calls.make_start(FORMER, index))
            )
            for index in range(16)
        ]
        await asyncio.sleep(delay / 1000)
        await worker.replace()
        _check_starts(worker, await asyncio.gather(*starts))
        results = await asyncio.gather(
            *(
                client.start(worker_calls.make_start(FORMER, index))
                for index in range(16, 24)
            )
        )
        assert results == [OTHER_PROCESS] * 8

    worker_calls.play(scenario)


@pytest.mark.parametrize('is_inherited', [True, False])
def test_connection_that_no_process_has_accepted_carries_no_start(
    is_inherited,
):
    """Guards against a start that waits for the next process in its socket.

    The kernel establishes connections that the process has not accepted yet.
    The next process may accept them if it has the listening socket, or else
    they are reset.
    """

    async def scenario(worker, client):
        worker.process.end()
        listener = worker.make_listener()
        start = worker_calls.make_start(FORMER)
        pending = asyncio.ensure_future(client.start(start))
        await asyncio.sleep(0.1)
        assert not pending.done()
        if not is_inherited:
            listener.close()
            listener = None
        await worker.start(NEXT.born, listener=listener)
        result = await pending
        if is_inherited:
            assert result == OTHER_PROCESS
        else:
            assert isinstance(result, calls.Unanswered)
            assert not result.sent
        assert worker_calls.list_effects(worker, NEXT.born) == []

    worker_calls.play(scenario)


@pytest.mark.parametrize('is_replaced', [True, False])
def test_start_during_which_the_process_ends_counts_as_sent(is_replaced):
    """Guards against a start that is made again, or that counts as unsent.

    The process has read the call, and may have carried it out.
    """

    async def scenario(worker, client):
        await client.renew_lease(worker_calls.make_poll(FORMER))
        worker.process.ends_on = 'run-start'
        pending = asyncio.ensure_future(
            client.start(worker_calls.make_start(FORMER))
        )
        if is_replaced:
            while not worker.list_calls('run-start'):
                await asyncio.sleep(0)
            await worker.start(NEXT.born)
        result = await pending
        assert isinstance(result, calls.Unanswered)
        assert result.sent
        assert not result.refused
        await asyncio.sleep(0.1)
        assert len(worker_calls.list_tasks(worker)) == 1
        assert worker_calls.list_effects(worker, NEXT.born) == []

    worker_calls.play(scenario)

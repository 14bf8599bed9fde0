"""Tests of process failures, planned stops and store outages.

Each test runs against real processes of a fleet.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

import pytest

from damaskpin.model import hardware
from damaskpin.model import job as jobs
from tests.test_daemon import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    import pathlib

    from damaskpin.caller import client as clients

URGENT_START_S = 7.6
CONFIG_IN_FORCE_S = 9.0


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[fleets.Fleet]:
    """Yield a started fleet of two entries and three workers."""
    created = fleets.Fleet(tmp_path)
    try:
        created.start_all()
        yield created
    finally:
        created.stop_all()


def run_scenario(
    fleet: fleets.Fleet, scenario: Callable[[], Awaitable[None]]
) -> None:
    """Wait until the fleet is ready, then run a scenario."""

    async def wait_and_run() -> None:
        await fleet.wait_ready()
        await scenario()

    asyncio.run(wait_and_run())


def make_body(seconds: float) -> bytes:
    return json.dumps({'sleep': seconds}).encode()


def make_spec(
    accelerators: int, seconds: float, **job_fields: Any
) -> jobs.JobSpec:
    return jobs.JobSpec(
        accelerators=accelerators,
        adjacency=hardware.Adjacency.RACK,
        run_seconds=seconds,
        command=['sleep', f'{seconds:g}'],
        **job_fields,
    )


async def read_state(client: clients.Client, job_id: str) -> dict[str, Any]:
    answer = await client.fetch('GET', f'/v1/jobs/{job_id}')
    return answer.read_json()


def is_in_state(
    client: clients.Client, job_id: str, *states: str
) -> Callable[[], Awaitable[bool]]:
    async def has_any_state() -> bool:
        return (await read_state(client, job_id))['state'] in states

    return has_any_state


def test_repeated_request_runs_once_after_its_entry_is_killed(fleet):
    """Guards against a second run if an entry is killed during a request."""

    async def scenario() -> None:
        first = fleet.make_client('borrower', 'entry-1')
        second = fleet.make_client('borrower', 'entry-2')
        call = asyncio.ensure_future(
            first.run(
                'shortlist', make_body(2.0), idempotent=False, key='key-1'
            )
        )
        await asyncio.sleep(0.7)
        fleet.kill('entry-1')
        with pytest.raises(Exception, match='no answer'):
            await call
        answer = await second.run(
            'shortlist', make_body(2.0), idempotent=False, key='key-1'
        )
        assert answer.verdict == 'ran'
        assert answer.body == make_body(2.0)
        assert list((await fleet.count_executions()).values()) == [1]

    run_scenario(fleet, scenario)


def test_planned_stop_of_an_entry_loses_no_request(fleet):
    """Guards against requests that a planned stop of an entry aborts."""

    async def scenario() -> None:
        client = fleet.make_client('borrower', 'entry-1')
        calls = [
            asyncio.ensure_future(client.run('shortlist', make_body(0.5)))
            for _ in range(200)
        ]

        async def is_accepted() -> bool:
            return (
                await fleet.read_metric('entry-1', 'damaskpin_requests_total')
                == 200
            )

        # Requests that arrive after the signal are refused as not run, so the
        # test waits until all requests are accepted.
        await fleets.wait_for(is_accepted, 20.0)
        assert not all(call.done() for call in calls)
        fleet.send_signal('entry-1', signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        assert [answer.verdict for answer in answers] == ['ran'] * 200
        code = await asyncio.to_thread(fleet.wait_exit, 'entry-1')
        assert code == 0

    run_scenario(fleet, scenario)


def test_planned_stop_of_an_agent_loses_no_request(fleet):
    """Guards against service responses that are lost when an agent stops."""

    async def scenario() -> None:
        client = fleet.make_client('borrower')
        calls = [
            asyncio.ensure_future(client.run('shortlist', make_body(0.5)))
            for _ in range(60)
        ]
        await asyncio.sleep(0.6)
        fleet.send_signal('agent-1', signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        assert [answer.verdict for answer in answers] == ['ran'] * 60
        code = await asyncio.to_thread(fleet.wait_exit, 'agent-1')
        assert code == 0

    run_scenario(fleet, scenario)


def test_replaced_agent_adopts_its_running_gang(fleet):
    """Guards against a gang that ends because its agents restart."""

    async def has_both_tasks() -> bool:
        return len(await fleet.list_tasks()) == 2

    async def scenario() -> None:
        client = fleet.make_client('holder')
        answer = await client.submit(make_spec(16, 8.0, idempotent=False))
        job_id = answer.attempt
        await fleets.wait_for(
            is_in_state(client, job_id, 'running'), URGENT_START_S
        )
        # A job is shown as running once the lead agent has decided to start
        # its gang; the other members start after that.
        await fleets.wait_for(has_both_tasks, URGENT_START_S)
        tasks = await fleet.list_tasks()
        for agent in fleet.agents:
            fleet.send_signal(agent, signal.SIGTERM)
        for agent in fleet.agents:
            await asyncio.to_thread(fleet.wait_exit, agent)
            fleet.restart(agent)
        await fleets.wait_for(is_in_state(client, job_id, 'ran'), 25.0)
        assert len(tasks) == 2

    run_scenario(fleet, scenario)


def test_guarantee_starts_in_time_while_the_store_is_down(fleet):
    """Guards against guaranteed jobs that can't start without the store."""

    async def scenario() -> None:
        borrower = fleet.make_client('borrower')
        for _ in range(3):
            await borrower.submit(make_spec(8, 60.0))

        async def is_full() -> bool:
            return len(await fleet.list_tasks()) == 3

        await fleets.wait_for(is_full, URGENT_START_S)
        await fleet.set_store_faults(down='503')
        holder = fleet.make_client('holder')
        refused = await holder.submit(make_spec(16, 1.0))
        assert (refused.status, refused.verdict) == (503, 'not-run')
        assert refused.retry_after
        started = time.monotonic()
        answer = await holder.submit(make_spec(16, 1.0), detached=False)
        assert answer.verdict == 'ran'
        assert time.monotonic() - started < URGENT_START_S + 1.0

    run_scenario(fleet, scenario)


def test_job_survives_the_loss_of_its_owner(fleet):
    """Guards against accepted jobs that are lost when their entry dies."""

    async def scenario() -> None:
        first = fleet.make_client('holder', 'entry-1')
        second = fleet.make_client('holder', 'entry-2')
        answer = await first.submit(make_spec(8, 12.0))
        fleet.kill('entry-1')
        await fleets.wait_for(is_in_state(second, answer.attempt, 'ran'), 60.0)

    run_scenario(fleet, scenario)


def test_explain_queries_each_entry_once(fleet):
    """Guards against entries that forward an explain request in a loop."""

    async def scenario() -> None:
        client = fleet.make_client('holder', 'entry-1')
        answer = await client.submit(make_spec(8, 0.5))
        await fleets.wait_for(is_in_state(client, answer.attempt, 'ran'), 20.0)
        await client.fetch('GET', f'/v1/explain/{answer.attempt}')
        before = await fleet.read_metric('entry-2', 'damaskpin_http_total')
        explained = await client.fetch('GET', f'/v1/explain/{answer.attempt}')
        after = await fleet.read_metric('entry-2', 'damaskpin_http_total')
        assert explained.status == 200
        # The two requests are the query of entry-1 and the second read of the
        # metrics.
        assert after - before == 2

    run_scenario(fleet, scenario)


def test_requests_succeed_with_a_suspended_agent(fleet):
    """Guards against requests that fail because one agent hangs."""

    async def scenario() -> None:
        client = fleet.make_client('borrower')
        fleet.send_signal('agent-2', signal.SIGSTOP)
        answers = await asyncio.gather(
            *(client.run('shortlist', make_body(0.1)) for _ in range(40))
        )
        assert [answer.verdict for answer in answers] == ['ran'] * 40
        fleet.send_signal('agent-2', signal.SIGCONT)

    run_scenario(fleet, scenario)


def test_replaced_processes_learn_the_configuration_in_an_outage(fleet):
    """Guards against restarted processes without the current revision.

    The store is down, so they must learn it from the other processes.
    """

    async def scenario() -> None:
        before = await fleet.read_revisions('entry-1')
        await fleet.set_store_faults(down='503')
        for name in ('entry-2', 'agent-3'):
            fleet.kill(name)
            fleet.restart(name)

        async def are_revisions_restored() -> bool:
            revisions = await fleet.read_revisions('entry-2')
            return revisions == before

        await fleets.wait_for(are_revisions_restored, CONFIG_IN_FORCE_S + 6.0)

    run_scenario(fleet, scenario)


def test_agent_learns_a_revision_without_a_notice(fleet):
    """Guards against agents that miss a revision if its notice is lost.

    The agent is suspended while the change is announced.
    """

    async def scenario() -> None:
        fleet.send_signal('agent-1', signal.SIGSTOP)
        outcome = await fleet.apply(fleets.make_config(2))
        assert outcome['state'] == 'accepted'
        await asyncio.sleep(1.0)
        fleet.send_signal('agent-1', signal.SIGCONT)
        await fleets.wait_for(fleet.is_in_force, CONFIG_IN_FORCE_S)

    run_scenario(fleet, scenario)

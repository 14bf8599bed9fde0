"""Tests of an agent whose worker is replaced under its id."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.runtime import agent as agents
from damaskpin.runtime import clocks
from damaskpin.runtime import options
from damaskpin.store import transactions
from tests.test_runtime import replaced_worker
from tests.test_runtime import worker_calls

FORMER = work.Lifetime(replaced_worker.ID, 1000)
NEXT = work.Lifetime(replaced_worker.ID, 2000)

# Time in seconds within which each step must be done.
MAX_STEP_S = 2.0

# Time in seconds for which a start may still arrive.
LATE_START_S = 0.3


class _Store:
    """Store without entries."""

    async def list_page(self, prefix, after='', stale=False):
        return transactions.Page((), 1, False)


class _Coordinator:
    """Answers the reports of an agent with orders; takes its exchange.

    :ivar starts: indexes of the runs that are ordered, by worker process.
    :ivar reported: worker processes that the agent has reported, in order.
    """

    def __init__(self, agent):
        self._agent = agent
        self._sequence = 0
        self.starts = {}
        self.reported = []

    def post(self, address, kind, build):
        """Receive a report."""
        report = build()
        if report.profile is None:
            return
        lifetime = report.profile.lifetime
        if lifetime not in self.reported:
            self.reported.append(lifetime)
        self.send_orders(lifetime, report.time)

    def send_orders(self, lifetime, echo):
        """Order the starts of a worker process."""
        self._sequence += 1
        starts = tuple(
            worker_calls.make_start(lifetime, index).order
            for index in self.starts.get(lifetime, ())
        )
        self._agent.handle_orders(
            clocks.get_monotonic_time(),
            orders.Orders(
                worker_calls.FENCE,
                self._sequence,
                'c',
                lifetime,
                echo,
                0,
                starts,
                (),
                (),
            ),
        )

    def is_busy(self, address):
        """Return whether reports are delayed."""
        return False

    async def close(self):
        """Stop."""


async def _make_runtime(address):
    """Return the runtime of an agent, and its coordinator."""
    settings = options.Options(
        instance='agent',
        listen='tcp://127.0.0.1:0',
        address='tcp://127.0.0.1:0',
        fleet_key=b'key',
        seeds=(),
        grant_duration=13.5,
        lease_duration=7.0,
        stop_time=0.9,
    )
    client = worker_calls.make_client(address)
    runtime = agents.AgentRuntime(settings, client, _Store())
    await runtime.exchange.close()
    coordinator = _Coordinator(runtime.agent)
    runtime.exchange = coordinator
    runtime.agent.coordinator = 'c'
    return runtime, coordinator


def _send_heartbeat(agent, lifetime, cpu):
    """Send a heartbeat of the worker process."""
    capacity = work.Resources(cpu, 1000, 0)
    profile = orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )
    agent.handle_heartbeat(clocks.get_monotonic_time(), profile, 5000)


async def _wait_until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(MAX_STEP_S):
        while not condition():
            await asyncio.sleep(0.01)


async def _replace_before_start(worker, runtime, coordinator, sends_heartbeat):
    """Replace the worker between the placement of a run and its start.

    :param sends_heartbeat: whether the heartbeat of the next process arrives
        before the start is due, or else after the agent has found it.
    """
    agent = runtime.agent
    coordinator.starts[FORMER] = [0]
    _send_heartbeat(agent, FORMER, 64000)
    await _wait_until(lambda: worker.process.runs)
    await worker.replace(cpu=1000)
    if sends_heartbeat:
        _send_heartbeat(agent, NEXT, 1000)
    coordinator.starts[FORMER] = [0, 1, 2]
    coordinator.send_orders(FORMER, clocks.get_monotonic_time())
    runtime.send_due()
    if not sends_heartbeat:
        await _wait_until(lambda: agent.profile is None)
        await asyncio.sleep(LATE_START_S)
        assert worker_calls.list_effects(worker, NEXT.born) == []
        _send_heartbeat(agent, NEXT, 1000)


@pytest.mark.parametrize('sends_heartbeat', [True, False])
def test_next_process_gets_only_the_starts_that_are_made_for_it(
    sends_heartbeat,
):
    """Guards against a run on a process that its placement did not consider.

    The next process is smaller, so that a start of the former one takes the
    room of the run that is placed there. Whether that run is stopped again,
    as the process may hide its end, is not looked at.
    """

    async def scenario(worker, _):
        runtime, coordinator = await _make_runtime(worker.address)
        runtime.start()
        try:
            await _replace_before_start(
                worker, runtime, coordinator, sends_heartbeat
            )
            await _wait_until(lambda: NEXT in coordinator.reported)
            assert runtime.agent.profile.lifetime == NEXT
            coordinator.starts[NEXT] = [3]
            await _wait_until(lambda: runtime.counts['start accepted'] == 2)
            await asyncio.sleep(LATE_START_S)
        finally:
            await runtime.close()
        item = worker_calls.make_run(3).item
        placed = [f'{item.job}.0.0.3']
        assert worker_calls.list_tasks(worker, NEXT.born) == placed
        assert coordinator.reported == [FORMER, NEXT]

    worker_calls.play(scenario)

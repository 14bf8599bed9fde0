"""Test of a new coordinator after a worker restart under the same id."""

from __future__ import annotations

import msgspec

from damaskpin.agent import agent as agents
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import ledger as ledgers
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import fakeworker

NOW = builders.NOW
WALL = builders.WALL
GRANT_S = 13.5
LEASE_S = 7.0
STOP_S = 0.9
# Longest lease of a worker, and longest delay of a call, in seconds.
HOLD_MAX_S = 10.0
CALL_DELAY_S = 12.0


def _make_coordinator(fence, now):
    ledger = ledgers.RunLedger(now, GRANT_S, STOP_S)
    return ledger, coordinators.Coordinator('c', fence, ledger, None)


def _make_profile(born):
    return orders.WorkerProfile(
        work.Lifetime('w1', born),
        's', 'dc', 'r1', ('a', 'r1'), builders.CAPACITY, False, 0.0,
    )  # fmt: skip


def _exchange(coordinator, agent, now):
    """Deliver a report of the agent and the orders in answer to it."""
    report = agent.make_report(now)
    worker = coordinator.handle_report(now, WALL, report, 'address')
    agent.handle_orders(now, coordinator.make_orders(worker))
    return worker


def test_new_coordinator_needs_no_wait_for_late_calls_to_a_former_process():
    """Guards against a run that executes twice.

    A call that was sent to a worker's former process may set the longest
    lease on the next process of the same id. A coordinator that knows the
    next process only counts on the end of the agent's grant, so the late call
    must have no effect once the agent has reached the next process.
    """
    _, predecessor = _make_coordinator(4, NOW)
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.handle_heartbeat(NOW, _make_profile(1000), 50_000)
    _exchange(predecessor, agent, NOW)
    late_call = agent.make_poll(NOW + 1.0)
    assert late_call.until
    worker = fakeworker.FakeWorker('w1', 2000, None, 1.0, *[_ignore] * 3)
    worker.clock_origin = NOW + 1.5
    agent.handle_heartbeat(NOW + 1.5, _make_profile(2000), 0)
    poll = agent.make_poll(NOW + 1.5)
    lists = worker.poll(NOW + 1.5, poll)
    agent.handle_poll_result(NOW + 1.5, NOW + 1.5, poll, lists)
    _exchange(predecessor, agent, NOW + 1.5)
    worker.poll(NOW + 1.6, agent.make_poll(NOW + 1.6))

    ledger, successor = _make_coordinator(5, NOW + 2.0)
    placed_on = _exchange(successor, agent, NOW + 2.1)
    placed_on.has_run_lists = True
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger, NOW + 2.2)
    assert builders.list_runs(ledger, job) == {0: 'w1'}
    worker.poll(NOW + 1.0 + CALL_DELAY_S, late_call)
    lease_end = worker.clock_origin + worker.lease_end / 1000
    successor.decide(lease_end, WALL)
    assert builders.list_runs(ledger, job) == {0: 'w1'}


def test_orders_tell_of_a_restart_until_the_process_lists_an_end():
    """Guards against hidden ends that a new agent process does not expect.

    Work of a process that has listed an end is not stopped without need.
    """
    _, coordinator = _make_coordinator(4, NOW)
    former = orders.Report(
        'agent-1', 1.0, 1, _make_profile(1000), None, 4, 4, (), (), (), ()
    )
    coordinator.handle_report(NOW, WALL, former, 'address')
    report = msgspec.structs.replace(
        former, time=2.0, sequence=2, profile=_make_profile(2000)
    )
    worker = coordinator.handle_report(NOW + 1.0, WALL, report, 'address')
    assert coordinator.make_orders(worker).restarted
    run = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
    ended = (work.EndedRun(1, run, work.Ending.DONE, ''),)
    report = msgspec.structs.replace(report, time=3.0, sequence=3, ended=ended)
    worker = coordinator.handle_report(NOW + 2.0, WALL, report, 'address')
    assert not coordinator.make_orders(worker).restarted


def _ignore(*_):
    """Ignore an event of the simulated worker."""

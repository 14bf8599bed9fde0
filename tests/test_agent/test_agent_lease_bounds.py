"""Tests of the lease that a worker may have against the agent's books."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.coordinator import ledger as ledgers
from damaskpin.model import leases
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import fakeworker

FENCE = 5
GRANT_S = 13.5
LEASE_S = 7.0
STOP_S = 0.9
HOLD_MAX_S = 10.0
NOW = 50.0
LIFETIME = work.Lifetime('w1', 1000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
RUNNING = (work.RunningRun(RUN, '', 5.0),)


def _make_agent(clock):
    """Return an agent whose worker is known and whose grant begins at NOW."""
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.handle_heartbeat(NOW, _make_profile(LIFETIME), clock)
    agent.handle_orders(NOW, _make_orders(1, NOW, LIFETIME))
    return agent


def _make_profile(lifetime):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )


def _make_orders(sequence, echo, lifetime):
    return orders.Orders(FENCE, sequence, 'c', lifetime, echo, 0, (), (), ())


def _poll(agent, now, result):
    agent.collect_due_calls(now)
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)
    return poll


def _get_lease_end(now, clock, until):
    """Return when a lease ends that a worker takes over at a time."""
    return now + min((until - clock) / 1000, HOLD_MAX_S)


def test_lease_of_a_suspended_machine_ends_before_the_coordinator_counts():
    """Guards against a run that executes twice.

    The machine of agent and worker is suspended for 6 s, for which the
    worker's clock stands still, and then cut off. The lease that the agent
    renews afterwards must end before the coordinator frees the runs.
    """
    agent = _make_agent(1000)
    _poll(agent, NOW, calls.Lists(1000, LIFETIME.born, RUNNING, ()))
    ledger = ledgers.RunLedger(0.0, GRANT_S, STOP_S)
    latest_run_end = ledger.run_ends.get_granted_end(NOW)
    lease_end = 0.0
    clock = 1000
    for step in range(20):
        now = NOW + 6.0 + step * 0.5
        lists = calls.Lists(clock, LIFETIME.born, RUNNING, ())
        until = _poll(agent, now, lists).until
        if until is not None:
            end = _get_lease_end(now, clock, until)
            lease_end = max(lease_end, end)
        clock += 500
    # The time of a suspension is left for one that follows.
    assert lease_end <= latest_run_end - leases.MAX_SUSPENSION_S


def test_late_call_of_a_former_process_does_not_outlast_the_lapse():
    """Guards against a run that executes twice.

    A renewal that was sent to a worker's former process reaches its next
    process of the same id. It carries a time of the former clock, which would
    set the longest lease there. When the worker then falls silent, the agent
    must not report the runs as gone before the lease has ended.
    """
    agent = _make_agent(500_000)
    late_call = agent.make_poll(NOW)
    agent.handle_poll_result(NOW, NOW, late_call, calls.Unanswered('late'))
    worker = fakeworker.FakeWorker(
        LIFETIME.worker, LIFETIME.born + 90_000, None, 1.0, *[_ignore] * 3
    )
    worker.clock_origin = NOW + 1.0
    agent.handle_heartbeat(NOW + 1.0, _make_profile(worker.lifetime), 0)
    now = NOW + 1.0
    for step in range(7):
        now = NOW + 1.0 + step * 0.5
        echo = agent.make_report(now - 0.1).time
        agent.handle_orders(now, _make_orders(step + 2, echo, worker.lifetime))
        agent.collect_due_calls(now)
        poll = agent.make_poll(now)
        agent.handle_poll_result(now, now, poll, worker.poll(now, poll))
    # The longest lease that the new process could get from the late call.
    assert worker.get_clock(now) + HOLD_MAX_S * 1000 < late_call.until
    worker.poll(now, late_call)
    lease_end = worker.clock_origin + worker.lease_end / 1000
    assert lease_end < now + LEASE_S + 0.1, 'the late call was carried out'
    while now < lease_end:
        assert not agent.make_report(now).refused, (
            f'the run counts as gone {lease_end - now:.1f} s before its end'
        )
        now += 0.2
        _poll(agent, now, calls.Unanswered('timeout'))


def _ignore(*_):
    """Ignore an event of the simulated worker."""

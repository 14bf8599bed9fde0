"""Tests of runs whose start call may reach the worker's next process."""

from __future__ import annotations

import msgspec

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import leases
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
FENCE = 5
LIFETIME = work.Lifetime('w1', 1000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
UNANSWERED = calls.Unanswered('timeout')
REFUSED = calls.Unanswered('refused', sent=False, refused=True)
# Time in seconds within which a late call is carried out.
LATE_CALL_S = 12.0


def _make_profile(draining=False):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, draining, 0.0
    )


def _make_agent_with_undecided_start():
    """Return an agent whose start call at NOW has no answer."""
    agent = agents.Agent('agent-1', 60.0, 4.0, 0.5)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(
        NOW, orders.Orders(FENCE, 1, 'c', LIFETIME, NOW, 0, (start,), (), ())
    )
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW + 0.5, call, UNANSWERED)
    return agent


def _poll(agent, now, result):
    agent.collect_due_calls(now)
    poll = agent.make_poll(now)
    if poll is not None:
        agent.handle_poll_result(now, now, poll, result)


def test_end_of_a_lease_frees_no_run_with_an_undecided_start():
    """Guards against a run that starts elsewhere and in the next process.

    The clock of that process starts anew, so that a start call from before
    the end of the lease is in time there. Neither the agent nor, by the time
    that the report gives, the coordinator may free the run before.
    """
    agent = _make_agent_with_undecided_start()
    now = NOW + 0.5
    while now < NOW + LATE_CALL_S:
        _poll(agent, now, UNANSWERED)
        report = agent.make_report(now)
        assert not report.refused, f'{now - NOW:.1f} s after the start call'
        if report.silence:
            # The coordinator adds the time of a suspension.
            lapse = report.lapse + leases.MAX_SUSPENSION_S
            assert now + lapse >= NOW + LATE_CALL_S
        now += 0.25
    while now < NOW + calls.MAX_CALL_DELAY_S + 1.0:
        _poll(agent, now, UNANSWERED)
        now += 0.25
    assert [refused.run for refused in agent.make_report(now).refused] == [RUN]


def test_departure_frees_no_run_with_an_undecided_start():
    """Guards against a run that starts elsewhere and in the next process.

    A worker that has left may come back with its id before the start call is
    carried out.
    """
    agent = _make_agent_with_undecided_start()
    profile = msgspec.structs.replace(_make_profile(), draining=True)
    agent.handle_heartbeat(NOW + 0.6, profile, 1000)
    agent.handle_leave(NOW + 3.0, 'w1')
    _poll(agent, NOW + 3.1, REFUSED)
    assert agent.make_report(NOW + 3.1).left is None
    _poll(agent, NOW + calls.MAX_CALL_DELAY_S + 1.0, REFUSED)
    report = agent.make_report(NOW + calls.MAX_CALL_DELAY_S + 1.0)
    assert report.left == LIFETIME

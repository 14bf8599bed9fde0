"""Tests of what an agent concludes while calls are under way."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import attempts
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
FENCE = 5
FORMER = work.Lifetime('w1', 1000)
NEXT = work.Lifetime('w1', 2000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)


def _make_profile(lifetime, draining=False):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, draining, 0.0
    )


def _make_orders(sequence, lifetime, now, starts=(), stops=()):
    return orders.Orders(
        FENCE, sequence, 'c', lifetime, now, 0, starts, stops, ()
    )


def _start_agent():
    agent = agents.Agent('agent-1', 60.0, 4.0, 0.5)
    agent.handle_heartbeat(NOW, _make_profile(FORMER), 1000)
    return agent


def _order_starts(agent, count=1):
    """Order starts and return the calls that are due."""
    starts = tuple(
        orders.StartOrder(
            work.Run(work.Item('0' * 16, 0, 0, index), 1), 'content', ''
        )
        for index in range(count)
    )
    agent.handle_orders(NOW, _make_orders(1, FORMER, NOW, starts=starts))
    return agent.collect_due_calls(NOW)


def test_stop_that_the_former_process_accepted_is_sent_to_the_next():
    """Guards against a run that is taken for stopped and executes.

    The answer of the former process arrives after the next one has
    registered; that one lists no run and has got no stop.
    """
    agent = _start_agent()
    agent.handle_orders(NOW, _make_orders(1, FORMER, NOW, stops=(RUN,)))
    (stop,) = agent.collect_due_calls(NOW)
    poll = agent.make_poll(NOW)
    other = calls.OtherProcess(NEXT, 0)
    agent.handle_poll_result(NOW + 0.1, NOW, poll, other)
    agent.handle_heartbeat(NOW + 0.1, _make_profile(NEXT), 100)
    agent.handle_orders(
        NOW + 0.2, _make_orders(2, NEXT, NOW + 0.15, stops=(RUN,))
    )
    agent.handle_stop_result(NOW + 0.25, stop, calls.Accepted(1200))
    poll = agent.make_poll(NOW + 0.3)
    lists = calls.Lists(300, NEXT.born, (), ())
    agent.handle_poll_result(NOW + 0.35, NOW + 0.3, poll, lists)
    assert agent.make_report(NOW + 0.4).refused == ()
    (stop,) = agent.collect_due_calls(NOW + 0.4)
    assert stop.lifetime == NEXT


def test_departure_frees_no_run_whose_start_is_under_way():
    """Guards against a run that executes twice.

    The start has no result yet; the worker's next process may carry it out.
    """
    agent = _start_agent()
    (call,) = _order_starts(agent)
    draining = _make_profile(FORMER, draining=True)
    agent.handle_heartbeat(NOW + 0.1, draining, 1100)
    agent.handle_leave(NOW + 0.2, FORMER.worker)
    poll = agent.make_poll(NOW + 0.25)
    refused = calls.Unanswered('refused', sent=False, refused=True)
    agent.handle_poll_result(NOW + 0.26, NOW + 0.25, poll, refused)
    assert agent.make_report(NOW + 0.3).left is None
    agent.handle_start_result(NOW + 0.5, call, calls.Unanswered('timeout'))
    assert agent.make_report(NOW + 0.6).left is None


def test_end_of_a_lease_frees_no_run_whose_start_is_under_way():
    """Guards against a run that executes twice."""
    agent = _start_agent()
    _order_starts(agent)
    now = NOW + 0.5
    while now < NOW + 12.0:
        agent.collect_due_calls(now)
        poll = agent.make_poll(now)
        silent = calls.Unanswered('timeout', sent=False)
        agent.handle_poll_result(now, now, poll, silent)
        assert agent.make_report(now).refused == ()
        now += 0.25


def test_starts_beyond_the_limit_stay_with_the_agent():
    """Guards against starts that leave after a drain or an order to stop.

    A start that waits in the client for others can't be withdrawn any more.
    """
    agent = _start_agent()
    due_calls = _order_starts(agent, 20)
    assert len(due_calls) == attempts.MAX_STARTS_UNDER_WAY
    accepted = calls.Accepted(1100)
    agent.handle_start_result(NOW + 0.1, due_calls[0], accepted)
    assert len(agent.collect_due_calls(NOW + 0.1)) == 1
    draining = _make_profile(FORMER, draining=True)
    agent.handle_heartbeat(NOW + 0.2, draining, 1200)
    agent.handle_start_result(NOW + 0.3, due_calls[1], accepted)
    assert agent.collect_due_calls(NOW + 0.3) == []

"""Tests of runs that an agent has reported as refused."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
LIFETIME = work.Lifetime('w1', 1)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
RUNNING = (work.RunningRun(RUN, '', 5.0),)


def _make_orders(sequence, starts=(), stops=()):
    return orders.Orders(5, sequence, 'c', LIFETIME, NOW, 0, starts, stops, ())


def _make_agent():
    """Return a new agent process with an order to start a run."""
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    capacity = work.Resources(1000, 1000, 8)
    profile = orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )
    agent.handle_heartbeat(NOW, profile, 1000)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(1, starts=(start,)))
    return agent


def _refuse_start(agent, now):
    (call,) = agent.collect_due_calls(now)
    agent.handle_start_result(now, call, calls.Refused('status 503'))


def _poll(agent, now):
    lists = calls.Lists(int((now - NOW) * 1000) + 1000, 1, RUNNING, ())
    agent.handle_poll_result(now, now, agent.make_poll(now), lists)


def test_refused_run_that_the_worker_lists_is_not_reported_as_gone():
    """Guards against a run that executes twice.

    A call of a former agent process may have started the run that an
    unhealthy worker now refuses to start again.
    """
    agent = _make_agent()
    _refuse_start(agent, NOW)
    _poll(agent, NOW + 0.1)
    assert agent.make_report(NOW + 0.2).refused == ()


def test_refused_run_that_the_worker_lists_can_be_stopped():
    """Guards against a run that goes on beside its successor.

    Once the worker lists a run that was reported as refused, an order to stop
    it must reach the worker.
    """
    agent = _make_agent()
    _refuse_start(agent, NOW)
    _poll(agent, NOW + 0.1)
    agent.handle_orders(NOW + 0.3, _make_orders(2, stops=(RUN,)))
    due_calls = agent.collect_due_calls(NOW + 0.4)
    assert [call.run for call in due_calls] == [RUN]

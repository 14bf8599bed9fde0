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


def _list_earlier_ends(now):
    """Return lists that are cut short after ends of other runs."""
    other = work.Item('another', 0, 0, 0)
    ended = tuple(
        work.EndedRun(n, work.Run(other, n), work.Ending.FAILED, '')
        for n in range(1, work.MAX_LISTED_ENDS + 1)
    )
    clock = int((now - NOW) * 1000) + 1000
    return calls.Lists(clock, 1, (), ended, False)


def test_stopped_run_is_not_refused_on_lists_that_are_cut_short():
    """Guards against a work item that starts after it has ended.

    The end of a run that has ended well may follow in the worker's next list.
    """
    agent = _make_agent()
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Accepted(1000))
    agent.handle_orders(NOW + 0.1, _make_orders(2, stops=(RUN,)))
    (call,) = agent.collect_due_calls(NOW + 0.1)
    agent.handle_stop_result(NOW + 0.1, call, calls.Accepted(1100))
    now = NOW + 0.2
    lists = _list_earlier_ends(now)
    agent.handle_poll_result(now, now, agent.make_poll(now), lists)
    report = agent.make_report(now)
    assert report.refused == ()
    assert not report.has_all_runs()
    lists = calls.Lists(1300, 1, (), ())
    agent.handle_poll_result(
        NOW + 0.3, NOW + 0.3, agent.make_poll(NOW + 0.3), lists
    )
    assert agent.is_report_due(NOW + 0.3)
    report = agent.make_report(NOW + 0.3)
    assert [refused.run for refused in report.refused] == [RUN]
    assert report.has_all_runs()


def test_repeated_start_waits_for_lists_that_are_not_cut_short():
    """Guards against a stop of a run that a former process has started.

    Lists that are cut short do not show whether the run has ended.
    """
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    capacity = work.Resources(1000, 1000, 8)
    profile = orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )
    agent.handle_heartbeat(NOW, profile, 1000)
    start = orders.StartOrder(RUN, 'content', '', repeated=True)
    agent.handle_orders(NOW, _make_orders(1, starts=(start,)))
    now = NOW + 0.1
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, _list_earlier_ends(now))
    assert agent.collect_due_calls(now) == []
    agent.make_report(now)
    poll = agent.make_poll(now)
    assert poll.wait == 0.0
    agent.handle_poll_result(now, now, poll, calls.Lists(1100, 1, (), ()))
    assert agent.is_report_due(now), 'the coordinator waits for the lists'
    assert [call.order.run for call in agent.collect_due_calls(now)] == [RUN]

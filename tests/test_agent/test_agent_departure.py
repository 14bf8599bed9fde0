"""Tests of a worker's notice that it leaves, and of what proves its end."""

from __future__ import annotations

import logging

import msgspec
import pytest

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders

FENCE = 5
GRANT_S = 9.0
LEASE_S = 4.0
STOP_S = 0.5
NOW = 50.0
LIFETIME = work.Lifetime('w1', 1000)
NEXT_LIFETIME = work.Lifetime('w2', 9000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
OTHER_RUN = work.Run(work.Item('1' * 16, 0, 0, 0), 1)
REFUSED = calls.Unanswered('connection refused', sent=False, refused=True)


def _make_profile(lifetime=LIFETIME, draining=True):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, draining, 0.0
    )


def _make_orders(sequence, echo, *runs):
    starts = tuple(orders.StartOrder(run, 'spec', '') for run in runs)
    return orders.Orders(
        FENCE, sequence, 'c', LIFETIME, echo, 0, starts, (), ()
    )


def _make_agent():
    """Return an agent whose worker runs RUN and drains."""
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.handle_heartbeat(NOW, _make_profile(draining=False), 1000)
    agent.handle_orders(NOW, _make_orders(1, NOW, RUN))
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Accepted(1000))
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    _poll(agent, NOW, _make_lists(NOW))
    return agent


def _make_lists(now, ended=()):
    """Return the lists of a worker that still runs RUN."""
    clock = 1000 + int((now - NOW) * 1000)
    running = (work.RunningRun(RUN, '', 5.0),)
    return calls.Lists(clock, LIFETIME.born, running, ended)


def _poll(agent, now, result):
    agent.collect_due_calls(now)
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)
    return poll


def test_notice_is_no_end_while_the_worker_answers():
    """Guards against a run that executes twice.

    A worker whose notice is not acknowledged in time goes on for seconds. An
    agent that stood still reads the notice only then.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    for step in range(1, 8):
        now = NOW + 0.1 + step * 0.5
        agent.handle_orders(now, _make_orders(step + 1, now - 0.1))
        poll = _poll(agent, now, _make_lists(now))
        report = agent.make_report(now)
        assert report.left is None, 'the run is free to start elsewhere'
        assert [row.run for row in report.running] == [RUN]
        assert poll.until is None, 'the lease is renewed'
        assert not poll.wait


def test_nothing_starts_after_the_notice():
    """Guards against work that is lost with its worker (DRAIN).

    A heartbeat that was overtaken by the notice says that the worker does not
    drain.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    agent.handle_heartbeat(NOW + 0.2, _make_profile(draining=False), 1000)
    agent.handle_orders(NOW + 0.2, _make_orders(2, NOW, OTHER_RUN))
    assert agent.collect_due_calls(NOW + 0.2) == []
    assert agent.make_report(NOW + 0.2).profile.draining


def test_refused_connection_proves_the_end(caplog):
    """Guards against runs that wait for the lease of a worker that has left.

    Its end is no crash, and its log line tells what has proved it.
    """
    caplog.set_level(logging.INFO)
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    _poll(agent, NOW + 0.15, _make_lists(NOW + 0.15))
    _poll(agent, NOW + 0.2, REFUSED)
    report = agent.make_report(NOW + 0.2)
    assert report.left == LIFETIME
    assert report.profile is None
    assert report.crashes == ()
    (record,) = [r for r in caplog.records if r.message == 'worker left']
    assert record.proof == 'refused connection'
    assert record.seconds == 0.1


@pytest.mark.parametrize(
    'result',
    [
        calls.Unanswered('timeout'),
        calls.Unanswered('network unreachable', sent=False),
    ],
)
def test_call_without_an_answer_proves_no_end(result):
    """Guards against a run that executes twice.

    A worker that is overloaded or frozen, or a full queue of connections,
    leaves a call unanswered, too.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    _poll(agent, NOW + 0.2, result)
    report = agent.make_report(NOW + 0.2)
    assert report.left is None
    assert report.profile.lifetime == LIFETIME


def test_refused_connection_without_a_notice_proves_nothing():
    """Guards against a crash that is hidden by a proof of leaving."""
    agent = _make_agent()
    _poll(agent, NOW + 0.2, REFUSED)
    assert agent.make_report(NOW + 0.2).left is None


def test_silent_worker_has_left_when_its_lease_has_ended(caplog):
    """Guards against runs that are kept for ever, or given up too early."""
    caplog.set_level(logging.INFO)
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    now = NOW
    while agent.make_report(now).left is None:
        now += 0.25
        agent.collect_due_calls(now)
        poll = agent.make_poll(now)
        if poll is not None:
            timeout = calls.Unanswered('timeout')
            agent.handle_poll_result(now, now, poll, timeout)
        assert now < NOW + 8.0, 'the end is never reported'
    # 4 s of lease, 2% for a slow clock, and the times of notice and stop.
    assert now > NOW + 5.0
    (record,) = [r for r in caplog.records if r.message == 'worker left']
    assert record.proof == 'lease ended'


def test_answer_of_another_process_proves_the_end():
    """Guards against runs that wait for the lease of a worker that has left.

    The worker beside the agent has another id and registers only later.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    _poll(agent, NOW + 0.2, calls.Refused(calls.OTHER_LIFETIME))
    report = agent.make_report(NOW + 0.2)
    assert report.left == LIFETIME
    assert report.profile is None
    assert report.crashes == ()
    agent.handle_heartbeat(NOW + 1.0, _make_profile(NEXT_LIFETIME, False), 10)
    report = agent.make_report(NOW + 1.0)
    assert report.profile.lifetime == NEXT_LIFETIME
    assert report.crashes == ()


def test_next_process_of_the_same_id_does_not_free_the_runs():
    """Guards against a run that executes twice.

    A start call to the process that has left may reach the next one of the
    same id, so the coordinator first stops its runs there.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    lists = calls.Lists(10, LIFETIME.born + 3000, (), ())
    _poll(agent, NOW + 3.0, lists)
    report = agent.make_report(NOW + 3.0)
    assert report.left is None
    assert report.profile is None
    assert report.crashes == ()


def test_run_that_ends_after_the_notice_is_reported():
    """Guards against work that is done again although its end was listed.

    The process ends before the coordinator has recorded the end.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    ended = work.EndedRun(1, RUN, work.Ending.DONE, '')
    lists = calls.Lists(1200, LIFETIME.born, (), (ended,))
    _poll(agent, NOW + 0.2, lists)
    _poll(agent, NOW + 0.25, REFUSED)
    report = agent.make_report(NOW + 0.25)
    assert report.ended == (ended,)
    assert report.left is None
    message = _make_orders(2, NOW + 0.25)
    recorded = msgspec.structs.replace(message, observed=1)
    agent.handle_orders(NOW + 0.3, recorded)
    _poll(agent, NOW + 0.35, REFUSED)
    assert agent.make_report(NOW + 0.35).left == LIFETIME


def test_end_that_a_new_coordinator_can_not_read_delays_nothing():
    """Guards against runs that wait for the lease of a worker that has left.

    The lists were read for the former coordinator, and the process is gone.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    ended = work.EndedRun(1, RUN, work.Ending.DONE, '')
    _poll(agent, NOW + 0.2, calls.Lists(1200, LIFETIME.born, (), (ended,)))
    message = msgspec.structs.replace(
        _make_orders(1, NOW + 0.2), fence=FENCE + 1
    )
    agent.handle_orders(NOW + 0.25, message)
    _poll(agent, NOW + 0.3, REFUSED)
    assert agent.make_report(NOW + 0.3).left == LIFETIME


def test_heartbeat_of_a_worker_that_has_left_does_not_bring_it_back():
    """Guards against work that is started for a process that has ended."""
    agent = _make_agent()
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    _poll(agent, NOW + 0.2, REFUSED)
    agent.handle_heartbeat(NOW + 0.3, _make_profile(draining=False), 1300)
    assert agent.profile is None
    agent.handle_heartbeat(NOW + 1.0, _make_profile(NEXT_LIFETIME, False), 10)
    assert agent.profile.lifetime == NEXT_LIFETIME
    assert not agent.is_worker_leaving()


def test_agent_that_restarts_after_the_notice_waits_for_the_lease():
    """Guards against a run that executes twice.

    The new process does not know of the notice. It must not take a worker
    that does not answer for one that has left.
    """
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.start(NOW)
    agent.handle_leave(NOW + 0.1, LIFETIME.worker)
    agent.handle_heartbeat(NOW + 0.2, _make_profile(), 1200)
    agent.handle_orders(NOW + 0.2, _make_orders(2, NOW + 0.1))
    _poll(agent, NOW + 0.2, _make_lists(NOW + 0.2))
    now = NOW + 0.2
    while now < NOW + 4.5:
        now += 0.25
        _poll(agent, now, REFUSED)
        report = agent.make_report(now)
        assert report.left is None
        assert report.refused == ()
    while not agent.make_report(now).refused:
        now += 0.25
        _poll(agent, now, REFUSED)
        assert now < NOW + 8.0, 'the runs are kept for ever'


def test_next_process_that_registers_during_a_departure_stays_in_use():
    """Guards against a worker that is taken for ended as soon as it is known.

    The heartbeat of the next process arrives before the former one has ended,
    and is repeated after that.
    """
    agent = _make_agent()
    agent.handle_leave(NOW + 1.0, LIFETIME.worker)
    next_profile = _make_profile(NEXT_LIFETIME, draining=False)
    agent.handle_heartbeat(NOW + 1.1, next_profile, 10)
    _poll(agent, NOW + 1.2, REFUSED)
    agent.handle_heartbeat(NOW + 2.0, next_profile, 900)
    _poll(agent, NOW + 2.1, REFUSED)
    report = agent.make_report(NOW + 2.2)
    assert report.left == LIFETIME
    assert report.profile is not None
    assert report.profile.lifetime == NEXT_LIFETIME

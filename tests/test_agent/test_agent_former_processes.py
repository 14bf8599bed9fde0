"""Tests of what reaches an agent from or for former processes."""

from __future__ import annotations

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
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)


def _make_profile(lifetime=LIFETIME):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )


def _make_orders(sequence, echo, lifetime=LIFETIME):
    return orders.Orders(FENCE, sequence, 'c', lifetime, echo, 0, (), (), ())


def _start_agent(now, lifetime=LIFETIME):
    """Return an agent that has just started and heard from its worker."""
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.start(now)
    agent.handle_heartbeat(now, _make_profile(lifetime), 1000)
    return agent


def _poll(agent, now, result):
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)
    return poll


def test_orders_that_answer_a_former_agent_process_renew_no_lease():
    """Guards against a run that executes twice.

    The steady clock of a machine that lost power starts anew, so that the
    time of a report of the former agent process may be far ahead. Orders that
    answer such a report must not let the agent renew the lease for ever,
    while the coordinator counts on the end of the grant.
    """
    agent = _start_agent(now=2.0)
    late = _make_orders(7, echo=5000.0, lifetime=work.Lifetime('w0', 900))
    agent.handle_orders(3.0, late)
    clock = 3000
    for now in range(4, 60):
        clock += 1000
        lists = calls.Lists(clock, LIFETIME.born, (), ())
        until = _poll(agent, float(now), lists).until
        assert until is None, f'the lease is renewed at {now} s'


def test_delayed_notice_of_a_former_worker_leaves_the_new_one_in_use():
    """Guards against a run that executes twice.

    A worker leaves and starts again under its id. Its notice, read only
    after the new process has registered, must not report the new process as
    gone: the coordinator would start its runs elsewhere.
    """
    agent = _start_agent(NOW)
    agent.handle_orders(NOW, _make_orders(1, NOW))
    newer = work.Lifetime(LIFETIME.worker, LIFETIME.born + 3000)
    agent.handle_heartbeat(NOW + 3.0, _make_profile(newer), 100)
    running = (work.RunningRun(RUN, '', 5.0),)
    lists = calls.Lists(200, newer.born, running, ())
    _poll(agent, NOW + 3.1, lists)
    agent.handle_leave(NOW + 3.2, LIFETIME.worker)
    report = agent.make_report(NOW + 3.2)
    assert report.left != newer


def test_delayed_heartbeat_does_not_bring_back_a_restarted_process():
    """Guards against work that is started for a process that has ended.

    A list shows that the worker was restarted under its id. A heartbeat of
    the former process that arrives before the first one of the new process
    must not make the agent use the former process again.
    """
    agent = _start_agent(NOW)
    agent.handle_orders(NOW, _make_orders(1, NOW))
    born = LIFETIME.born + 3000
    _poll(agent, NOW + 3.1, calls.Lists(200, born, (), ()))
    assert agent.profile is None
    agent.handle_heartbeat(NOW + 3.2, _make_profile(), 4100)
    assert agent.profile is None


def test_worker_born_after_the_time_of_day_was_set_back_is_used():
    """Guards against an agent that keeps to a crashed worker for ever.

    The next worker on the machine has a lower ``born`` if the time of day was
    set back meanwhile. It refuses calls to the former one with 421.
    """
    agent = _start_agent(NOW)
    agent.handle_orders(NOW, _make_orders(1, NOW))
    running = (work.RunningRun(RUN, '', 5.0),)
    _poll(agent, NOW, calls.Lists(1000, LIFETIME.born, running, ()))
    next_lifetime = work.Lifetime('w2', LIFETIME.born - 400)
    for step in range(10):
        now = NOW + 1.0 + step
        poll = agent.make_poll(now)
        result = calls.Lists(step * 1000, next_lifetime.born, (), ())
        if poll.lifetime == LIFETIME:
            result = calls.Refused('another lifetime')
        agent.handle_poll_result(now, now, poll, result)
        agent.handle_heartbeat(now, _make_profile(next_lifetime), 100)
    report = agent.make_report(NOW + 12.0)
    assert report.profile.lifetime == next_lifetime
    assert not report.running


def _order_start(agent, now):
    """Order a start and return its call."""
    start = orders.StartOrder(RUN, 'content', '')
    message = orders.Orders(FENCE, 1, 'c', LIFETIME, now, 0, (start,), (), ())
    agent.handle_orders(now, message)
    (call,) = agent.collect_due_calls(now)
    return call


def test_another_process_at_the_address_ends_the_known_one():
    """Guards against starts that are repeated for a process that has ended."""
    agent = _start_agent(NOW)
    call = _order_start(agent, NOW + 0.1)
    other = calls.OtherProcess(work.Lifetime('w1', 900), 0)
    agent.handle_start_result(NOW + 0.5, call, other)
    assert agent.profile is None
    agent.handle_heartbeat(NOW + 0.6, _make_profile(other.lifetime), 10)
    assert agent.profile.lifetime == other.lifetime
    assert not agent.collect_due_calls(NOW + 1.0)


def test_acknowledgement_that_was_not_sent_hides_no_ends():
    """Guards against runs that are stopped although no end can be hidden."""
    agent = _start_agent(NOW)
    agent.handle_orders(NOW + 0.1, _make_orders(1, NOW + 0.05))
    other = calls.OtherProcess(work.Lifetime('w1', 2000), 0)
    # Calls of a former process of the agent can't be late any more.
    _poll(agent, NOW + 20.0, other)
    agent.handle_heartbeat(NOW + 20.1, _make_profile(other.lifetime), 10)
    agent.handle_orders(
        NOW + 20.2, _make_orders(2, NOW + 20.1, other.lifetime)
    )
    row = work.RunningRun(RUN, '', 10.0)
    _poll(agent, NOW + 20.3, calls.Lists(300, 2000, (row,), ()))
    assert not agent.collect_due_calls(NOW + 20.4)


def test_withheld_start_is_sent_later_and_logged_elsewhere(caplog):
    """Guards against a run given up as its worker can't be identified yet.

    The connection pool logs the reason at a bounded rate; the agent would add
    a record for each start and each try.
    """
    caplog.set_level('INFO')
    agent = _start_agent(NOW)
    call = _order_start(agent, NOW + 0.1)
    caplog.clear()
    agent.handle_start_result(NOW + 0.5, call, calls.Withheld('no birth'))
    assert not caplog.records
    assert agent.make_report(NOW + 0.6).refused == ()
    (repeated,) = agent.collect_due_calls(NOW + 0.7)
    assert repeated.order == call.order

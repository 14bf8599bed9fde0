"""Tests of the agent's orders, voids and leases."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
LIFETIME = work.Lifetime('w1', 1)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)


def _make_profile(draining=False, lifetime=LIFETIME):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, draining, 0.0
    )


def _make_orders(sequence=1, fence=5, echo=NOW, starts=(), stops=()):
    return orders.Orders(
        fence, sequence, 'c', LIFETIME, echo, 0, starts, stops, ()
    )


def _make_agent():
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    return agent


def _start(agent, sequence=1, fence=5):
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(sequence, fence, starts=(start,)))


def test_lease_ends_with_the_grant():
    """A worker that outlives the grant could run what runs elsewhere."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    assert agent.make_hold(NOW).until == 1000 + 4000
    _look(agent, NOW + 6.0, calls.Lists(7000, 1, (), ()))
    assert agent.make_hold(NOW + 6.0).until == 1000 + 9000
    assert agent.make_hold(NOW + 9.5).until is None


def test_start_without_an_answer_is_repeated_and_then_voided():
    """A start that may arrive later must be void before it is given up."""
    agent = _make_agent()
    _start(agent)
    (call,) = agent.take_calls(NOW)
    agent.note_start(NOW, call, calls.Unanswered('timeout'))
    (again,) = agent.take_calls(NOW + 1.0)
    agent.note_start(NOW + 1.0, again, calls.Refused('room'))
    assert agent.make_report(NOW + 1.0).refused == ()
    (stop,) = agent.take_calls(NOW + 1.1)
    assert isinstance(stop, calls.StopCall)
    agent.note_stop(NOW + 1.2, stop, calls.Accepted(1))
    hold = agent.make_hold(NOW + 1.3)
    lists = calls.Lists(2300, 1, (), ())
    agent.note_held(NOW + 1.4, NOW + 1.3, hold, lists)
    refused = agent.make_report(NOW + 1.4).refused
    assert [row.run for row in refused] == [RUN]


def test_list_read_before_the_stop_proves_nothing():
    """A start may be carried out between the list and the stop."""
    agent = _make_agent()
    _start(agent)
    (call,) = agent.take_calls(NOW)
    agent.note_start(NOW, call, calls.Unanswered('timeout'))
    hold = agent.make_hold(NOW)
    agent.handle_orders(NOW, _make_orders(2, stops=(RUN,)))
    (stop,) = agent.take_calls(NOW + 0.1)
    agent.note_stop(NOW + 0.3, stop, calls.Accepted(1))
    lists = calls.Lists(1400, 1, (), ())
    agent.note_held(NOW + 0.4, NOW + 0.2, hold, lists)
    assert agent.make_report(NOW + 0.4).refused == ()


def test_draining_worker_gets_no_start():
    """A worker that leaves would end what it has just begun."""
    agent = _make_agent()
    agent.handle_heartbeat(NOW, _make_profile(draining=True), 1000)
    _start(agent)
    assert agent.take_calls(NOW) == []
    assert agent.make_report(NOW).refused[0].reason == 'draining'


def test_orders_of_a_former_coordinator_are_refused():
    """Two coordinators must never both order starts."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders(fence=7))
    start = orders.StartOrder(RUN, 'content', '')
    late = _make_orders(9, fence=5, starts=(start,))
    assert not agent.handle_orders(NOW, late)
    assert agent.take_calls(NOW) == []


def test_new_coordinator_voids_what_was_not_started():
    """The new coordinator decides anew on runs that no list shows."""
    agent = _make_agent()
    _start(agent)
    agent.handle_orders(NOW, _make_orders(1, fence=8))
    assert agent.take_calls(NOW) == []


def test_late_heartbeat_of_a_former_worker_is_ignored():
    """A delayed heartbeat must not bring a dead worker back."""
    agent = _make_agent()
    newer = work.Lifetime('w2', 9)
    agent.handle_heartbeat(NOW, _make_profile(lifetime=newer), 10)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    assert agent.profile.lifetime == newer


def _look(agent, now, result):
    hold = agent.make_hold(now)
    agent.note_held(now, now, hold, result)


def _fall_silent(agent, since, until):
    """Leave all looks unanswered, four a second as the loop makes them."""
    now = since
    while now < until:
        now += 0.25
        agent.take_calls(now)
        _look(agent, now, calls.Unanswered('timeout'))
    return now


def test_silent_worker_is_reported_and_gets_no_starts():
    """Work that is placed on a dead worker waits for its whole lease."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _look(agent, NOW, calls.Lists(1000, 1, (), ()))
    assert agent.make_report(NOW + 0.5).silence == 0.0
    now = _fall_silent(agent, NOW, NOW + 2.0)
    assert agent.make_report(now).silence == 2.0
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(now, _make_orders(2, echo=now, starts=(start,)))
    assert agent.take_calls(now) == []
    assert agent.make_hold(now).until is None
    _look(agent, now, calls.Lists(3000, 1, (), ()))
    assert agent.make_report(now + 0.1).silence == 0.0
    echo = now + 0.1
    agent.handle_orders(echo, _make_orders(3, echo=echo, starts=(start,)))
    assert len(agent.take_calls(echo)) == 1


def test_runs_of_a_silent_worker_are_gone_with_its_lease():
    """Waiting for the whole grant keeps lost work from starting elsewhere."""
    agent = _make_agent()
    _start(agent)
    (call,) = agent.take_calls(NOW)
    agent.note_start(NOW, call, calls.Accepted(1000))
    row = work.RunningRun(RUN, '', 10.0)
    _look(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    # The last grant went out with the look that failed; the worker's clock
    # may be 2% slow.
    until = NOW + 0.25 + 4.0
    now = _fall_silent(agent, NOW, until)
    assert agent.make_report(now).refused == ()
    now = _fall_silent(agent, now, until + 1.5)
    report = agent.make_report(now)
    assert [row.run for row in report.refused] == [RUN]
    assert report.running == ()
    # The order is still on its way to this agent: it must not start again.
    agent.handle_orders(
        now,
        _make_orders(2, starts=(orders.StartOrder(RUN, 'content', ''),)),
    )
    _look(agent, now, calls.Lists(9000, 1, (), ()))
    assert agent.take_calls(now) == []


def test_suspension_does_not_end_a_lease_early():
    """The worker's clock may stand still with the agent's machine."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    row = work.RunningRun(RUN, '', 10.0)
    _look(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    now = NOW + 20.0
    agent.take_calls(now)
    _look(agent, now, calls.Unanswered('timeout'))
    agent.take_calls(now + 0.25)
    assert agent.make_report(now + 0.25).refused == ()


def test_former_agent_may_have_granted_a_whole_lease():
    """A restarted agent does not know what its predecessor has granted."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(2, starts=(start,)))
    now = _fall_silent(agent, NOW, NOW + 4.0)
    assert agent.make_report(now).refused == ()


def test_start_that_is_no_longer_ordered_is_withdrawn():
    """The coordinator may have started it elsewhere in the meantime."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _look(agent, NOW, calls.Lists(1000, 1, (), ()))
    now = _fall_silent(agent, NOW, NOW + 2.0)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(now, _make_orders(2, echo=now, starts=(start,)))
    agent.handle_orders(now, _make_orders(3, echo=now))
    _look(agent, now, calls.Lists(3000, 1, (), ()))
    agent.handle_orders(now, _make_orders(4, echo=now + 0.1))
    assert agent.take_calls(now) == []


def test_start_that_runs_is_kept_when_it_is_confirmed():
    """Orders leave confirmed runs out; that must not stop them."""
    agent = _make_agent()
    _start(agent)
    (call,) = agent.take_calls(NOW)
    agent.note_start(NOW, call, calls.Unanswered('timeout'))
    row = work.RunningRun(RUN, '', 1.0)
    _look(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    agent.handle_orders(NOW, _make_orders(2))
    assert agent.take_calls(NOW + 1.0) == []


def test_lease_is_not_renewed_on_grants_from_before_a_silence():
    """The coordinator counts on the end of a silent worker's lease."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _look(agent, NOW, calls.Lists(1000, 1, (), ()))
    now = _fall_silent(agent, NOW, NOW + 2.0)
    report = agent.make_report(now)
    # 4 s of lease and 2%, less the silence, and 1 s for a stop and to notice.
    assert 3.0 < report.lapse < 3.6
    _look(agent, now + 0.1, calls.Lists(3100, 1, (), ()))
    assert agent.make_hold(now + 0.1).until is None
    agent.handle_orders(now + 0.1, _make_orders(2, echo=now))
    assert agent.make_hold(now + 0.1).until is None
    agent.handle_orders(now + 0.2, _make_orders(3, echo=now + 0.1))
    assert agent.make_hold(now + 0.2).until is not None


def test_lease_is_renewed_only_while_looks_are_answered():
    """Each renewal of a dead worker keeps its runs from starting elsewhere."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _look(agent, NOW, calls.Lists(1000, 1, (), ()))
    _look(agent, NOW + 0.5, calls.Unanswered('refused'))
    assert agent.make_hold(NOW + 0.5).until is None
    _look(agent, NOW + 0.6, calls.Lists(1600, 1, (), ()))
    assert agent.make_hold(NOW + 0.6).until == 1000 + 600 + 4000


def test_restarted_agent_uses_no_grant_of_its_predecessor():
    """The predecessor may have told that a silent worker is not renewed."""
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.begin(NOW)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    agent.handle_orders(NOW + 0.1, _make_orders(echo=NOW - 2.0))
    assert agent.make_hold(NOW + 0.1).until is None
    agent.handle_orders(NOW + 0.2, _make_orders(2, echo=NOW + 0.1))
    assert agent.make_hold(NOW + 0.2).until is not None


def test_late_heartbeat_does_not_hide_a_predecessors_grant():
    """The first answer tells the clock that the predecessor granted by."""
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.begin(NOW)
    # The heartbeat is 3 s late: the worker's clock is at 4,000 by now.
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(echo=NOW - 1.0, starts=(start,)))
    row = work.RunningRun(RUN, '', 10.0)
    _look(agent, NOW + 0.1, calls.Lists(4000, 1, (row,), ()))
    now = _fall_silent(agent, NOW + 0.1, NOW + 4.0)
    assert agent.make_report(now).refused == ()

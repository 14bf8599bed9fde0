"""Tests of the agent's start and stop orders and lease renewals."""

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


def _order_start(agent, sequence=1, fence=5):
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(sequence, fence, starts=(start,)))


def test_lease_ends_with_the_grant():
    """Guards against a run that executes twice.

    A lease that outlasts the coordinator's grant keeps a run on this worker
    while the coordinator starts it elsewhere.
    """
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    assert agent.make_poll(NOW).until == 1000 + 4000
    _poll(agent, NOW + 6.0, calls.Lists(7000, 1, (), ()))
    assert agent.make_poll(NOW + 6.0).until == 1000 + 9000
    assert agent.make_poll(NOW + 9.5).until is None


def test_start_without_an_answer_is_repeated_and_then_stopped():
    """Guards against a start call that arrives after its run was given up.

    The agent stops the run first and reports it as refused only once a list
    shows that the run is absent.
    """
    agent = _make_agent()
    _order_start(agent)
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Unanswered('timeout'))
    (repeated_call,) = agent.collect_due_calls(NOW + 1.0)
    agent.handle_start_result(NOW + 1.0, repeated_call, calls.Refused('room'))
    assert agent.make_report(NOW + 1.0).refused == ()
    (stop,) = agent.collect_due_calls(NOW + 1.1)
    assert isinstance(stop, calls.StopCall)
    agent.handle_stop_result(NOW + 1.2, stop, calls.Accepted(1))
    poll = agent.make_poll(NOW + 1.3)
    lists = calls.Lists(2300, 1, (), ())
    agent.handle_poll_result(NOW + 1.4, NOW + 1.3, poll, lists)
    refused = agent.make_report(NOW + 1.4).refused
    assert [row.run for row in refused] == [RUN]


def test_list_requested_before_the_stop_does_not_confirm_it():
    """Guards against a run that is reported as refused while it runs.

    The worker may carry out a start call after it has sent its list and before
    it receives the stop call.
    """
    agent = _make_agent()
    _order_start(agent)
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Unanswered('timeout'))
    poll = agent.make_poll(NOW)
    agent.handle_orders(NOW, _make_orders(2, stops=(RUN,)))
    (stop,) = agent.collect_due_calls(NOW + 0.1)
    agent.handle_stop_result(NOW + 0.3, stop, calls.Accepted(1))
    lists = calls.Lists(1400, 1, (), ())
    agent.handle_poll_result(NOW + 0.4, NOW + 0.2, poll, lists)
    assert agent.make_report(NOW + 0.4).refused == ()


def test_draining_worker_gets_no_start():
    """Guards against lost work: a draining worker soon ends all its runs."""
    agent = _make_agent()
    agent.handle_heartbeat(NOW, _make_profile(draining=True), 1000)
    _order_start(agent)
    assert agent.collect_due_calls(NOW) == []
    assert agent.make_report(NOW).refused[0].reason == 'draining'


def test_orders_of_a_previous_coordinator_are_refused():
    """Guards against two coordinators that both start the same run."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders(fence=7))
    start = orders.StartOrder(RUN, 'content', '')
    late = _make_orders(9, fence=5, starts=(start,))
    assert not agent.handle_orders(NOW, late)
    assert agent.collect_due_calls(NOW) == []


def test_new_coordinator_discards_unsent_starts_of_the_previous_one():
    """Guards against a start that the new coordinator did not order.

    The new coordinator decides again on each run that the worker does not
    list, and may start it elsewhere.
    """
    agent = _make_agent()
    _order_start(agent)
    agent.handle_orders(NOW, _make_orders(1, fence=8))
    assert agent.collect_due_calls(NOW) == []


def test_delayed_heartbeat_of_a_previous_worker_is_ignored():
    """Guards against a delayed heartbeat that replaces the live worker."""
    agent = _make_agent()
    newer = work.Lifetime('w2', 9)
    agent.handle_heartbeat(NOW, _make_profile(lifetime=newer), 10)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    assert agent.profile.lifetime == newer


def _poll(agent, now, result):
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)


def _leave_polls_unanswered(agent, since, until):
    """Leave the polls unanswered, four a second as in the agent's loop."""
    now = since
    while now < until:
        now += 0.25
        agent.collect_due_calls(now)
        _poll(agent, now, calls.Unanswered('timeout'))
    return now


def test_silent_worker_is_reported_and_gets_no_starts():
    """Guards against a run that waits for the whole lease of a dead worker."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _poll(agent, NOW, calls.Lists(1000, 1, (), ()))
    assert agent.make_report(NOW + 0.5).silence == 0.0
    now = _leave_polls_unanswered(agent, NOW, NOW + 2.0)
    assert agent.make_report(now).silence == 2.0
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(now, _make_orders(2, echo=now, starts=(start,)))
    assert agent.collect_due_calls(now) == []
    assert agent.make_poll(now).until is None
    _poll(agent, now, calls.Lists(3000, 1, (), ()))
    assert agent.make_report(now + 0.1).silence == 0.0
    echo = now + 0.1
    agent.handle_orders(echo, _make_orders(3, echo=echo, starts=(start,)))
    assert len(agent.collect_due_calls(echo)) == 1


def test_runs_of_a_silent_worker_are_refused_when_its_lease_expires():
    """Guards against a slow restart of lost runs.

    The agent reports the runs as refused once the lease of a silent worker has
    expired; waiting for the longer grant would delay their restart elsewhere.
    """
    agent = _make_agent()
    _order_start(agent)
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Accepted(1000))
    row = work.RunningRun(RUN, '', 10.0)
    _poll(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    # The last renewal was sent with the first unanswered poll, and the
    # worker's clock may run 2% slow.
    until = NOW + 0.25 + 4.0
    now = _leave_polls_unanswered(agent, NOW, until)
    assert agent.make_report(now).refused == ()
    now = _leave_polls_unanswered(agent, now, until + 1.5)
    report = agent.make_report(now)
    assert [row.run for row in report.refused] == [RUN]
    assert report.running == ()
    # A start order that was sent before the report must not start the run
    # again.
    agent.handle_orders(
        now,
        _make_orders(2, starts=(orders.StartOrder(RUN, 'content', ''),)),
    )
    _poll(agent, now, calls.Lists(9000, 1, (), ()))
    assert agent.collect_due_calls(now) == []


def test_suspension_does_not_end_a_lease_early():
    """Guards against giving up live runs after a suspension of the machine.

    The worker's clock may stand still while the agent's machine is suspended.
    """
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    row = work.RunningRun(RUN, '', 10.0)
    _poll(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    now = NOW + 20.0
    agent.collect_due_calls(now)
    _poll(agent, now, calls.Unanswered('timeout'))
    agent.collect_due_calls(now + 0.25)
    assert agent.make_report(now + 0.25).refused == ()


def test_restarted_agent_assumes_a_lease_renewed_in_full():
    """Guards against giving up live runs after a restart of the agent.

    The new process does not know until when the previous one renewed the
    lease.
    """
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(2, starts=(start,)))
    now = _leave_polls_unanswered(agent, NOW, NOW + 4.0)
    assert agent.make_report(now).refused == ()


def test_start_that_is_no_longer_ordered_is_withdrawn():
    """Guards against a start that the coordinator has moved elsewhere."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _poll(agent, NOW, calls.Lists(1000, 1, (), ()))
    now = _leave_polls_unanswered(agent, NOW, NOW + 2.0)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(now, _make_orders(2, echo=now, starts=(start,)))
    agent.handle_orders(now, _make_orders(3, echo=now))
    _poll(agent, now, calls.Lists(3000, 1, (), ()))
    agent.handle_orders(now, _make_orders(4, echo=now + 0.1))
    assert agent.collect_due_calls(now) == []


def test_listed_run_is_not_stopped_when_orders_omit_it():
    """Guards against a stop of a run because its start was confirmed.

    The coordinator leaves confirmed runs out of its orders.
    """
    agent = _make_agent()
    _order_start(agent)
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, calls.Unanswered('timeout'))
    row = work.RunningRun(RUN, '', 1.0)
    _poll(agent, NOW, calls.Lists(1000, 1, (row,), ()))
    agent.handle_orders(NOW, _make_orders(2))
    assert agent.collect_due_calls(NOW + 1.0) == []


def test_lease_is_not_renewed_on_grants_from_before_a_silence():
    """Guards against a lease that outlasts its reported expiry.

    The coordinator restarts the runs of a silent worker at the expiry that the
    agent has reported.
    """
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _poll(agent, NOW, calls.Lists(1000, 1, (), ()))
    now = _leave_polls_unanswered(agent, NOW, NOW + 2.0)
    report = agent.make_report(now)
    # 4 s of lease plus 2% for a slow clock, less the silence of 2 s, plus
    # 0.5 s to stop the run and 0.5 s for the worker to notice the expiry.
    assert 3.0 < report.lapse < 3.6
    _poll(agent, now + 0.1, calls.Lists(3100, 1, (), ()))
    assert agent.make_poll(now + 0.1).until is None
    agent.handle_orders(now + 0.1, _make_orders(2, echo=now))
    assert agent.make_poll(now + 0.1).until is None
    agent.handle_orders(now + 0.2, _make_orders(3, echo=now + 0.1))
    assert agent.make_poll(now + 0.2).until is not None


def test_lease_is_renewed_only_while_polls_are_answered():
    """Guards against renewals that delay the restart of lost runs."""
    agent = _make_agent()
    agent.handle_orders(NOW, _make_orders())
    _poll(agent, NOW, calls.Lists(1000, 1, (), ()))
    _poll(agent, NOW + 0.5, calls.Unanswered('refused'))
    assert agent.make_poll(NOW + 0.5).until is None
    _poll(agent, NOW + 0.6, calls.Lists(1600, 1, (), ()))
    assert agent.make_poll(NOW + 0.6).until == 1000 + 600 + 4000


def test_restarted_agent_ignores_grants_of_the_previous_process():
    """Guards against a lease that outlasts its reported expiry.

    The previous agent process may have reported that it does not renew the
    lease of a silent worker.
    """
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.start(NOW)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    agent.handle_orders(NOW + 0.1, _make_orders(echo=NOW - 2.0))
    assert agent.make_poll(NOW + 0.1).until is None
    agent.handle_orders(NOW + 0.2, _make_orders(2, echo=NOW + 0.1))
    assert agent.make_poll(NOW + 0.2).until is not None


def test_delayed_heartbeat_does_not_shorten_the_assumed_lease():
    """Guards against giving up live runs after a restart of the agent.

    A delayed heartbeat carries an old clock reading. Only the first answer
    shows the clock by which the previous agent may have renewed the lease.
    """
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.start(NOW)
    # The heartbeat is 3 s old: the worker's clock now reads 4,000 ms.
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(NOW, _make_orders(echo=NOW - 1.0, starts=(start,)))
    row = work.RunningRun(RUN, '', 10.0)
    _poll(agent, NOW + 0.1, calls.Lists(4000, 1, (row,), ()))
    now = _leave_polls_unanswered(agent, NOW + 0.1, NOW + 4.0)
    assert agent.make_report(now).refused == ()

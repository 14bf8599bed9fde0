"""Tests of what an agent tells of runs whose worker process was replaced."""

from __future__ import annotations

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.agent import fencing
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
FENCE = 5
LIFETIME = work.Lifetime('w1', 1000)
NEXT_LIFETIME = work.Lifetime('w1', 2000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
UNANSWERED = calls.Unanswered('timeout')
# Time in seconds within which a late call is carried out.
LATE_CALL_S = 12.0


def _make_profile(lifetime):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )


def _order(agent, sequence, now, fence=FENCE, session=1, **more):
    """Give an agent orders to start the run."""
    start = orders.StartOrder(RUN, 'content', '', **more)
    message = orders.Orders(
        fence, sequence, 'c', LIFETIME, now, 0, (start,), (), (),
        agent.process, session,
    )  # fmt: skip
    agent.handle_orders(now, message)


def _make_agent(session=1, **more):
    """Return an agent that was just started and its call for the run."""
    agent = agents.Agent('agent-1', 60.0, 4.0, 0.5)
    agent.start(NOW - 1.0)
    agent.handle_heartbeat(NOW, _make_profile(LIFETIME), 1000)
    _order(agent, 1, NOW, session=session, **more)
    poll = agent.make_poll(NOW)
    lists = calls.Lists(1000, LIFETIME.born, (), ())
    agent.handle_poll_result(NOW, NOW, poll, lists)
    (call,) = agent.collect_due_calls(NOW)
    return agent, call


def _replace_process(agent, now):
    """Let the worker's next process answer and send its heartbeat."""
    poll = agent.make_poll(now)
    lists = calls.Lists(10, NEXT_LIFETIME.born, (), ())
    agent.handle_poll_result(now, now, poll, lists)
    agent.handle_heartbeat(now, _make_profile(NEXT_LIFETIME), 10)
    _poll_next_process(agent, now)


def _poll_next_process(agent, now):
    poll = agent.make_poll(now)
    lists = calls.Lists(10, NEXT_LIFETIME.born, (), ())
    agent.handle_poll_result(now, now, poll, lists)


def test_start_under_way_to_a_replaced_process_is_undecided():
    """Guards against a run that starts elsewhere and in the next process.

    The call is under way when the process is replaced, and gets no answer.
    """
    agent, call = _make_agent()
    _replace_process(agent, NOW + 0.1)
    report = agent.make_report(NOW + 0.2)
    assert (report.undecided, report.decided) == ((RUN,), ())
    agent.handle_start_result(NOW + 0.5, call, UNANSWERED)
    report = agent.make_report(NOW + LATE_CALL_S)
    assert (report.undecided, report.decided) == ((RUN,), ())
    report = agent.make_report(NOW + calls.MAX_CALL_DELAY_S + 1.0)
    assert (report.undecided, report.knows_all_calls) == ((), True)


def test_start_whose_repeat_was_accepted_stays_undecided():
    """Guards against the first copy of a start that is carried out late."""
    agent, call = _make_agent()
    agent.handle_start_result(NOW + 0.5, call, UNANSWERED)
    (repeat,) = agent.collect_due_calls(NOW + 1.0)
    agent.handle_start_result(NOW + 1.1, repeat, calls.Accepted(1100))
    _replace_process(agent, NOW + 2.0)
    assert agent.make_report(NOW + 2.0).undecided == (RUN,)


def test_start_that_is_stopped_while_it_is_under_way_is_undecided():
    """Guards against a call that is forgotten as its run is stopped."""
    agent, _ = _make_agent()
    message = orders.Orders(
        FENCE, 2, 'c', LIFETIME, NOW, 0, (), (RUN,), (), agent.process, 1
    )
    agent.handle_orders(NOW + 0.1, message)
    _replace_process(agent, NOW + 0.2)
    assert agent.make_report(NOW + 0.3).undecided == (RUN,)


def test_new_coordinator_hears_of_undecided_starts_of_the_former_one():
    """Guards against calls that are forgotten at a takeover."""
    agent, call = _make_agent()
    agent.handle_start_result(NOW + 0.5, call, UNANSWERED)
    message = orders.Orders(
        FENCE + 1, 1, 'd', LIFETIME, NOW, 0, (), (), (), agent.process, 1
    )
    agent.handle_orders(NOW + 0.6, message)
    _replace_process(agent, NOW + 1.0)
    assert agent.make_report(NOW + 1.1).undecided == (RUN,)


def test_answered_start_of_a_replaced_process_is_decided():
    """Guards against work that waits although its run is certainly gone."""
    agent, call = _make_agent()
    agent.handle_start_result(NOW + 0.1, call, calls.Accepted(1100))
    assert agent.make_report(NOW + 0.2).decided == ()
    _replace_process(agent, NOW + 0.3)
    report = agent.make_report(NOW + 0.4)
    assert (report.undecided, report.decided) == ((), (RUN,))
    assert not report.knows_all_calls


def test_start_that_a_former_agent_process_may_have_called_is_not_decided():
    """Guards against a late call of a former process of the agent.

    It was told so in the order, or has a coordinator of an earlier release.
    """
    for session, more in ((1, {'repeated': True}), (0, {})):
        agent, call = _make_agent(session, **more)
        agent.handle_start_result(NOW + 0.1, call, calls.Accepted(1100))
        _replace_process(agent, NOW + 0.3)
        report = agent.make_report(NOW + 0.4)
        assert report.decided == ()
        assert not report.knows_all_calls
        assert not agent.make_report(NOW + LATE_CALL_S).knows_all_calls


def test_first_poll_of_a_process_voids_all_calls_to_the_former_one():
    """Guards against a late lease that nobody expects."""
    agent, call = _make_agent()
    _replace_process(agent, NOW + 0.1)
    assert agent.make_poll(NOW + 0.2).token > call.token
    assert agent.make_report(NOW + 0.2).former_calls_void


def test_poll_with_the_last_token_of_a_session_voids_nothing():
    """Guards against equal tokens, which the worker accepts."""
    agent, _ = _make_agent()
    for _ in range(fencing.MAX_EPOCH + 2):
        poll = agent.make_poll(NOW)
        agent.handle_poll_result(NOW, NOW, poll, UNANSWERED)
    former = agent.make_poll(NOW)
    _replace_process(agent, NOW + 0.1)
    assert agent.make_poll(NOW + 0.2).token == former.token
    assert not agent.make_report(NOW + 0.2).former_calls_void
    message = orders.Orders(
        FENCE, 2, 'c', NEXT_LIFETIME, NOW, 0, (), (), (), agent.process, 2
    )
    agent.handle_orders(NOW + 0.3, message)
    assert not agent.make_report(NOW + 0.3).former_calls_void
    _poll_next_process(agent, NOW + 0.4)
    assert agent.make_report(NOW + 0.4).former_calls_void


def test_session_without_a_number_of_its_own_voids_nothing():
    """Guards against calls of a former agent process with higher tokens."""
    for session in (0, fencing.MAX_SESSION, fencing.MAX_SESSION + 1):
        agent, _ = _make_agent(session)
        assert not agent.make_report(NOW + 0.1).former_calls_void
    agent, _ = _make_agent(fencing.MAX_SESSION - 1)
    report = agent.make_report(NOW + 0.1)
    assert report.former_calls_void

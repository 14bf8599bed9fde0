"""Tests of the acknowledgements of ended runs to a worker."""

from __future__ import annotations

import msgspec
import pytest

from damaskpin.agent import acknowledgements
from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders

START = 10.0
NOW = 50.0
FENCE = 5
LIFETIME = work.Lifetime('w1', 1000)
NEXT_LIFETIME = work.Lifetime('w1', 2000)
UNANSWERED = calls.Unanswered('timeout')


def _make_agent(start=START):
    """Return an agent with one listed and recorded end, answered at NOW."""
    agent = agents.Agent('agent-1', 60.0, 4.0, 0.5)
    agent.start(start)
    _give_orders(agent, 1, LIFETIME, NOW - 0.1)
    agent.handle_heartbeat(NOW, _make_profile(LIFETIME), 1000)
    _poll(agent, NOW, _make_lists(LIFETIME, 1))
    _give_orders(agent, 2, LIFETIME, NOW, observed=1)
    return agent


def _make_new_agent(lifetime):
    """Return an agent that was restarted beside a process of its worker."""
    agent = agents.Agent('agent-1', 60.0, 4.0, 0.5)
    agent.start(NOW - 1.0)
    _give_orders(agent, 1, lifetime, NOW - 0.1)
    agent.handle_heartbeat(NOW, _make_profile(lifetime), 1000)
    return agent


def _make_profile(lifetime):
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        lifetime, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )


def _make_run(number):
    return work.Run(work.Item('0' * 16, 0, 0, 0), number)


def _make_order(number, repeated=False):
    return orders.StartOrder(_make_run(number), 'content', '', '', repeated)


def _make_running(number):
    return (work.RunningRun(_make_run(number), '', 1.0),)


def _list_due_stops(agent, now):
    due_calls = agent.collect_due_calls(now)
    return [c.run for c in due_calls if isinstance(c, calls.StopCall)]


def _make_lists(lifetime, count, running=()):
    """Return lists with a number of ends, whose serials count from 1."""
    ended = tuple(
        work.EndedRun(n, _make_run(n), work.Ending.FAILED, '')
        for n in range(1, count + 1)
    )
    return calls.Lists(1000, lifetime.born, running, ended)


def _give_orders(
    agent,
    sequence,
    lifetime,
    now,
    observed=0,
    starts=(),
    restarted=False,
    fence=FENCE,
):
    message = orders.Orders(
        fence,
        sequence,
        'c',
        lifetime,
        now,
        observed,
        starts,
        (),
        (),
        agent.process,
        1,
        restarted,
    )
    agent.handle_orders(now, message)


def _poll(agent, now, result):
    agent.collect_due_calls(now)
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)
    return poll


def _start_run(agent, now, sequence, number):
    """Order a start that the worker accepts; return the calls due then."""
    order = _make_order(number)
    _give_orders(agent, sequence, NEXT_LIFETIME, now, starts=(order,))
    (call,) = agent.collect_due_calls(now)
    agent.handle_start_result(now, call, calls.Accepted(1000))
    return agent.collect_due_calls(now)


def _replace_process(agent, now):
    """Let the worker's next process of the same id send its heartbeat."""
    agent.handle_heartbeat(now, _make_profile(NEXT_LIFETIME), 0)
    _poll(agent, now, _make_lists(NEXT_LIFETIME, 0))


def test_ends_are_acknowledged_while_all_calls_are_answered():
    """Guards against lists of ends that grow without need."""
    agent = _make_agent()
    assert agent.make_poll(NOW + 0.1).observed == 1


def test_ends_are_acknowledged_only_right_after_an_answer():
    """Guards against an acknowledgement that a new process carries out.

    A process may be replaced between two polls.
    """
    agent = _make_agent()
    assert agent.make_poll(NOW + 0.5).observed == 0


def test_ends_are_held_back_while_an_earlier_call_may_be_carried_out():
    """Guards against ends that the worker's next process forgets unread.

    A call without an answer may reach the next process of the same id.
    """
    agent = _make_agent()
    _poll(agent, NOW + 0.1, UNANSWERED)
    over = NOW + 0.1 + calls.MAX_CALL_DELAY_S
    for now in (NOW + 0.2, over - 0.2):
        _poll(agent, now, _make_lists(LIFETIME, 1))
        assert agent.make_poll(now + 0.1).observed == 0
    _poll(agent, over, _make_lists(LIFETIME, 1))
    assert agent.make_poll(over + 0.1).observed == 1


def test_ends_are_held_back_after_a_start_without_an_answer():
    """Guards against a start that is carried out after an acknowledged end.

    The start was repeated, and the run has ended; its first copy may reach
    the next process of the same id.
    """
    agent = _make_agent()
    order = _make_order(7)
    _give_orders(agent, 3, LIFETIME, NOW, observed=1, starts=(order,))
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, UNANSWERED)
    _poll(agent, NOW + 0.1, _make_lists(LIFETIME, 1))
    assert agent.make_poll(NOW + 0.2).observed == 0


def test_new_agent_process_holds_ends_back():
    """Guards against calls of the former process that it does not know."""
    agent = _make_agent(start=NOW - 1.0)
    assert agent.make_poll(NOW + 0.1).observed == 0


def test_long_list_is_acknowledged_at_any_time():
    """Guards against a list that has no room for further ends."""
    agent = _make_agent(start=NOW - 1.0)
    count = acknowledgements.MAX_HELD_ENDS
    _poll(agent, NOW, _make_lists(LIFETIME, count))
    _give_orders(agent, 3, LIFETIME, NOW, observed=count)
    assert agent.make_poll(NOW + 0.1).observed == count


def test_poll_does_not_wait_while_ends_are_listed():
    """Guards against polls that are repeated without a pause.

    The worker answers at once while it lists an end.
    """
    agent = _make_agent(start=NOW - 1.0)
    assert not agent.make_poll(NOW + 0.1).wait


@pytest.mark.parametrize('is_late_answer', [False, True])
def test_process_after_an_undecided_acknowledgement_must_list_an_end(
    is_late_answer,
):
    """Guards against an end that is hidden, so that its work runs again.

    The acknowledgement without an answer may have reached the next process.
    Its runs are stopped until one of their ends is listed. The timeout of the
    acknowledgement may pass before or after the heartbeat of that process.
    """
    agent = _make_agent()
    poll = agent.make_poll(NOW + 0.1)
    assert poll.observed == 1
    if not is_late_answer:
        agent.handle_poll_result(NOW + 0.5, NOW + 0.1, poll, UNANSWERED)
    _replace_process(agent, NOW + 0.6)
    if is_late_answer:
        agent.handle_poll_result(NOW + 0.7, NOW + 0.1, poll, UNANSWERED)
    (stop,) = _start_run(agent, NOW + 0.8, 3, 8)
    assert isinstance(stop, calls.StopCall)
    agent.handle_stop_result(NOW + 0.8, stop, calls.Accepted(1000))
    _poll(agent, NOW + 1.5, _make_lists(NEXT_LIFETIME, 1))
    assert not _start_run(agent, NOW + 1.6, 4, 9)


def test_process_that_answers_an_acknowledgement_must_list_an_end():
    """Guards against a hidden end after a restart between two polls."""
    agent = _make_agent()
    poll = agent.make_poll(NOW + 0.1)
    lists = _make_lists(NEXT_LIFETIME, 0)
    agent.handle_poll_result(NOW + 0.1, NOW + 0.1, poll, lists)
    _replace_process(agent, NOW + 0.6)
    (stop,) = _start_run(agent, NOW + 0.8, 3, 8)
    assert isinstance(stop, calls.StopCall)


def test_new_agent_process_makes_a_restarted_worker_list_an_end():
    """Guards against a hidden end that only the former process knew of.

    Worker and agent were both restarted after an acknowledgement without an
    answer.
    """
    agent = _make_new_agent(NEXT_LIFETIME)
    _poll(agent, NOW, _make_lists(NEXT_LIFETIME, 0))
    _give_orders(agent, 2, NEXT_LIFETIME, NOW, restarted=True)
    (stop,) = _start_run(agent, NOW + 0.1, 3, 8)
    assert isinstance(stop, calls.StopCall)
    _poll(agent, NOW + 0.5, _make_lists(NEXT_LIFETIME, 1))
    _give_orders(agent, 4, NEXT_LIFETIME, NOW + 0.5, restarted=True)
    assert not _start_run(agent, NOW + 0.6, 5, 9)


def test_acknowledgement_that_is_answered_after_a_heartbeat_may_hide_ends():
    """Guards against ends hidden by a poll that the next process answered.

    The heartbeat of that process arrives before the answer.
    """
    agent = _make_agent()
    poll = agent.make_poll(NOW + 0.1)
    assert poll.observed == 1
    agent.handle_heartbeat(NOW + 0.2, _make_profile(NEXT_LIFETIME), 0)
    lists = _make_lists(NEXT_LIFETIME, 0)
    _poll(agent, NOW + 0.2, lists)
    agent.handle_poll_result(NOW + 0.3, NOW + 0.1, poll, lists)
    _poll(agent, NOW + 0.4, lists)
    (stop,) = _start_run(agent, NOW + 0.8, 3, 8)
    assert isinstance(stop, calls.StopCall)


def test_acknowledgement_of_a_former_agent_process_may_hide_ends():
    """Guards against ends hidden by a call of a former agent process.

    The agent is restarted shortly before its worker, so that it has seen the
    worker's former process, but not the acknowledgement sent to that.
    """
    agent = _make_new_agent(LIFETIME)
    _replace_process(agent, NOW + 0.5)
    _poll(agent, NOW + 0.6, _make_lists(NEXT_LIFETIME, 0))
    (stop,) = _start_run(agent, NOW + 0.8, 3, 8)
    assert isinstance(stop, calls.StopCall)


def test_run_of_a_former_agent_process_is_stopped_where_ends_may_be_hidden():
    """Guards against a hidden end of a run that this process did not start."""
    agent = _make_new_agent(NEXT_LIFETIME)
    starts = (_make_order(8, repeated=True),)
    _give_orders(agent, 2, NEXT_LIFETIME, NOW, starts=starts, restarted=True)
    lists = _make_lists(NEXT_LIFETIME, 0, _make_running(8))
    _poll(agent, NOW + 0.1, lists)
    assert _list_due_stops(agent, NOW + 0.2) == [_make_run(8)]


def test_run_is_stopped_where_ends_may_be_hidden_after_an_election():
    """Guards against a hidden end of a run whose start was answered late.

    The coordinator changes between the start call and its answer.
    """
    agent = _make_new_agent(NEXT_LIFETIME)
    _poll(agent, NOW, _make_lists(NEXT_LIFETIME, 0))
    starts = (_make_order(7),)
    _give_orders(agent, 2, NEXT_LIFETIME, NOW, starts=starts, restarted=True)
    (call,) = agent.collect_due_calls(NOW + 0.1)
    _give_orders(agent, 1, NEXT_LIFETIME, NOW, fence=FENCE + 1)
    agent.handle_start_result(NOW + 0.3, call, calls.Accepted(1000))
    lists = _make_lists(NEXT_LIFETIME, 0, _make_running(7))
    _poll(agent, NOW + 0.4, lists)
    assert _list_due_stops(agent, NOW + 0.5) == [_make_run(7)]


def test_process_without_an_undecided_acknowledgement_is_trusted():
    """Guards against work that is stopped without need after a restart."""
    agent = _make_agent()
    _poll(agent, NOW + 0.1, calls.Unanswered('refused', sent=False))
    _replace_process(agent, NOW + 0.6)
    assert not _start_run(agent, NOW + 0.8, 3, 8)


def test_process_of_another_worker_acknowledges_at_once():
    """Guards against ends held back for calls that can't be carried out.

    A worker with another id refuses the calls to its predecessor.
    """
    agent = _make_agent()
    _poll(agent, NOW + 0.1, UNANSWERED)
    lifetime = msgspec.structs.replace(NEXT_LIFETIME, worker='w2')
    agent.handle_heartbeat(NOW + 0.6, _make_profile(lifetime), 0)
    _poll(agent, NOW + 0.6, calls.Refused(calls.OTHER_LIFETIME))
    _poll(agent, NOW + 0.7, _make_lists(lifetime, 1))
    _give_orders(agent, 3, lifetime, NOW + 0.7, observed=1)
    assert agent.make_poll(NOW + 0.8).observed == 1

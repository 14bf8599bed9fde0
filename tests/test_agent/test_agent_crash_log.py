"""Tests of the crashes of a worker that its agent reports."""

from __future__ import annotations

import pytest

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.agent import crash_log
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
LIFETIME = work.Lifetime('w1', 1)
NEXT_LIFETIME = work.Lifetime('w2', 2)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)


def _make_profile(lifetime=LIFETIME, draining=False):
    return orders.WorkerProfile(
        lifetime,
        's',
        'dc',
        'r1',
        ('a', 'r1'),
        work.Resources(1000, 1000, 8),
        draining,
        0.0,
    )


def _make_agent(result):
    """Return an agent whose start call had the given result."""
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.handle_heartbeat(NOW, _make_profile(), 1000)
    start = orders.StartOrder(RUN, 'content', '')
    agent.handle_orders(
        NOW, orders.Orders(5, 1, 'c', LIFETIME, NOW, 0, (start,), (), ())
    )
    (call,) = agent.collect_due_calls(NOW)
    agent.handle_start_result(NOW, call, result)
    return agent


def _poll(agent, now, *running):
    rows = tuple(work.RunningRun(run, '', 10.0) for run in running)
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, calls.Lists(1100, 1, rows, ()))


def _replace_worker(agent, now):
    """Let the next process register and refuse a call to the former one."""
    agent.handle_heartbeat(now, _make_profile(NEXT_LIFETIME), 10)
    poll = agent.make_poll(now)
    if poll is not None and poll.lifetime == LIFETIME:
        refused = calls.Refused(calls.OTHER_LIFETIME)
        agent.handle_poll_result(now, now, poll, refused)
    return agent.make_report(now).crashes


@pytest.mark.parametrize('ending', [work.Ending.FAILED, work.Ending.STOPPED])
def test_crash_is_not_blamed_on_a_run_whose_end_was_acknowledged(ending):
    """Guards against an end that counts again, as a crash.

    The worker forgets the end once it is acknowledged, and then crashes.
    """
    agent = _make_agent(calls.Accepted(1000))
    row = work.EndedRun(1, RUN, ending, '')
    for seconds, ended in ((0.5, (row,)), (1.0, ())):
        now = NOW + seconds
        poll = agent.make_poll(now)
        lists = calls.Lists(1100, 1, (), ended)
        agent.handle_poll_result(now, now, poll, lists)
    (crash,) = _replace_worker(agent, NOW + 1.5)
    assert crash.runs == ()


def test_crash_after_a_start_is_reported_with_its_run():
    """Guards against work that crashes one worker after the other."""
    agent = _make_agent(calls.Accepted(1010))
    crashes = _replace_worker(agent, NOW + 3.0)
    assert crashes == (orders.Crash(LIFETIME, (RUN,), (RUN,), (RUN,)),)


def test_start_without_an_answer_may_be_the_cause():
    """Guards against a crash so early that the start is not answered."""
    agent = _make_agent(calls.Unanswered('reset'))
    (crash,) = _replace_worker(agent, NOW + 3.0)
    assert crash.recent == (RUN,)


def test_start_without_an_answer_proves_no_start():
    """Guards against blaming work that the worker never began."""
    agent = _make_agent(calls.Unanswered('late'))
    (crash,) = _replace_worker(agent, NOW + 3.0)
    assert crash.begun == ()


def test_list_confirms_a_start_without_an_answer():
    """Guards against excusing work whose answer alone was lost."""
    agent = _make_agent(calls.Unanswered('late'))
    _poll(agent, NOW + 0.5, RUN)
    (crash,) = _replace_worker(agent, NOW + 3.0)
    assert crash.recent == crash.begun == (RUN,)


def test_stop_does_not_hide_that_a_run_had_begun():
    """Guards against excusing an accepted run that was to be stopped."""
    agent = _make_agent(calls.Accepted(1010))
    agent.handle_orders(
        NOW + 0.1,
        orders.Orders(5, 2, 'c', LIFETIME, NOW, 0, (), (RUN,), ()),
    )
    (crash,) = _replace_worker(agent, NOW + 3.0)
    assert crash.begun == (RUN,)


def test_start_that_did_not_reach_the_worker_is_no_cause():
    """Guards against blaming work that was ordered after the crash."""
    agent = _make_agent(calls.Unanswered('refused', sent=False))
    (crash,) = _replace_worker(agent, NOW + 3.0)
    assert crash.runs == ()


def test_run_that_was_started_long_before_is_a_bystander():
    """Guards against blaming all runs that shared the worker."""
    agent = _make_agent(calls.Accepted(1010))
    _poll(agent, NOW + 9.0, RUN)
    (crash,) = _replace_worker(agent, NOW + 12.0)
    assert crash.runs == (RUN,)
    assert crash.recent == ()


def test_same_id_with_a_new_birth_is_a_crash():
    """Guards against a crash that is hidden by a worker that keeps its id."""
    agent = _make_agent(calls.Accepted(1010))
    poll = agent.make_poll(NOW + 3.0)
    agent.handle_poll_result(
        NOW + 3.0, NOW + 3.0, poll, calls.Lists(10, 7, (), ())
    )
    (crash,) = agent.make_report(NOW + 3.0).crashes
    assert crash.recent == (RUN,)


def test_announced_end_is_no_crash():
    """Guards against blaming work for a drain, with and without notice."""
    left = _make_agent(calls.Accepted(1010))
    left.handle_leave(NOW + 1.0, 'w1')
    assert _replace_worker(left, NOW + 3.0) == ()
    drained = _make_agent(calls.Accepted(1010))
    drained.handle_heartbeat(NOW + 1.0, _make_profile(draining=True), 2000)
    assert _replace_worker(drained, NOW + 3.0) == ()


def test_restarted_agent_reports_no_crash():
    """Guards against blaming work for a power cut of its machine."""
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    assert _replace_worker(agent, NOW + 3.0) == ()


def test_crash_is_reported_through_a_long_cut_and_then_no_more():
    """Guards against a cut that hides a crash, and against large reports."""
    agent = _make_agent(calls.Accepted(1010))
    _replace_worker(agent, NOW + 3.0)
    assert agent.make_report(NOW + 20.0).crashes
    late = NOW + 4.0 + crash_log.REPORTED_TIME_S
    assert not agent.make_report(late).crashes

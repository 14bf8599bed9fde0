"""Tests of the fencing tokens of the calls to the worker."""

from __future__ import annotations

import msgspec

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.agent import fencing
from damaskpin.model import work
from damaskpin.peer import orders

NOW = 50.0
FENCE = 5
LIFETIME = work.Lifetime('w1', 1000)


def _make_orders(agent, sequence, now, session=1, process=None, echo=None):
    """Return orders for an agent's current process, if not stated."""
    return orders.Orders(
        FENCE,
        sequence,
        'c',
        LIFETIME,
        now if echo is None else echo,
        0,
        (),
        (),
        (),
        agent.process if process is None else process,
        session,
    )


def _make_agent(session=1):
    agent = agents.Agent('agent-1', 9.0, 4.0, 0.5)
    agent.start(NOW - 1.0)
    profile = orders.WorkerProfile(
        LIFETIME,
        's',
        'dc',
        'r1',
        ('a', 'r1'),
        work.Resources(1000, 1000, 8),
        False,
        0.0,
    )
    agent.handle_heartbeat(NOW, profile, 1000)
    agent.handle_orders(NOW, _make_orders(agent, 1, NOW, session))
    return agent


def _poll(agent, now, result):
    poll = agent.make_poll(now)
    agent.handle_poll_result(now, now, poll, result)
    return poll


def test_call_after_an_unanswered_one_outranks_it():
    """Guards against a late call that acts in the worker's next process."""
    agent = _make_agent()
    unanswered = _poll(agent, NOW, calls.Unanswered('timeout'))
    assert agent.make_poll(NOW + 0.1).token > unanswered.token


def test_call_that_was_not_sent_does_not_raise_the_token():
    """Guards against a token that runs out while a worker is down."""
    agent = _make_agent()
    refused = calls.Unanswered('connection refused', sent=False)
    poll = _poll(agent, NOW, refused)
    assert agent.make_poll(NOW + 0.1).token == poll.token


def test_later_session_and_later_coordinator_outrank_all_earlier_calls():
    """Guards against calls of a former agent process that still count."""
    token = fencing.CallToken()
    values = []
    for fence, session in ((5, 1), (5, 2), (6, 1)):
        token.set_session(fence, session)
        values.append(token.value)
        for _ in range(100):
            token.outrank(token.value)
        values.append(token.value)
    assert values == sorted(set(values))


def test_agent_without_a_session_catches_up_with_its_predecessor():
    """Guards against an agent that its worker refuses for ever.

    A coordinator of an earlier release gives no session numbers.
    """
    predecessor, agent = _make_agent(session=0), _make_agent(session=0)
    for step in range(40):
        _poll(predecessor, NOW + step, calls.Unanswered('timeout'))
    highest = predecessor.make_poll(NOW + 50.0).token
    for step in range(10):
        if agent.make_poll(NOW + step).token >= highest:
            return
        _poll(agent, NOW + step, calls.Refused('fence', outranked=True))
    raise AssertionError('the worker refuses the agent for ever')


def test_worker_that_refuses_all_polls_is_reported_as_silent():
    """Guards against work for a worker that its agent can't use."""
    agent = _make_agent()
    _poll(agent, NOW, calls.Lists(1000, LIFETIME.born, (), ()))
    for step in range(1, 16):
        refused = calls.Refused('fence', outranked=True)
        _poll(agent, NOW + 0.1 * step, refused)
    assert agent.make_report(NOW + 1.6).silence > 0


def test_exhausted_token_begins_one_new_session():
    """Guards against a new process id with each unanswered call."""
    agent = _make_agent()
    former = agent.process
    ids = set()
    for step in range(fencing.MAX_EPOCH + 5):
        _poll(agent, NOW + step, calls.Unanswered('timeout'))
        ids.add(agent.process)
    assert len(ids) == 2
    assert agent.process != former


def test_ends_are_acknowledged_only_shortly_after_an_answer():
    """Guards against a new process that forgets its own ends.

    The agent stood still while its worker restarted under the same id.
    """
    agent = _make_agent()
    ended = work.EndedRun(
        1, work.Run(work.Item('0' * 16, 0, 0, 0), 1), work.Ending.DONE, ''
    )
    # No call of a former process of the agent can be late any more.
    now = NOW + calls.MAX_CALL_DELAY_S
    _poll(agent, now, calls.Lists(1000, LIFETIME.born, (), (ended,)))
    message = _make_orders(agent, 2, now)
    agent.handle_orders(now, msgspec.structs.replace(message, observed=1))
    assert agent.make_poll(now + 0.1).observed == 1
    assert agent.make_poll(now + 5.0).observed == 0

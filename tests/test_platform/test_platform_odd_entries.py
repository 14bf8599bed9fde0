"""Tests of entries, heartbeats and answers that another writer left odd."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from damaskpin import errors
from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import codec
from damaskpin.peer import orders
from damaskpin.platform import control
from damaskpin.platform import wire
from damaskpin.platform import worker

JOB_ID = '5c0e7a21d94b36f8'
NESTED = '[' * 100_000 + ']' * 100_000
HEARTBEAT = {
    'service': 's',
    'state': 'ready',
    'born': 1,
    'capacity': {'cpu': 1000, 'memMb': 100, 'gpu': 8},
    'labels': ['a', 'r1'],
    'clockMs': 10,
    'sequence': 1,
}
HUGE_NUMBERS = [10**19, 10**30, 10**400, -(10**30)]

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from(HUGE_NUMBERS)
    | st.floats()
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=8,
)


def _encode_report(profile, lists):
    """Report a worker as its agent does, in the form for other processes."""
    agent = agents.Agent('agent', 9.0, 4.0, 0.5)
    agent.handle_heartbeat(1.0, profile, 10)
    agent.handle_orders(
        1.0, orders.Orders(5, 1, 'c', profile.lifetime, 1.0, 0, (), (), ())
    )
    poll = agent.make_poll(1.0)
    agent.handle_poll_result(1.0, 1.0, poll, lists)
    frame = orders.Frame('a', 'b', 'c', (agent.make_report(1.0),))
    codec.Codec(b'key', orders.Frame).encode_frame(frame)


@pytest.mark.parametrize(
    'body_type', [wire.HeartbeatBody, wire.WorkerAnswer, wire.JobBody]
)
def test_deeply_nested_body_is_malformed(body_type):
    """Guards against a loop that ends with RecursionError."""
    data = b'{"unknown": %s}' % NESTED.encode()
    with pytest.raises(errors.MalformedError):
        wire.decode(data, body_type)


@pytest.mark.parametrize('number', HUGE_NUMBERS)
@pytest.mark.parametrize(
    'path', [('born',), ('clockMs',), ('sequence',), ('capacity', 'gpu')]
)
def test_heartbeat_with_a_huge_number_is_malformed(path, number):
    """Guards against a profile that can't be reported to the coordinator."""
    body = json.loads(json.dumps(HEARTBEAT))
    target = body
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = number
    with pytest.raises(errors.MalformedError):
        control.make_profile(
            'w', wire.decode(json.dumps(body).encode(), wire.HeartbeatBody)
        )


ODD_RUN_NUMBERS = [(1, n) for n in [*HUGE_NUMBERS, True, '7', -1, 1.5, None]]
ODD_PERCENTAGES = [(3, n) for n in [*HUGE_NUMBERS, '7', -1, None]]


@pytest.mark.parametrize(
    ('position', 'number'), ODD_RUN_NUMBERS + ODD_PERCENTAGES
)
def test_row_with_an_odd_number_leaves_the_other_rows(position, number):
    """Guards against one row that hides all runs of a worker."""
    good = [f'{JOB_ID}.0.1.17', 2, '', 41]
    odd = [f'{JOB_ID}.0.1.18', 2, '', 41]
    odd[position] = number
    lists = worker.decode_lists(wire.WorkerAnswer(running=[odd, good]))
    assert [row.run.item.index for row in lists.running] == [17]


@pytest.mark.parametrize(
    'name',
    [
        '',
        'x',
        f'{JOB_ID}.0.1',
        f'{JOB_ID}.0.1.{10**30}',
        f'{JOB_ID}.-1.0.0',
        f'{JOB_ID}.0.1.{"9" * 5000}',
    ],
)
def test_row_with_an_odd_name_leaves_the_other_rows(name):
    """Guards against work items whose numbers exceed 64 bits."""
    good = [1, f'{JOB_ID}.0.1.17', 2, 'done', '']
    lists = worker.decode_lists(
        wire.WorkerAnswer(finished=[[1, name, 2, 'done', ''], good])
    )
    assert [row.run.item.index for row in lists.ended] == [17]


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*HEARTBEAT, 'remainingMs', 'zone']), json_values
    ),
    st.lists(st.lists(json_values, max_size=5) | json_values, max_size=4),
)
def test_fuzz_whatever_is_accepted_can_be_reported(changes, rows):
    """Guards against odd input that stops all reports of an agent."""
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    answer = json.dumps({'running': rows, 'finished': rows, 'clockMs': 5})
    profile = control.make_profile(
        'w', wire.decode(json.dumps(HEARTBEAT).encode(), wire.HeartbeatBody)
    )
    lists = calls.Lists(5, 0, (), ())
    try:
        profile = control.make_profile(
            'w', wire.decode(body, wire.HeartbeatBody)
        )
    except errors.MalformedError:
        pass
    try:
        lists = worker.decode_lists(
            wire.decode(answer.encode(), wire.WorkerAnswer)
        )
    except errors.MalformedError:
        pass
    assert isinstance(profile.lifetime, work.Lifetime)
    _encode_report(profile, lists)

"""Tests of the loops of an agent."""

from __future__ import annotations

import pytest

from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.runtime import agent

LISTS = calls.Lists(1000, 1, (), ())

# Time in seconds within which a new process of the worker is called once it
# listens, or one that leaves is called again.
FIRST_CALL_S = 0.1


def _make_poll(wait):
    return calls.PollCall(work.Lifetime('w1', 1), 5, 0, None, wait, 5)


def test_new_process_of_the_worker_is_called_as_soon_as_it_listens():
    """Guards against late calls that a new process carries out.

    The first call that it receives voids them.
    """
    refused = calls.Unanswered('connection refused', sent=False)
    pause = agent.get_renewal_pause(_make_poll(0.5), refused, False)
    assert 0 < pause <= FIRST_CALL_S


def test_worker_that_leaves_is_called_again_soon():
    """Guards against runs that are freed late after a departure."""
    unanswered = calls.Unanswered('timeout')
    pause = agent.get_renewal_pause(_make_poll(0.0), unanswered, True)
    assert 0 < pause <= FIRST_CALL_S


@pytest.mark.parametrize(
    ('wait', 'result'),
    [
        (0.0, LISTS),
        (0.5, calls.Unanswered('timeout')),
        (0.5, calls.Unanswered('connection refused', sent=False)),
        (0.5, calls.Refused('fence', outranked=True)),
    ],
)
def test_renewals_that_return_at_once_are_followed_by_a_pause(wait, result):
    """Guards against a loop that uses up the processor."""
    assert agent.get_renewal_pause(_make_poll(wait), result, False) > 0


def test_renewal_that_waited_for_an_end_is_repeated_at_once():
    """Guards against ends that are read late."""
    assert agent.get_renewal_pause(_make_poll(0.5), LISTS, False) == 0

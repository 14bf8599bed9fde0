"""Tests of starts that are withdrawn while a call for them is under way."""

from __future__ import annotations

from damaskpin.agent import attempts
from damaskpin.agent import calls
from damaskpin.agent import fencing
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import random_plays

LIFETIME = work.Lifetime('w', 1)
RUN = work.Run(work.Item('job', 0, 0, 0), 1)


def _collect(known, now):
    token = fencing.CallToken()
    return known.collect_due_starts(now, LIFETIME, token, 9000, True)


def test_withdrawn_start_is_not_called_again():
    """Guards against an overcommitted worker and a run that executes twice.

    The latest orders no longer contain a start whose call is under way. When
    that call gets no answer, it must not be repeated.
    """
    known = attempts.Attempts()
    known.order_start(1.0, orders.StartOrder(RUN, '', ''))
    (call,) = _collect(known, 1.0)
    known.withdraw_starts(1.2, set(), set())
    known.handle_start_result(1.5, call, calls.Unanswered('timeout'))
    assert not _collect(known, 2.0)


def test_play_with_starts_that_are_withdrawn_during_a_standstill():
    """Guards against an overcommitted worker after an agent's standstill.

    The coordinator has given up the start meanwhile. Its call was under way
    and is repeated as it gets no answer.
    """
    mix = ('many ends', 'standstills', 'overlapping calls', 'standstills')
    random_plays.play(1144481, mix, 60, waits=random_plays.SHORT_WAITS)

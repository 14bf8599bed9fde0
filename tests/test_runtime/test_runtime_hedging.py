"""Tests of calls over several ways, of which the first answer counts."""

from __future__ import annotations

import asyncio
import functools

import pytest

from damaskpin import errors
from damaskpin.runtime import hedging


async def _answer(value, delay=0.0):
    await asyncio.sleep(delay)
    return value


async def _fail(reason, sent, delay=0.0):
    await asyncio.sleep(delay)
    raise errors.CallError(reason, sent)


def _call_first(*groups, patience=0.05, limit=0.5):
    return asyncio.run(
        hedging.call_first(
            [[functools.partial(*way) for way in group] for group in groups],
            patience,
            limit,
        )
    )


def test_way_that_hangs_does_not_hold_up_the_next_one():
    """Guards against waiting for the timeout of a silent way."""
    assert _call_first([(_answer, 1, 9.0)], [(_answer, 2)]) == 2


def test_slow_answer_counts_while_the_next_way_is_tried():
    """Guards against discarding the answer of an earlier way."""
    ways = [(_answer, 1, 0.1)], [(_answer, 2, 9.0)]
    assert _call_first(*ways) == 1


def test_answer_counts_beside_a_failure_at_the_same_time():
    """Guards against an error that nobody retrieves, or that hides it."""
    assert _call_first([(_fail, 'a', True), (_answer, 2)]) == 2


def test_call_ends_at_its_limit():
    """Guards against a read that waits for ever."""
    with pytest.raises(errors.CallError) as caught:
        _call_first([(_answer, 1, 9.0)], limit=0.1)
    assert caught.value.sent


@pytest.mark.parametrize('second_sent', [False, True])
def test_error_tells_whether_any_way_was_used(second_sent):
    """Guards against a call that is reported as certainly not made."""
    with pytest.raises(errors.CallError) as caught:
        _call_first([(_fail, 'a', False)], [(_fail, 'b', second_sent)])
    assert str(caught.value) == 'a'
    assert caught.value.sent is second_sent

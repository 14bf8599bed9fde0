"""Tests of what the HTTP statuses of a worker say about a call."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import transport
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.platform import worker as workers


class _Caller:
    """Answers each call with a status and a body."""

    def __init__(self, status, body):
        self._answer = transport.HttpAnswer(status, body)

    async def call(self, request):
        return self._answer


def _start_run(status, body=b'{}') -> calls.Result:
    run = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
    call = calls.StartCall(
        work.Lifetime('w1', 1000), 5, 9000, orders.StartOrder(run, 's', ''), 5
    )
    client = workers.WorkerClient(_Caller(status, body))
    return asyncio.run(client.start(call))


@pytest.mark.parametrize('status', [201, 204, 404, 408, 500, 502, 504])
def test_status_that_is_no_refusal_leaves_a_start_undecided(status):
    """Guards against a run that executes twice.

    An answer that does not say that the worker has done nothing may be that
    of a start which was carried out, so the run must be stopped first.
    """
    result = _start_run(status)
    assert isinstance(result, calls.Unanswered)
    assert result.sent
    assert result.reason == f'status {status}'


@pytest.mark.parametrize('status', [400, 409, 421, 429, 503])
def test_refusal_of_a_start_counts_as_one(status):
    """Guards against a refused run that waits for a stop or a lease's end."""
    assert isinstance(_start_run(status), calls.Refused)


def test_refusal_tells_a_higher_fencing_token():
    """Guards against a start that is given up instead of repeated."""
    result = _start_run(409, b'{"reason":"fence"}')
    assert result == calls.Refused('fence', outranked=True)

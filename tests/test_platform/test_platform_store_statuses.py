"""Tests of what the HTTP statuses of the store say about a write."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.platform import store as stores
from damaskpin.store import transactions


class _Caller:
    """Answers each call with a status."""

    def __init__(self, status):
        self._answer = transport.HttpAnswer(status, b'{}')

    async def call(self, request):
        return self._answer


def _commit(status) -> None:
    client = stores.StoreClient(_Caller(status))
    put = transactions.Put('key', b'value', 0)
    transaction = transactions.Transaction({'key': 0}, (put,))
    asyncio.run(client.commit(transaction))


@pytest.mark.parametrize('status', [202, 500, 502, 504])
def test_status_that_is_no_refusal_leaves_a_write_undecided(status):
    """Guards against a job that is refused with 503 and runs.

    Such an answer does not say that the store has written nothing.
    """
    with pytest.raises(errors.StoreUncertainError):
        _commit(status)


@pytest.mark.parametrize('status', [400, 403, 404, 429, 503])
def test_refused_write_counts_as_not_made(status):
    """Guards against a refused write that is repeated or answered 504."""
    with pytest.raises(errors.StoreUnavailableError):
        _commit(status)

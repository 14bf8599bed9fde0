"""Writes of client requests to the store, within the client's time limit."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.entry import outcomes
from damaskpin.runtime import clocks
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.runtime import store_probe
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

CommitOutcome = (
    transactions.Committed | transactions.Conflict | outcomes.Outcome
)

# Seconds after which a refused client should retry: by then the store answers
# again, or the client reaches another entry.
RETRY_AFTER_S = 1

# Longest time in seconds for which a repeat of an undecided submission waits
# for the store. It is short, so that the client may still reach another entry.
UNDECIDED_WAIT_S = 0.25

# Largest share of a client's remaining time for which its request waits for
# the store. The rest is for another attempt, which may reach another entry.
MAX_WAIT_SHARE = 0.5

# Seconds before a client's time limit by which it should have its answer.
ANSWER_MARGIN_S = 0.25

# Pause before a write is tried again, in seconds.
COMMIT_RETRY_PAUSE_S = 0.1

# Maximum attempts of a write without an answer. After these the client should
# repeat its request at another entry.
MAX_COMMIT_ATTEMPTS = 3

# Longest and shortest time in seconds for which a request waits for answers of
# the store. A call goes through other entries when the store does not answer,
# which takes several timeouts; by then the client should ask another entry.
# The shortest time applies to clients whose time is up but for the margin.
MAX_STORE_TIME_S = 1.0
MIN_STORE_TIME_S = 0.15


class Commits:
    """Commits writes, and finds out as far as possible if they took effect.

    :param store: client of the store.
    :param probe: tells whether the store answers.
    """

    __slots__ = ('_probe', '_store')

    def __init__(
        self, store: interface.Store, probe: store_probe.StoreProbe
    ) -> None:
        self._probe = probe
        self._store = store

    async def commit(
        self,
        transaction: transactions.Transaction,
        deadline: float,
        is_undecided: bool = False,
    ) -> CommitOutcome:
        """Commit a write; wait for the store if a refusal would be useless.

        A refusal is useless if the client's time ends before it may come
        back. A repeat of an undecided submission can't be refused, and its
        answer can't tell the client when to come back.

        :param is_undecided: whether an earlier submission of the same job has
            an unknown result.
        """
        now = clocks.get_monotonic_time()
        time_left = deadline - ANSWER_MARGIN_S - now
        wait = 0.0
        if time_left < RETRY_AFTER_S:
            wait = time_left * MAX_WAIT_SHARE
        elif is_undecided:
            wait = UNDECIDED_WAIT_S
        wait_end = now + wait
        while True:
            result = await self._commit_until_decided(transaction, deadline)
            if not isinstance(result, outcomes.Unavailable):
                return result
            next_try = clocks.get_monotonic_time() + COMMIT_RETRY_PAUSE_S
            if next_try >= wait_end:
                return result
            await asyncio.sleep(COMMIT_RETRY_PAUSE_S)

    async def _commit_until_decided(
        self, transaction: transactions.Transaction, deadline: float
    ) -> CommitOutcome:
        """Commit a write; repeat it while it is unknown if it took effect."""
        if not await self._probe.is_available(deadline - ANSWER_MARGIN_S):
            # A write sent to the store would probably time out, and it would
            # be unknown whether it took effect.
            return outcomes.Unavailable(
                'the store does not answer', RETRY_AFTER_S
            )
        try:
            async with asyncio.timeout(get_time_limit(deadline)):
                return await self._repeat_until_decided(transaction)
        except TimeoutError:
            reason = 'the store did not answer in time'
            log_unanswered(transaction, reason)
            return outcomes.Undecided(reason)

    async def _repeat_until_decided(
        self, transaction: transactions.Transaction
    ) -> CommitOutcome:
        attempts = 0
        maybe_written = False
        while True:
            attempts += 1
            try:
                return await self._store.commit(transaction)
            except errors.StoreUnavailableError as error:
                reason = str(error)
                if not maybe_written:
                    return outcomes.Unavailable(reason, RETRY_AFTER_S)
            except errors.StoreError as error:
                maybe_written = True
                reason = str(error)
                log_unanswered(transaction, reason)
            if attempts >= MAX_COMMIT_ATTEMPTS:
                return outcomes.Undecided(reason)
            await asyncio.sleep(COMMIT_RETRY_PAUSE_S)


def get_time_limit(deadline: float) -> float:
    """Return the seconds for which a request may wait for the store.

    :param deadline: monotonic time in seconds at which the client stops
        waiting.
    """
    time_left = deadline - ANSWER_MARGIN_S - clocks.get_monotonic_time()
    return max(min(time_left, MAX_STORE_TIME_S), MIN_STORE_TIME_S)


def log_unanswered(transaction: transactions.Transaction, reason: str) -> None:
    """Log a write that the store may still carry out."""
    LOG.info(
        'write without an answer may take effect later',
        extra={
            'keys': [put.key for put in transaction.puts],
            'error': reason,
        },
    )

"""Requests of callers about jobs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.entry import outcomes
from damaskpin.runtime import clocks
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.entry import view as views
    from damaskpin.model import work
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

Result = transactions.Committed | transactions.Conflict | outcomes.Outcome

# A store that was away is back, or another entry serves, after about this
# time in seconds.
RETRY_AFTER_S = 1

# Pause before an undecided write is repeated, in seconds.
SETTLE_PAUSE_S = 0.1

# Tries of an undecided write. A caller whose request is not settled by then
# is better off at another entry.
MAX_TRIES = 3

# Undecided submissions that are remembered, so that a repeat at this entry is
# not refused as if nothing had been sent.
MAX_UNDECIDED = 1000


class Requests:
    """Stores jobs and cancellations, and tells states.

    :param store: access to the store.
    :param view: view of the store.
    :param is_reachable: whether the store has answered lately.
    """

    __slots__ = ('_is_reachable', '_store', '_undecided', '_view')

    def __init__(
        self,
        store: port.Store,
        view: views.View,
        is_reachable: Callable[[], bool],
    ) -> None:
        self._is_reachable = is_reachable
        self._store = store
        self._view = view
        # Ordered by age; used as a set.
        self._undecided: dict[str, None] = {}

    async def submit(
        self, submission: work.Submission, deadline: float
    ) -> outcomes.Outcome:
        """Store a job; an id that exists is the same job.

        :param deadline: steady time at which the caller stops waiting.
        """
        job_id = submission.id
        known = self._view.get(job_id)
        if known is not None:
            LOG.info('job known', extra={'job': job_id})
            return self._match_account(known.submission, submission)
        key = layout.make_job_key(job_id)
        value = records.encode_submission(submission)
        transaction = transactions.Transaction(
            {key: 0}, (transactions.Put(key, value),)
        )
        result = await self._settle(transaction, deadline)
        result = self._remember(job_id, result)
        match result:
            case transactions.Committed():
                return outcomes.Accepted()
            case transactions.Conflict():
                item = result.items.get(key)
                if item is None:
                    return outcomes.Undecided('the job was removed')
                stored = records.decode_submission(item.value)
                return self._match_account(stored, submission)
        return result

    async def cancel(
        self, job_id: str, account: str, deadline: float
    ) -> outcomes.Outcome:
        """Store the cancellation of a job."""
        found = await self._find(job_id, account)
        if not isinstance(found, outcomes.Shown):
            return found
        if found.state.is_final():
            return outcomes.Accepted()
        key = layout.make_cancel_key(job_id)
        transaction = transactions.Transaction(
            {key: 0}, (transactions.Put(key, b'1'),)
        )
        result = await self._settle(transaction, deadline)
        match result:
            case transactions.Committed() | transactions.Conflict():
                return outcomes.Accepted()
        return result

    async def show(self, job_id: str, account: str) -> outcomes.Outcome:
        """Return the state of a job."""
        return await self._find(job_id, account)

    async def _find(self, job_id: str, account: str) -> outcomes.Outcome:
        known = self._view.get(job_id)
        if known is not None and known.submission is not None:
            if not is_visible(known.submission, account):
                return outcomes.Unknown()
            return outcomes.Shown(known.progress.state)
        try:
            return await self._read(job_id, account)
        except errors.StoreError as error:
            return outcomes.Unavailable(str(error), RETRY_AFTER_S)

    async def _read(self, job_id: str, account: str) -> outcomes.Outcome:
        """Read a job that the view lacks; only this may tell its absence."""
        item = await self._store.get(layout.make_job_key(job_id))
        if item is None:
            return outcomes.Unknown()
        if not is_visible(records.decode_submission(item.value), account):
            return outcomes.Unknown()
        progress = await self._store.get(layout.make_progress_key(job_id))
        if progress is None:
            return outcomes.Shown(records.Progress().state)
        return outcomes.Shown(records.decode_progress(progress.value).state)

    def _remember(self, job_id: str, result: Result) -> Result:
        """Keep track of submissions that may have been stored.

        :returns: the result; a refusal becomes undecided if an earlier try
            of the same job is.
        """
        match result:
            case outcomes.Undecided():
                self._undecided[job_id] = None
                while len(self._undecided) > MAX_UNDECIDED:
                    del self._undecided[next(iter(self._undecided))]
            case outcomes.Unavailable() if job_id in self._undecided:
                return outcomes.Undecided(result.reason)
            case transactions.Committed() | transactions.Conflict():
                self._undecided.pop(job_id, None)
        return result

    def _match_account(
        self, stored: work.Submission | None, submission: work.Submission
    ) -> outcomes.Outcome:
        if stored is not None and stored.account != submission.account:
            return outcomes.Unknown()
        return outcomes.Accepted()

    async def _settle(
        self, transaction: transactions.Transaction, deadline: float
    ) -> Result:
        """Commit; repeat a write without an answer until it is decided."""
        if not self._is_reachable():
            # A call would wait for its timeout and leave the outcome open.
            return outcomes.Unavailable('the store is away', RETRY_AFTER_S)
        tries = 0
        sent = False
        while True:
            tries += 1
            try:
                return await self._store.commit(transaction)
            except errors.StoreUnavailableError as error:
                reason = str(error)
                if not sent:
                    return outcomes.Unavailable(reason, RETRY_AFTER_S)
            except errors.StoreError as error:
                sent = True
                reason = str(error)
            late = clocks.get_steady() + SETTLE_PAUSE_S >= deadline
            if late or tries >= MAX_TRIES:
                return outcomes.Undecided(reason)
            await asyncio.sleep(SETTLE_PAUSE_S)


def is_visible(submission: work.Submission, account: str) -> bool:
    """Return whether a client account may see a job."""
    return not (submission.account and account) or (
        submission.account == account
    )

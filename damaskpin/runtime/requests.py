"""Handles client requests to submit, cancel and query jobs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.entry import outcomes
from damaskpin.runtime import clocks
from damaskpin.runtime import commits
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.entry import view as views
    from damaskpin.model import work
    from damaskpin.runtime import store_probe
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Maximum number of remembered submissions for which it is unknown whether the
# store has the job. The answer to a repeat of such a submission must not say
# that the job was not stored.
MAX_UNDECIDED_SUBMISSIONS = 1000

# Maximum attempts of a write that other writes of the same key keep failing.
MAX_CONFLICTS = 4


class Requests:
    """Writes jobs and cancellations to the store and reads job states.

    :param store: client of the store.
    :param view: jobs that are recorded in the store.
    :param probe: tells whether the store answers.
    """

    __slots__ = ('_commits', '_store', '_undecided_submissions', '_view')

    def __init__(
        self,
        store: interface.Store,
        view: views.JobView,
        probe: store_probe.StoreProbe,
    ) -> None:
        self._commits = commits.Commits(store, probe)
        self._store = store
        self._view = view
        # Ids of submissions with an unknown result, oldest first; the dict
        # serves as an ordered set.
        self._undecided_submissions: dict[str, None] = {}

    async def submit(
        self, submission: work.Submission, deadline: float
    ) -> outcomes.Outcome:
        """Store a job; accept a repeat of a job that is already stored.

        :param deadline: monotonic time in seconds at which the client stops
            waiting.
        """
        job_id = submission.id
        known_job = self._view.get(job_id)
        if known_job is not None:
            LOG.info('submitted job already exists', extra={'job': job_id})
            return self._check_account(known_job.submission, submission)
        result = await self._store_job(submission, deadline)
        return self._track_undecided_submission(job_id, result)

    async def cancel(
        self, job_id: str, account: str, deadline: float
    ) -> outcomes.Outcome:
        """Store the cancellation of a job unless the job has ended.

        A job that the store does not have is cancelled as well: a write of it
        may be under way, at this entry or another one.
        """
        outcome = await self.get_state(job_id, account, deadline)
        match outcome:
            case outcomes.JobFound(state=state):
                if state.is_final():
                    return outcomes.Accepted()
                return await self._store_cancellation(job_id, deadline)
            case outcomes.JobNotFound() if self._view.get(job_id) is None:
                return await self._store_tombstone(job_id, account, deadline)
        return outcome

    async def get_state(
        self, job_id: str, account: str, deadline: float
    ) -> outcomes.Outcome:
        """Return the state of a job, from the view or from the store."""
        known_job = self._view.get(job_id)
        if known_job is not None and known_job.submission is not None:
            if not is_visible(known_job.submission, account):
                return outcomes.JobNotFound()
            return make_job_found(known_job.progress)
        try:
            async with asyncio.timeout(commits.get_time_limit(deadline)):
                return await self._read_state(job_id, account)
        except (errors.StoreError, TimeoutError) as error:
            reason = str(error) or 'the store did not answer in time'
            return outcomes.Unavailable(reason, commits.RETRY_AFTER_S)

    async def _read_state(self, job_id: str, account: str) -> outcomes.Outcome:
        """Read a job's state from the store, as the view may lag behind."""
        item = await self._store.get(layout.make_job_key(job_id))
        if item is None or find_visible_job(item, account) is None:
            return outcomes.JobNotFound()
        progress = await self._store.get(layout.make_progress_key(job_id))
        if progress is None:
            return make_job_found(records.Progress())
        return make_job_found(records.decode_progress(progress.value))

    async def _store_job(
        self, submission: work.Submission, deadline: float
    ) -> outcomes.Outcome:
        """Store a job unless the store has it or its account cancelled it."""
        key = layout.make_job_key(submission.id)
        value = records.encode_submission(submission)
        revision = 0
        for _ in range(MAX_CONFLICTS):
            result = await self._commits.commit(
                transactions.Transaction(
                    {key: revision}, (transactions.Put(key, value),)
                ),
                deadline,
                submission.id in self._undecided_submissions,
            )
            match result:
                case transactions.Committed():
                    return outcomes.Accepted()
                case transactions.Conflict():
                    pass
                case _:
                    return result
            item = result.items.get(key)
            if item is None:
                return outcomes.Undecided('the job was removed')
            stored = records.decode_job_record(item.value)
            if not isinstance(stored, records.Tombstone):
                return self._check_account(stored, submission)
            if submission.account in stored.cancelled_by:
                LOG.info(
                    'submission of a cancelled job refused',
                    extra={
                        'job': submission.id,
                        'cancelled': stored.cancelled,
                    },
                )
                return outcomes.Withdrawn()
            # Another account has cancelled a job of this id.
            revision = item.revision
        return outcomes.Undecided('the record of the job keeps changing')

    async def _store_cancellation(
        self, job_id: str, deadline: float
    ) -> outcomes.Outcome:
        """Store the cancellation of a job that the store has."""
        key = layout.make_cancel_key(job_id)
        transaction = transactions.Transaction(
            {key: 0}, (transactions.Put(key, b'1'),)
        )
        result = await self._commits.commit(transaction, deadline)
        match result:
            case transactions.Committed() | transactions.Conflict():
                return outcomes.Accepted()
        return result

    async def _store_tombstone(
        self, job_id: str, account: str, deadline: float
    ) -> outcomes.Outcome:
        """Store that an account has cancelled a job that was not stored.

        A write of the job that is carried out later fails, as it expects that
        its key does not exist.
        """
        key = layout.make_job_key(job_id)
        revision = 0
        accounts: tuple[str, ...] = ()
        for _ in range(MAX_CONFLICTS):
            tombstone = records.Tombstone(
                (*accounts, account), clocks.get_wall_time()
            )
            value = records.encode_tombstone(tombstone)
            result = await self._commits.commit(
                transactions.Transaction(
                    {key: revision}, (transactions.Put(key, value),)
                ),
                deadline,
            )
            match result:
                case transactions.Committed():
                    LOG.info(
                        'job cancelled that is not stored',
                        extra={'job': job_id, 'account': account},
                    )
                    return outcomes.JobNotFound()
                case transactions.Conflict():
                    pass
                case _:
                    return result
            item = result.items.get(key)
            if item is None:
                revision, accounts = 0, ()
                continue
            stored = records.decode_job_record(item.value)
            if not isinstance(stored, records.Tombstone):
                # The job was stored after it had been looked for.
                if not is_visible(stored, account):
                    return outcomes.JobNotFound()
                return await self._store_cancellation(job_id, deadline)
            if account in stored.cancelled_by:
                return outcomes.JobNotFound()
            revision, accounts = item.revision, stored.cancelled_by
        return outcomes.Undecided('the record of the job keeps changing')

    def _track_undecided_submission(
        self, job_id: str, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Remember a submission while it is unknown whether it was stored.

        :returns: the outcome; ``Undecided`` instead of ``Unavailable`` if the
            result of an earlier submission of the same job is unknown.
        """
        undecided = self._undecided_submissions
        match outcome:
            case outcomes.Undecided():
                undecided[job_id] = None
                while len(undecided) > MAX_UNDECIDED_SUBMISSIONS:
                    del undecided[next(iter(undecided))]
            case outcomes.Unavailable() if job_id in undecided:
                return outcomes.Undecided(outcome.reason)
            case outcomes.Unavailable():
                pass
            case _:
                undecided.pop(job_id, None)
        return outcome

    def _check_account(
        self, stored: work.Submission, submission: work.Submission
    ) -> outcomes.Outcome:
        if stored.account != submission.account:
            return outcomes.JobNotFound()
        return outcomes.Accepted()


def make_job_found(progress: records.Progress) -> outcomes.JobFound:
    """Return what a caller is told of a job with the given progress."""
    return outcomes.JobFound(progress.state, progress.reason)


def is_visible(submission: work.Submission, account: str) -> bool:
    """Return whether a client account may see a job.

    A job without an account is visible to all; a caller without an account
    sees all jobs.
    """
    return not (submission.account and account) or (
        submission.account == account
    )


def find_visible_job(
    item: transactions.StoredItem, account: str
) -> work.Submission | None:
    """Return the stored job if there is one that a client account may see."""
    stored = records.decode_job_record(item.value)
    if isinstance(stored, records.Tombstone):
        return None
    return stored if is_visible(stored, account) else None

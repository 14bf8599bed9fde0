"""Records of an owner's jobs and of their current attempts.

The owner of a job is the entry that grants the job's attempts and decides its
verdict.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

import msgspec

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages

RESUBMIT_SECONDS = 2.0
# Longest interval between submissions of a job that the coordinator has
# confirmed. A new coordinator gets the job at once.
MAX_RESUBMIT_SECONDS = 60.0
# Time after a grant in which the coordinator's placement commits or fails. If
# the owner has heard nothing about the granted attempt by then, it queries the
# lead.
GRANT_POLL_DELAY_SECONDS = 5.0
UNCONFIRMED_POLL_SECONDS = 2.0
POLL_SECONDS = 30.0
MAX_RETRIES = 3
FIRST_RETRY_DELAY_SECONDS = 1.0
STOP_INTERVAL_SECONDS = 1.0
MAX_STOP_INTERVAL_SECONDS = 5.0
MAX_CLOSED_ATTEMPTS = 64
# Maximum number of concluded jobs whose verdict (final result for the caller)
# is not confirmed as stored yet. If there are more, the oldest is forgotten.
MAX_UNSTORED_VERDICTS = 10_000
# Reason of a stop that returns borrowed accelerators to their client account.
# An attempt that ends for this reason does not count as failed.
RECLAIMED = 'reclaimed'


class Phase(enum.Enum):
    """Phase of a job that has no verdict yet."""

    WAITING = 'waiting'
    # The grant of an attempt is being written to the store.
    RECORDING = 'recording'
    GRANTED = 'granted'
    # An attempt is granted, but its lead is lost, has lost its record of the
    # attempt, or is not known after the adoption of the job. The members of a
    # lost lead stop their tasks after a time-out.
    LEAD_LOST = 'lead-lost'


@dataclasses.dataclass(slots=True)
class JobRecord:
    """A job and its current attempt, as its owner knows them.

    :ivar detached: whether the job is in the store and outlives the entry.
    :ivar submitted_at: when the job was accepted, monotonic seconds.
    :ivar closed_attempts: attempts that must not be granted any more.
    :ivar attempt: id of the current attempt; empty if there is none.
    :ivar lead: instance id of the agent that leads the current attempt; empty
        if it is not known.
    :ivar token: token of the lead's reservation for the attempt.
    :ivar member_count: number of members of the attempt's gang, or an upper
        bound of it.
    :ivar requester: instance id of the coordinator that requested the grant.
    :ivar retries: number of failed attempts after which the job was retried.
    :ivar earlier_run: why an earlier attempt may have run; empty if none may
        have.
    :ivar commit_confirmed: whether the lead confirmed that the attempt is
        committed.
    :ivar record_lost: whether the lead permanently lost its record of the
        attempt.
    :ivar reclaimed: whether the coordinator stopped the attempt to return
        borrowed accelerators.
    :ivar cancel_reason: reason of the cancellation; ``None`` if there is none.
    :ivar next_submit_at: when the job is submitted to the coordinator next,
        monotonic seconds.
    :ivar submit_delay: seconds between submissions.
    :ivar next_poll_at: when the next query or stop request is sent to the
        lead, monotonic seconds; while the job waits, the end of the back-off
        before its next attempt.
    :ivar poll_delay: seconds until a stop request is repeated.
    :ivar orphans_end_at: when the members of a lost lead have stopped,
        monotonic seconds.
    """

    job: jobs.Job
    detached: bool
    submitted_at: float
    closed_attempts: collections.deque[str]
    phase: Phase = Phase.WAITING
    attempt: str = ''
    lead: str = ''
    token: str = ''
    member_count: int = 1
    requester: str = ''
    retries: int = 0
    earlier_run: str = ''
    commit_confirmed: bool = False
    record_lost: bool = False
    reclaimed: bool = False
    cancel_reason: str | None = None
    next_submit_at: float = 0.0
    submit_delay: float = RESUBMIT_SECONDS
    next_poll_at: float = 0.0
    poll_delay: float = STOP_INTERVAL_SECONDS
    orphans_end_at: float = 0.0

    @property
    def deadline(self) -> float | None:
        """When the job gives up waiting for a start, monotonic seconds."""
        seconds = self.job.spec.deadline_seconds
        return None if seconds is None else self.submitted_at + seconds

    @property
    def is_granted(self) -> bool:
        """Whether an attempt is granted, so that its lead may commit it."""
        return self.phase in (Phase.GRANTED, Phase.LEAD_LOST)

    def have_orphans_ended(self, now: float) -> bool:
        """Return whether all members of a lost lead must have stopped."""
        return self.phase is Phase.LEAD_LOST and now >= self.orphans_end_at

    def adopt(self, now: float, attempt: str) -> None:
        """Set the phase of a job that was taken over from a former owner.

        :param attempt: attempt that the store names as granted, or an empty
            string.
        """
        if self.job.spec.idempotent:
            # Grants of idempotent jobs are not stored, so the store does not
            # show whether an attempt of the former owner ran.
            self.earlier_run = 'a former owner may have started it'
        if attempt:
            self.attempt = attempt
            self.member_count = jobs.MAX_GANG_ACCELERATORS
            self.record_lead_lost(now)

    def schedule_submit(self, now: float) -> None:
        """Schedule the submission of the job to a new coordinator.

        The submission is due at once, or when the back-off of a retry ends.
        """
        self.submit_delay = RESUBMIT_SECONDS
        self.next_submit_at = min(self.next_submit_at, now)
        if self.phase is Phase.WAITING and self.retries:
            self.next_submit_at = max(now, self.next_poll_at)

    def find_denial(self, now: float, attempt: str) -> str:
        """Return why an attempt is denied a grant; empty if it may get one."""
        if attempt in self.closed_attempts:
            return 'closed'
        if self.phase is Phase.WAITING:
            return 'back-off' if now < self.next_poll_at else ''
        if self.attempt != attempt:
            return 'another attempt'
        if self.phase is Phase.LEAD_LOST or self.cancel_reason is not None:
            return 'ending'
        return ''

    def set_attempt(self, request: gang_messages.RequestGrant) -> None:
        """Make the attempt of a grant request the current attempt."""
        self.attempt = request.attempt
        self.lead = request.lead
        self.token = request.token
        self.member_count = max(1, len(request.members))

    def record_committed(self, now: float) -> None:
        """Record that the lead confirmed the attempt as committed."""
        self.commit_confirmed = True
        if self.phase is Phase.LEAD_LOST and not self.record_lost:
            self.phase = Phase.GRANTED
            if self.cancel_reason is not None:
                self.next_poll_at = now

    def mark_record_lost(self, now: float) -> None:
        """Record that the lead permanently lost its record of the attempt."""
        self.record_lost = True
        if self.phase is Phase.GRANTED:
            self.record_lead_lost(now)

    def end_attempt(
        self, now: float, exit_code: int | None, reason: str
    ) -> verdicts.Verdict | None:
        """Record the end of a committed attempt.

        :returns: the verdict of the job, or ``None`` if another attempt may
            run.
        """
        if exit_code == 0:
            return make_ran_verdict(0)
        self.earlier_run = reason or 'ended early'
        if self.cancel_reason is None and self.job.spec.idempotent:
            reclaimed = self.reclaimed or reason.startswith(RECLAIMED)
            if reclaimed or self.retries < MAX_RETRIES:
                self.close_attempt(now)
                if not reclaimed:
                    self.delay_retry(now)
                return None
        if exit_code is not None:
            return make_ran_verdict(exit_code)
        return self.make_verdict_without_exit_code(
            self.cancel_reason or reason
        )

    def grant(self, now: float) -> None:
        """Record that the current attempt may commit."""
        self.phase = Phase.GRANTED
        self.commit_confirmed = False
        self.record_lost = False
        self.reclaimed = False
        self.next_poll_at = now + GRANT_POLL_DELAY_SECONDS

    def close_attempt(self, now: float) -> None:
        """Close the current attempt, so that another one can be granted."""
        self.closed_attempts.append(self.attempt)
        self.phase = Phase.WAITING
        self.attempt = ''
        self.lead = ''
        self.submit_delay = RESUBMIT_SECONDS
        self.next_submit_at = now
        self.next_poll_at = now

    def delay_retry(self, now: float) -> None:
        """Count a failed attempt, and delay the next one.

        The delay doubles with each failed attempt.
        """
        delay = FIRST_RETRY_DELAY_SECONDS * 2**self.retries
        self.retries += 1
        self.next_poll_at = now + delay
        self.next_submit_at = now + delay

    def record_lead_lost(self, now: float) -> None:
        """Record the loss of the lead, and wait for the members to stop."""
        self.phase = Phase.LEAD_LOST
        self.next_poll_at = now
        self.orphans_end_at = now + timing.compute_orphan_timeout(
            self.member_count
        )

    def delay_next_submit(self, now: float) -> None:
        """Delay the next submission, because the coordinator knows the job."""
        self.submit_delay = min(2 * self.submit_delay, MAX_RESUBMIT_SECONDS)
        self.next_submit_at = max(self.next_submit_at, now + self.submit_delay)

    def make_submission(
        self, now: float, owner: str
    ) -> gang_messages.SubmitJob:
        """Return the message that submits the job to the coordinator."""
        job = msgspec.structs.replace(
            self.job, age_seconds=now - self.submitted_at
        )
        return gang_messages.SubmitJob(job, owner, self.attempt)

    def make_lead_request(self, now: float) -> list[effects.Effect]:
        """Return the query or stop request for the lead that is due."""
        if self.cancel_reason is not None and self.phase is Phase.GRANTED:
            self.next_poll_at = now + self.poll_delay
            self.poll_delay = min(
                2 * self.poll_delay, MAX_STOP_INTERVAL_SECONDS
            )
            message = gang_messages.StopGang(self.attempt, self.cancel_reason)
        else:
            unconfirmed = (
                not self.commit_confirmed or self.phase is Phase.LEAD_LOST
            )
            delay = UNCONFIRMED_POLL_SECONDS if unconfirmed else POLL_SECONDS
            self.next_poll_at = now + delay
            message = gang_messages.QueryGang(self.attempt)
        return [effects.Send(self.lead, message)] if self.lead else []

    def compute_next_due_time(self) -> float:
        """Return the time of the next submission, poll or deadline."""
        due = [self.next_submit_at]
        if self.is_granted:
            due.append(self.next_poll_at)
            if self.phase is Phase.LEAD_LOST:
                due.append(self.orphans_end_at)
        elif self.deadline is not None:
            due.append(self.deadline)
        return min(due)

    def make_verdict_without_exit_code(self, reason: str) -> verdicts.Verdict:
        """Return the verdict of a job that ends without a known exit code.

        The verdict is that the job did not run, or that it may have run if an
        earlier attempt may have.
        """
        if not self.earlier_run:
            return verdicts.NotRun(reason)
        return verdicts.MayHaveRun(
            f'{reason}; an attempt ended early: {self.earlier_run}'
        )


def make_ran_verdict(exit_code: int) -> verdicts.Ran:
    """Return the verdict of a job whose tasks exited by themselves."""
    body = msgspec.json.encode({'exit_code': exit_code})
    return verdicts.Ran(verdicts.Answer(200, body, 'application/json'))


def make_record(now: float, job: jobs.Job, detached: bool) -> JobRecord:
    """Return the record of a job that an owner has just accepted.

    :param now: monotonic seconds.
    :param detached: whether the job is in the store and outlives the entry.
    """
    return JobRecord(
        job=job,
        detached=detached,
        submitted_at=now - job.age_seconds,
        closed_attempts=collections.deque(maxlen=MAX_CLOSED_ATTEMPTS),
        next_submit_at=now,
        next_poll_at=now,
    )


class UnstoredVerdicts:
    """Detached jobs whose verdicts the store has not confirmed.

    The verdict of a job is its final result for the caller: it ran, it may
    have run, or it did not run. At most ``MAX_UNSTORED_VERDICTS`` jobs are
    kept.
    """

    __slots__ = ('_jobs',)

    def __init__(self) -> None:
        self._jobs: dict[str, None] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add(self, job_id: str) -> None:
        """Add a job whose verdict has just been decided."""
        self._jobs[job_id] = None
        if len(self._jobs) > MAX_UNSTORED_VERDICTS:
            del self._jobs[next(iter(self._jobs))]

    def remove(self, job_id: str) -> None:
        """Remove a job whose verdict is stored."""
        self._jobs.pop(job_id, None)

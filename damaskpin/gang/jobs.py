"""Jobs of an owner and their attempts."""

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
# A job that the coordinator confirmed is submitted again this seldom; a new
# coordinator gets it at once.
MAX_RESUBMIT_SECONDS = 60.0
# A placement commits or fails within this time, so a grant without news is
# looked into after it.
GRANT_SECONDS = 5.0
DOUBT_POLL_SECONDS = 2.0
POLL_SECONDS = 30.0
MAX_RETRIES = 3
RETRY_SECONDS = 1.0
STOP_REPEAT_SECONDS = 1.0
MAX_STOP_REPEAT_SECONDS = 5.0
MAX_CLOSED = 64
MAX_STORING = 10_000
# Reason of a stop that returns lent accelerators; it is no failure.
RECLAIMED = 'reclaimed'


class Phase(enum.Enum):
    """Phase of a job."""

    WAITING = 'waiting'
    # The grant is being written to the store.
    RECORDING = 'recording'
    GRANTED = 'granted'
    # The lead is gone; what runs of the attempt ends by itself.
    SETTLING = 'settling'


@dataclasses.dataclass(slots=True)
class Record:
    """A job and its attempt.

    :ivar submitted: when the job was accepted, on the local clock.
    :ivar token: token of the lead's reservation.
    :ivar closed: attempts that must not be granted any more.
    :ivar ran: why an earlier attempt may have run; empty when none may.
    :ivar running: the lead said that the attempt is committed.
    :ivar forgotten: the lead lost its record of the attempt, for good.
    :ivar cancelled: reason of a cancellation.
    """

    job: jobs.Job
    detached: bool
    submitted: float
    closed: collections.deque[str]
    phase: Phase = Phase.WAITING
    attempt: str = ''
    lead: str = ''
    token: str = ''
    members: int = 1
    requester: str = ''
    retries: int = 0
    ran: str = ''
    running: bool = False
    forgotten: bool = False
    reclaimed: bool = False
    cancelled: str | None = None
    next_submit: float = 0.0
    submit_delay: float = RESUBMIT_SECONDS
    next_poll: float = 0.0
    poll_delay: float = STOP_REPEAT_SECONDS
    settled_at: float = 0.0

    @property
    def deadline(self) -> float | None:
        """When waiting ends, on the local clock."""
        seconds = self.job.spec.deadline_seconds
        return None if seconds is None else self.submitted + seconds

    @property
    def is_granted(self) -> bool:
        """Whether an attempt may have been committed."""
        return self.phase in (Phase.GRANTED, Phase.SETTLING)

    def is_settled(self, now: float) -> bool:
        """Tell whether nothing runs any more of a lost attempt."""
        return self.phase is Phase.SETTLING and now >= self.settled_at

    def adopt(self, now: float, attempt: str) -> None:
        """Continue from what the store says.

        :param attempt: attempt that was granted, or an empty string.
        """
        if self.job.spec.idempotent:
            # Idempotent jobs are granted from memory, so the store does not
            # tell whether an attempt of the former owner ran.
            self.ran = 'a former owner may have started it'
        if attempt:
            self.attempt = attempt
            self.members = jobs.MAX_GANG_ACCELERATORS
            self.settle(now)

    def hurry_submit(self, now: float) -> None:
        """Submit to a new coordinator at once, or after the back-off."""
        self.submit_delay = RESUBMIT_SECONDS
        self.next_submit = min(self.next_submit, now)
        if self.phase is Phase.WAITING and self.retries:
            self.next_submit = max(now, self.next_poll)

    def find_denial(self, now: float, attempt: str) -> str:
        """Return why an attempt must not commit; empty when it may."""
        if attempt in self.closed:
            return 'closed'
        if self.phase is Phase.WAITING:
            return 'back-off' if now < self.next_poll else ''
        if self.attempt != attempt:
            return 'another attempt'
        if self.phase is Phase.SETTLING or self.cancelled is not None:
            return 'ending'
        return ''

    def assign(self, request: gang_messages.RequestGrant) -> None:
        """Take the attempt of a request."""
        self.attempt = request.attempt
        self.lead = request.lead
        self.token = request.token
        self.members = max(1, len(request.members))

    def note_committed(self, now: float) -> None:
        """Note that the lead runs the attempt."""
        self.running = True
        if self.phase is Phase.SETTLING and not self.forgotten:
            self.phase = Phase.GRANTED
            if self.cancelled is not None:
                self.next_poll = now

    def note_forgotten(self, now: float) -> None:
        """Note that the lead lost its record of the attempt, for good."""
        self.forgotten = True
        if self.phase is Phase.GRANTED:
            self.settle(now)

    def end_attempt(
        self, now: float, exit_code: int | None, reason: str
    ) -> verdicts.Verdict | None:
        """Note the end of a committed attempt.

        :returns: the verdict, or ``None`` when another attempt may run.
        """
        if exit_code == 0:
            return make_ran(0)
        self.ran = reason or 'ended early'
        if self.cancelled is None and self.job.spec.idempotent:
            reclaimed = self.reclaimed or reason.startswith(RECLAIMED)
            if reclaimed or self.retries < MAX_RETRIES:
                self.reopen(now)
                if not reclaimed:
                    self.delay_retry(now)
                return None
        if exit_code is not None:
            return make_ran(exit_code)
        return self.make_unstarted(self.cancelled or reason)

    def grant(self, now: float) -> None:
        """Let the attempt commit."""
        self.phase = Phase.GRANTED
        self.running = False
        self.forgotten = False
        self.reclaimed = False
        self.next_poll = now + GRANT_SECONDS

    def reopen(self, now: float) -> None:
        """Let another attempt be granted."""
        self.closed.append(self.attempt)
        self.phase = Phase.WAITING
        self.attempt = ''
        self.lead = ''
        self.submit_delay = RESUBMIT_SECONDS
        self.next_submit = now
        self.next_poll = now

    def delay_retry(self, now: float) -> None:
        """Count a failed attempt, and back off."""
        delay = RETRY_SECONDS * 2**self.retries
        self.retries += 1
        self.next_poll = now + delay
        self.next_submit = now + delay

    def settle(self, now: float) -> None:
        """Wait until nothing runs of the attempt, whose lead is gone."""
        self.phase = Phase.SETTLING
        self.next_poll = now
        self.settled_at = now + timing.compute_settle_seconds(self.members)

    def confirm_submit(self, now: float) -> None:
        """Note that the coordinator knows the job."""
        self.submit_delay = min(2 * self.submit_delay, MAX_RESUBMIT_SECONDS)
        self.next_submit = max(self.next_submit, now + self.submit_delay)

    def make_submission(
        self, now: float, owner: str
    ) -> gang_messages.SubmitJob:
        """Return the message that queues the job."""
        job = msgspec.structs.replace(
            self.job, age_seconds=now - self.submitted
        )
        return gang_messages.SubmitJob(job, owner, self.attempt)

    def ask_lead(self, now: float) -> list[effects.Effect]:
        """Return the question or the request to the lead that is due."""
        if self.cancelled is not None and self.phase is Phase.GRANTED:
            self.next_poll = now + self.poll_delay
            self.poll_delay = min(2 * self.poll_delay, MAX_STOP_REPEAT_SECONDS)
            message = gang_messages.StopGang(self.attempt, self.cancelled)
        else:
            doubt = not self.running or self.phase is Phase.SETTLING
            delay = DOUBT_POLL_SECONDS if doubt else POLL_SECONDS
            self.next_poll = now + delay
            message = gang_messages.QueryGang(self.attempt)
        return [effects.Send(self.lead, message)] if self.lead else []

    def compute_due(self) -> float:
        """Return when something is due next."""
        due = [self.next_submit]
        if self.is_granted:
            due.append(self.next_poll)
            if self.phase is Phase.SETTLING:
                due.append(self.settled_at)
        elif self.deadline is not None:
            due.append(self.deadline)
        return min(due)

    def make_unstarted(self, reason: str) -> verdicts.Verdict:
        """Return the verdict when no attempt holds a grant."""
        if not self.ran:
            return verdicts.NotRun(reason)
        return verdicts.MayHaveRun(
            f'{reason}; an attempt ended early: {self.ran}'
        )


def make_ran(exit_code: int) -> verdicts.Ran:
    """Return the verdict of a job that ran to its end."""
    body = msgspec.json.encode({'exit_code': exit_code})
    return verdicts.Ran(verdicts.Answer(200, body, 'application/json'))


def make_record(now: float, job: jobs.Job, detached: bool) -> Record:
    """Return the record of a job that was just taken.

    :param now: monotonic seconds.
    :param detached: the job is in the store and outlives the entry.
    """
    return Record(
        job=job,
        detached=detached,
        submitted=now - job.age_seconds,
        closed=collections.deque(maxlen=MAX_CLOSED),
        next_submit=now,
        next_poll=now,
    )


class Storing:
    """Detached jobs whose verdicts are not known to be stored."""

    __slots__ = ('_jobs',)

    def __init__(self) -> None:
        self._jobs: dict[str, None] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def add(self, job_id: str) -> None:
        """Take a job that has just concluded."""
        self._jobs[job_id] = None
        if len(self._jobs) > MAX_STORING:
            del self._jobs[next(iter(self._jobs))]

    def remove(self, job_id: str) -> None:
        """Drop a job whose verdict is stored."""
        self._jobs.pop(job_id, None)

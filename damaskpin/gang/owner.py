"""Owner side of gangs: grants, attempts and verdicts of an entry's jobs."""

from __future__ import annotations

import collections
import dataclasses
import enum

import msgspec

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import metrics
from damaskpin.gang import timers
from damaskpin.gang import timing
from damaskpin.model import job as jobs
from damaskpin.peer import messages

RESUBMIT_SECONDS = 2.0
# A placement commits or fails within this time, so a grant without news is
# looked into after it.
GRANT_SECONDS = 5.0
DOUBT_POLL_SECONDS = 2.0
POLL_SECONDS = 30.0
MAX_RETRIES = 3
RETRY_SECONDS = 1.0
STOP_REPEAT_SECONDS = 1.0
MAX_STOP_REPEAT_SECONDS = 5.0
# An attempt that was given up may still run behind a partition; it is asked
# to stop for this long.
ABANDONED_SECONDS = 600.0
ABANDONED_POLL_SECONDS = 10.0
MAX_ABANDONED = 1000
MAX_CLOSED = 64
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
    next_poll: float = 0.0
    poll_delay: float = STOP_REPEAT_SECONDS
    settled_at: float = 0.0

    @property
    def deadline(self) -> float | None:
        """When waiting ends, on the local clock."""
        seconds = self.job.spec.deadline_seconds
        return None if seconds is None else self.submitted + seconds


@dataclasses.dataclass(slots=True)
class _Abandoned:
    lead: str
    until: float


class Owner:
    """Jobs that this entry answers for.

    :param instance: instance id of the entry.
    """

    __slots__ = (
        '_abandoned',
        '_attempts',
        '_coordinator',
        '_instance',
        '_out',
        '_records',
        '_timers',
    )

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._coordinator = ''
        self._records: dict[str, Record] = {}
        # Job of each attempt that holds a grant, or is about to.
        self._attempts: dict[str, str] = {}
        self._abandoned: dict[str, _Abandoned] = {}
        self._timers = timers.Timers()
        self._out: list[effects.Effect] = []

    # Inputs from the daemon

    def submit(
        self, now: float, job: jobs.Job, detached: bool
    ) -> list[effects.Effect]:
        """Take a job; submitting it again has no effect.

        :param now: monotonic seconds.
        :param detached: the job is in the store and outlives this entry.
        """
        if job.id not in self._records:
            self._advance(now, self._add(now, job, detached))
        return self._flush()

    def adopt(
        self, now: float, job: jobs.Job, granted_attempt: str
    ) -> list[effects.Effect]:
        """Take over a detached job of another entry.

        :param granted_attempt: attempt that the store names as granted, or
            an empty string.
        """
        if job.id in self._records:
            return []
        record = self._add(now, job, True)
        if job.spec.idempotent:
            # Idempotent jobs are granted from memory, so the store does not
            # tell whether an attempt of the former owner ran.
            record.ran = 'a former owner may have started it'
        if granted_attempt:
            record.attempt = granted_attempt
            self._attempts[granted_attempt] = job.id
            record.members = jobs.MAX_GANG_ACCELERATORS
            self._settle(now, record)
        self._advance(now, record)
        return self._flush()

    def set_coordinator(
        self, now: float, instance: str
    ) -> list[effects.Effect]:
        """Submit all jobs to another coordinator.

        :param instance: instance id; empty while none is known.
        """
        if instance == self._coordinator:
            return []
        self._coordinator = instance
        for record in list(self._records.values()):
            record.next_submit = min(record.next_submit, now)
            if record.phase is Phase.WAITING and record.retries:
                # Keeps the back-off of a job that failed lately.
                record.next_submit = max(now, record.next_poll)
            self._advance(now, record)
        return self._flush()

    def grant_recorded(
        self, now: float, job_id: str, attempt: str, ok: bool
    ) -> list[effects.Effect]:
        """Answer a ``GrantJob``.

        :param ok: the store holds the grant. False means that it does not and
            won't: an unknown outcome is read back before this is called.
        """
        record = self._records.get(job_id)
        if record is None or record.phase is not Phase.RECORDING:
            return []
        if record.attempt != attempt:
            return []
        if ok and attempt in record.closed:
            # The coordinator gave up while the grant was being written.
            self._reopen(now, record)
        elif ok:
            self._grant(now, record)
        else:
            self._deny(
                record.requester, record.job.id, attempt, 'store is down'
            )
            self._record(record, 'waiting', 'the grant was not stored')
            self._reopen(now, record)
        self._advance(now, record)
        return self._flush()

    def cancel(
        self, now: float, job_id: str, reason: str
    ) -> list[effects.Effect]:
        """Cancel a job; it concludes when nothing of it can start any more."""
        record = self._records.get(job_id)
        if record is None:
            return []
        if self._coordinator:
            self._send(self._coordinator, messages.CancelJob(job_id, reason))
        if record.phase in (Phase.WAITING, Phase.RECORDING):
            # No attempt holds a grant, and none gets one from here on.
            self._conclude_unstarted(record, reason)
        elif record.cancelled is None:
            record.cancelled = reason
            record.next_poll = now
            self._advance(now, record)
        return self._flush()

    def agent_lost(self, now: float, instance: str) -> list[effects.Effect]:
        """Note that an agent is dead or can't be reached."""
        for record in list(self._records.values()):
            if record.phase is Phase.GRANTED and record.lead == instance:
                self._settle(now, record)
                self._advance(now, record)
        return self._flush()

    def gang_seen(
        self, now: float, gang: messages.GangState
    ) -> list[effects.Effect]:
        """Note the lead of an adopted job's attempt, from agents' reports."""
        record = self._records.get(gang.job)
        if record is None or record.lead or record.attempt != gang.attempt:
            return []
        record.lead = gang.lead
        record.next_poll = now
        self._advance(now, record)
        return self._flush()

    def get_phase(self, job_id: str) -> Phase | None:
        """Return the phase of a job that has not concluded."""
        record = self._records.get(job_id)
        return None if record is None else record.phase

    # Messages and time

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        match message:
            case messages.RequestGrant():
                self._answer_request(now, sender, message)
            case messages.GangFinished():
                self._send(sender, messages.GangFinishedAck(message.attempt))
                self._abandoned.pop(message.attempt, None)
                self._note_finished(now, message)
            case messages.GangStatus():
                self._note_status(now, sender, message)
            case messages.JobUpdate():
                self._note_update(now, sender, message)
        return self._flush()

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat what is due and conclude what is overdue."""
        for key in self._timers.pop_due(now):
            record = self._records.get(key)
            if record is not None:
                self._advance(now, record)
            elif key in self._abandoned:
                self._stop_abandoned(now, key)
        return self._flush()

    # Grants

    def _answer_request(
        self, now: float, sender: str, message: messages.RequestGrant
    ) -> None:
        record = self._records.get(message.job)
        attempt = message.attempt
        if record is None:
            self._deny(sender, message.job, attempt, 'unknown job')
            return
        # An entry that was paused finds its deadlines passed here.
        self._advance(now, record)
        if message.job not in self._records:
            self._deny(sender, message.job, attempt, 'ended')
            return
        if attempt in record.closed:
            self._deny(sender, message.job, attempt, 'closed')
        elif record.phase is Phase.WAITING:
            if now < record.next_poll:
                self._deny(sender, message.job, attempt, 'back-off')
                return
            record.attempt = attempt
            self._attempts[attempt] = message.job
            record.lead = message.lead
            record.token = message.token
            record.members = max(1, len(message.members))
            record.requester = sender
            if record.detached and not record.job.spec.idempotent:
                record.phase = Phase.RECORDING
                self._out.append(effects.GrantJob(message.job, attempt))
            else:
                self._grant(now, record)
            self._advance(now, record)
        elif record.attempt != attempt:
            self._deny(sender, message.job, attempt, 'another attempt')
        elif record.phase is Phase.RECORDING:
            record.requester = sender
        elif record.phase is Phase.GRANTED and record.cancelled is None:
            self._send(sender, messages.Granted(message.job, attempt))
        else:
            self._deny(sender, message.job, attempt, 'ending')

    def _grant(self, now: float, record: Record) -> None:
        record.phase = Phase.GRANTED
        record.running = False
        record.forgotten = False
        record.reclaimed = False
        record.next_poll = now + GRANT_SECONDS
        self._record(record, 'granted', record.attempt)
        self._send(
            record.requester, messages.Granted(record.job.id, record.attempt)
        )

    def _deny(self, to: str, job: str, attempt: str, reason: str) -> None:
        self._send(to, messages.Denied(job, attempt, reason))

    # News of an attempt

    def _note_finished(
        self, now: float, message: messages.GangFinished
    ) -> None:
        record = self._records.get(message.job)
        if record is None:
            return
        if record.attempt != message.attempt or record.phase not in (
            Phase.GRANTED,
            Phase.SETTLING,
        ):
            # The request for this attempt's grant may still be under way.
            if message.attempt not in record.closed:
                record.closed.append(message.attempt)
            return
        if message.committed:
            self._end_attempt(now, record, message.exit_code, message.reason)
        elif message.token != record.token:
            # A lead that restarted speaks of a later reservation.
            self._note_forgotten(now, record)
        elif record.cancelled is not None:
            self._conclude_unstarted(record, record.cancelled)
        else:
            self._record(record, 'not-started', message.reason)
            self._reopen(now, record)
        self._advance(now, record)

    def _note_status(
        self, now: float, sender: str, message: messages.GangStatus
    ) -> None:
        job_id = self._attempts.get(message.attempt, '')
        record = self._records.get(job_id)
        if record is None or record.lead != sender:
            return
        if record.phase not in (Phase.GRANTED, Phase.SETTLING):
            return
        match message.state:
            case 'committed':
                record.running = True
                if record.phase is Phase.SETTLING and not record.forgotten:
                    record.phase = Phase.GRANTED
                    if record.cancelled is not None:
                        record.next_poll = now
            case 'unknown':
                self._note_forgotten(now, record)
        self._advance(now, record)

    def _note_update(
        self, now: float, sender: str, message: messages.JobUpdate
    ) -> None:
        record = self._records.get(message.job)
        if record is None or sender != self._coordinator:
            return
        if message.state == 'refused' and record.phase is Phase.WAITING:
            self._conclude_unstarted(record, message.reason)
        elif message.state == RECLAIMED:
            record.reclaimed = record.phase is Phase.GRANTED

    def _note_forgotten(self, now: float, record: Record) -> None:
        """Note that the lead lost its record of the attempt, for good."""
        record.forgotten = True
        if record.phase is Phase.GRANTED:
            self._settle(now, record)

    # Ends

    def _end_attempt(
        self,
        now: float,
        record: Record,
        exit_code: int | None,
        reason: str,
    ) -> None:
        """Conclude the job, or open it for another attempt."""
        if exit_code == 0:
            self._conclude_ran(record, 0)
            return
        record.ran = reason or 'ended early'
        if record.cancelled is None and record.job.spec.idempotent:
            reclaimed = record.reclaimed or reason.startswith(RECLAIMED)
            if reclaimed or record.retries < MAX_RETRIES:
                self._record(record, 'retry', reason)
                self._reopen(now, record)
                if not reclaimed:
                    delay = RETRY_SECONDS * 2**record.retries
                    record.retries += 1
                    record.next_poll = now + delay
                    record.next_submit = now + delay
                return
        if exit_code is not None:
            self._conclude_ran(record, exit_code)
        else:
            self._conclude_unstarted(record, record.cancelled or reason)

    def _conclude_ran(self, record: Record, exit_code: int) -> None:
        body = msgspec.json.encode({'exit_code': exit_code})
        answer = verdicts.Answer(200, body, 'application/json')
        self._conclude(record, verdicts.Ran(answer))

    def _conclude_unstarted(self, record: Record, reason: str) -> None:
        """Conclude a job of which no attempt holds a grant."""
        if record.ran:
            detail = f'{reason}; an attempt ended early: {record.ran}'
            self._conclude(record, verdicts.MayHaveRun(detail))
        else:
            self._conclude(record, verdicts.NotRun(reason))

    def _conclude(self, record: Record, verdict: verdicts.Verdict) -> None:
        del self._records[record.job.id]
        self._attempts.pop(record.attempt, None)
        self._timers.remove(record.job.id)
        name = verdicts.name_verdict(verdict)
        metrics.VERDICTS.add(1, {'verdict': name})
        self._record(record, 'concluded', name)
        self._out.append(effects.Conclude(record.job.id, verdict))

    def _reopen(self, now: float, record: Record) -> None:
        """Let another attempt be granted."""
        record.closed.append(record.attempt)
        self._attempts.pop(record.attempt, None)
        record.phase = Phase.WAITING
        record.attempt = ''
        record.lead = ''
        record.next_submit = now
        record.next_poll = now

    def _settle(self, now: float, record: Record) -> None:
        record.phase = Phase.SETTLING
        record.next_poll = now
        record.settled_at = now + timing.compute_settle_seconds(record.members)

    # Time

    def _advance(self, now: float, record: Record) -> None:
        """Do what is due for a job and set its timer."""
        job_id = record.job.id
        if job_id not in self._records:
            return
        match record.phase:
            case Phase.WAITING | Phase.RECORDING:
                deadline = record.deadline
                if deadline is not None and now >= deadline:
                    self._conclude_unstarted(record, 'deadline passed')
            case Phase.SETTLING if now >= record.settled_at:
                self._abandon(now, record)
                self._end_attempt(now, record, None, 'lead is lost')
        if job_id not in self._records:
            return
        if now >= record.next_submit:
            record.next_submit = now + RESUBMIT_SECONDS
            if self._coordinator:
                self._send_job(now, record)
        due = record.next_submit
        if record.phase in (Phase.GRANTED, Phase.SETTLING):
            if now >= record.next_poll:
                self._ask_lead(now, record)
            due = min(due, record.next_poll)
            if record.phase is Phase.SETTLING:
                due = min(due, record.settled_at)
        elif record.deadline is not None:
            due = min(due, record.deadline)
        self._timers.set(job_id, due)

    def _send_job(self, now: float, record: Record) -> None:
        job = msgspec.structs.replace(
            record.job, age_seconds=now - record.submitted
        )
        attempt = record.attempt
        self._send(
            self._coordinator, messages.SubmitJob(job, self._instance, attempt)
        )

    def _ask_lead(self, now: float, record: Record) -> None:
        if record.cancelled is not None and record.phase is Phase.GRANTED:
            record.next_poll = now + record.poll_delay
            record.poll_delay = min(
                2 * record.poll_delay, MAX_STOP_REPEAT_SECONDS
            )
            if record.lead:
                self._send(
                    record.lead,
                    messages.StopGang(record.attempt, record.cancelled),
                )
            return
        doubt = not record.running or record.phase is Phase.SETTLING
        record.next_poll = now + (
            DOUBT_POLL_SECONDS if doubt else POLL_SECONDS
        )
        if record.lead:
            self._send(record.lead, messages.QueryGang(record.attempt))

    def _abandon(self, now: float, record: Record) -> None:
        if not record.lead or len(self._abandoned) >= MAX_ABANDONED:
            return
        self._abandoned[record.attempt] = _Abandoned(
            record.lead, now + ABANDONED_SECONDS
        )
        self._timers.set(record.attempt, now + ABANDONED_POLL_SECONDS)

    def _stop_abandoned(self, now: float, attempt: str) -> None:
        abandoned = self._abandoned[attempt]
        if now >= abandoned.until:
            del self._abandoned[attempt]
            return
        self._timers.set(attempt, now + ABANDONED_POLL_SECONDS)
        self._send(abandoned.lead, messages.StopGang(attempt, 'given up'))

    def _add(self, now: float, job: jobs.Job, detached: bool) -> Record:
        record = Record(
            job=job,
            detached=detached,
            submitted=now - job.age_seconds,
            closed=collections.deque(maxlen=MAX_CLOSED),
            next_submit=now,
            next_poll=now,
        )
        self._records[job.id] = record
        return record

    def _record(self, record: Record, event: str, detail: str) -> None:
        self._out.append(effects.Record(record.job.id, event, detail))

    def _send(self, to: str, message: messages.Message) -> None:
        self._out.append(effects.Send(to, message))

    def _flush(self) -> list[effects.Effect]:
        out, self._out = self._out, []
        return out

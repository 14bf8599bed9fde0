"""Owner side of gangs: grants, attempts and verdicts of an entry's jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import abandoned
from damaskpin.gang import jobs as gang_jobs
from damaskpin.gang import metrics
from damaskpin.gang import timers
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    from damaskpin.model import job as jobs


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
        '_storing',
        '_timers',
    )

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._coordinator = ''
        self._records: dict[str, gang_jobs.Record] = {}
        # Job of each attempt that holds a grant, or is about to.
        self._attempts: dict[str, str] = {}
        self._abandoned = abandoned.Abandoned()
        self._storing = gang_jobs.Storing()
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
            record = gang_jobs.make_record(now, job, detached)
            self._records[job.id] = record
            self._advance(now, record)
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
        record = gang_jobs.make_record(now, job, True)
        self._records[job.id] = record
        record.adopt(now, granted_attempt)
        if granted_attempt:
            self._attempts[granted_attempt] = job.id
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
            record.hurry_submit(now)
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
        if record is None or record.phase is not gang_jobs.Phase.RECORDING:
            return []
        if record.attempt != attempt:
            return []
        if ok and attempt in record.closed:
            # The coordinator gave up while the grant was being written.
            self._reopen(now, record)
        elif ok:
            self._grant(now, record)
        else:
            self._deny(record.requester, job_id, attempt, 'not recorded')
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
            self._send(
                self._coordinator, gang_messages.CancelJob(job_id, reason)
            )
        if not record.is_granted:
            # No attempt holds a grant, and none gets one from here on.
            self._conclude(record, record.make_unstarted(reason))
        elif record.cancelled is None:
            record.cancelled = reason
            record.next_poll = now
            self._advance(now, record)
        return self._flush()

    def conclusion_recorded(
        self, now: float, job_id: str
    ) -> list[effects.Effect]:
        """Note that the store holds the verdict of a detached job.

        The lead keeps the end of the gang until then, so that an entry which
        adopts the job learns it.
        """
        self._storing.remove(job_id)
        return self._flush()

    def agent_lost(self, now: float, instance: str) -> list[effects.Effect]:
        """Note that an agent is dead or can't be reached."""
        for record in list(self._records.values()):
            granted = record.phase is gang_jobs.Phase.GRANTED
            if granted and record.lead == instance:
                record.settle(now)
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

    def get_phase(self, job_id: str) -> gang_jobs.Phase | None:
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
            case gang_messages.RequestGrant():
                self._answer_request(now, sender, message)
            case gang_messages.GangFinished():
                self._abandoned.remove(message.attempt)
                self._note_finished(now, message)
                if message.job not in self._storing:
                    acknowledge = gang_messages.GangFinishedAck(
                        message.attempt
                    )
                    self._send(sender, acknowledge)
            case gang_messages.GangStatus():
                self._note_status(now, sender, message)
            case gang_messages.JobUpdate():
                self._note_update(now, sender, message)
        return self._flush()

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat what is due and conclude what is overdue."""
        for key in self._timers.pop_due(now):
            record = self._records.get(key)
            if record is not None:
                self._advance(now, record)
        self._out.extend(self._abandoned.tick(now))
        return self._flush()

    # Grants

    def _answer_request(
        self, now: float, sender: str, message: gang_messages.RequestGrant
    ) -> None:
        attempt = message.attempt
        record = self._records.get(message.job)
        if record is not None:
            # An entry that was paused finds its deadlines passed here.
            self._advance(now, record)
        if record is None or message.job not in self._records:
            self._deny(sender, message.job, attempt, 'unknown job')
            return
        reason = record.find_denial(now, attempt)
        if reason:
            self._deny(sender, message.job, attempt, reason)
            return
        record.requester = sender
        if record.phase is gang_jobs.Phase.GRANTED:
            self._send(sender, gang_messages.Granted(message.job, attempt))
        if record.phase is not gang_jobs.Phase.WAITING:
            return
        self._attempts[attempt] = message.job
        record.assign(message)
        if record.detached and not record.job.spec.idempotent:
            record.phase = gang_jobs.Phase.RECORDING
            self._out.append(effects.GrantJob(message.job, attempt))
        else:
            self._grant(now, record)
        self._advance(now, record)

    def _grant(self, now: float, record: gang_jobs.Record) -> None:
        record.grant(now)
        self._record(record, 'granted', record.attempt)
        self._send(
            record.requester,
            gang_messages.Granted(record.job.id, record.attempt),
        )

    def _deny(self, to: str, job: str, attempt: str, reason: str) -> None:
        self._send(to, gang_messages.Denied(job, attempt, reason))

    # News of an attempt

    def _note_finished(
        self, now: float, message: gang_messages.GangFinished
    ) -> None:
        record = self._records.get(message.job)
        if record is None:
            return
        if record.attempt != message.attempt or not record.is_granted:
            # The request for this attempt's grant may still be under way.
            if message.attempt not in record.closed:
                record.closed.append(message.attempt)
            return
        if message.committed:
            self._end_attempt(now, record, message.exit_code, message.reason)
        elif not record.token or message.token != record.token:
            # A lead that restarted speaks of a later reservation.
            record.note_forgotten(now)
        elif record.cancelled is not None:
            self._conclude(record, record.make_unstarted(record.cancelled))
        else:
            self._record(record, 'not-started', message.reason)
            self._reopen(now, record)
        self._advance(now, record)

    def _note_status(
        self, now: float, sender: str, message: gang_messages.GangStatus
    ) -> None:
        job_id = self._attempts.get(message.attempt, '')
        record = self._records.get(job_id)
        if record is None or record.lead != sender or not record.is_granted:
            return
        match message.state:
            case 'committed':
                record.note_committed(now)
            case 'unknown':
                record.note_forgotten(now)
        self._advance(now, record)

    def _note_update(
        self, now: float, sender: str, message: gang_messages.JobUpdate
    ) -> None:
        record = self._records.get(message.job)
        if record is None or sender != self._coordinator:
            return
        record.confirm_submit(now)
        waiting = record.phase is gang_jobs.Phase.WAITING
        if message.state == 'refused' and waiting:
            self._conclude(record, record.make_unstarted(message.reason))
        elif message.state == gang_jobs.RECLAIMED:
            record.reclaimed = record.phase is gang_jobs.Phase.GRANTED

    # Ends

    def _end_attempt(
        self,
        now: float,
        record: gang_jobs.Record,
        exit_code: int | None,
        reason: str,
    ) -> None:
        """Conclude the job, or open it for another attempt."""
        attempt = record.attempt
        verdict = record.end_attempt(now, exit_code, reason)
        self._attempts.pop(attempt, None)
        if verdict is None:
            self._record(record, 'retry', reason)
        else:
            self._conclude(record, verdict)

    def _reopen(self, now: float, record: gang_jobs.Record) -> None:
        self._attempts.pop(record.attempt, None)
        record.reopen(now)

    def _conclude(
        self, record: gang_jobs.Record, verdict: verdicts.Verdict
    ) -> None:
        del self._records[record.job.id]
        self._attempts.pop(record.attempt, None)
        self._timers.remove(record.job.id)
        if record.detached:
            self._storing.add(record.job.id)
        name = verdicts.format_verdict(verdict)
        metrics.VERDICTS.add(1, {'verdict': name})
        self._record(record, 'concluded', name)
        self._out.append(effects.DeliverVerdict(record.job.id, verdict))

    # Time

    def _advance(self, now: float, record: gang_jobs.Record) -> None:
        """Do what is due for a job and set its timer."""
        job_id = record.job.id
        if job_id not in self._records:
            return
        deadline = record.deadline
        if not record.is_granted:
            if deadline is not None and now >= deadline:
                verdict = record.make_unstarted('deadline passed')
                self._conclude(record, verdict)
        elif record.is_settled(now):
            self._abandoned.add(now, record.attempt, record.lead)
            self._end_attempt(now, record, None, 'lead is lost')
        if job_id not in self._records:
            return
        if now >= record.next_submit:
            record.next_submit = now + record.submit_delay
            if self._coordinator:
                submission = record.make_submission(now, self._instance)
                self._send(self._coordinator, submission)
        if record.is_granted and now >= record.next_poll:
            self._out.extend(record.ask_lead(now))
        self._timers.set(job_id, record.compute_due())

    def _record(
        self, record: gang_jobs.Record, event: str, detail: str
    ) -> None:
        self._out.append(effects.Record(record.job.id, event, detail))

    def _send(self, to: str, message: messages.Message) -> None:
        self._out.append(effects.Send(to, message))

    def _flush(self) -> list[effects.Effect]:
        out, self._out = self._out, []
        return out

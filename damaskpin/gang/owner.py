"""Owner side of the gang protocol: grants, attempts and verdicts of jobs.

The owner of a job is the entry that accepted or adopted the job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.gang import abandoned_attempts
from damaskpin.gang import job_records
from damaskpin.gang import metrics
from damaskpin.gang import timers
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    from damaskpin.model import job as jobs


class Owner:
    """Grants attempts of this entry's jobs and decides their verdicts.

    An attempt is one try to start and run the gang of a job; a grant permits
    an attempt to start. The verdict of a job is its final result for the
    caller: it ran, it may have run, or it did not run.

    :param instance: instance id of the entry.
    """

    __slots__ = (
        '_abandoned_attempts',
        '_coordinator',
        '_instance',
        '_job_by_attempt',
        '_queued_effects',
        '_records',
        '_timers',
        '_unstored_verdicts',
    )

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._coordinator = ''
        self._records: dict[str, job_records.JobRecord] = {}
        # Job id of each attempt that is granted or whose grant is being
        # written to the store.
        self._job_by_attempt: dict[str, str] = {}
        self._abandoned_attempts = abandoned_attempts.AbandonedAttempts()
        self._unstored_verdicts = job_records.UnstoredVerdicts()
        self._timers = timers.Timers()
        self._queued_effects: list[effects.Effect] = []

    # Jobs and notifications that the entry passes to its owner

    def submit(
        self, now: float, job: jobs.Job, detached: bool
    ) -> list[effects.Effect]:
        """Accept a job; submitting it again has no effect.

        :param now: monotonic seconds.
        :param detached: whether the job is in the store and outlives this
            entry.
        """
        if job.id not in self._records:
            record = job_records.make_record(now, job, detached)
            self._records[job.id] = record
            self._advance(now, record)
        return self._flush_effects()

    def adopt(
        self, now: float, job: jobs.Job, granted_attempt: str
    ) -> list[effects.Effect]:
        """Adopt a detached job of another entry.

        :param granted_attempt: attempt that the store names as granted, or
            an empty string.
        """
        if job.id in self._records:
            return []
        record = job_records.make_record(now, job, True)
        self._records[job.id] = record
        record.adopt(now, granted_attempt)
        if granted_attempt:
            self._job_by_attempt[granted_attempt] = job.id
        self._advance(now, record)
        return self._flush_effects()

    def set_coordinator(
        self, now: float, instance: str
    ) -> list[effects.Effect]:
        """Set the coordinator, and submit all jobs to it.

        :param instance: instance id; empty while none is known.
        """
        if instance == self._coordinator:
            return []
        self._coordinator = instance
        for record in list(self._records.values()):
            record.schedule_submit(now)
            self._advance(now, record)
        return self._flush_effects()

    def handle_grant_result(
        self, now: float, job_id: str, attempt: str, is_stored: bool
    ) -> list[effects.Effect]:
        """Grant or discard an attempt after the store handled ``GrantJob``.

        :param is_stored: whether the store holds the grant. False means that
            the store does not hold the grant and never will: after a write
            without an answer, the caller reads the grant back first.
        """
        record = self._records.get(job_id)
        if record is None or record.phase is not job_records.Phase.RECORDING:
            return []
        if record.attempt != attempt:
            return []
        if is_stored and attempt in record.closed_attempts:
            # The coordinator failed the attempt while its grant was written.
            self._close_attempt(now, record)
        elif is_stored:
            self._grant(now, record)
        else:
            self._deny(record.requester, job_id, attempt, 'not recorded')
            self._record_event(record, 'waiting', 'the grant was not stored')
            self._close_attempt(now, record)
        self._advance(now, record)
        return self._flush_effects()

    def cancel(
        self, now: float, job_id: str, reason: str
    ) -> list[effects.Effect]:
        """Cancel a job; it concludes once none of its tasks can start."""
        record = self._records.get(job_id)
        if record is None:
            return []
        if self._coordinator:
            self._send(
                self._coordinator, gang_messages.CancelJob(job_id, reason)
            )
        if not record.is_granted:
            # No attempt is granted, and none can be granted later, because
            # the job's record is removed.
            self._conclude(
                record, record.make_verdict_without_exit_code(reason)
            )
        elif record.cancel_reason is None:
            record.cancel_reason = reason
            record.next_poll_at = now
            self._advance(now, record)
        return self._flush_effects()

    def handle_verdict_stored(
        self, now: float, job_id: str
    ) -> list[effects.Effect]:
        """Record that the store holds the verdict of a detached job.

        The lead's report of the end is acknowledged only after the verdict is
        stored, so that an entry that adopts the job can still get the report.
        """
        self._unstored_verdicts.remove(job_id)
        return self._flush_effects()

    def handle_agent_lost(
        self, now: float, instance: str
    ) -> list[effects.Effect]:
        """Record the loss of the lead for attempts led by a lost agent.

        :param instance: instance id of the lost agent.
        """
        for record in list(self._records.values()):
            granted = record.phase is job_records.Phase.GRANTED
            if granted and record.lead == instance:
                record.record_lead_lost(now)
                self._advance(now, record)
        return self._flush_effects()

    def handle_gang_report(
        self, now: float, gang: messages.GangState
    ) -> list[effects.Effect]:
        """Record the lead of an adopted job's gang, as an agent reports it."""
        record = self._records.get(gang.job)
        if record is None or record.lead or record.attempt != gang.attempt:
            return []
        record.lead = gang.lead
        record.next_poll_at = now
        self._advance(now, record)
        return self._flush_effects()

    def get_phase(self, job_id: str) -> job_records.Phase | None:
        """Return the phase of a job, or ``None`` if it has concluded."""
        record = self._records.get(job_id)
        return None if record is None else record.phase

    # Handling of messages and due timers

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of the gang protocol.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        match message:
            case gang_messages.RequestGrant():
                self._answer_grant_request(now, sender, message)
            case gang_messages.GangFinished():
                self._abandoned_attempts.remove(message.attempt)
                self._handle_gang_finished(now, message)
                if message.job not in self._unstored_verdicts:
                    acknowledge = gang_messages.GangFinishedAck(
                        message.attempt
                    )
                    self._send(sender, acknowledge)
            case gang_messages.GangStatus():
                self._handle_gang_status(now, sender, message)
            case gang_messages.JobUpdate():
                self._handle_job_update(now, sender, message)
        return self._flush_effects()

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeat messages that are due, and conclude jobs that are overdue."""
        for key in self._timers.pop_due(now):
            record = self._records.get(key)
            if record is not None:
                self._advance(now, record)
        self._queued_effects.extend(self._abandoned_attempts.tick(now))
        return self._flush_effects()

    # Grants

    def _answer_grant_request(
        self, now: float, sender: str, message: gang_messages.RequestGrant
    ) -> None:
        attempt = message.attempt
        record = self._records.get(message.job)
        if record is not None:
            # The job's deadline may have passed while the process of this
            # entry was paused, so it is checked before the grant.
            self._advance(now, record)
        if record is None or message.job not in self._records:
            self._deny(sender, message.job, attempt, 'unknown job')
            return
        reason = record.find_denial(now, attempt)
        if reason:
            self._deny(sender, message.job, attempt, reason)
            return
        record.requester = sender
        if record.phase is job_records.Phase.GRANTED:
            self._send(sender, gang_messages.Granted(message.job, attempt))
        if record.phase is not job_records.Phase.WAITING:
            return
        self._job_by_attempt[attempt] = message.job
        record.set_attempt(message)
        if record.detached and not record.job.spec.idempotent:
            record.phase = job_records.Phase.RECORDING
            self._queued_effects.append(effects.GrantJob(message.job, attempt))
        else:
            self._grant(now, record)
        self._advance(now, record)

    def _grant(self, now: float, record: job_records.JobRecord) -> None:
        record.grant(now)
        self._record_event(record, 'granted', record.attempt)
        self._send(
            record.requester,
            gang_messages.Granted(record.job.id, record.attempt),
        )

    def _deny(self, to: str, job: str, attempt: str, reason: str) -> None:
        self._send(to, gang_messages.Denied(job, attempt, reason))

    # Reports about attempts

    def _handle_gang_finished(
        self, now: float, message: gang_messages.GangFinished
    ) -> None:
        record = self._records.get(message.job)
        if record is None:
            return
        if record.attempt != message.attempt or not record.is_granted:
            # A delayed request may still ask for a grant of the failed
            # attempt; that request must be denied.
            if message.attempt not in record.closed_attempts:
                record.closed_attempts.append(message.attempt)
            return
        if message.committed:
            self._end_attempt(now, record, message.exit_code, message.reason)
        elif not record.token or message.token != record.token:
            # The report is about a reservation that was made after the
            # granted one, so the agent of the lead restarted and lost its
            # record of the granted reservation.
            record.mark_record_lost(now)
        elif record.cancel_reason is not None:
            self._conclude(
                record,
                record.make_verdict_without_exit_code(record.cancel_reason),
            )
        else:
            self._record_event(record, 'not-started', message.reason)
            self._close_attempt(now, record)
        self._advance(now, record)

    def _handle_gang_status(
        self, now: float, sender: str, message: gang_messages.GangStatus
    ) -> None:
        job_id = self._job_by_attempt.get(message.attempt, '')
        record = self._records.get(job_id)
        if record is None or record.lead != sender or not record.is_granted:
            return
        match message.state:
            case 'committed':
                record.record_committed(now)
            case 'unknown':
                record.mark_record_lost(now)
        self._advance(now, record)

    def _handle_job_update(
        self, now: float, sender: str, message: gang_messages.JobUpdate
    ) -> None:
        record = self._records.get(message.job)
        if record is None or sender != self._coordinator:
            return
        record.delay_next_submit(now)
        waiting = record.phase is job_records.Phase.WAITING
        if message.state == 'refused' and waiting:
            self._conclude(
                record, record.make_verdict_without_exit_code(message.reason)
            )
        elif message.state == job_records.RECLAIMED:
            record.reclaimed = record.phase is job_records.Phase.GRANTED

    # Ends of attempts and jobs

    def _end_attempt(
        self,
        now: float,
        record: job_records.JobRecord,
        exit_code: int | None,
        reason: str,
    ) -> None:
        """Conclude the job of an ended attempt, or allow another attempt."""
        attempt = record.attempt
        verdict = record.end_attempt(now, exit_code, reason)
        self._job_by_attempt.pop(attempt, None)
        if verdict is None:
            self._record_event(record, 'retry', reason)
        else:
            self._conclude(record, verdict)

    def _close_attempt(
        self, now: float, record: job_records.JobRecord
    ) -> None:
        self._job_by_attempt.pop(record.attempt, None)
        record.close_attempt(now)

    def _conclude(
        self, record: job_records.JobRecord, verdict: verdicts.Verdict
    ) -> None:
        del self._records[record.job.id]
        self._job_by_attempt.pop(record.attempt, None)
        self._timers.remove(record.job.id)
        if record.detached:
            self._unstored_verdicts.add(record.job.id)
        name = verdicts.format_verdict(verdict)
        metrics.VERDICTS.add(1, {'verdict': name})
        self._record_event(record, 'concluded', name)
        self._queued_effects.append(
            effects.DeliverVerdict(record.job.id, verdict)
        )

    # Timers

    def _advance(self, now: float, record: job_records.JobRecord) -> None:
        """Handle the deadlines and messages due for a job; set its timer."""
        job_id = record.job.id
        if job_id not in self._records:
            return
        deadline = record.deadline
        if not record.is_granted:
            if deadline is not None and now >= deadline:
                verdict = record.make_verdict_without_exit_code(
                    'deadline passed'
                )
                self._conclude(record, verdict)
        elif record.have_orphans_ended(now):
            self._abandoned_attempts.add(now, record.attempt, record.lead)
            self._end_attempt(now, record, None, 'lead is lost')
        if job_id not in self._records:
            return
        if now >= record.next_submit_at:
            record.next_submit_at = now + record.submit_delay
            if self._coordinator:
                submission = record.make_submission(now, self._instance)
                self._send(self._coordinator, submission)
        if record.is_granted and now >= record.next_poll_at:
            self._queued_effects.extend(record.make_lead_request(now))
        self._timers.set(job_id, record.compute_next_due_time())

    def _record_event(
        self, record: job_records.JobRecord, event: str, detail: str
    ) -> None:
        self._queued_effects.append(
            effects.Record(record.job.id, event, detail)
        )

    def _send(self, to: str, message: messages.Message) -> None:
        self._queued_effects.append(effects.Send(to, message))

    def _flush_effects(self) -> list[effects.Effect]:
        due_effects, self._queued_effects = self._queued_effects, []
        return due_effects

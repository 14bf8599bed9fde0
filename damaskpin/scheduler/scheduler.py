"""Schedules all gang jobs of a region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import admission
from damaskpin.scheduler import borrowing
from damaskpin.scheduler import decisions
from damaskpin.scheduler import estimates
from damaskpin.scheduler import guarantee_warnings
from damaskpin.scheduler import guaranteed
from damaskpin.scheduler import ledger as ledgers
from damaskpin.scheduler import quarantine
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import restoration
from damaskpin.scheduler import snapshot

if TYPE_CHECKING:
    import random

    from damaskpin.model import config as configs
    from damaskpin.model import hardware
    from damaskpin.model import job as jobs

# Maximum number of jobs for which one call of decide() finds accelerators,
# free or reclaimed. Even 64 gangs of the largest size, the slowest to place,
# take far less than the limit of 250 ms for a call.
MAX_PLACEMENTS = 64

# Maximum number of instances of guaranteed shapes that one call of decide()
# binds to accelerators; binding one instance takes up to 1 ms.
MAX_BINDINGS = 64

# Delay before a job is placed again after a failed placement. It doubles with
# each consecutive failure, and random jitter keeps two coordinators from
# colliding again.
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0

# Period in which a job avoids workers that refused it or did not answer, if
# other workers are free.
REFUSAL_AVOIDANCE_SECONDS = 10.0

# A run that is lost within this time of its start increases the delay before
# the job is placed again.
SHORT_RUN_SECONDS = 60.0

# Interval after which waiting jobs are reconsidered without an event, because
# reservations, preemption and avoided workers also depend on time.
RECHECK_SECONDS = 60.0

# A worker out of service for this time is assumed to be decommissioned, not
# failed, and its record is deleted.
REMOVED_WORKER_RETENTION_SECONDS = 24 * 3600.0


class Scheduler:
    """Decides which jobs start on which workers and which jobs are stopped.

    The caller reports events, calls :meth:`decide` and carries out the
    decisions that it returns. Times are seconds of one monotonic clock.
    """

    def __init__(self, config: configs.Config, rng: random.Random) -> None:
        self._rng = rng
        self._ledger = ledgers.Ledger()
        self._admission = admission.Admission(config)
        self._warnings = guarantee_warnings.GuaranteeWarnings(config)
        self._run_time_estimates = estimates.Estimates()
        self._quarantine = quarantine.Quarantine(self._ledger)
        self._borrowing = borrowing.Borrowing(
            self._ledger, self._run_time_estimates
        )
        self._dirty = True
        self._seen_change_count = 0
        self._next_check = 0.0
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        """Replace the configuration and update guaranteed shapes."""
        ledger = self._ledger
        ledger.accounts = {a.name: a for a in config.accounts}
        self._admission.set_config(config)
        self._warnings.set_config(config)
        for job_id in ledger.bindings.set_config(config):
            entry = ledger.entries[job_id]
            if entry.state is queues.State.CLAIMED:
                entry.shape_instance = None
                ledger.drop_claim(0.0, entry)
            else:
                ledger.drop_shape_instance(entry)
                restoration.restore_shape_instance(ledger, entry)
        self._dirty = True

    def set_worker(self, now: float, worker: hardware.Worker) -> None:
        """Add a worker, update its description or return it to service."""
        ledger = self._ledger
        self._warnings.record_worker_report(now)
        node = ledger.topology.nodes.get(worker.name)
        if node is not None and node.worker != worker:
            # Shapes bound to the worker may not fit its new description.
            self.remove_worker(now, worker.name)
        if not ledger.topology.set_worker(worker):
            return
        self._handle_worker_change(worker.name)

    def remove_worker(self, now: float, name: str) -> None:
        """Take a failed worker out of service.

        The jobs on it keep their accelerators until the caller reports their
        end with :meth:`finished`.
        """
        if self._ledger.topology.remove_worker(now, name):
            self._handle_worker_change(name)

    def submit(self, now: float, job: jobs.Job) -> decisions.Refusal | None:
        """Queue a job unless it is refused or its id is already known.

        :returns: why the job was refused; ``None`` if the job is queued or
            already known.
        """
        ledger = self._ledger
        if job.id in ledger.entries:
            return None
        refusal = self._admission.check(job, ledger)
        if refusal is not None:
            ledger.add_history(now, job.id, f'refused: {refusal.reason}')
            return refusal
        entry = ledger.add(now, job, job.age_seconds)
        ledger.enqueue(now, entry)
        ledger.add_history(now, job.id, 'queued')
        self._dirty = True
        return None

    def cancel(self, now: float, job_id: str) -> None:
        """Cancel a job: remove it if it waits, else mark it as stopping.

        The caller itself stops a placed job and then calls
        :meth:`finished`.
        """
        entry = self._ledger.entries.get(job_id)
        if entry is None:
            return
        if entry.state in (queues.State.QUEUED, queues.State.CLAIMED):
            if entry.state is queues.State.CLAIMED:
                self._dirty = True
            self._ledger.add_history(now, job_id, 'cancelled while waiting')
            self._ledger.remove_job(entry)
            return
        self._ledger.add_history(now, job_id, 'cancelled, to be stopped')
        entry.state = queues.State.STOPPING
        entry.cancelled = True

    def started(self, now: float, job_id: str, attempt: str) -> None:
        """Record that a placed job has started to run."""
        entry = self._ledger.entries.get(job_id)
        if entry is None or entry.state is not queues.State.PLACED:
            return
        entry.state = queues.State.RUNNING
        entry.started = now
        entry.failures = 0
        self._ledger.add_history(now, job_id, f'started as attempt {attempt}')

    def placement_failed(
        self,
        now: float,
        job_id: str,
        reason: str,
        workers: tuple[str, ...] = (),
    ) -> None:
        """Requeue a placed job that did not start, after a retry delay.

        :param reason: why the job did not start; added to its history.
        :param workers: names of the workers that refused the job or did not
            answer.
        """
        entry = self._ledger.entries.get(job_id)
        if entry is None or entry.state in (
            queues.State.QUEUED,
            queues.State.CLAIMED,
        ):
            return
        if entry.cancelled:
            self._ledger.remove_job(entry)
            self._dirty = True
            return
        entry.failures += 1
        for name in workers:
            entry.avoided_workers[name] = now + REFUSAL_AVOIDANCE_SECONDS
        self._ledger.add_history(now, job_id, f'placement failed: {reason}')
        self._set_retry_delay(now, entry, entry.failures)
        self._ledger.release_placement(entry)
        self._ledger.enqueue(now, entry)
        self._dirty = True

    def finished(
        self, now: float, job_id: str, outcome: decisions.Outcome
    ) -> None:
        """Record the end of a placed job and requeue it if it may resume.

        All tasks of the job must have ended.
        """
        ledger = self._ledger
        entry = ledger.entries.get(job_id)
        if entry is None:
            return
        if entry.state in (queues.State.QUEUED, queues.State.CLAIMED):
            # The owner of the job ended it while it waited for its next
            # placement.
            if outcome.result not in (
                decisions.Result.CHECKPOINTED,
                decisions.Result.LOST,
            ):
                ledger.remove_job(entry)
                self._dirty = True
            return
        self._dirty = True
        result = outcome.result
        ledger.add_history(now, job_id, f'ended: {result.value}')
        self._quarantine.record_outcome(now, entry, outcome)
        if result is decisions.Result.SUCCEEDED:
            self._run_time_estimates.record_run_time(
                entry.job.account,
                entry.job.spec.run_seconds,
                entry.checkpointed_seconds + now - entry.started,
            )
        requeue = result is decisions.Result.CHECKPOINTED or (
            result is decisions.Result.LOST and entry.job.spec.idempotent
        )
        if not requeue or entry.cancelled:
            ledger.remove_job(entry)
            return
        if result is decisions.Result.CHECKPOINTED:
            entry.checkpointed_seconds += now - entry.started
        elif now - entry.started > SHORT_RUN_SECONDS:
            entry.early_losses = 0
        else:
            # Only the first lost run is retried without a delay, so that a
            # job that is lost repeatedly does not occupy the scheduler.
            self._set_retry_delay(now, entry, entry.early_losses)
            entry.early_losses += 1
        ledger.release_placement(entry)
        ledger.enqueue(now, entry)

    def restore(
        self,
        now: float,
        job: jobs.Job,
        attempt: str,
        members: decisions.Members,
        guaranteed: bool,
        started_seconds_ago: float,
    ) -> None:
        """Record a job that is already running, as reported by its agents.

        If the job is in the queue, the running job replaces the queued one.

        :param guaranteed: whether the job uses a guaranteed shape.
        :param started_seconds_ago: seconds since the attempt started.
        :raises ValueError: a worker is unknown, or an accelerator is used by
            another job.
        """
        ledger = self._ledger
        entry = ledger.entries.get(job.id)
        if entry is not None and entry.members:
            return
        restoration.check_members(ledger, members, job.id)
        if entry is not None:
            ledger.remove_job(entry)
        started = now - started_seconds_ago
        entry = ledger.add(now, job, max(job.age_seconds, started_seconds_ago))
        ledger.record_running_job(entry, members, started)
        ledger.add_history(now, job.id, f'restored as attempt {attempt}')
        if guaranteed:
            restoration.restore_shape_instance(ledger, entry)
        self._dirty = True

    def decide(self, now: float) -> list[decisions.Decision]:
        """Return the decisions that the caller has to carry out now.

        The work of one call is limited; if some is left for another call,
        :meth:`next_wakeup` returns ``now``.
        """
        ledger = self._ledger
        if ledger.queue.release_delayed(now) or now >= self._next_check:
            self._dirty = True
        new_decisions: list[decisions.Decision] = []
        self._quarantine.update(now)
        all_bound = ledger.bindings.bind_pending(MAX_BINDINGS)
        if all_bound:
            self._quarantine.end_if_guarantees_unmet()
            all_bound = ledger.bindings.bind_pending(MAX_BINDINGS)
        if all_bound:
            new_decisions.extend(self._warnings.update(now, ledger))
        else:
            self._dirty = True
        if ledger.bindings.change_count != self._seen_change_count:
            self._seen_change_count = ledger.bindings.change_count
            self._dirty = True
        if not self._dirty:
            return new_decisions
        self._dirty = False
        self._next_check = now + RECHECK_SECONDS
        ledger.delete_removed_workers(now - REMOVED_WORKER_RETENTION_SECONDS)
        self._drop_claims_on_failed_workers(now)
        self._place_ready_claims(now, new_decisions)
        budget = guaranteed.start(now, ledger, new_decisions, MAX_PLACEMENTS)
        if budget > 0:
            budget = self._borrowing.start(now, new_decisions, budget)
        if budget <= 0 or not all_bound:
            self._dirty = True
        return new_decisions

    def explain(self, job_id: str) -> list[str]:
        """Return the scheduling history of a job, oldest line first.

        The last line describes the current state if the job is known.
        """
        lines = self._ledger.get_history(job_id)
        entry = self._ledger.entries.get(job_id)
        if entry is not None:
            lines.append(snapshot.describe(entry, self._ledger))
        return lines

    def next_wakeup(self, now: float) -> float | None:
        """Return the time at which :meth:`decide` must be called next.

        :returns: time in seconds if no event occurs before; ``None`` if only
            an event makes a call necessary.
        """
        if self._dirty:
            return now
        times = [
            self._ledger.queue.get_next_release(),
            self._warnings.get_startup_end(),
            self._quarantine.get_next_probe(),
            None if self._ledger.queue.is_empty() else self._next_check,
        ]
        due_times = [time for time in times if time is not None]
        return max(now, min(due_times)) if due_times else None

    def get_snapshot(self, now: float) -> decisions.Snapshot:
        """Return the current use of accelerators and queues for reports."""
        return snapshot.make_snapshot(now, self._ledger)

    def _set_retry_delay(
        self, now: float, entry: queues.JobEntry, failures: int
    ) -> None:
        if failures <= 0:
            return
        delay = RETRY_SECONDS * 2 ** min(failures - 1, 16)
        delay = min(delay, MAX_RETRY_SECONDS) * self._rng.uniform(0.5, 1.0)
        entry.earliest_start = now + delay

    def _handle_worker_change(self, name: str) -> None:
        ledger = self._ledger
        ledger.handle_worker_change(ledger.topology.nodes[name])
        self._dirty = True

    def _drop_claims_on_failed_workers(self, now: float) -> None:
        for entry in list(self._ledger.claims.values()):
            if all(node.accepts_jobs() for node in entry.allocation):
                continue
            self._ledger.add_history(
                now, entry.job.id, 'a claimed worker failed'
            )
            self._ledger.drop_claim(now, entry)

    def _place_ready_claims(
        self, now: float, new_decisions: list[decisions.Decision]
    ) -> None:
        for entry in list(self._ledger.claims.values()):
            if self._ledger.is_ready(entry):
                new_decisions.append(self._ledger.place(now, entry))

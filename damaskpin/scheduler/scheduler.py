"""Decisions about all jobs of a region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import admission
from damaskpin.scheduler import borrowing
from damaskpin.scheduler import decisions
from damaskpin.scheduler import estimates
from damaskpin.scheduler import guaranteed
from damaskpin.scheduler import ledger as ledgers
from damaskpin.scheduler import quarantine
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import restoration
from damaskpin.scheduler import snapshot
from damaskpin.scheduler import warnings

if TYPE_CHECKING:
    import random

    from damaskpin.model import config as configs
    from damaskpin.model import hardware
    from damaskpin.model import job as jobs

# Placements and reclaims of one call. The largest gangs take the longest;
# 64 of them stay far below the limit of 250 ms for a call.
MAX_STEPS = 64

# Instances of guaranteed shapes that one call binds; one takes up to 1 ms.
MAX_BINDINGS = 64

# Delay after a placement that failed, doubled with each failure in a row and
# spread by a random factor, so that two coordinators do not collide again.
RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0

# Time for which a job prefers other workers to those that refused it.
REFUSED_SECONDS = 10.0

# A run that is lost within this time counts towards the delay of the next.
SHORT_RUN_SECONDS = 60.0

# Waiting jobs are considered again without an event after this time, because
# reservations, moves and avoided workers depend on time too.
RECHECK_SECONDS = 60.0

# A worker that has been gone for so long was taken away rather than failed.
FORGET_SECONDS = 24 * 3600.0


class Scheduler:
    """Decides which jobs start where, and which are stopped for others.

    The caller reports events, calls :meth:`decide` and carries out what it
    returns. Times are seconds of one monotonic clock.
    """

    def __init__(self, config: configs.Config, rng: random.Random) -> None:
        self._rng = rng
        self._ledger = ledgers.Ledger()
        self._admission = admission.Admission(config)
        self._warnings = warnings.Warnings(config)
        self._estimates = estimates.Estimates()
        self._care = quarantine.Quarantine(self._ledger)
        self._borrowing = borrowing.Borrowing(self._ledger, self._estimates)
        self._dirty = True
        self._seen_changes = 0
        self._next_check = 0.0
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        """Take over a configuration."""
        ledger = self._ledger
        ledger.accounts = {a.name: a for a in config.accounts}
        self._admission.set_config(config)
        self._warnings.set_config(config)
        for job_id in ledger.bindings.set_config(config):
            entry = ledger.entries[job_id]
            if entry.state is queues.State.CLAIMED:
                entry.instance = None
                ledger.drop_claim(0.0, entry)
            else:
                ledger.lose_instance(entry)
                restoration.restore_instance(ledger, entry)
        self._dirty = True

    def set_worker(self, now: float, worker: hardware.Worker) -> None:
        """Add a worker, update it, or take it back into service."""
        ledger = self._ledger
        self._warnings.note_worker(now)
        known = ledger.topology.nodes.get(worker.name)
        if known is not None and known.worker != worker:
            # What was bound to the worker may not fit it any more.
            self.remove_worker(now, worker.name)
        if not ledger.topology.set_worker(worker):
            return
        self._note_worker_change(worker.name)

    def remove_worker(self, now: float, name: str) -> None:
        """Take a failed worker out of service.

        Its jobs keep their accelerators until :meth:`finished` is called.
        """
        if self._ledger.topology.remove_worker(now, name):
            self._note_worker_change(name)

    def submit(self, now: float, job: jobs.Job) -> decisions.Refusal | None:
        """Queue a job.

        A job that is known already is not queued again.

        :returns: ``None`` if the job is queued or known.
        """
        ledger = self._ledger
        if job.id in ledger.entries:
            return None
        refusal = self._admission.check(job, ledger)
        if refusal is not None:
            ledger.note(now, job.id, f'refused: {refusal.reason}')
            return refusal
        entry = ledger.add(now, job, job.age_seconds)
        ledger.enqueue(now, entry)
        ledger.note(now, job.id, 'queued')
        self._dirty = True
        return None

    def cancel(self, now: float, job_id: str) -> None:
        """Drop a waiting job.

        The caller stops a placed job itself and then calls
        :meth:`finished`.
        """
        entry = self._ledger.entries.get(job_id)
        if entry is None:
            return
        if entry.state in (queues.State.QUEUED, queues.State.CLAIMED):
            if entry.state is queues.State.CLAIMED:
                self._dirty = True
            self._ledger.note(now, job_id, 'cancelled while waiting')
            self._ledger.forget(entry)
            return
        self._ledger.note(now, job_id, 'cancelled, to be stopped')
        entry.state = queues.State.STOPPING
        entry.cancelled = True

    def started(self, now: float, job_id: str, attempt: str) -> None:
        """Record that a placed job has started."""
        entry = self._ledger.entries.get(job_id)
        if entry is None or entry.state is not queues.State.PLACED:
            return
        entry.state = queues.State.RUNNING
        entry.started = now
        entry.failures = 0
        self._ledger.note(now, job_id, f'started as attempt {attempt}')

    def placement_failed(
        self,
        now: float,
        job_id: str,
        reason: str,
        workers: tuple[str, ...] = (),
    ) -> None:
        """Let a placed job that did not start wait again.

        :param workers: workers that refused or did not answer.
        """
        entry = self._ledger.entries.get(job_id)
        if entry is None or entry.state in (
            queues.State.QUEUED,
            queues.State.CLAIMED,
        ):
            return
        if entry.cancelled:
            self._ledger.forget(entry)
            self._dirty = True
            return
        entry.failures += 1
        for name in workers:
            entry.avoid[name] = now + REFUSED_SECONDS
        self._ledger.note(now, job_id, f'placement failed: {reason}')
        self._delay(now, entry, entry.failures)
        self._ledger.unplace(entry)
        self._ledger.enqueue(now, entry)
        self._dirty = True

    def finished(
        self, now: float, job_id: str, outcome: decisions.Outcome
    ) -> None:
        """Record the end of a placed job; nothing of it runs any more."""
        ledger = self._ledger
        entry = ledger.entries.get(job_id)
        if entry is None:
            return
        if entry.state in (queues.State.QUEUED, queues.State.CLAIMED):
            # The owner ended a job that was waiting to be placed again.
            if outcome.result not in (
                decisions.Result.CHECKPOINTED,
                decisions.Result.LOST,
            ):
                ledger.forget(entry)
                self._dirty = True
            return
        self._dirty = True
        result = outcome.result
        ledger.note(now, job_id, f'ended: {result.value}')
        self._care.note_outcome(now, entry, outcome)
        if result is decisions.Result.SUCCEEDED:
            self._estimates.observe(
                entry.job.account,
                entry.job.spec.run_seconds,
                entry.run_before + now - entry.started,
            )
        again = result is decisions.Result.CHECKPOINTED or (
            result is decisions.Result.LOST and entry.job.spec.idempotent
        )
        if not again or entry.cancelled:
            ledger.forget(entry)
            return
        if result is decisions.Result.CHECKPOINTED:
            entry.run_before += now - entry.started
        elif now - entry.started > SHORT_RUN_SECONDS:
            entry.losses = 0
        else:
            # The first loss costs no delay; a job that is lost again and
            # again must not keep the scheduler busy.
            self._delay(now, entry, entry.losses)
            entry.losses += 1
        ledger.unplace(entry)
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
        """Record a job that runs already, as its agents report it.

        The workers must be known. A job that waits here is replaced.

        :raises ValueError: a worker is unknown, or an accelerator is used by
            another job.
        """
        ledger = self._ledger
        entry = ledger.entries.get(job.id)
        if entry is not None and entry.members:
            return
        restoration.check_members(ledger, members, job.id)
        if entry is not None:
            ledger.forget(entry)
        started = now - started_seconds_ago
        entry = ledger.add(now, job, max(job.age_seconds, started_seconds_ago))
        ledger.adopt(entry, members, started)
        ledger.note(now, job.id, f'restored as attempt {attempt}')
        if guaranteed:
            restoration.restore_instance(ledger, entry)
        self._dirty = True

    def decide(self, now: float) -> list[decisions.Decision]:
        """Return what the caller has to carry out now.

        The work of one call is bounded; :meth:`next_wakeup` returns ``now``
        when some is left.
        """
        ledger = self._ledger
        if ledger.queue.release_delayed(now) or now >= self._next_check:
            self._dirty = True
        found: list[decisions.Decision] = []
        self._care.update(now)
        settled = ledger.bindings.settle(MAX_BINDINGS)
        if settled:
            self._care.lift()
            settled = ledger.bindings.settle(MAX_BINDINGS)
        if settled:
            found.extend(self._warnings.update(now, ledger))
        else:
            self._dirty = True
        if ledger.bindings.changes != self._seen_changes:
            self._seen_changes = ledger.bindings.changes
            self._dirty = True
        if not self._dirty:
            return found
        self._dirty = False
        self._next_check = now + RECHECK_SECONDS
        ledger.forget_workers(now - FORGET_SECONDS)
        self._drop_broken_claims(now)
        self._finish_claims(now, found)
        budget = guaranteed.start(now, ledger, found, MAX_STEPS)
        if budget > 0:
            budget = self._borrowing.start(now, found, budget)
        if budget <= 0 or not settled:
            self._dirty = True
        return found

    def explain(self, job_id: str) -> list[str]:
        """Return what was decided about a job, oldest first."""
        lines = self._ledger.get_history(job_id)
        entry = self._ledger.entries.get(job_id)
        if entry is not None:
            lines.append(snapshot.describe(entry, self._ledger))
        return lines

    def next_wakeup(self, now: float) -> float | None:
        """Return when :meth:`decide` has something to do without events."""
        if self._dirty:
            return now
        times = [
            self._ledger.queue.get_next_release(),
            self._warnings.get_next_check(),
            self._care.get_next_probe(),
            None if self._ledger.queue.is_empty() else self._next_check,
        ]
        known = [time for time in times if time is not None]
        return max(now, min(known)) if known else None

    def get_snapshot(self, now: float) -> decisions.Snapshot:
        """Return the current state for reports."""
        return snapshot.make_snapshot(now, self._ledger)

    def _delay(self, now: float, entry: queues.Entry, failures: int) -> None:
        if failures <= 0:
            return
        delay = RETRY_SECONDS * 2 ** min(failures - 1, 16)
        delay = min(delay, MAX_RETRY_SECONDS) * self._rng.uniform(0.5, 1.0)
        entry.not_before = now + delay

    def _note_worker_change(self, name: str) -> None:
        ledger = self._ledger
        ledger.note_worker_change(ledger.topology.nodes[name])
        self._dirty = True

    def _drop_broken_claims(self, now: float) -> None:
        for entry in list(self._ledger.claims.values()):
            if all(node.is_open() for node in entry.parts):
                continue
            self._ledger.note(now, entry.job.id, 'a claimed worker failed')
            self._ledger.drop_claim(now, entry)

    def _finish_claims(
        self, now: float, found: list[decisions.Decision]
    ) -> None:
        for entry in list(self._ledger.claims.values()):
            if self._ledger.is_ready(entry):
                found.append(self._ledger.place(now, entry))

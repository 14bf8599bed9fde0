"""Replays a job trace against a scheduling policy in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

import msgspec

from bench import fleet_state
from bench import records
from bench import traces
from damaskpin.scheduler import decisions

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

# Time from a placement to the start of the gang: a two-phase commit over
# the peer links.
GANG_START_SECONDS = 0.1
# The platform ends a task whose agent is lost when the lease of the task
# expires.
LEASE_SECONDS = 15.0
# Time from a worker's refusal of a task until its gang is reported as failed.
FAILURE_REPORT_SECONDS = 5.0
# Mean delay before a failed gang is submitted again.
RETRY_BACKOFF_SECONDS = 10.0
# Time that the platform takes to revoke the lease of a gang on borrowed
# accelerators that still runs at the end of its grace period.
REVOKE_SECONDS = 1.0
MAX_ATTEMPTS = 50

_DAY_SECONDS = 24 * 3600.0
# The replay ends after this number of consecutive scheduler wake-ups without
# any other pending event.
_MAX_IDLE_WAKEUPS = 2000

_State = records.JobState


class ReplayError(Exception):
    """A scheduling decision breaks an invariant."""


def replay_trace(
    trace: traces.Trace, make_scheduler: Callable[..., Any], seed: int = 0
) -> records.ReplayResult:
    """Replay a trace against a scheduling policy.

    :param trace: trace to replay.
    :param make_scheduler: called with a configuration and a random number
        generator; returns an object with the interface of ``Scheduler``.
    :param seed: seed of the random number generator of the scheduler.
    :returns: records of all jobs; equal arguments give equal records.
    :raises ReplayError: a scheduling decision breaks an invariant.
    """
    return _Replay(trace, make_scheduler, seed).run()


class _Replay:
    def __init__(
        self,
        trace: traces.Trace,
        make_scheduler: Callable[..., Any],
        seed: int,
    ) -> None:
        self._trace = trace
        self._rng = random.Random(f'replay:{seed}')
        self._scheduler = make_scheduler(trace.config, random.Random(seed))
        self._fleet = fleet_state.FleetState(trace)
        self._records = {
            trace_job.job.id: records.JobRecord(trace_job)
            for trace_job in trace.jobs
        }
        self._result = records.ReplayResult(trace, self._records)
        self._event_heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence_numbers = itertools.count()
        self._pending_events = 0
        self._unfinished_jobs = len(self._records)
        self._now = 0.0
        self._next_wakeup: float | None = None

    def run(self) -> records.ReplayResult:
        for worker in self._trace.workers:
            self._scheduler.set_worker(0.0, worker)
        for trace_job in self._trace.jobs:
            self._schedule(
                trace_job.submit_time, self._submit_job, trace_job.job.id
            )
            if trace_job.cancel_at is not None:
                self._schedule(
                    trace_job.cancel_at, self._cancel_job, trace_job.job.id
                )
        for event in self._trace.worker_events:
            self._schedule(event.time, self._change_worker, event)
        time_limit = self._trace.horizon * 2 + 2 * _DAY_SECONDS
        idle_wakeups = 0
        while (
            self._event_heap
            and self._unfinished_jobs
            and self._now < time_limit
        ):
            idle_wakeups = 0 if self._pending_events else idle_wakeups + 1
            if idle_wakeups > _MAX_IDLE_WAKEUPS:
                break
            self._process_next_events()
        self._result.end = self._now
        return self._result

    def _schedule(
        self, event_time: float, handler: Callable, *args: object
    ) -> None:
        self._pending_events += handler != self._handle_wakeup
        heapq.heappush(
            self._event_heap,
            (event_time, next(self._sequence_numbers), handler, args),
        )

    def _process_next_events(self) -> None:
        """Process all events of the next event time, then decide once."""
        event_time = self._event_heap[0][0]
        self._record_free_accelerators(event_time - self._now)
        self._now = event_time
        while self._event_heap and self._event_heap[0][0] <= event_time:
            _, _, handler, args = heapq.heappop(self._event_heap)
            self._pending_events -= handler != self._handle_wakeup
            handler(*args)
        self._result.decide_calls += 1
        for decision in self._scheduler.decide(event_time):
            match decision:
                case decisions.Place():
                    self._place_job(decision)
                case decisions.Reclaim():
                    self._reclaim_job(decision)
                case decisions.Warn():
                    self._result.warnings.append(str(decision))
                case _:
                    raise ReplayError(f'unknown decision {decision!r}')
        wakeup = self._scheduler.next_wakeup(event_time)
        if wakeup is None:
            return
        # An overdue wake-up would be repeated at the same simulated time
        # for ever, so a wake-up is at least 0.01 s ahead.
        wakeup = max(wakeup, event_time + 0.01)
        if self._next_wakeup is None or wakeup < self._next_wakeup:
            self._next_wakeup = wakeup
            self._schedule(wakeup, self._handle_wakeup, wakeup)

    def _record_free_accelerators(self, seconds: float) -> None:
        waiting = [
            record.trace_job.job
            for record in self._records.values()
            if record.state == _State.WAITING
        ]
        if waiting and seconds > 0:
            free, unusable = self._fleet.count_free_and_unusable(waiting)
            total = self._fleet.count_accelerators()
            self._result.add_interval(seconds, free, unusable, total)

    def _handle_wakeup(self, event_time: float) -> None:
        if event_time == self._next_wakeup:
            self._next_wakeup = None

    def _submit_job(self, job_id: str) -> None:
        record = self._records[job_id]
        if record.state != _State.PENDING:
            return
        job = record.trace_job.job
        if record.attempt == 0:
            record.entitled = records.is_entitled(
                job, self._fleet.get_guarantee(job), self._records.values()
            )
        job = msgspec.structs.replace(
            job, age_seconds=self._now - record.trace_job.submit_time
        )
        refusal = self._scheduler.submit(self._now, job)
        if refusal is not None:
            record.reason = refusal.reason
            self._close_record(record, _State.REFUSED)
            return
        record.state = _State.WAITING
        record.waiting_since = self._now

    def _place_job(self, place: decisions.Place) -> None:
        record = self._records.get(place.job_id)
        if record is None or record.state != _State.WAITING:
            raise ReplayError(f'{place.job_id} is placed but not waiting')
        if problem := self._fleet.allocate(
            record.trace_job.job, place.members
        ):
            raise ReplayError(f'{place.job_id}: {problem}')
        record.state = _State.PLACED
        record.guaranteed = place.guaranteed
        record.wait_seconds += self._now - record.waiting_since
        record.attempt += 1
        self._schedule(
            self._now + GANG_START_SECONDS,
            self._start_run,
            place.job_id,
            record.attempt,
        )

    def _start_run(self, job_id: str, attempt: int) -> None:
        record = self._records[job_id]
        if record.state != _State.PLACED or record.attempt != attempt:
            return
        if self._fleet.has_lost_member(job_id):
            self._fleet.release(job_id)
            record.state = _State.WAITING
            record.waiting_since = self._now
            self._scheduler.placement_failed(
                self._now, job_id, 'worker is lost'
            )
            return
        record.state = _State.RUNNING
        record.running_since = self._now
        if record.first_start is None:
            record.first_start = self._now
        self._scheduler.started(self._now, job_id, f'{job_id}-{attempt}')
        if self._fleet.list_broken_members(job_id):
            self._schedule(
                self._now + FAILURE_REPORT_SECONDS,
                self._fail_run,
                job_id,
                attempt,
            )
            return
        remaining_seconds = (
            record.trace_job.run_seconds - record.checkpointed_seconds
        )
        remaining_seconds += records.get_restore_seconds(record)
        self._schedule(
            self._now + remaining_seconds, self._complete_run, job_id, attempt
        )

    def _complete_run(self, job_id: str, attempt: int) -> None:
        record = self._records[job_id]
        if record.state != _State.RUNNING or record.attempt != attempt:
            return
        records.add_lost_time(record, records.get_restore_seconds(record))
        self._finish_run(record, decisions.Result.SUCCEEDED)
        self._close_record(record, _State.DONE)

    def _fail_run(self, job_id: str, attempt: int) -> None:
        record = self._records[job_id]
        if record.state != _State.RUNNING or record.attempt != attempt:
            return
        records.add_lost_time(record, FAILURE_REPORT_SECONDS)
        self._finish_run(record, decisions.Result.FAILED)
        self._schedule_retry(record)

    def _reclaim_job(self, reclaim: decisions.Reclaim) -> None:
        record = self._records.get(reclaim.job_id)
        if record is not None and record.state == _State.STOPPING:
            # A worker of the job is lost. The scheduler is told about it when
            # the job ends, so it may still reclaim the job.
            return
        if record is None or record.state not in (
            _State.RUNNING,
            _State.PLACED,
        ):
            raise ReplayError(f'{reclaim.job_id} is reclaimed but not running')
        record.reclaims += 1
        self._begin_stop(record, reclaim.grace, cancelled=False)

    def _begin_stop(
        self, record: records.JobRecord, grace: float, cancelled: bool
    ) -> None:
        """Begin to stop a job; progress is saved if the grace suffices."""
        checkpoint = record.trace_job.checkpoint_seconds
        saved = checkpoint <= grace
        stop_seconds = checkpoint if saved else grace + REVOKE_SECONDS
        result = decisions.Result.LOST
        if cancelled:
            result = decisions.Result.CANCELLED
        elif saved:
            result = decisions.Result.CHECKPOINTED
        if record.state == _State.PLACED:
            record.running_since = self._now
        records.record_interruption(record, self._now, saved, stop_seconds)
        self._schedule_stop_end(record, stop_seconds, result)

    def _schedule_stop_end(
        self,
        record: records.JobRecord,
        seconds: float,
        result: decisions.Result,
    ) -> None:
        record.state = _State.STOPPING
        self._schedule(
            self._now + seconds,
            self._complete_stop,
            record.trace_job.job.id,
            record.attempt,
            result,
        )

    def _complete_stop(
        self, job_id: str, attempt: int, result: decisions.Result
    ) -> None:
        record = self._records[job_id]
        if record.state != _State.STOPPING or record.attempt != attempt:
            return
        self._finish_run(record, result)
        if result == decisions.Result.CANCELLED:
            self._close_record(record, _State.CANCELLED)
            return
        # The scheduler requeues the job itself; it is not submitted again.
        record.state = _State.WAITING
        record.waiting_since = self._now

    def _cancel_job(self, job_id: str) -> None:
        record = self._records[job_id]
        if record.state in (
            _State.DONE,
            _State.REFUSED,
            _State.ABANDONED,
        ):
            return
        if record.state != _State.PENDING:
            self._scheduler.cancel(self._now, job_id)
        if record.state in (_State.RUNNING, _State.PLACED):
            self._begin_stop(record, 0.0, cancelled=True)
            return
        if record.state == _State.STOPPING:
            # The end of the first stop is already scheduled; the new attempt
            # number makes that event obsolete.
            record.attempt += 1
            self._schedule_stop_end(
                record, REVOKE_SECONDS, decisions.Result.CANCELLED
            )
            return
        self._close_record(record, _State.CANCELLED)

    def _change_worker(self, event: traces.WorkerEvent) -> None:
        match event.change:
            case traces.WorkerChange.LOST:
                self._lose_worker(event.worker)
            case traces.WorkerChange.BACK:
                worker = self._fleet.mark_available(event.worker)
                self._scheduler.set_worker(self._now, worker)
            case traces.WorkerChange.BROKEN:
                self._fleet.broken_workers.add(event.worker)
            case traces.WorkerChange.REPAIRED:
                self._fleet.broken_workers.discard(event.worker)

    def _lose_worker(self, name: str) -> None:
        self._fleet.mark_lost(name)
        self._scheduler.remove_worker(self._now, name)
        for job_id in self._fleet.list_jobs(name):
            record = self._records[job_id]
            if record.state != _State.RUNNING:
                continue
            records.record_interruption(
                record, self._now, False, LEASE_SECONDS
            )
            self._schedule_stop_end(
                record, LEASE_SECONDS, decisions.Result.LOST
            )

    def _schedule_retry(self, record: records.JobRecord) -> None:
        if record.attempt >= MAX_ATTEMPTS:
            self._close_record(record, _State.ABANDONED)
            return
        record.state = _State.PENDING
        delay = RETRY_BACKOFF_SECONDS * self._rng.uniform(0.5, 1.5)
        self._schedule(
            self._now + delay, self._submit_job, record.trace_job.job.id
        )

    def _finish_run(
        self, record: records.JobRecord, result: decisions.Result
    ) -> None:
        job = record.trace_job.job
        failed = ()
        if result == decisions.Result.FAILED:
            failed = self._fleet.list_broken_members(job.id)
        self._fleet.release(job.id)
        record.used_accelerator_seconds += (
            self._now - record.running_since
        ) * job.spec.accelerators
        self._scheduler.finished(
            self._now, job.id, decisions.Outcome(result, failed)
        )

    def _close_record(self, record: records.JobRecord, state: str) -> None:
        record.state, record.end = state, self._now
        self._unfinished_jobs -= 1

"""Simulates days of load on the coordinator, without network or store.

Work items run on simulated workers; arrivals, sizes and run times are drawn
from the load mix of a deployment. The figures show which queues met their
objectives and how much work was wasted.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import time
from typing import TYPE_CHECKING

import fire

from bench import loadfaults
from bench import loadfigures
from bench import loadmixes
from damaskpin.coordinator import ends
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import placement
from damaskpin.coordinator import ranking
from damaskpin.coordinator import records
from damaskpin.coordinator import supervision
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

# Simulated time between two scheduling passes, in seconds.
PASS_INTERVAL_S = 0.1
# Time from the assignment of a run to a worker until it starts, in seconds.
START_DELAY_S = 0.06
# Time that a worker takes to stop a run, in seconds.
STOP_DELAY_S = 0.4
# Run times are longer by this factor on a rack other than that of the data,
# and for gangs that need one rack and are spread over several.
REMOTE_RACK_SLOWDOWN = 3.0
# Simulated time after the last arrival for jobs to end, in seconds.
FINAL_PERIOD_S = 14.0
# Unix time at simulated time 0.
UNIX_TIME_OFFSET = 1_000_000.0


@dataclasses.dataclass(slots=True)
class ActiveRun:
    """A run that was assigned to a worker.

    :ivar worker: worker that executes the run.
    :ivar placed: state of the run in the ledger of the coordinator.
    :ivar started_at: simulated time of the start in seconds; 0 before it.
    :ivar duration: seconds from the start to the end without interruption.
    :ivar will_fail: whether it fails at its end.
    """

    worker: worker_state.Worker
    placed: placed_run.PlacedRun
    started_at: float
    duration: float
    will_fail: bool = False


class DaySimulation:
    """Simulation of one day of a load mix.

    :param mix: workers, queues and arrival rates.
    :param seed: seed of the random number generator.
    :param start_bound: seconds within which a guaranteed job must start.
    :param faults: faults of the workers.
    """

    def __init__(
        self,
        mix: loadmixes.LoadMix,
        seed: int,
        start_bound: float = 2.9,
        faults: loadfaults.FaultPlan | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._mix = mix
        self._start_bound = start_bound
        self._now = 100.0
        self._ledger = ledgers.RunLedger(self._now, 13.5, STOP_DELAY_S)
        self._sequence_numbers = itertools.count()
        self._events: list[tuple] = []
        self._active_runs: dict[work.Run, ActiveRun] = {}
        self._durations: dict[work.Item, float] = {}
        self._saved_seconds: dict[tuple, float] = {}
        self._end_serials = itertools.count(1)
        self._drawn_jobs: dict[str, loadmixes.DrawnJob] = {}
        self._stopped_runs = 0
        self._late_count = 0
        self._pass_seconds = 0.0
        self._guaranteed_since: dict[str, float] = {}
        self._late_jobs: dict[str, float] = {}
        loadmixes.add_workers(self._ledger, mix, self._now)
        self._faults = loadfaults.WorkerFaults(
            faults or loadfaults.FaultPlan(),
            self._ledger,
            random.Random(seed + 1_000_000),
            self._now,
        )

    def run(self) -> loadfigures.DayFigures:
        """Simulate the day and return its figures."""
        arrivals = loadmixes.draw_arrivals(self._mix, self._rng)
        start = self._now
        end = start + self._mix.arrival_seconds + FINAL_PERIOD_S
        next_arrival = 0
        while self._now < end:
            self._now += PASS_INTERVAL_S
            while next_arrival < len(arrivals):
                drawn_job = arrivals[next_arrival]
                if start + drawn_job.arrival > self._now:
                    break
                next_arrival += 1
                self._submit(drawn_job)
            self._process_due_events()
            self._apply_departures()
            self._run_pass()
        return self._compute_figures()

    def _apply_departures(self) -> None:
        gone = self._faults.advance(self._now)
        if not gone:
            return
        for run, active in list(self._active_runs.items()):
            if active.worker.lifetime in gone:
                del self._active_runs[run]

    def _submit(self, drawn_job: loadmixes.DrawnJob) -> None:
        accepted = UNIX_TIME_OFFSET + self._now
        submission = drawn_job.make_submission(accepted)
        job = jobs.Job(submission, records.Progress())
        self._drawn_jobs[job.id] = drawn_job
        self._ledger.add_job(self._now, job)
        for index, step in enumerate(submission.steps):
            for number in range(step.count):
                item = work.Item(job.id, 0, index, number)
                self._durations[item] = drawn_job.durations[index][number]

    def _run_pass(self) -> None:
        ledger = self._ledger
        for worker in ledger.workers.values():
            worker.last_report_time = self._now
        if not ledger.changed and int(self._now * 10) % 3:
            return
        ledger.changed = False
        begun = time.process_time()
        supervision.stop_faulty_runs(self._now, ledger)
        guarantee = self._mix.guarantees.get
        placement.place_ready_units(
            self._now,
            UNIX_TIME_OFFSET + self._now,
            ledger,
            lambda account: guarantee(account, 0),
        )
        self._pass_seconds += time.process_time() - begun
        self._count_late_guaranteed()
        self._schedule_starts_and_stops()

    def _count_late_guaranteed(self) -> None:
        guaranteed_jobs = ranking.find_guaranteed(
            self._ledger.jobs.values(),
            lambda account: self._mix.guarantees.get(account, 0),
        )
        for job_id in guaranteed_jobs:
            job = self._ledger.jobs[job_id]
            waited = UNIX_TIME_OFFSET + self._now - job.submission.accepted
            since = self._guaranteed_since.setdefault(job_id, self._now)
            if job.progress.begun or job_id in self._late_jobs:
                continue
            if self._now - since > self._start_bound:
                self._late_jobs[job_id] = waited
                self._late_count += 1
        for job_id in list(self._guaranteed_since):
            if job_id not in guaranteed_jobs:
                del self._guaranteed_since[job_id]

    def _schedule_starts_and_stops(self) -> None:
        for worker in self._ledger.workers.values():
            for run, placed in worker.runs.items():
                if run not in self._active_runs:
                    self._active_runs[run] = ActiveRun(
                        worker, placed, 0.0, 0.0
                    )
                    self._schedule_event(START_DELAY_S, self._start_run, run)
                elif placed.stop_reason:
                    self._schedule_event(STOP_DELAY_S, self._stop_run, run)

    def _schedule_event(
        self, delay: float, handler: object, run: work.Run
    ) -> None:
        entry = (self._now + delay, next(self._sequence_numbers), handler, run)
        heapq.heappush(self._events, entry)

    def _process_due_events(self) -> None:
        while self._events and self._events[0][0] <= self._now:
            _, _, handler, run = heapq.heappop(self._events)
            if run in self._active_runs:
                handler(run)
        for run, active in self._active_runs.items():
            if not active.started_at:
                continue
            done_share = (self._now - active.started_at) / active.duration
            percent = float(int(100.0 * min(done_share, 1.0)))
            running_run = work.RunningRun(run, '', percent)
            active.placed.update_from_list(running_run, self._now)

    def _start_run(self, run: work.Run) -> None:
        active = self._active_runs[run]
        step = active.placed.step
        progress_key = self._get_progress_key(active.placed)
        duration = self._durations[run.item]
        if step.gang:
            duration = self._durations[
                work.Item(run.item.job, 0, run.item.step, 0)
            ]
        duration *= self._get_slowdown(active)
        duration -= self._saved_seconds.get(progress_key, 0.0)
        active.started_at = self._now
        active.duration = max(duration, 0.3)
        if self._faults.will_fail(self._now, active.worker):
            active.will_fail = True
            active.duration *= self._faults.draw_failing_share()
        self._schedule_event(active.duration, self._end_run, run)

    def _get_slowdown(self, active: ActiveRun) -> float:
        step = active.placed.step
        rack = active.worker.profile.rack
        if step.data_rack and rack != step.data_rack:
            return REMOTE_RACK_SLOWDOWN
        if not (step.gang and step.same_rack):
            return 1.0
        for other in self._active_runs.values():
            if not other.placed.is_in_same_gang_run(active.placed):
                continue
            if other.worker.profile.rack != rack:
                return REMOTE_RACK_SLOWDOWN
        return 1.0

    def _get_progress_key(self, placed: placed_run.PlacedRun) -> tuple:
        item = placed.run.item
        return (item.job, item.step, placed.step.get_slot(item.index))

    def _end_run(self, run: work.Run) -> None:
        active = self._active_runs[run]
        if active.placed.stop_reason:
            return
        failed = (
            active.will_fail or self._rng.random() < self._mix.failure_share
        )
        ending = work.Ending.FAILED if failed else work.Ending.DONE
        self._report_end(run, ending)
        for other in list(self._active_runs):
            placed = self._active_runs[other].placed
            if placed.is_in_same_gang_run(active.placed):
                self._report_end(
                    other, work.Ending.BROKEN if failed else ending
                )

    def _stop_run(self, run: work.Run) -> None:
        active = self._active_runs[run]
        self._stopped_runs += 1
        worked_seconds = (
            self._now - active.started_at if active.started_at else 0.0
        )
        if active.placed.step.checkpoints:
            progress_key = self._get_progress_key(active.placed)
            saved_seconds = self._saved_seconds.get(progress_key, 0.0)
            self._saved_seconds[progress_key] = max(
                saved_seconds, saved_seconds + worked_seconds
            )
        self._report_end(run, work.Ending.STOPPED)

    def _report_end(self, run: work.Run, ending: work.Ending) -> None:
        active = self._active_runs.pop(run)
        ended_run = work.EndedRun(next(self._end_serials), run, ending, '')
        ends.record_end(
            self._now,
            UNIX_TIME_OFFSET + self._now,
            self._ledger,
            active.worker,
            ended_run,
        )
        active.worker.pending_ends.clear()

    def _compute_figures(self) -> loadfigures.DayFigures:
        due, earned = loadfigures.measure_value(
            self._ledger.jobs.values(),
            self._drawn_jobs,
            UNIX_TIME_OFFSET + self._now,
        )
        return loadfigures.DayFigures(
            sum(earned.values()) / max(sum(due.values()), 1e-9),
            {
                name: round(earned[name] / max(due[name], 1e-9), 3)
                for name in sorted(due)
            },
            self._ledger.lost_work,
            self._stopped_runs,
            self._late_count,
            self._pass_seconds,
        )


def play(
    mix: str = 'repair',
    seeds: int = 4,
    load: float = 1.0,
    failing: float = 0.0,
    leaving: float = 0.0,
) -> None:
    """Simulate days of a load mix and print their figures.

    :param mix: ``repair`` or ``shortlist``.
    :param seeds: number of days, each with a seed of its own.
    :param load: factor of the arrival rates.
    :param failing: share of the workers that fail all that they start for
        some seconds.
    :param leaving: share of the workers that leave at short notice.
    """
    faults = loadfaults.FaultPlan(failing_share=failing, leaving_share=leaving)
    for seed in range(seeds):
        figures = DaySimulation(
            loadmixes.make_mix(mix, load), seed, faults=faults
        ).run()
        print(
            f'{mix} seed {seed}: earned {figures.earned_share:.3f}'
            f' {figures.earned_share_by_queue}'
            f' lost {sum(figures.losses.core_seconds.values()):.0f}'
            f' stops {figures.stopped_runs} late {figures.late_guaranteed}'
            f' pass {figures.pass_seconds:.2f} s'
        )
        for cause, lost in figures.losses.core_seconds.most_common():
            runs = figures.losses.runs[cause]
            print(f'  {cause}: {runs} runs, {lost:.0f} core-seconds')


if __name__ == '__main__':
    fire.Fire(play)

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

from bench import loadmixes
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import placement
from damaskpin.coordinator import ranking
from damaskpin.coordinator import records
from damaskpin.coordinator import supervision
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import worker_state
# Simulated time between two scheduling passes, in seconds.
TICK_S = 0.1
# Time from the assignment of a run to a worker until it starts, in seconds.
ORDER_S = 0.06
# Time that a worker takes to stop a run, in seconds.
STOP_S = 0.4
# Run times are longer by this factor on a rack other than that of the data,
# and for gangs that need one rack and are spread over several.
FAR_FACTOR = 3.0
# Simulated time after the last arrival for jobs to end, in seconds.
TAIL_S = 14.0
# Unix time at simulated time 0.
WALL = 1_000_000.0


@dataclasses.dataclass(slots=True)
class Figures:
    """Figures of one simulated day.

    :ivar earned: value earned by completed jobs as a share of the value of
        all due jobs; late jobs earn a part of their value.
    :ivar by_queue: earned share of the value of each queue.
    :ivar wasted: core-seconds of runs that failed or were stopped without a
        checkpoint.
    :ivar stops: number of runs that were stopped.
    :ivar late_guaranteed: number of jobs that had not started when they had
        been guaranteed for longer than the bound on their start.
    :ivar pass_seconds: processor seconds of all scheduling passes.
    """

    earned: float
    by_queue: dict[str, float]
    wasted: float
    stops: int
    late_guaranteed: int
    pass_seconds: float


@dataclasses.dataclass(slots=True)
class Active:
    """A run that was assigned to a worker.

    :ivar worker: worker that executes the run.
    :ivar placed: state of the run in the ledger of the coordinator.
    :ivar began: simulated time of the start in seconds; 0 before the start.
    :ivar length: seconds from the start to the end without interruption.
    """

    worker: worker_state.Worker
    placed: worker_state.PlacedRun
    began: float
    length: float


class Day:
    """Simulation of one day of a load mix.

    :param mix: workers, queues and arrival rates.
    :param seed: seed of the random number generator.
    :param reclaim: seconds within which a guaranteed job must start.
    """

    def __init__(
        self, mix: loadmixes.Mix, seed: int, reclaim: float = 2.9
    ) -> None:
        self._random = random.Random(seed)
        self._mix = mix
        self._reclaim = reclaim
        self._now = 100.0
        self._ledger = ledgers.RunLedger(self._now, 13.5, STOP_S)
        self._order = itertools.count()
        self._events: list[tuple] = []
        self._active: dict[work.Run, Active] = {}
        self._lengths: dict[work.Item, float] = {}
        self._saved: dict[tuple, float] = {}
        self._serial = itertools.count(1)
        self._drawn: dict[str, loadmixes.Drawn] = {}
        self._wasted = 0.0
        self._stops = 0
        self._late = 0
        self._pass_seconds = 0.0
        self._since: dict[str, float] = {}
        self._watched: dict[str, float] = {}
        loadmixes.add_workers(self._ledger, mix, self._now)

    def run(self) -> Figures:
        """Simulate the day and return its figures."""
        arrivals = loadmixes.draw_arrivals(self._mix, self._random)
        start = self._now
        end = start + self._mix.seconds + TAIL_S
        position = 0
        while self._now < end:
            self._now += TICK_S
            while position < len(arrivals):
                drawn = arrivals[position]
                if start + drawn.at > self._now:
                    break
                position += 1
                self._submit(drawn)
            self._advance()
            self._decide()
        return self._measure()

    def _submit(self, drawn: loadmixes.Drawn) -> None:
        accepted = WALL + self._now
        submission = drawn.make_submission(accepted)
        job = jobs.Job(submission, records.Progress())
        self._drawn[job.id] = drawn
        self._ledger.add_job(self._now, job)
        for index, step in enumerate(submission.steps):
            for number in range(step.count):
                item = work.Item(job.id, 0, index, number)
                self._lengths[item] = drawn.lengths[index][number]

    def _decide(self) -> None:
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
            WALL + self._now,
            ledger,
            lambda account: guarantee(account, 0),
        )
        self._pass_seconds += time.process_time() - begun
        self._check_guaranteed()
        self._order_all()

    def _check_guaranteed(self) -> None:
        found = ranking.find_guaranteed(
            self._ledger.jobs.values(),
            lambda account: self._mix.guarantees.get(account, 0),
        )
        for job_id in found:
            job = self._ledger.jobs[job_id]
            waited = WALL + self._now - job.submission.accepted
            since = self._since.setdefault(job_id, self._now)
            if job.progress.begun or job_id in self._watched:
                continue
            if self._now - since > self._reclaim:
                self._watched[job_id] = waited
                self._late += 1
        for job_id in list(self._since):
            if job_id not in found:
                del self._since[job_id]

    def _order_all(self) -> None:
        for worker in self._ledger.workers.values():
            for run, placed in worker.runs.items():
                if run not in self._active:
                    self._active[run] = Active(worker, placed, 0.0, 0.0)
                    self._post(ORDER_S, self._begin, run)
                elif placed.stop_reason:
                    self._post(STOP_S, self._stop, run)

    def _post(self, delay: float, handler: object, run: work.Run) -> None:
        entry = (self._now + delay, next(self._order), handler, run)
        heapq.heappush(self._events, entry)

    def _advance(self) -> None:
        while self._events and self._events[0][0] <= self._now:
            _, _, handler, run = heapq.heappop(self._events)
            if run in self._active:
                handler(run)
        for run, active in self._active.items():
            if not active.began:
                continue
            done = (self._now - active.began) / active.length
            percent = float(int(100.0 * min(done, 1.0)))
            row = work.RunningRun(run, '', percent)
            active.placed.update_from_list(row, self._now)

    def _begin(self, run: work.Run) -> None:
        active = self._active[run]
        step = active.placed.step
        key = self._get_key(active.placed)
        length = self._lengths[run.item]
        if step.gang:
            length = self._lengths[
                work.Item(run.item.job, 0, run.item.step, 0)
            ]
        length *= self._get_slowness(active)
        length -= self._saved.get(key, 0.0)
        active.began = self._now
        active.length = max(length, 0.3)
        self._post(active.length, self._end, run)

    def _get_slowness(self, active: Active) -> float:
        step = active.placed.step
        rack = active.worker.profile.rack
        if step.data_rack and rack != step.data_rack:
            return FAR_FACTOR
        if not (step.gang and step.same_rack):
            return 1.0
        for other in self._active.values():
            if not other.placed.is_in_same_gang_run(active.placed):
                continue
            if other.worker.profile.rack != rack:
                return FAR_FACTOR
        return 1.0

    def _get_key(self, placed: worker_state.PlacedRun) -> tuple:
        item = placed.run.item
        return (item.job, item.step, placed.step.get_slot(item.index))

    def _end(self, run: work.Run) -> None:
        active = self._active[run]
        if active.placed.stop_reason:
            return
        failed = self._random.random() < self._mix.failing
        how = work.Ending.FAILED if failed else work.Ending.DONE
        self._finish(run, how)
        if not active.placed.step.gang or failed:
            return
        for other in list(self._active):
            placed = self._active[other].placed
            if placed.is_in_same_gang_run(active.placed):
                self._finish(other, how)

    def _stop(self, run: work.Run) -> None:
        active = self._active[run]
        self._stops += 1
        worked = self._now - active.began if active.began else 0.0
        if active.placed.step.checkpoints:
            key = self._get_key(active.placed)
            kept = self._saved.get(key, 0.0)
            self._saved[key] = max(kept, kept + worked)
        else:
            self._wasted += worked * active.placed.step.get_core_equivalents()
        self._finish(run, work.Ending.STOPPED)

    def _finish(self, run: work.Run, how: work.Ending) -> None:
        active = self._active.pop(run)
        row = work.EndedRun(next(self._serial), run, how, '')
        if how is work.Ending.FAILED:
            worked = self._now - active.began
            self._wasted += worked * active.placed.step.get_core_equivalents()
        self._ledger.end_run(self._now, WALL + self._now, active.worker, row)
        active.worker.pending_ends.clear()

    def _measure(self) -> Figures:
        owed: dict[str, float] = {}
        earned: dict[str, float] = {}
        for job in self._ledger.jobs.values():
            drawn = self._drawn[job.id]
            queue = drawn.queue
            owed[queue.name] = owed.get(queue.name, 0.0) + drawn.worth
            gained = 0.0
            if job.progress.state is work.JobState.COMPLETED:
                took = job.progress.ended - job.submission.accepted
                objective = queue.allowance + queue.stretch * drawn.chain
                if took <= objective:
                    gained = drawn.worth
                elif took <= 3 * objective:
                    gained = drawn.worth * queue.late
            elif WALL + self._now - job.submission.accepted < 3 * (
                queue.allowance + queue.stretch * drawn.chain
            ):
                # The job can still end in time, so its value is not due.
                owed[queue.name] -= drawn.worth
            earned[queue.name] = earned.get(queue.name, 0.0) + gained
        return Figures(
            sum(earned.values()) / max(sum(owed.values()), 1e-9),
            {
                name: round(earned[name] / max(owed[name], 1e-9), 3)
                for name in sorted(owed)
            },
            self._wasted,
            self._stops,
            self._late,
            self._pass_seconds,
        )


def play(mix: str = 'repair', seeds: int = 4, load: float = 1.0) -> None:
    """Simulate days of a load mix and print their figures.

    :param mix: ``repair`` or ``shortlist``.
    :param seeds: number of days, each with a seed of its own.
    :param load: factor of the arrival rates.
    """
    for seed in range(seeds):
        figures = Day(loadmixes.make_mix(mix, load), seed).run()
        print(
            f'{mix} seed {seed}: earned {figures.earned:.3f}'
            f' {figures.by_queue} wasted {figures.wasted:.0f}'
            f' stops {figures.stops} late {figures.late_guaranteed}'
            f' pass {figures.pass_seconds:.2f} s'
        )


if __name__ == '__main__':
    fire.Fire(play)

"""Decisions about all jobs and workers, made by one entry at a time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import fleet
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import placement
from damaskpin.coordinator import ranking
from damaskpin.model import work
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.model import installation as installations

LOG = logging.getLogger(__name__)

# Added to the time after which a lost worker's runs are gone, in seconds: the
# worker needs a moment to stop them.
LAPSE_MARGIN_S = 0.5

# A worker's steady clock may be this much slow.
CLOCK_SLOWNESS = 0.02

# Waiting units are looked at again without an event after this time, seconds.
RECHECK_S = 0.25


class Coordinator:
    """Decides which work item runs where, and which is stopped.

    All times are seconds; ``now`` is a steady clock that also counts while
    the process is suspended, ``wall`` is Unix time.

    :param fence: fencing token of this coordinator.
    :param grant: seconds for which an agent keeps its worker's lease after
        the report that was answered last.
    :param stop_time: seconds that a worker takes to stop a run.
    """

    __slots__ = (
        '_by_agent',
        '_dirty',
        '_grant',
        '_installation',
        '_instance',
        '_next_check',
        '_sequence',
        '_started',
        '_stop_time',
        'entries',
        'fence',
        'jobs',
        'workers',
    )

    def __init__(
        self,
        now: float,
        instance: str,
        fence: int,
        grant: float,
        stop_time: float,
        installation: installations.Installation | None,
    ) -> None:
        self._instance = instance
        self.fence = fence
        self._grant = grant
        self._stop_time = stop_time
        self._installation = installation
        self._started = now
        self._sequence = 0
        self._dirty = True
        self._next_check = 0.0
        self.jobs: dict[str, jobs.Job] = {}
        self.workers: dict[work.Lifetime, fleet.Worker] = {}
        self._by_agent: dict[str, work.Lifetime] = {}
        self.entries: tuple[str, ...] = ()

    def set_installation(
        self, installation: installations.Installation
    ) -> None:
        """Take over a version of the configuration."""
        self._installation = installation
        self._dirty = True

    def add_job(self, now: float, job: jobs.Job) -> None:
        """Take over a job with the progress that the store has."""
        self.jobs[job.id] = job
        self._dirty = True
        for run, active in list(job.iterate_active()):
            worker = self.workers.get(active.lifetime)
            if worker is None:
                worker = self._add_worker(now, active.lifetime, active.agent)
            step = job.submission.steps[run.item.step]
            worker.add_run(
                fleet.PlacedRun(
                    run,
                    job,
                    step,
                    step.get_reserved(),
                    job.stored_version,
                    False,
                    -1.0,
                )
            )

    def cancel_job(self, now: float, wall: float, job_id: str) -> None:
        """Cancel a job unless it has ended."""
        job = self.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if job.is_final():
            return
        job.finish(work.JobState.CANCELED, wall)
        LOG.info('job cancelled', extra={'job': job_id})
        self._stop_job(now, job, 'job cancelled')
        self._dirty = True

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose record was removed."""
        self.jobs.pop(job_id, None)

    def note_stored(self, job_id: str, version: int) -> None:
        """Record that the store has a version of a job's progress."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.stored_version = max(job.stored_version, version)
        for worker in self.workers.values():
            if worker.pending_ends:
                worker.orders_due = True
                continue
            for placed in worker.runs.values():
                if placed.job is job and not placed.confirmed:
                    worker.orders_due = True

    def collect_dirty(self) -> list[jobs.Job]:
        """Return the jobs whose progress the store lacks."""
        return [job for job in self.jobs.values() if job.is_dirty()]

    def handle_report(
        self, now: float, wall: float, report: orders.Report, address: str
    ) -> fleet.Worker | None:
        """Take over what an agent reports.

        :returns: the worker that the report speaks of.
        """
        if report.left is not None:
            self._lose_worker(now, report.left, 'the worker has left')
        profile = report.profile
        if profile is None or profile.lifetime == report.left:
            return None
        worker = self._find_worker(now, report.agent, profile.lifetime)
        if worker is None:
            return None
        worker.address = address
        worker.heard = now
        worker.report_time = report.time
        was_usable = worker.listed and worker.profile is not None
        draining = worker.profile is not None and worker.profile.draining
        worker.set_profile(profile)
        if profile.draining and not draining:
            self._evacuate(now, worker)
        if report.list_fence == self.fence:
            self._handle_lists(now, wall, worker, report)
        if not was_usable and worker.listed:
            self._dirty = True
        return worker

    def _handle_lists(
        self,
        now: float,
        wall: float,
        worker: fleet.Worker,
        report: orders.Report,
    ) -> None:
        listed = {row.run for row in report.ended}
        for row in report.ended:
            if row.serial <= worker.seen_serial:
                continue
            worker.seen_serial = row.serial
            self._end_run(now, wall, worker, row)
        for run in report.accepted:
            placed = worker.runs.get(run)
            if placed is not None:
                placed.confirmed = True
        for row in report.running:
            listed.add(row.run)
            placed = worker.runs.get(row.run)
            if placed is None:
                self._stop_unknown(worker, row.run)
                continue
            note_progress(placed, row, now)
        for refused in report.refused:
            listed.add(refused.run)
            self._refuse_run(now, worker, refused)
        if not worker.listed:
            worker.listed = True
            for run in list(worker.runs):
                if run not in listed:
                    self._drop_run(now, worker, run, 'it was never started')
            self._dirty = True

    def decide(self, now: float, wall: float) -> None:
        """Place what is ready and stop what has to make room."""
        self._drop_lapsed(now)
        if not self._dirty and now < self._next_check:
            return
        self._dirty = False
        self._next_check = now + RECHECK_S
        guarantee = self._get_guarantee
        guaranteed = ranking.find_guaranteed(self.jobs.values(), guarantee)
        units: list[jobs.Unit] = []
        for job in self.jobs.values():
            units.extend(job.iterate_ready(now, wall))
        units.sort(key=lambda u: ranking.get_order(u, wall, guaranteed))
        usable = [w for w in self.workers.values() if w.is_usable(now)]
        planner = placement.Planner(now, usable)
        failed: set[tuple[str, int, int]] = set()
        for unit in units:
            key = unit.get_key()[:3]
            if key in failed:
                continue
            if not self._place(now, unit, planner, guaranteed):
                failed.add(key)

    def _place(
        self,
        now: float,
        unit: jobs.Unit,
        planner: placement.Planner,
        guaranteed: set[str],
    ) -> bool:
        plan = planner.find_plan(
            unit,
            lambda p: ranking.may_stop(unit, p, now, guaranteed),
            ranking.may_go_far(unit, now),
        )
        if plan is None:
            return False
        if plan.waits:
            planner.claim(unit, plan)
            for victim in plan.victims:
                reason = f'room for {unit.job.id}'
                self._stop_run(now, victim, reason)
            return True
        holders = [(w.lifetime, w.agent) for w in plan.workers]
        runs = unit.job.assign(unit, holders)
        for run, worker in zip(runs, plan.workers, strict=True):
            worker.add_run(
                fleet.PlacedRun(
                    run,
                    unit.job,
                    unit.step,
                    unit.step.get_reserved(),
                    unit.job.progress.version,
                    False,
                    now,
                )
            )
        LOG.info(
            'placed',
            extra={
                'job': unit.job.id,
                'step': unit.step_index,
                'items': len(runs),
                'number': runs[0].number,
                'workers': [w.lifetime.worker for w in plan.workers],
                'waited': round(now - unit.ready_since, 3),
            },
        )
        return True

    def make_orders(self, worker: fleet.Worker) -> orders.Orders:
        """Return the current orders for a worker and extend its grant."""
        self._sequence += 1
        worker.orders_due = False
        lapse = worker.heard + self._grant * (1 + CLOCK_SLOWNESS)
        lapse += LAPSE_MARGIN_S + self._stop_time
        worker.gone_after = max(worker.gone_after, lapse)
        starts = []
        stops = []
        for placed in worker.runs.values():
            if placed.stop_reason:
                stops.append(placed.run)
                continue
            if placed.confirmed or placed.placed < 0:
                continue
            if placed.version > placed.job.stored_version:
                continue
            starts.append(make_start(placed))
        return orders.Orders(
            self.fence,
            self._sequence,
            self._instance,
            worker.lifetime,
            worker.report_time,
            worker.get_observed(),
            tuple(starts),
            tuple(stops),
            self.entries,
        )

    def pop_due(self) -> list[fleet.Worker]:
        """Return the workers that have news to be sent now."""
        due = [w for w in self.workers.values() if w.orders_due and w.address]
        for worker in due:
            worker.orders_due = False
        return due

    def _get_guarantee(self, account: str) -> int:
        if self._installation is None:
            return 0
        return self._installation.get_guarantee(account)

    def _add_worker(
        self, now: float, lifetime: work.Lifetime, agent: str
    ) -> fleet.Worker:
        # A former coordinator may have granted time until this one began.
        lapse = max(now, self._started) + self._grant * (1 + CLOCK_SLOWNESS)
        lapse += LAPSE_MARGIN_S + self._stop_time
        worker = fleet.Worker(lifetime, agent, lapse)
        self.workers[lifetime] = worker
        return worker

    def _find_worker(
        self, now: float, agent: str, lifetime: work.Lifetime
    ) -> fleet.Worker | None:
        """Return the worker of a report, or ``None`` if it is outdated."""
        for other in list(self.workers.values()):
            if other.agent != agent or other.lifetime == lifetime:
                continue
            if fleet.is_newer(other.lifetime, lifetime):
                return None
            self._lose_worker(now, other.lifetime, 'a new worker has started')
        worker = self.workers.get(lifetime)
        if worker is None:
            worker = self._add_worker(now, lifetime, agent)
            LOG.info(
                'worker known',
                extra={'worker': lifetime.worker, 'agent': agent},
            )
        return worker

    def _lose_worker(
        self, now: float, lifetime: work.Lifetime, reason: str
    ) -> None:
        worker = self.workers.pop(lifetime, None)
        if worker is None:
            return
        LOG.info(
            'worker lost',
            extra={
                'worker': lifetime.worker,
                'reason': reason,
                'heard_ago': round(now - worker.heard, 3),
                'runs': len(worker.runs),
            },
        )
        for run in list(worker.runs):
            self._drop_run(now, worker, run, reason)

    def _drop_lapsed(self, now: float) -> None:
        for worker in list(self.workers.values()):
            if now > worker.gone_after:
                reason = 'the worker is silent and its lease has ended'
                self._lose_worker(now, worker.lifetime, reason)

    def _drop_run(
        self, now: float, worker: fleet.Worker, run: work.Run, reason: str
    ) -> None:
        """Record that a run does not exist, without an end of its own."""
        placed = worker.remove_run(run)
        if placed is None:
            return
        self._dirty = True
        job = placed.job
        if placed.checkpoint:
            step = job.get_step(run.item.occurrence, run.item.step)
            slot = 0 if placed.step.gang else run.item.index
            step.checkpoints[slot] = placed.checkpoint
        job.remove_run(run)
        LOG.info(
            'run gone',
            extra={
                'job': job.id,
                'step': run.item.step,
                'index': run.item.index,
                'number': run.number,
                'worker': worker.lifetime.worker,
                'reason': reason,
            },
        )
        if placed.step.gang:
            self._stop_gang(now, placed, reason)

    def _end_run(
        self,
        now: float,
        wall: float,
        worker: fleet.Worker,
        row: work.EndedRun,
    ) -> None:
        placed = worker.remove_run(row.run)
        job = self.jobs.get(row.run.item.job)
        if placed is None or job is None:
            worker.pending_ends.append(fleet.PendingEnd(row.serial, None, 0))
            return
        self._dirty = True
        worker.orders_due = True
        job.end_run(row.run, row.ending, row.checkpoint, wall)
        worker.pending_ends.append(
            fleet.PendingEnd(row.serial, job, job.progress.version)
        )
        LOG.info(
            'run ended',
            extra={
                'job': job.id,
                'step': row.run.item.step,
                'index': row.run.item.index,
                'number': row.run.number,
                'ending': str(row.ending),
                'worker': worker.lifetime.worker,
                'state': str(job.progress.state),
                'seconds': round(now - placed.placed, 3),
            },
        )
        match row.ending:
            case work.Ending.DONE:
                worker.note_result(now, job.id, failed=False)
            case work.Ending.FAILED:
                worker.note_result(now, job.id, failed=True)
                self._avoid(placed, worker)
        if job.progress.state is work.JobState.COMPLETED:
            # The other members of a gang end by themselves.
            return
        if job.is_final():
            self._stop_job(now, job, f'job {job.progress.state}')
        elif placed.step.gang and row.ending is not work.Ending.DONE:
            self._stop_gang(now, placed, f'a member {row.ending}')

    def _avoid(self, placed: fleet.PlacedRun, worker: fleet.Worker) -> None:
        item = placed.run.item
        slot = 0 if placed.step.gang else item.index
        key = (item.occurrence, item.step, slot)
        avoided = placed.job.avoided.setdefault(key, set())
        avoided.add(worker.lifetime.worker)

    def _refuse_run(
        self, now: float, worker: fleet.Worker, refused: orders.RefusedRun
    ) -> None:
        placed = worker.runs.get(refused.run)
        if placed is None:
            return
        self._avoid(placed, worker)
        self._drop_run(now, worker, refused.run, refused.reason)

    def _stop_unknown(self, worker: fleet.Worker, run: work.Run) -> None:
        """Stop a run that no record knows; it holds capacity meanwhile."""
        job = self.jobs.get(run.item.job)
        if job is None or run.item.step >= len(job.submission.steps):
            return
        LOG.warning(
            'run without a record',
            extra={'job': job.id, 'worker': worker.lifetime.worker},
        )
        step = job.submission.steps[run.item.step]
        reserved = step.get_reserved()
        placed = fleet.PlacedRun(run, job, step, reserved, 0, True, 0.0)
        placed.stop_reason = 'no record'
        worker.add_run(placed)
        worker.orders_due = True

    def _stop_run(
        self, now: float, placed: fleet.PlacedRun, reason: str
    ) -> None:
        if placed.stop_reason:
            return
        placed.stop_reason = reason
        placed.stopped = now
        for worker in self.workers.values():
            if placed.run in worker.runs:
                worker.orders_due = True
        LOG.info(
            'run to be stopped',
            extra={
                'job': placed.job.id,
                'step': placed.run.item.step,
                'index': placed.run.item.index,
                'number': placed.run.number,
                'reason': reason,
            },
        )
        if placed.step.gang:
            self._stop_gang(now, placed, reason)

    def _stop_job(self, now: float, job: jobs.Job, reason: str) -> None:
        for worker in self.workers.values():
            for placed in worker.runs.values():
                if placed.job is job:
                    self._stop_run(now, placed, reason)

    def _stop_gang(
        self, now: float, member: fleet.PlacedRun, reason: str
    ) -> None:
        item = member.run.item
        for worker in self.workers.values():
            for placed in worker.runs.values():
                other = placed.run
                if placed.job is not member.job:
                    continue
                if other.number != member.run.number:
                    continue
                if other.item.step != item.step:
                    continue
                if other.item.occurrence == item.occurrence:
                    self._stop_run(now, placed, reason)

    def _evacuate(self, now: float, worker: fleet.Worker) -> None:
        """Move work off a draining worker that would not end in time."""
        if worker.profile is None:
            return
        self._dirty = True
        for placed in list(worker.runs.values()):
            left = placed.step.estimate - (now - placed.placed)
            movable = placed.step.checkpoints or placed.step.lasting
            if movable or left > worker.profile.remaining:
                self._stop_run(now, placed, 'the worker is draining')


def make_start(placed: fleet.PlacedRun) -> orders.StartOrder:
    """Return the order that starts a placed run."""
    item = placed.run.item
    slot = 0 if placed.step.gang else item.index
    progress = placed.job.get_step(item.occurrence, item.step)
    return orders.StartOrder(
        placed.run,
        placed.job.submission.content,
        progress.checkpoints.get(slot, ''),
    )


def note_progress(
    placed: fleet.PlacedRun, row: work.RunningRun, now: float
) -> None:
    """Take over what a worker lists about a run."""
    placed.confirmed = True
    if not placed.began:
        placed.began = now
    if row.checkpoint and row.checkpoint != placed.checkpoint:
        placed.checkpoint = row.checkpoint
        placed.saved = now
    placed.percent = row.percent

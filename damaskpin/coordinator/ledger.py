"""Ledger of all jobs, workers and runs, with the rules for their times."""

from __future__ import annotations

import collections
import logging
import math
from typing import TYPE_CHECKING

from damaskpin.coordinator import books
from damaskpin.coordinator import crash_watch
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import outcomes
from damaskpin.coordinator import placed_run
from damaskpin.coordinator import removals
from damaskpin.coordinator import restarts
from damaskpin.coordinator import run_ends
from damaskpin.coordinator import silent_agents
from damaskpin.coordinator import stops
from damaskpin.coordinator import worker_state

if TYPE_CHECKING:
    from damaskpin.coordinator import grants
    from damaskpin.coordinator import job as jobs
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)

# Time in seconds for which a draining worker often stays beyond the remaining
# time that it reported.
DRAIN_TIME_MARGIN_S = 1.5


class RunLedger(books.Books):
    """Ledger of the jobs, the workers and the runs that may exist.

    A grant is the time up to which an agent may renew its worker's lease
    without hearing from the coordinator. Each answered report of the agent
    moves the end of the grant; :mod:`damaskpin.coordinator.grants` has the
    details. A lifetime is one process of a worker, from its start to its end;
    a worker that restarts has a new lifetime and may keep its id.

    :param started: time at which this coordinator began, in seconds.
    :param grant: length of a grant in seconds, counted from its start.
    :param stop_time: seconds that a worker takes to stop a run.
    :param former_answers: time in seconds of the latest report that a former
        coordinator may have answered, by agent, for those that it has
        recorded as silent.
    :param longest_lease: longest lease in seconds that a worker allows.
    :param last_former_grant: latest time in seconds from which a grant of a
        former coordinator counts; ``None`` if it is not known.
    :ivar last_arrival: steady time in seconds at which the newest job was
        accepted.
    :ivar run_ends: latest ends of the workers' runs.
    :ivar silent_agents: times of the agents' reports.
    """

    __slots__ = (
        'crash_watch',
        'last_arrival',
        'run_ends',
        'silent_agents',
    )

    def __init__(
        self,
        started: float,
        grant: float,
        stop_time: float,
        former_answers: dict[str, float] | None = None,
        longest_lease: float = 0.0,
        last_former_grant: float | None = None,
    ) -> None:
        super().__init__()
        self.last_arrival = -math.inf
        self.run_ends = run_ends.RunEnds(grant, stop_time, longest_lease)
        self.crash_watch = crash_watch.CrashWatch()
        self.silent_agents = silent_agents.SilentAgents(
            started, former_answers, last_former_grant
        )

    def renew_grant(
        self, worker: worker_state.Worker, start: grants.GrantStart
    ) -> None:
        """Record that orders renew the grant of a worker's agent.

        :param start: time from which the grant counts.
        """
        self.run_ends.renew(worker, start.answered)
        worker.granted_report_time = max(
            worker.granted_report_time, start.echo
        )
        worker.granted_report = (worker.process, start.echo)

    def add_job(self, now: float, job: jobs.Job) -> None:
        """Add a job and the active runs of its stored progress."""
        self.jobs[job.id] = job
        self.changed = True
        job.times.begin(now)
        self.last_arrival = max(self.last_arrival, job.times.arrived)
        outcomes.limit_failures(job)
        for run, active in list(job.iterate_active()):
            worker = self.workers.get(active.lifetime)
            if worker is None:
                # A former coordinator may have given grants to its agent.
                answered, evidence = self.silent_agents.find_former_grant(
                    active.agent
                )
                worker = self.add_worker(
                    answered, active.lifetime, active.agent, evidence
                )
            step = job.submission.steps[run.item.step]
            reserved = step.get_reservation()
            version = job.stored_version
            placed = placed_run.PlacedRun(
                run, job, step, reserved, version, False, -1.0
            )
            if job.is_done(run.item):
                # A former coordinator may not have stopped the run yet.
                placed.stop_reason = 'the work item has ended'
                placed.stop_cause = lost_work.Cause.REPEATED
                worker.orders_due = True
            worker.add_run(placed)

    def describe_unheard_workers(self, now: float) -> dict[str, object]:
        """Return log fields of the workers that no agent has reported yet.

        :returns: ``unheard_workers`` by the evidence that their runs are kept
            for, and ``runs_end_in``, the seconds until the last of these runs
            have certainly ended.
        """
        unheard = [w for w in self.workers.values() if not w.last_report_time]
        ends = [worker.get_last_lease_end() for worker in unheard]
        counts = collections.Counter(
            str(worker.run_end_evidence) for worker in unheard
        )
        return {
            'unheard_workers': dict(counts),
            'runs_end_in': round(max(ends) - now, 3) if ends else None,
        }

    def find_worker(
        self,
        now: float,
        agent: str,
        lifetime: work.Lifetime,
        is_listed: bool = False,
    ) -> worker_state.Worker | None:
        """Return the worker that a report is about, and add it if it is new.

        :param lifetime: lifetime of the worker that the report names.
        :param is_listed: whether the report has lists of this worker that were
            read for this coordinator. They prove that its predecessor has
            ended; a report without them may be a delayed one.
        :returns: ``None`` if the agent has already reported a worker that
            was started later.
        """
        for other in list(self.workers.values()):
            if other.agent != agent or other.lifetime == lifetime:
                continue
            if not is_listed:
                if other.lifetime.born > lifetime.born:
                    return None
                continue
            if other.lifetime.worker == lifetime.worker:
                restarts.transfer_runs(now, self, other, lifetime)
                continue
            self.remove_worker(
                now, other.lifetime, removals.Proof.OTHER_WORKER
            )
        worker = self.workers.get(lifetime)
        if worker is None:
            worker = self.add_worker(now, lifetime, agent)
            LOG.info(
                'worker added',
                extra={'worker': lifetime.worker, 'agent': agent},
            )
        return worker

    def remove_worker(
        self, now: float, lifetime: work.Lifetime, proof: removals.Proof
    ) -> None:
        """Remove a worker and all its runs."""
        removals.remove_worker(self, now, lifetime, proof)

    def remove_expired_workers(self, now: float) -> None:
        """Remove the workers whose lease has certainly ended."""
        for worker in list(self.workers.values()):
            if now <= worker.get_last_lease_end():
                continue
            if not worker.runs and worker.is_reporting(now):
                # The agent still reports the worker, so that a removed worker
                # would be added again at once.
                continue
            self.remove_worker(
                now, worker.lifetime, removals.Proof.LEASE_ENDED
            )

    def remove_lost_run(
        self,
        worker: worker_state.Worker,
        run: work.Run,
        proof: removals.Proof,
    ) -> None:
        """Remove a run that does not exist and whose end no list has shown."""
        removals.remove_lost_run(self, worker, run, proof)

    def record_refusal(
        self, worker: worker_state.Worker, refused: orders.RefusedRun
    ) -> None:
        """Record that a worker refused to start a run, and remove the run."""
        removals.record_refusal(self, worker, refused)

    def stop_unrecorded_run(
        self, worker: worker_state.Worker, run: work.Run
    ) -> None:
        """Stop a run that a worker lists but no job has recorded.

        The run uses capacity of the worker until it ends.
        """
        job = self.jobs.get(run.item.job)
        if job is None or run.item.step >= len(job.submission.steps):
            return
        step = job.submission.steps[run.item.step]
        reserved = step.get_reservation()
        placed = placed_run.PlacedRun(run, job, step, reserved, 0, True, 0.0)
        self.counts['unrecorded'] += 1
        job.unrecorded.add(run)
        worker.add_run(placed)
        self.stop_run(
            worker,
            placed,
            lost_work.Cause.UNRECORDED,
            'the run is in no record',
        )

    def stop_run(
        self,
        worker: worker_state.Worker,
        placed: placed_run.PlacedRun,
        cause: lost_work.Cause,
        reason: str,
    ) -> None:
        """Order a run and the other members of its gang to stop."""
        stops.stop_run(self, worker, placed, cause, reason)

    def stop_job(
        self, job: jobs.Job, cause: lost_work.Cause, reason: str
    ) -> None:
        """Order all runs of a job to stop."""
        stops.stop_job(self, job, cause, reason)

    def stop_gang(
        self,
        member: placed_run.PlacedRun,
        cause: lost_work.Cause,
        reason: str,
    ) -> None:
        """Order the other members of a gang to stop.

        :param member: run of the gang that has ended or is to be stopped.
        """
        stops.stop_gang(self, member, cause, reason)

    def drain_worker(self, now: float, worker: worker_state.Worker) -> None:
        """Order runs on a draining worker to stop.

        Stopped are runs with checkpoints, lasting runs and runs that would
        not end before the worker leaves.
        """
        if worker.profile is None:
            return
        self.changed = True
        for placed in list(worker.runs.values()):
            movable = placed.step.checkpoints or placed.step.lasting
            time_left = worker.profile.remaining + DRAIN_TIME_MARGIN_S
            late = placed.get_remaining_seconds(now) > time_left
            if movable or late:
                self.stop_run(
                    worker,
                    placed,
                    lost_work.Cause.DRAINING,
                    'the worker is draining',
                )

    def add_worker(
        self,
        last_answer: float,
        lifetime: work.Lifetime,
        agent: str,
        evidence: run_ends.Evidence = run_ends.Evidence.ANSWER,
    ) -> worker_state.Worker:
        """Add a worker.

        :param last_answer: latest time in seconds at which a report of the
            worker's agent may have arrived that a coordinator has answered.
        :param evidence: what that time follows from.
        """
        latest_run_end = self.run_ends.get_granted_end(last_answer)
        worker = worker_state.Worker(lifetime, agent, latest_run_end, evidence)
        self.workers[lifetime] = worker
        return worker

"""Queueing and placement of a region's jobs on its coordinating entry."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import coordinator as gang_coordinator
from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages
from damaskpin.scheduler import decisions
from damaskpin.scheduler import scheduler as schedulers

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

LOG = logging.getLogger(__name__)

# Delay between the takeover of a region and the first scheduling decision.
# Owners resubmit their jobs every 2 s, so all jobs are known by then.
FIRST_DECISION_DELAY_S = 2.5
# Interval for resending stop requests to gangs that a former coordinator
# placed, because a single message may be lost.
STOP_RESEND_INTERVAL_S = 2.0
STOP_REASON_RECLAIM = 'reclaimed'
STOP_REASON_CANCEL = 'cancelled'
RUNNING_REASON_GUARANTEED = 'guaranteed shape'


@dataclasses.dataclass(slots=True)
class _TrackedJob:
    """A job that this coordinator has queued or found running.

    :ivar owner: instance id of the entry that owns the job.
    :ivar attempt: id of the current attempt, that is, of the current
        placement of the job's gang; empty while the job is queued.
    :ivar guaranteed: whether the attempt uses a guaranteed shape.
    :ivar stop_reason: reason of the requested stop; empty without one.
    :ivar restored: whether a former coordinator placed the attempt; its end
        is then detected from agent reports.
    """

    job: jobs.Job
    owner: str
    attempt: str = ''
    guaranteed: bool = False
    stop_reason: str = ''
    restored: bool = False


@dataclasses.dataclass(slots=True)
class _PendingStop:
    """Stop request for a restored gang, resent until the gang has ended.

    :ivar lead: instance id of the gang's lead agent.
    :ivar next_send: monotonic time of the next resend in seconds.
    """

    lead: str
    message: gang_messages.StopGang
    next_send: float


class RegionCoordinator:
    """Queues and places the jobs of one region; does no I/O itself.

    :param peer: identity and addresses of this entry.
    :param config: configuration in force.
    :param rng: random number generator for jitter.
    """

    __slots__ = (
        '_active_start',
        '_agents',
        '_attempt_count',
        '_config',
        '_gang_coordinator',
        '_next_decision',
        '_peer',
        '_pending_stops',
        '_revision',
        '_rng',
        '_scheduler',
        '_tracked_jobs',
    )

    def __init__(
        self, peer: messages.Peer, config: configs.Config, rng: random.Random
    ) -> None:
        self._peer = peer
        self._config = config
        self._revision = 0
        self._rng = rng
        self._gang_coordinator = gang_coordinator.Coordinator(
            peer.instance, rng
        )
        self._scheduler: schedulers.Scheduler | None = None
        self._active_start: float | None = None
        self._agents: dict[str, messages.AgentState] = {}
        self._tracked_jobs: dict[str, _TrackedJob] = {}
        self._pending_stops: dict[str, _PendingStop] = {}
        self._attempt_count = 0
        self._next_decision = 0.0

    def is_active(self) -> bool:
        """Return whether this entry coordinates its region."""
        return self._active_start is not None

    def set_active(self, now: float, active: bool) -> None:
        """Start or stop coordinating the region; clear the job queue.

        Placements in progress are completed in both cases. If two entries
        coordinate the region at once, agents and job owners decide which
        placement of a job may run.
        """
        if active == self.is_active():
            return
        LOG.info(
            'region coordination started or stopped',
            extra={'region': self._peer.region, 'active': active},
        )
        self._active_start = now if active else None
        self._scheduler = None
        self._tracked_jobs.clear()
        self._pending_stops.clear()

    def set_config(
        self, now: float, config: configs.Config, revision: int
    ) -> None:
        """Use a new configuration for all further scheduling decisions."""
        self._config = config
        self._revision = revision
        if self._scheduler is not None:
            self._scheduler.set_config(config)
            self._next_decision = now

    def set_agent(self, now: float, state: messages.AgentState) -> None:
        """Update a worker and its gangs from the report of its agent."""
        previous = self._agents.get(state.peer.instance)
        self._agents[state.peer.instance] = state
        if self._scheduler is None:
            return
        self._update_worker(now, state)
        if previous is not None:
            self._finish_unreported_jobs(now)

    def remove_agent(self, now: float, instance: str) -> list[effects.Effect]:
        """Remove a failed agent and its worker from scheduling."""
        outputs = self._process_effects(
            now, self._gang_coordinator.handle_agent_lost(now, instance)
        )
        state = self._agents.pop(instance, None)
        if state is None or self._scheduler is None:
            return outputs
        self._scheduler.remove_worker(now, state.worker)
        self._next_decision = now
        self._finish_unreported_jobs(now)
        return outputs

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message from a job owner or an agent."""
        match message:
            case gang_messages.SubmitJob():
                return self._handle_submission(now, message)
            case gang_messages.CancelJob(job_id, reason):
                return self._handle_cancellation(now, job_id, reason)
        return self._process_effects(
            now, self._gang_coordinator.receive(now, sender, message)
        )

    def tick(self, now: float) -> list[effects.Effect]:
        """Run due timers, resend stop requests and place queued jobs."""
        outputs = self._process_effects(now, self._gang_coordinator.tick(now))
        if self._active_start is None:
            return outputs
        if self._scheduler is None:
            if (
                now - self._active_start < FIRST_DECISION_DELAY_S
                or not self._revision
            ):
                return outputs
            outputs += self._build_scheduler(now)
        outputs += self._resend_stops(now)
        if now >= self._next_decision:
            outputs += self._schedule_jobs(now)
        return outputs

    def explain(self, job_id: str) -> list[str]:
        """Return the scheduler's decisions about a job, oldest first."""
        if self._scheduler is None:
            return []
        return self._scheduler.explain(job_id)

    def get_snapshot(self, now: float) -> decisions.Snapshot | None:
        """Return accelerator use and job queue of the region.

        :returns: the snapshot, or ``None`` while this entry does not schedule
            the region.
        """
        if self._scheduler is None:
            return None
        return self._scheduler.get_snapshot(now)

    def _handle_submission(
        self, now: float, message: gang_messages.SubmitJob
    ) -> list[effects.Effect]:
        job = message.job
        if self._active_start is None:
            return []
        existing = self._tracked_jobs.get(job.id)
        if existing is not None:
            existing.owner = message.owner
            return [
                _make_job_update(
                    message.owner, job.id, self._get_job_state(existing)
                )
            ]
        tracked = _TrackedJob(job, message.owner, message.attempt)
        self._tracked_jobs[job.id] = tracked
        if self._scheduler is None:
            return [
                _make_job_update(message.owner, job.id, 'queued', 'settling')
            ]
        return self._queue_job(now, tracked)

    def _queue_job(
        self, now: float, tracked: _TrackedJob
    ) -> list[effects.Effect]:
        assert self._scheduler is not None
        job = tracked.job
        if tracked.attempt and self._restore_gang(now, tracked):
            return [_make_job_update(tracked.owner, job.id, 'running')]
        tracked.attempt = ''
        refusal = self._scheduler.submit(now, job)
        if refusal is not None:
            del self._tracked_jobs[job.id]
            return [
                _make_job_update(
                    tracked.owner, job.id, 'refused', refusal.reason
                ),
                effects.Record(job.id, 'refused', refusal.reason),
            ]
        self._next_decision = now
        return [
            _make_job_update(tracked.owner, job.id, 'queued'),
            effects.Record(job.id, 'queued', f'in region {self._peer.region}'),
        ]

    def _handle_cancellation(
        self, now: float, job_id: str, reason: str
    ) -> list[effects.Effect]:
        tracked = self._tracked_jobs.get(job_id)
        if tracked is None:
            return []
        if self._scheduler is None:
            # The job was cancelled before the first scheduling decision, so
            # only its submission is dropped. If the job has a running gang,
            # the owner of the job stops that gang. Until the gang ends, it is
            # tracked as a gang whose job was not submitted.
            del self._tracked_jobs[job_id]
            return []
        if tracked.attempt:
            tracked.stop_reason = STOP_REASON_CANCEL
            return self._stop_gang(now, tracked, reason, 0.0)
        self._scheduler.cancel(now, job_id)
        del self._tracked_jobs[job_id]
        return []

    def _schedule_jobs(self, now: float) -> list[effects.Effect]:
        assert self._scheduler is not None
        outputs: list[effects.Effect] = []
        for decision in self._scheduler.decide(now):
            match decision:
                case decisions.Place():
                    outputs += self._place_job(now, decision)
                case decisions.Reclaim(job_id, grace, reason):
                    outputs += self._reclaim_job(now, job_id, grace, reason)
                case decisions.Warn():
                    LOG.warning(
                        'a guarantee cannot be met'
                        if decision.instances
                        else 'a guarantee can be met again',
                        extra=dataclasses.asdict(decision),
                    )
                    outputs.append(
                        effects.Record(
                            f'account.{decision.account}',
                            'guarantee',
                            f'shape {decision.shape}: {decision.instances} '
                            f'instances missing, failed workers '
                            f'{", ".join(decision.failed_workers)}',
                        )
                    )
        wakeup = self._scheduler.next_wakeup(now)
        self._next_decision = float('inf') if wakeup is None else wakeup
        return outputs

    def _place_job(
        self, now: float, place: decisions.Place
    ) -> list[effects.Effect]:
        assert self._scheduler is not None
        tracked = self._tracked_jobs[place.job_id]
        agents_by_worker = {
            state.worker: name for name, state in self._agents.items()
        }
        members = tuple(
            gang_messages.Member(agents_by_worker[worker], indexes)
            for worker, indexes in place.members
        )
        self._attempt_count += 1
        tracked.attempt = (
            f'{place.job_id}.{self._peer.incarnation}.{self._attempt_count}'
        )
        tracked.guaranteed = place.guaranteed
        tracked.stop_reason = ''
        tracked.restored = False
        capacity = (
            'guaranteed shape' if place.guaranteed else 'borrowed capacity'
        )
        worker_names = ', '.join(worker for worker, _ in place.members)
        outputs: list[effects.Effect] = [
            effects.Record(
                place.job_id,
                'placed',
                f'attempt {tracked.attempt} on {worker_names}, {capacity}',
            ),
            _make_job_update(
                tracked.owner, place.job_id, 'placing', worker_names
            ),
        ]
        return outputs + self._process_effects(
            now,
            self._gang_coordinator.place(
                now,
                tracked.attempt,
                tracked.job,
                tracked.owner,
                members,
                self._revision,
                place.guaranteed,
            ),
        )

    def _reclaim_job(
        self, now: float, job_id: str, grace: float, reason: str
    ) -> list[effects.Effect]:
        tracked = self._tracked_jobs.get(job_id)
        if tracked is None:
            return []
        tracked.stop_reason = STOP_REASON_RECLAIM
        return [
            effects.Record(job_id, 'reclaimed', reason),
            _make_job_update(tracked.owner, job_id, 'reclaimed', reason),
            *self._stop_gang(now, tracked, STOP_REASON_RECLAIM, grace),
        ]

    def _stop_gang(
        self, now: float, tracked: _TrackedJob, reason: str, grace: float
    ) -> list[effects.Effect]:
        job_id = tracked.job.id
        if tracked.restored:
            lead = next(
                (
                    gang.lead
                    for state in self._agents.values()
                    for gang in state.gangs
                    if gang.attempt == tracked.attempt
                ),
                '',
            )
            message = gang_messages.StopGang(tracked.attempt, reason, grace)
            self._pending_stops[job_id] = _PendingStop(lead, message, now)
        return self._process_effects(
            now, self._gang_coordinator.stop(now, job_id, reason, grace)
        ) + self._resend_stops(now)

    def _resend_stops(self, now: float) -> list[effects.Effect]:
        outputs: list[effects.Effect] = []
        for job_id, stop in list(self._pending_stops.items()):
            tracked = self._find_tracked_job(job_id, stop.message.attempt)
            if tracked is None:
                del self._pending_stops[job_id]
            elif now >= stop.next_send:
                stop.next_send = now + STOP_RESEND_INTERVAL_S
                outputs.append(effects.Send(stop.lead, stop.message))
        return outputs

    def _process_effects(
        self, now: float, outputs: Iterable[effects.Effect]
    ) -> list[effects.Effect]:
        """Report gang results to the scheduler; return other effects."""
        unhandled: list[effects.Effect] = []
        for output in outputs:
            match output:
                case effects.GangStarted(job_id, attempt):
                    unhandled += self._handle_gang_started(
                        now, job_id, attempt
                    )
                case effects.GangFailed():
                    unhandled += self._handle_gang_failed(now, output)
                case effects.GangEnded():
                    unhandled += self._handle_gang_ended(now, output)
                case _:
                    unhandled.append(output)
        return unhandled

    def _handle_gang_started(
        self, now: float, job_id: str, attempt: str
    ) -> list[effects.Effect]:
        tracked = self._find_tracked_job(job_id, attempt)
        if tracked is None or self._scheduler is None:
            return []
        self._scheduler.started(now, job_id, attempt)
        return [
            effects.Record(job_id, 'started', f'attempt {attempt}'),
            _make_job_update(
                tracked.owner,
                job_id,
                'running',
                RUNNING_REASON_GUARANTEED if tracked.guaranteed else '',
            ),
        ]

    def _handle_gang_failed(
        self, now: float, failed: effects.GangFailed
    ) -> list[effects.Effect]:
        tracked = self._find_tracked_job(failed.job, failed.attempt)
        if tracked is None or self._scheduler is None:
            return []
        workers = tuple(
            self._agents[name].worker
            for name in failed.agents
            if name in self._agents
        )
        tracked.attempt = ''
        tracked.restored = False
        if tracked.stop_reason == STOP_REASON_CANCEL:
            self._finish_job(now, failed.job, decisions.Result.CANCELLED)
        else:
            self._scheduler.placement_failed(
                now, failed.job, failed.reason, workers
            )
        self._next_decision = now
        return [
            effects.Record(
                failed.job,
                'not started',
                f'attempt {failed.attempt}: {failed.reason} '
                f'{", ".join(failed.agents)}',
            )
        ]

    def _handle_gang_ended(
        self, now: float, ended: effects.GangEnded
    ) -> list[effects.Effect]:
        tracked = self._find_tracked_job(ended.job, ended.attempt)
        if tracked is None:
            return []
        match ended.exit_code, tracked.stop_reason:
            case 0, _:
                result = decisions.Result.SUCCEEDED
            case int(), _:
                result = decisions.Result.FAILED
            case None, 'reclaimed':
                result = decisions.Result.CHECKPOINTED
            case None, 'cancelled':
                result = decisions.Result.CANCELLED
            case _:
                result = decisions.Result.LOST
        tracked.attempt = ''
        tracked.restored = False
        self._finish_job(now, ended.job, result)
        return [
            effects.Record(
                ended.job, 'ended', f'attempt {ended.attempt}: {result}'
            )
        ]

    def _finish_job(
        self, now: float, job_id: str, result: decisions.Result
    ) -> None:
        tracked = self._tracked_jobs[job_id]
        if self._scheduler is not None:
            self._scheduler.finished(now, job_id, decisions.Outcome(result))
        self._next_decision = now
        requeued = result is decisions.Result.CHECKPOINTED or (
            result is decisions.Result.LOST and tracked.job.spec.idempotent
        )
        if not requeued:
            del self._tracked_jobs[job_id]

    def _find_tracked_job(
        self, job_id: str, attempt: str
    ) -> _TrackedJob | None:
        tracked = self._tracked_jobs.get(job_id)
        if tracked is None or tracked.attempt != attempt:
            return None
        return tracked

    def _get_job_state(self, tracked: _TrackedJob) -> str:
        return 'running' if tracked.attempt else 'queued'

    def _update_worker(self, now: float, state: messages.AgentState) -> None:
        assert self._scheduler is not None
        if state.draining or not state.healthy:
            self._scheduler.remove_worker(now, state.worker)
        else:
            self._scheduler.set_worker(now, _make_worker(state))
        self._next_decision = now

    def _build_scheduler(self, now: float) -> list[effects.Effect]:
        """Create the scheduler from the reported jobs and running gangs."""
        self._scheduler = schedulers.Scheduler(self._config, self._rng)
        # Draining workers are included until the end of this method, so that
        # the gangs running on them can be restored.
        for state in self._agents.values():
            self._scheduler.set_worker(now, _make_worker(state))
        submitted = list(self._tracked_jobs.values())
        LOG.info(
            'scheduler created from reported jobs and gangs',
            extra={'agents': len(self._agents), 'jobs': len(submitted)},
        )
        running = {
            gang.job: gang
            for state in self._agents.values()
            for gang in state.gangs
            if gang.running
        }
        outputs: list[effects.Effect] = []
        for gang in running.values():
            if gang.job not in self._tracked_jobs:
                # No owner submitted the job of this gang. Its specification
                # is unknown, so it is tracked only while the gang runs.
                tracked = _make_unsubmitted_job(gang, self._agents)
                if self._restore_gang(now, tracked):
                    self._tracked_jobs[gang.job] = tracked
        for tracked in submitted:
            running_gang = running.get(tracked.job.id)
            if running_gang is not None:
                tracked.attempt = running_gang.attempt
            outputs += self._queue_job(now, tracked)
        for state in self._agents.values():
            self._update_worker(now, state)
        return outputs

    def _restore_gang(self, now: float, tracked: _TrackedJob) -> bool:
        assert self._scheduler is not None
        members = []
        guaranteed = False
        for state in self._agents.values():
            for gang in state.gangs:
                if gang.attempt != tracked.attempt:
                    continue
                members.append((state.worker, gang.accelerators))
                guaranteed = gang.guaranteed
        if not members:
            return False
        try:
            self._scheduler.restore(
                now,
                tracked.job,
                tracked.attempt,
                tuple(members),
                guaranteed,
                0.0,
            )
        except ValueError as error:
            LOG.warning(
                'could not restore a running gang',
                extra={'job': tracked.job.id, 'reason': str(error)},
            )
            return False
        tracked.restored = True
        return True

    def _finish_unreported_jobs(self, now: float) -> None:
        """Finish restored jobs whose gang no agent reports any longer.

        The lead agent reports the end of such a gang to the coordinator that
        placed it, and that coordinator is gone.
        """
        if not any(
            tracked.restored for tracked in self._tracked_jobs.values()
        ):
            return
        reported = {
            gang.attempt
            for state in self._agents.values()
            for gang in state.gangs
        }
        for job_id, tracked in list(self._tracked_jobs.items()):
            if not tracked.restored or tracked.attempt in reported:
                continue
            tracked.restored = False
            tracked.attempt = ''
            self._finish_job(now, job_id, decisions.Result.CANCELLED)


def _make_worker(state: messages.AgentState) -> hardware.Worker:
    return hardware.Worker(
        state.worker,
        state.peer.region,
        state.peer.data_centre,
        state.rack,
        state.accelerators,
    )


def _make_unsubmitted_job(
    gang: messages.GangState, agents: dict[str, messages.AgentState]
) -> _TrackedJob:
    count = sum(
        len(other.accelerators)
        for state in agents.values()
        for other in state.gangs
        if other.attempt == gang.attempt
    )
    spec = jobs.JobSpec(
        accelerators=min(count, jobs.MAX_GANG_ACCELERATORS),
        adjacency=hardware.Adjacency.REGION,
        idempotent=False,
    )
    return _TrackedJob(
        jobs.Job(gang.job, gang.account, spec), gang.owner, gang.attempt
    )


def _make_job_update(
    owner: str, job_id: str, state: str, reason: str = ''
) -> effects.Send:
    return effects.Send(owner, gang_messages.JobUpdate(job_id, state, reason))

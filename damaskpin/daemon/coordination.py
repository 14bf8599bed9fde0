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
SETTLE_S = 2.5
# Interval for resending stop requests to gangs that a former coordinator
# placed, because a single message may be lost.
STOP_REPEAT_S = 2.0
REASON_RECLAIM = 'reclaimed'
REASON_CANCEL = 'cancelled'
REASON_GUARANTEED = 'guaranteed shape'


@dataclasses.dataclass(slots=True)
class _Entry:
    """A job that this coordinator has queued or found running.

    :ivar owner: instance id of the entry that owns the job.
    :ivar attempt: id of the current attempt; empty while the job is queued.
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
class _Stop:
    """Stop request for a restored gang, resent until the gang has ended.

    :ivar lead: instance id of the gang's lead agent.
    :ivar next_send: monotonic time of the next resend in seconds.
    """

    lead: str
    message: gang_messages.StopGang
    next_send: float


class Coordination:
    """Queues and places the jobs of one region; does no I/O itself.

    :param peer: identity and addresses of this entry.
    :param config: configuration in force.
    :param rng: random number generator for jitter.
    """

    __slots__ = (
        '_active_since',
        '_agents',
        '_attempts',
        '_config',
        '_entries',
        '_gang',
        '_next_decision',
        '_peer',
        '_revision',
        '_rng',
        '_scheduler',
        '_stops',
    )

    def __init__(
        self, peer: messages.Peer, config: configs.Config, rng: random.Random
    ) -> None:
        self._peer = peer
        self._config = config
        self._revision = 0
        self._rng = rng
        self._gang = gang_coordinator.Coordinator(peer.instance, rng)
        self._scheduler: schedulers.Scheduler | None = None
        self._active_since: float | None = None
        self._agents: dict[str, messages.AgentState] = {}
        self._entries: dict[str, _Entry] = {}
        self._stops: dict[str, _Stop] = {}
        self._attempts = 0
        self._next_decision = 0.0

    def is_active(self) -> bool:
        """Return whether this entry coordinates its region."""
        return self._active_since is not None

    def set_active(self, now: float, active: bool) -> None:
        """Start or stop coordinating the region; clear the job queue.

        Placements in progress are completed in both cases. If two entries
        coordinate the region at once, agents and owners arbitrate.
        """
        if active == self.is_active():
            return
        LOG.info(
            'region coordination started or stopped',
            extra={'region': self._peer.region, 'active': active},
        )
        self._active_since = now if active else None
        self._scheduler = None
        self._entries.clear()
        self._stops.clear()

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
        former = self._agents.get(state.peer.instance)
        self._agents[state.peer.instance] = state
        if self._scheduler is None:
            return
        self._update_worker(now, state)
        if former is not None:
            self._find_ended(now)

    def remove_agent(self, now: float, instance: str) -> list[effects.Effect]:
        """Remove a failed agent and its worker from scheduling."""
        outputs = self._handle(now, self._gang.agent_lost(now, instance))
        state = self._agents.pop(instance, None)
        if state is None or self._scheduler is None:
            return outputs
        self._scheduler.remove_worker(now, state.worker)
        self._next_decision = now
        self._find_ended(now)
        return outputs

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message from a job owner or an agent."""
        match message:
            case gang_messages.SubmitJob():
                return self._submit(now, message)
            case gang_messages.CancelJob(job_id, reason):
                return self._cancel(now, job_id, reason)
        return self._handle(now, self._gang.receive(now, sender, message))

    def tick(self, now: float) -> list[effects.Effect]:
        """Run due timers, resend stop requests and place queued jobs."""
        outputs = self._handle(now, self._gang.tick(now))
        if self._active_since is None:
            return outputs
        if self._scheduler is None:
            if now - self._active_since < SETTLE_S or not self._revision:
                return outputs
            outputs += self._build_scheduler(now)
        outputs += self._repeat_stops(now)
        if now >= self._next_decision:
            outputs += self._decide(now)
        return outputs

    def explain(self, job_id: str) -> list[str]:
        """Return the scheduler's decisions about a job, oldest first."""
        if self._scheduler is None:
            return []
        return self._scheduler.explain(job_id)

    def get_snapshot(self, now: float) -> decisions.Snapshot | None:
        """Return accelerator use and job queue of the region.

        :returns: ``None`` while this entry does not schedule the region.
        """
        if self._scheduler is None:
            return None
        return self._scheduler.get_snapshot(now)

    def _submit(
        self, now: float, message: gang_messages.SubmitJob
    ) -> list[effects.Effect]:
        job = message.job
        if self._active_since is None:
            return []
        known = self._entries.get(job.id)
        if known is not None:
            known.owner = message.owner
            return [_update(message.owner, job.id, self._get_state(known))]
        entry = _Entry(job, message.owner, message.attempt)
        self._entries[job.id] = entry
        if self._scheduler is None:
            return [
                _update(
                    message.owner, job.id, 'queued', 'coordinator is starting'
                )
            ]
        return self._queue(now, entry)

    def _queue(self, now: float, entry: _Entry) -> list[effects.Effect]:
        assert self._scheduler is not None
        job = entry.job
        if entry.attempt and self._restore(now, entry):
            return [_update(entry.owner, job.id, 'running')]
        entry.attempt = ''
        refusal = self._scheduler.submit(now, job)
        if refusal is not None:
            del self._entries[job.id]
            return [
                _update(entry.owner, job.id, 'refused', refusal.reason),
                effects.Record(job.id, 'refused', refusal.reason),
            ]
        self._next_decision = now
        return [
            _update(entry.owner, job.id, 'queued'),
            effects.Record(job.id, 'queued', f'in region {self._peer.region}'),
        ]

    def _cancel(
        self, now: float, job_id: str, reason: str
    ) -> list[effects.Effect]:
        entry = self._entries.get(job_id)
        if entry is None:
            return []
        if self._scheduler is None:
            # Before the first decision only the submission is dropped. If
            # the job has a running gang, its owner stops that gang, and the
            # gang is restored as one whose job was not submitted.
            del self._entries[job_id]
            return []
        if entry.attempt:
            entry.stop_reason = REASON_CANCEL
            return self._stop(now, entry, reason, 0.0)
        self._scheduler.cancel(now, job_id)
        del self._entries[job_id]
        return []

    def _decide(self, now: float) -> list[effects.Effect]:
        assert self._scheduler is not None
        outputs: list[effects.Effect] = []
        for decision in self._scheduler.decide(now):
            match decision:
                case decisions.Place():
                    outputs += self._place(now, decision)
                case decisions.Reclaim(job_id, grace, reason):
                    outputs += self._reclaim(now, job_id, grace, reason)
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

    def _place(
        self, now: float, place: decisions.Place
    ) -> list[effects.Effect]:
        assert self._scheduler is not None
        entry = self._entries[place.job_id]
        by_worker = {
            state.worker: name for name, state in self._agents.items()
        }
        members = tuple(
            gang_messages.Member(by_worker[worker], indexes)
            for worker, indexes in place.members
        )
        self._attempts += 1
        entry.attempt = (
            f'{place.job_id}.{self._peer.incarnation}.{self._attempts}'
        )
        entry.guaranteed = place.guaranteed
        entry.stop_reason = ''
        entry.restored = False
        use = 'guaranteed shape' if place.guaranteed else 'borrowed capacity'
        where = ', '.join(worker for worker, _ in place.members)
        outputs: list[effects.Effect] = [
            effects.Record(
                place.job_id,
                'placed',
                f'attempt {entry.attempt} on {where}, {use}',
            ),
            _update(entry.owner, place.job_id, 'placing', where),
        ]
        return outputs + self._handle(
            now,
            self._gang.place(
                now,
                entry.attempt,
                entry.job,
                entry.owner,
                members,
                self._revision,
                place.guaranteed,
            ),
        )

    def _reclaim(
        self, now: float, job_id: str, grace: float, reason: str
    ) -> list[effects.Effect]:
        entry = self._entries.get(job_id)
        if entry is None:
            return []
        entry.stop_reason = REASON_RECLAIM
        return [
            effects.Record(job_id, 'reclaimed', reason),
            _update(entry.owner, job_id, 'reclaimed', reason),
            *self._stop(now, entry, REASON_RECLAIM, grace),
        ]

    def _stop(
        self, now: float, entry: _Entry, reason: str, grace: float
    ) -> list[effects.Effect]:
        job_id = entry.job.id
        if entry.restored:
            lead = next(
                (
                    gang.lead
                    for state in self._agents.values()
                    for gang in state.gangs
                    if gang.attempt == entry.attempt
                ),
                '',
            )
            message = gang_messages.StopGang(entry.attempt, reason, grace)
            self._stops[job_id] = _Stop(lead, message, now)
        return self._handle(
            now, self._gang.stop(now, job_id, reason, grace)
        ) + self._repeat_stops(now)

    def _repeat_stops(self, now: float) -> list[effects.Effect]:
        outputs: list[effects.Effect] = []
        for job_id, stop in list(self._stops.items()):
            entry = self._get_entry(job_id, stop.message.attempt)
            if entry is None:
                del self._stops[job_id]
            elif now >= stop.next_send:
                stop.next_send = now + STOP_REPEAT_S
                outputs.append(effects.Send(stop.lead, stop.message))
        return outputs

    def _handle(
        self, now: float, outputs: Iterable[effects.Effect]
    ) -> list[effects.Effect]:
        """Report gang results to the scheduler; return other effects."""
        passed: list[effects.Effect] = []
        for output in outputs:
            match output:
                case effects.GangStarted(job_id, attempt):
                    passed += self._note_started(now, job_id, attempt)
                case effects.GangFailed():
                    passed += self._note_failed(now, output)
                case effects.GangEnded():
                    passed += self._note_ended(now, output)
                case _:
                    passed.append(output)
        return passed

    def _note_started(
        self, now: float, job_id: str, attempt: str
    ) -> list[effects.Effect]:
        entry = self._get_entry(job_id, attempt)
        if entry is None or self._scheduler is None:
            return []
        self._scheduler.started(now, job_id, attempt)
        return [
            effects.Record(job_id, 'started', f'attempt {attempt}'),
            _update(
                entry.owner,
                job_id,
                'running',
                REASON_GUARANTEED if entry.guaranteed else '',
            ),
        ]

    def _note_failed(
        self, now: float, failed: effects.GangFailed
    ) -> list[effects.Effect]:
        entry = self._get_entry(failed.job, failed.attempt)
        if entry is None or self._scheduler is None:
            return []
        workers = tuple(
            self._agents[name].worker
            for name in failed.agents
            if name in self._agents
        )
        entry.attempt = ''
        entry.restored = False
        if entry.stop_reason == REASON_CANCEL:
            self._finish(now, failed.job, decisions.Result.CANCELLED)
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

    def _note_ended(
        self, now: float, ended: effects.GangEnded
    ) -> list[effects.Effect]:
        entry = self._get_entry(ended.job, ended.attempt)
        if entry is None:
            return []
        match ended.exit_code, entry.stop_reason:
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
        entry.attempt = ''
        entry.restored = False
        self._finish(now, ended.job, result)
        return [
            effects.Record(
                ended.job, 'ended', f'attempt {ended.attempt}: {result}'
            )
        ]

    def _finish(
        self, now: float, job_id: str, result: decisions.Result
    ) -> None:
        entry = self._entries[job_id]
        if self._scheduler is not None:
            self._scheduler.finished(now, job_id, decisions.Outcome(result))
        self._next_decision = now
        requeued = result is decisions.Result.CHECKPOINTED or (
            result is decisions.Result.LOST and entry.job.spec.idempotent
        )
        if not requeued:
            del self._entries[job_id]

    def _get_entry(self, job_id: str, attempt: str) -> _Entry | None:
        entry = self._entries.get(job_id)
        if entry is None or entry.attempt != attempt:
            return None
        return entry

    def _get_state(self, entry: _Entry) -> str:
        return 'running' if entry.attempt else 'queued'

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
        waiting = list(self._entries.values())
        LOG.info(
            'scheduler created from reported jobs and gangs',
            extra={'agents': len(self._agents), 'jobs': len(waiting)},
        )
        running = {
            gang.job: gang
            for state in self._agents.values()
            for gang in state.gangs
            if gang.running
        }
        outputs: list[effects.Effect] = []
        for gang in running.values():
            if gang.job not in self._entries:
                # No owner submitted the job of this gang. Its specification
                # is unknown, so it is tracked only while the gang runs.
                entry = _make_orphan(gang, self._agents)
                if self._restore(now, entry):
                    self._entries[gang.job] = entry
        for entry in waiting:
            found = running.get(entry.job.id)
            if found is not None:
                entry.attempt = found.attempt
            outputs += self._queue(now, entry)
        for state in self._agents.values():
            self._update_worker(now, state)
        return outputs

    def _restore(self, now: float, entry: _Entry) -> bool:
        assert self._scheduler is not None
        members = []
        guaranteed = False
        for state in self._agents.values():
            for gang in state.gangs:
                if gang.attempt != entry.attempt:
                    continue
                members.append((state.worker, gang.accelerators))
                guaranteed = gang.guaranteed
        if not members:
            return False
        try:
            self._scheduler.restore(
                now,
                entry.job,
                entry.attempt,
                tuple(members),
                guaranteed,
                0.0,
            )
        except ValueError as error:
            LOG.warning(
                'could not restore a running gang',
                extra={'job': entry.job.id, 'reason': str(error)},
            )
            return False
        entry.restored = True
        return True

    def _find_ended(self, now: float) -> None:
        """Finish restored jobs whose gang no agent reports any longer.

        The lead agent reports the end of such a gang to the coordinator that
        placed it, and that coordinator is gone.
        """
        if not any(entry.restored for entry in self._entries.values()):
            return
        reported = {
            gang.attempt
            for state in self._agents.values()
            for gang in state.gangs
        }
        for job_id, entry in list(self._entries.items()):
            if not entry.restored or entry.attempt in reported:
                continue
            entry.restored = False
            entry.attempt = ''
            self._finish(now, job_id, decisions.Result.CANCELLED)


def _make_worker(state: messages.AgentState) -> hardware.Worker:
    return hardware.Worker(
        state.worker,
        state.peer.region,
        state.peer.data_centre,
        state.rack,
        state.accelerators,
    )


def _make_orphan(
    gang: messages.GangState, agents: dict[str, messages.AgentState]
) -> _Entry:
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
    return _Entry(
        jobs.Job(gang.job, gang.account, spec), gang.owner, gang.attempt
    )


def _update(
    owner: str, job_id: str, state: str, reason: str = ''
) -> effects.Send:
    return effects.Send(owner, gang_messages.JobUpdate(job_id, state, reason))

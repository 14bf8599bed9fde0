"""Attempts of one worker: reservations, tasks and led gangs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import lead as leads
from damaskpin.gang import metrics
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

LOG = logging.getLogger(__name__)

QUERY_SECONDS = 0.5
# Renewals come every few seconds, so the leases of stopping tasks last at
# least this long.
MAX_GRACE_SECONDS = 10.0
# Revocations are repeated, because the call to the worker may fail.
REVOKE_SECONDS = 2.0


class Holdings:
    """Attempts of one worker, and the effects that are due.

    :param instance: instance id of the agent.
    :param accelerators: number of accelerators of the worker.
    :param rng: must differ between incarnations.
    :ivar entries: attempts that hold accelerators.
    :ivar gangs: committed gangs that this agent leads.
    :ivar started: when this run of the agent began.
    :ivar adopted: every task on the worker is known.
    """

    __slots__ = (
        '_out',
        'accelerators',
        'adopted',
        'draining',
        'entries',
        'epoch',
        'gangs',
        'instance',
        'revision',
        'rng',
        'started',
        'tombstones',
    )

    def __init__(
        self, instance: str, accelerators: int, rng: random.Random
    ) -> None:
        self.instance = instance
        self.accelerators = accelerators
        self.rng = rng
        # A random origin of the clock in beats: an echo of another
        # incarnation can't be taken for one of this incarnation.
        self.epoch = rng.uniform(1e3, 1e6)
        self.started: float | None = None
        self.adopted = False
        self.draining = False
        self.revision = 0
        self.entries: dict[str, records.Holding] = {}
        self.gangs: dict[str, leads.Gang] = {}
        self.tombstones = records.Tombstones()
        self._out: list[effects.Effect] = []

    def begin(self, now: float) -> None:
        """End what is overdue, before anything is decided.

        A process that was paused finds its reservations and beats old here.
        """
        if self.started is None:
            self.started = now
        for holding in list(self.entries.values()):
            match holding.phase:
                case records.Phase.RESERVED:
                    if now >= holding.expires:
                        fate = records.Fate.RELEASED
                        if self.is_undecided(holding):
                            fate = records.Fate.ABORTED
                        self.close(now, holding, fate, 'expired')
                case records.Phase.STOPPING:
                    if now >= holding.gone_at:
                        self.end_tasks(now, holding, None)
                case _:
                    self._check_tasks(now, holding)
        for gang in self.gangs.values():
            gang.check(now)

    def _check_tasks(self, now: float, holding: records.Holding) -> None:
        led = holding.lead == self.instance
        if not led and now > holding.right_until:
            LOG.warning(
                'stopping %s: lead %s is silent',
                holding.attempt,
                holding.lead,
                extra={'attempt': holding.attempt},
            )
            self.stop_tasks(now, holding, 0.0)
        elif (
            holding.phase is records.Phase.STARTING and now >= holding.start_by
        ):
            LOG.warning(
                'stopping %s: worker did not start it within %s s',
                holding.attempt,
                timing.START_SECONDS,
                extra={'attempt': holding.attempt},
            )
            self.stop_tasks(now, holding, 0.0)

    def repeat(self, now: float, holding: records.Holding) -> None:
        """Send what is due for an attempt."""
        if holding.phase is records.Phase.STOPPING:
            if now >= holding.revoke_at:
                holding.revoke_at = now + REVOKE_SECONDS
                metrics.REVOCATIONS.add(1)
                self._out.append(effects.RevokeTask(holding.attempt))
            return
        if holding.lead == self.instance or now < holding.next_query:
            return
        reserved = holding.phase is records.Phase.RESERVED
        if not reserved and holding.confirmed:
            return
        holding.next_query = now + QUERY_SECONDS
        if not reserved:
            self.send_beat(now, holding)
        self.send(
            holding.lead,
            gang_messages.QueryGang(holding.attempt, holding.token),
        )

    def lead_gang(
        self, now: float, holding: records.Holding, tokens: tuple[str, ...]
    ) -> None:
        """Record that a gang is committed."""
        self.gangs[holding.attempt] = leads.Gang(
            now,
            self.instance,
            holding.attempt,
            holding.job,
            [member.agent for member in holding.members],
            tokens,
            [holding.owner, holding.coordinator],
            self.rng,
        )
        if holding.phase is records.Phase.RUNNING:
            self.gangs[holding.attempt].note_started(now, self.instance, 0.0)

    def start_tasks(
        self, now: float, holding: records.Holding, tokens: tuple[str, ...]
    ) -> None:
        """Ask the worker to start the tasks of an attempt."""
        holding.phase = records.Phase.STARTING
        holding.start_by = now + timing.START_SECONDS
        self._out.append(
            effects.StartTask(
                attempt=holding.attempt,
                accelerators=holding.accelerators,
                command=holding.command,
                lease_seconds=timing.LEASE_SECONDS,
                labels=records.make_labels(holding, tokens),
            )
        )

    def tell_started(self, now: float, holding: records.Holding) -> None:
        """Tell the lead that the tasks run."""
        gang = self.gangs.get(holding.attempt)
        if gang is not None:
            gang.note_started(now, self.instance, 0.0)
            return
        self.send(
            holding.lead,
            gang_messages.MemberStarted(holding.attempt, now + self.epoch),
        )

    def stop_tasks(
        self, now: float, holding: records.Holding, grace: float
    ) -> None:
        """Ask the worker to stop the tasks of an attempt."""
        if holding.phase is records.Phase.STOPPING:
            return
        grace = min(grace, MAX_GRACE_SECONDS)
        holding.phase = records.Phase.STOPPING
        holding.revoke_at = now + grace + timing.STOP_SECONDS
        holding.gone_at = now + holding.lease_limit + timing.SLACK_SECONDS
        self._out.append(effects.StopTask(holding.attempt, grace))

    def end_tasks(
        self, now: float, holding: records.Holding, exit_code: int | None
    ) -> None:
        """Note that the tasks of an attempt do not run any more."""
        stopping = holding.phase is records.Phase.STOPPING
        if exit_code is None or stopping:
            self.close(now, holding, records.Fate.STOPPED, 'stopped')
        else:
            self.close(
                now, holding, records.Fate.FINISHED, 'finished', exit_code
            )

    def close(
        self,
        now: float,
        holding: records.Holding,
        fate: records.Fate,
        reason: str,
        exit_code: int = 0,
    ) -> None:
        """Free the accelerators and tell the lead."""
        attempt = holding.attempt
        del self.entries[attempt]
        self.tombstones.add(
            now,
            attempt,
            holding.job,
            fate,
            reason,
            exit_code,
            holding.token,
        )
        gang = self.gangs.get(attempt)
        if gang is not None:
            if fate is records.Fate.FINISHED:
                gang.note_finished(now, self.instance, exit_code)
            else:
                reason = f'{self.instance}: {reason}'
                gang.note_stopped(now, self.instance, reason)
        elif fate in (records.Fate.STOPPED, records.Fate.FINISHED):
            tombstone = self.tombstones.get(attempt)
            if holding.lead and tombstone is not None:
                self.send_end(holding.lead, attempt, tombstone)

    def send_end(
        self, to: str, attempt: str, tombstone: records.Tombstone
    ) -> None:
        """Tell how an attempt ended here."""
        if tombstone.fate is records.Fate.FINISHED:
            message = gang_messages.MemberFinished(
                attempt, tombstone.exit_code
            )
            self.send(to, message)
        else:
            self.send(to, gang_messages.MemberStopped(attempt))

    def send_beat(self, now: float, holding: records.Holding) -> None:
        """Answer a beat."""
        self.send(
            holding.lead,
            gang_messages.GangBeat(
                holding.attempt, 0.0, reply=True, uptime=now + self.epoch
            ),
        )

    def report_aborted(self, to: str, tombstone: records.Tombstone) -> None:
        """Tell that a gang was not committed."""
        self.send(
            to,
            gang_messages.GangFinished(
                attempt=tombstone.attempt,
                job=tombstone.job,
                committed=False,
                exit_code=None,
                reason=tombstone.reason,
                token=tombstone.token,
            ),
        )

    def forget(self, gang: leads.Gang) -> None:
        """Drop the record of a gang that has ended."""
        if gang.decision is leads.Decision.ENDED:
            del self.gangs[gang.attempt]

    def is_undecided(self, holding: records.Holding) -> bool:
        """Tell whether this agent has yet to decide on a gang."""
        reserved = holding.phase is records.Phase.RESERVED
        return reserved and holding.lead == self.instance

    def knows_all(self, now: float) -> bool:
        """Tell whether no task of a former run can be unknown."""
        if self.adopted or self.started is None:
            return self.adopted
        return now >= self.started + timing.MAX_LEASE_SECONDS

    def send(self, to: str, message: messages.Message) -> None:
        """Queue a message."""
        self._out.append(effects.Send(to, message))

    def flush(self, now: float) -> list[effects.Effect]:
        """Return the effects that are due."""
        for gang in self.gangs.values():
            self._out.extend(gang.tick(now))
            holding = self.entries.get(gang.attempt)
            if holding and gang.decision is leads.Decision.ENDING:
                self.stop_tasks(now, holding, gang.grace)
        out, self._out = self._out, []
        return out

"""Agent side of gangs: reservations, tasks and the decisions of leads."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin.gang import answers
from damaskpin.gang import holdings
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

    from damaskpin import effects

LOG = logging.getLogger(__name__)

MAX_GANGS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Leave to renew the leases of an attempt.

    :ivar lease_seconds: lease while the agent runs.
    :ivar max_lease_seconds: lease that a stopping agent may leave behind.
    """

    attempt: str
    lease_seconds: float
    max_lease_seconds: float


class Member:
    """Gang members on one worker, and the gangs that this agent leads.

    Nothing is reserved, and nothing is said about attempts of former runs,
    until ``adoption_done`` or until the leases of former runs have ended.

    :param instance: instance id of the agent.
    :param accelerators: number of accelerators of the worker.
    :param rng: must differ between incarnations.
    """

    __slots__ = ('_held',)

    def __init__(
        self, instance: str, accelerators: int, rng: random.Random
    ) -> None:
        self._held = holdings.Holdings(instance, accelerators, rng)

    def adopt(
        self,
        now: float,
        attempt: str,
        labels: dict[str, str],
        accelerators: tuple[int, ...],
    ) -> list[effects.Effect]:
        """Take over tasks that a former run of the agent started.

        Called for all tasks on the worker before any message is handled.

        :param now: monotonic seconds.
        :param labels: labels of the tasks.
        :param accelerators: indexes of the accelerators that they hold.
        """
        self._held.begin(now)
        if attempt in self._held.entries:
            return self._held.flush(now)
        parsed = records.parse_labels(attempt, labels, accelerators)
        if parsed is None:
            LOG.warning('stopping tasks of %s: incomplete labels', attempt)
            holding = _make_orphan(attempt, accelerators)
            self._held.entries[attempt] = holding
            self._held.stop_tasks(now, holding, 0.0)
            return self._held.flush(now)
        holding, tokens = parsed
        self._held.entries[attempt] = holding
        holding.lease_limit = timing.MAX_LEASE_SECONDS
        holding.right_until = now + timing.LEASE_SECONDS
        holding.confirmed = holding.lead == self._held.instance
        if holding.confirmed:
            self._held.lead_gang(now, holding, tokens)
        return self._held.flush(now)

    def adoption_done(self, now: float) -> list[effects.Effect]:
        """Note that every task on the worker was passed to ``adopt``."""
        self._held.begin(now)
        self._held.adopted = True
        return self._held.flush(now)

    def task_started(self, now: float, attempt: str) -> list[effects.Effect]:
        """Note that the worker runs the tasks of an attempt."""
        self._held.begin(now)
        holding = self._held.entries.get(attempt)
        if holding and holding.phase is records.Phase.STARTING:
            holding.phase = records.Phase.RUNNING
            self._held.tell_started(now, holding)
        return self._held.flush(now)

    def task_refused(
        self, now: float, attempt: str, reason: str
    ) -> list[effects.Effect]:
        """Note that the worker did not start the tasks and won't."""
        self._held.begin(now)
        holding = self._held.entries.get(attempt)
        if holding is not None:
            self._held.close(now, holding, records.Fate.STOPPED, reason)
        return self._held.flush(now)

    def task_ended(
        self, now: float, attempt: str, exit_code: int | None
    ) -> list[effects.Effect]:
        """Note that the tasks of an attempt ended.

        :param exit_code: largest exit code; ``None`` when they were stopped
            or their leases ended.
        """
        self._held.begin(now)
        holding = self._held.entries.get(attempt)
        if holding is not None:
            self._held.end_tasks(now, holding, exit_code)
        return self._held.flush(now)

    def set_revision(self, now: float, revision: int) -> list[effects.Effect]:
        """Refuse reservations that were decided under older revisions."""
        self._held.begin(now)
        self._held.revision = max(self._held.revision, revision)
        return self._held.flush(now)

    def drain(self, now: float) -> list[effects.Effect]:
        """Refuse new work; what runs goes on."""
        self._held.begin(now)
        self._held.draining = True
        for holding in list(self._held.entries.values()):
            if self._held.is_undecided(holding):
                self._held.close(
                    now, holding, records.Fate.ABORTED, 'draining'
                )
        return self._held.flush(now)

    def list_gangs(self) -> tuple[messages.GangState, ...]:
        """Return what holds accelerators of this worker."""
        return tuple(
            messages.GangState(
                attempt=holding.attempt,
                job=holding.job,
                account=holding.account,
                accelerators=holding.accelerators,
                lead=holding.lead,
                running=holding.phase is not records.Phase.RESERVED,
                guaranteed=holding.guaranteed,
                owner=holding.owner,
            )
            for holding in self._held.entries.values()
        )

    def list_leases(self, now: float) -> tuple[Renewal, ...]:
        """Return the attempts whose leases may be renewed at this moment."""
        renewals = []
        for holding in self._held.entries.values():
            limit = timing.MAX_LEASE_SECONDS
            if holding.phase not in (
                records.Phase.STARTING,
                records.Phase.RUNNING,
            ):
                continue
            if holding.lead != self._held.instance:
                left = holding.right_until - now
                if not holding.confirmed or left < 0:
                    continue
                limit = min(limit, left + timing.LEASE_SECONDS)
            renewals.append(
                Renewal(holding.attempt, timing.LEASE_SECONDS, limit)
            )
        return tuple(renewals)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        self._held.begin(now)
        attempt = getattr(message, 'attempt', '')
        gang = self._held.gangs.get(attempt)
        match message:
            case gang_messages.Reserve():
                answers.reserve(self._held, now, sender, message)
            case gang_messages.Commit():
                answers.commit(self._held, now, sender, message)
            case gang_messages.StartMember():
                answers.start_member(self._held, now, sender, message)
            case gang_messages.QueryGang():
                answers.answer_query(self._held, now, sender, message)
            case gang_messages.GangStatus():
                answers.learn_decision(self._held, now, sender, message)
            case gang_messages.GangBeat(reply=False):
                answers.answer_beat(self._held, now, sender, message)
            case gang_messages.GangBeat():
                answers.note_beat(self._held, now, sender, message)
            case gang_messages.StopGang():
                answers.stop(self._held, now, sender, message)
            case gang_messages.MemberStarted() if gang:
                gang.note_started(now, sender, message.uptime)
            case gang_messages.MemberRefused() if gang:
                reason = f'{sender} refused: {message.reason}'
                gang.note_stopped(now, sender, reason)
            case gang_messages.MemberStopped() if gang:
                gang.note_stopped(now, sender, f'{sender} stopped')
            case gang_messages.MemberFinished() if gang:
                gang.note_finished(now, sender, message.exit_code)
            case gang_messages.GangFinishedAck() if gang:
                gang.acknowledge(sender)
        return self._held.flush(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Send what is due and end what is overdue."""
        self._held.begin(now)
        for holding in list(self._held.entries.values()):
            self._held.repeat(now, holding)
        self._held.tombstones.expire(now)
        for gang in list(self._held.gangs.values()):
            if gang.is_expired(now) or len(self._held.gangs) > MAX_GANGS:
                self._held.forget(gang)
        return self._held.flush(now)


def _make_orphan(
    attempt: str, accelerators: tuple[int, ...]
) -> records.Holding:
    return records.Holding(
        attempt=attempt,
        job='',
        account='',
        owner='',
        accelerators=accelerators,
        lead='',
        members=(),
        coordinator='',
        guaranteed=False,
        command=(),
        token='',
        phase=records.Phase.RUNNING,
        lease_limit=timing.MAX_LEASE_SECONDS,
    )

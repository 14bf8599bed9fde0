"""Agent side of gangs: reservations, tasks and the decisions of leads."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import lead as leads
from damaskpin.gang import records
from damaskpin.gang import timing
from damaskpin.peer import messages

if TYPE_CHECKING:
    import random

LOG = logging.getLogger(__name__)

QUERY_SECONDS = 0.5
MAX_GANGS = 1024
# Renewals come every few seconds, so the leases of stopping tasks last at
# least this long.
MAX_GRACE_SECONDS = 10.0
# Revocations are repeated, because the call to the worker may fail.
REVOKE_SECONDS = 2.0


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

    __slots__ = (
        '_accelerators',
        '_adopted',
        '_draining',
        '_epoch',
        '_gangs',
        '_holdings',
        '_instance',
        '_out',
        '_revision',
        '_rng',
        '_started',
        '_tombstones',
    )

    def __init__(
        self, instance: str, accelerators: int, rng: random.Random
    ) -> None:
        self._instance = instance
        self._accelerators = accelerators
        self._rng = rng
        # A random origin of the clock in beats: an echo of another
        # incarnation can't be taken for one of this incarnation.
        self._epoch = rng.uniform(1e3, 1e6)
        self._started: float | None = None
        self._adopted = False
        self._draining = False
        self._revision = 0
        self._holdings: dict[str, records.Holding] = {}
        self._gangs: dict[str, leads.Gang] = {}
        self._tombstones = records.Tombstones()
        self._out: list[effects.Effect] = []

    # Inputs from the daemon

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
        self._begin(now)
        if attempt in self._holdings:
            return self._flush(now)
        parsed = records.parse_labels(attempt, labels, accelerators)
        if parsed is None:
            LOG.warning('stopping tasks of %s: incomplete labels', attempt)
            holding = _make_orphan(attempt, accelerators)
            self._holdings[attempt] = holding
            self._stop_tasks(now, holding, 0.0)
            return self._flush(now)
        holding, tokens = parsed
        self._holdings[attempt] = holding
        holding.lease_limit = timing.MAX_LEASE_SECONDS
        holding.right_until = now + timing.LEASE_SECONDS
        holding.confirmed = holding.lead == self._instance
        if holding.confirmed:
            self._lead(now, holding, tokens)
        return self._flush(now)

    def adoption_done(self, now: float) -> list[effects.Effect]:
        """Note that every task on the worker was passed to ``adopt``."""
        self._begin(now)
        self._adopted = True
        return self._flush(now)

    def task_started(self, now: float, attempt: str) -> list[effects.Effect]:
        """Note that the worker runs the tasks of an attempt."""
        self._begin(now)
        holding = self._holdings.get(attempt)
        if holding and holding.phase is records.Phase.STARTING:
            holding.phase = records.Phase.RUNNING
            self._tell_started(now, holding)
        return self._flush(now)

    def task_refused(
        self, now: float, attempt: str, reason: str
    ) -> list[effects.Effect]:
        """Note that the worker did not start the tasks and won't."""
        self._begin(now)
        holding = self._holdings.get(attempt)
        if holding is not None:
            self._close(now, holding, records.Fate.STOPPED, reason)
        return self._flush(now)

    def task_ended(
        self, now: float, attempt: str, exit_code: int | None
    ) -> list[effects.Effect]:
        """Note that the tasks of an attempt ended.

        :param exit_code: largest exit code; ``None`` when they were stopped
            or their leases ended.
        """
        self._begin(now)
        holding = self._holdings.get(attempt)
        if holding is not None:
            self._end_tasks(now, holding, exit_code)
        return self._flush(now)

    def set_revision(self, now: float, revision: int) -> list[effects.Effect]:
        """Refuse reservations that were decided under older revisions."""
        self._begin(now)
        self._revision = max(self._revision, revision)
        return self._flush(now)

    def drain(self, now: float) -> list[effects.Effect]:
        """Refuse new work; what runs goes on."""
        self._begin(now)
        self._draining = True
        for holding in list(self._holdings.values()):
            if self._is_undecided(holding):
                self._close(now, holding, records.Fate.ABORTED, 'draining')
        return self._flush(now)

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
            for holding in self._holdings.values()
        )

    def list_leases(self, now: float) -> tuple[Renewal, ...]:
        """Return the attempts whose leases may be renewed at this moment."""
        renewals = []
        for holding in self._holdings.values():
            limit = timing.MAX_LEASE_SECONDS
            if holding.phase not in (
                records.Phase.STARTING,
                records.Phase.RUNNING,
            ):
                continue
            if holding.lead != self._instance:
                left = holding.right_until - now
                if not holding.confirmed or left < 0:
                    continue
                limit = min(limit, left + timing.LEASE_SECONDS)
            renewals.append(
                Renewal(holding.attempt, timing.LEASE_SECONDS, limit)
            )
        return tuple(renewals)

    # Messages and time

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message.

        :param now: monotonic seconds.
        :param sender: instance id of the sender.
        """
        self._begin(now)
        attempt = getattr(message, 'attempt', '')
        gang = self._gangs.get(attempt)
        match message:
            case messages.Reserve():
                self._reserve(now, sender, message)
            case messages.Commit():
                self._commit(now, sender, message)
            case messages.StartMember():
                self._start_member(now, sender, message)
            case messages.QueryGang():
                self._answer_query(now, sender, message)
            case messages.GangStatus():
                self._learn_decision(now, sender, message)
            case messages.GangBeat(reply=False):
                self._answer_beat(now, sender, message)
            case messages.GangBeat():
                self._note_beat(now, sender, message)
            case messages.StopGang():
                self._stop(now, sender, message)
            case messages.MemberStarted() if gang:
                gang.note_started(now, sender, message.uptime)
            case messages.MemberRefused() if gang:
                reason = f'{sender} refused: {message.reason}'
                gang.note_stopped(now, sender, reason)
            case messages.MemberStopped() if gang:
                gang.note_stopped(now, sender, f'{sender} stopped')
            case messages.MemberFinished() if gang:
                gang.note_finished(now, sender, message.exit_code)
            case messages.GangFinishedAck() if gang:
                gang.acknowledge(sender)
        return self._flush(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Send what is due and end what is overdue."""
        self._begin(now)
        for holding in list(self._holdings.values()):
            self._repeat(now, holding)
        self._tombstones.expire(now)
        for gang in list(self._gangs.values()):
            if gang.is_expired(now) or len(self._gangs) > MAX_GANGS:
                self._forget(gang)
        return self._flush(now)

    # Reservations

    def _reserve(
        self, now: float, sender: str, message: messages.Reserve
    ) -> None:
        known = self._holdings.get(message.attempt)
        if known is not None:
            if known.phase is records.Phase.RESERVED:
                self._send(
                    sender, messages.Reserved(message.attempt, known.token)
                )
            return
        reason = self._check_reserve(now, message)
        if reason:
            self._send(
                sender,
                messages.ReserveRefused(
                    message.attempt, reason, self._revision
                ),
            )
            return
        self._revision = max(self._revision, message.revision)
        holding = records.Holding(
            attempt=message.attempt,
            job=message.job,
            account=message.account,
            owner=message.owner,
            accelerators=message.accelerators,
            lead=message.lead,
            members=message.members,
            coordinator=sender,
            guaranteed=message.guaranteed,
            command=message.command,
            token=f'{self._rng.getrandbits(48):012x}',
            phase=records.Phase.RESERVED,
            reserved=now,
            expires=now + message.ttl,
            next_query=now + message.ttl / 2,
            # The start message brings the interval of the gang.
            right_until=now
            + timing.compute_member_patience(timing.MIN_BEAT_SECONDS),
        )
        self._holdings[message.attempt] = holding
        self._send(sender, messages.Reserved(message.attempt, holding.token))

    def _check_reserve(self, now: float, message: messages.Reserve) -> str:
        wanted = set(message.accelerators)
        if message.attempt in self._gangs:
            return 'closed'
        if self._tombstones.get(message.attempt) is not None:
            return 'closed'
        if self._draining:
            return 'draining'
        if message.revision < self._revision:
            return 'stale-revision'
        if not self._knows_all(now):
            return 'unhealthy'
        if not wanted or not wanted <= set(range(self._accelerators)):
            return 'unhealthy'
        for holding in self._holdings.values():
            if wanted.intersection(holding.accelerators):
                return 'taken'
        return ''

    def _commit(
        self, now: float, sender: str, message: messages.Commit
    ) -> None:
        attempt = message.attempt
        gang = self._gangs.get(attempt)
        if gang is not None:
            self._send(sender, messages.Committed(attempt))
            gang.add_watcher(sender)
            return
        holding = self._holdings.get(attempt)
        if holding is None or not self._is_undecided(holding):
            self._answer_closed(now, sender, message)
            return
        agents = [member.agent for member in holding.members]
        own = agents.index(self._instance)
        if len(message.tokens) != len(agents) or (
            message.tokens[own] != holding.token
        ):
            # The commit belongs to the reservation of another incarnation,
            # which may have started it.
            self._send(sender, messages.GangStatus(attempt, 'unknown'))
            return
        if now + timing.COMMIT_MARGIN_SECONDS > holding.expires:
            self._close(now, holding, records.Fate.ABORTED, 'expired')
            self._answer_closed(now, sender, message)
            return
        self._lead(now, holding, message.tokens)
        self._start_tasks(now, holding, message.tokens)
        self._send(sender, messages.Committed(attempt))

    def _answer_closed(
        self, now: float, sender: str, message: messages.Commit
    ) -> None:
        """Answer a commit of an attempt that this agent does not hold.

        It refuses for good only the reservation that the commit names: an
        earlier incarnation may have committed another one.
        """
        attempt = message.attempt
        tombstone = self._tombstones.get(attempt)
        aborted = tombstone and tombstone.fate is records.Fate.ABORTED
        if tombstone and aborted and tombstone.token in message.tokens:
            self._send(
                sender, messages.CommitRefused(attempt, tombstone.reason)
            )
        elif self._knows_all(now):
            self._send(sender, messages.GangStatus(attempt, 'unknown'))

    def _lead(
        self, now: float, holding: records.Holding, tokens: tuple[str, ...]
    ) -> None:
        self._gangs[holding.attempt] = leads.Gang(
            now,
            self._instance,
            holding.attempt,
            holding.job,
            [member.agent for member in holding.members],
            tokens,
            [holding.owner, holding.coordinator],
            self._rng,
        )
        if holding.phase is records.Phase.RUNNING:
            self._gangs[holding.attempt].note_started(now, self._instance, 0.0)

    # Tasks of a member

    def _start_member(
        self, now: float, sender: str, message: messages.StartMember
    ) -> None:
        attempt = message.attempt
        holding = self._holdings.get(attempt)
        if holding is None:
            tombstone = self._tombstones.get(attempt)
            if tombstone and tombstone.fate is records.Fate.FINISHED:
                self._send_end(sender, attempt, tombstone)
            elif tombstone is not None:
                self._send(sender, messages.MemberRefused(attempt, 'closed'))
            elif self._knows_all(now):
                self._tombstones.add(now, attempt, '', records.Fate.CLOSED)
                self._send(sender, messages.MemberRefused(attempt, 'unknown'))
        elif holding.token != message.token:
            if holding.phase is records.Phase.RESERVED:
                self._send(sender, messages.MemberRefused(attempt, 'unknown'))
        else:
            if holding.confirmed:
                right = holding.reserved + timing.compute_member_patience(
                    message.interval
                )
                holding.right_until = max(holding.right_until, right)
            if holding.phase is records.Phase.RESERVED:
                self._start_tasks(now, holding, ())
            elif holding.phase is records.Phase.RUNNING:
                self._tell_started(now, holding)

    def _start_tasks(
        self, now: float, holding: records.Holding, tokens: tuple[str, ...]
    ) -> None:
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

    def _tell_started(self, now: float, holding: records.Holding) -> None:
        gang = self._gangs.get(holding.attempt)
        if gang is not None:
            gang.note_started(now, self._instance, 0.0)
            return
        self._send(
            holding.lead,
            messages.MemberStarted(holding.attempt, now + self._epoch),
        )

    def _stop_tasks(
        self, now: float, holding: records.Holding, grace: float
    ) -> None:
        if holding.phase is records.Phase.STOPPING:
            return
        grace = min(grace, MAX_GRACE_SECONDS)
        holding.phase = records.Phase.STOPPING
        holding.revoke_at = now + grace + timing.STOP_SECONDS
        holding.gone_at = now + holding.lease_limit + timing.SLACK_SECONDS
        self._out.append(effects.StopTask(holding.attempt, grace))

    def _end_tasks(
        self, now: float, holding: records.Holding, exit_code: int | None
    ) -> None:
        stopping = holding.phase is records.Phase.STOPPING
        if exit_code is None or stopping:
            self._close(now, holding, records.Fate.STOPPED, 'stopped')
        else:
            self._close(
                now, holding, records.Fate.FINISHED, 'finished', exit_code
            )

    def _close(
        self,
        now: float,
        holding: records.Holding,
        fate: records.Fate,
        reason: str,
        exit_code: int = 0,
    ) -> None:
        """Free the accelerators and tell the lead."""
        attempt = holding.attempt
        del self._holdings[attempt]
        self._tombstones.add(
            now,
            attempt,
            holding.job,
            fate,
            reason,
            exit_code,
            holding.token,
        )
        gang = self._gangs.get(attempt)
        if gang is not None:
            if fate is records.Fate.FINISHED:
                gang.note_finished(now, self._instance, exit_code)
            else:
                reason = f'{self._instance}: {reason}'
                gang.note_stopped(now, self._instance, reason)
        elif fate in (records.Fate.STOPPED, records.Fate.FINISHED):
            tombstone = self._tombstones.get(attempt)
            if holding.lead and tombstone is not None:
                self._send_end(holding.lead, attempt, tombstone)

    def _send_end(
        self, to: str, attempt: str, tombstone: records.Tombstone
    ) -> None:
        if tombstone.fate is records.Fate.FINISHED:
            message = messages.MemberFinished(attempt, tombstone.exit_code)
            self._send(to, message)
        else:
            self._send(to, messages.MemberStopped(attempt))

    # Decisions and beats

    def _answer_query(
        self, now: float, sender: str, message: messages.QueryGang
    ) -> None:
        attempt = message.attempt
        gang = self._gangs.get(attempt)
        holding = self._holdings.get(attempt)
        tombstone = self._tombstones.get(attempt)
        state = 'unknown'
        if gang is not None:
            state = self._answer_for_gang(gang, sender, message.token)
        elif holding is not None:
            if not self._is_undecided(holding):
                return
            state = 'undecided'
        elif tombstone and tombstone.fate is records.Fate.ABORTED:
            self._report_aborted(sender, tombstone)
            state = 'ended'
        elif not self._knows_all(now):
            return
        else:
            # A reservation that is still under way must not be granted once
            # somebody has acted on this answer.
            self._tombstones.add(now, attempt, '', records.Fate.CLOSED)
        self._send(sender, messages.GangStatus(attempt, state, message.token))

    def _answer_for_gang(
        self, gang: leads.Gang, sender: str, token: str
    ) -> str:
        committed = gang.decision is leads.Decision.COMMITTED
        if not gang.has_member(sender) or not token:
            gang.add_watcher(sender)
            ended = gang.decision is leads.Decision.ENDED
            return 'ended' if ended else 'committed'
        if not gang.check_token(sender, token):
            return 'unknown'
        if committed:
            self._send(sender, gang.make_beat(sender))
        return 'committed' if committed else 'ended'

    def _learn_decision(
        self, now: float, sender: str, message: messages.GangStatus
    ) -> None:
        holding = self._holdings.get(message.attempt)
        if holding is None or holding.lead != sender:
            return
        if sender == self._instance:
            return
        reserved = holding.phase is records.Phase.RESERVED
        match message.state:
            case 'committed':
                if reserved and message.token == holding.token:
                    self._start_tasks(now, holding, ())
            case 'ended' | 'unknown':
                if reserved:
                    self._close(
                        now, holding, records.Fate.RELEASED, message.state
                    )
                else:
                    self._stop_tasks(now, holding, 0.0)

    def _answer_beat(
        self, now: float, sender: str, message: messages.GangBeat
    ) -> None:
        attempt = message.attempt
        holding = self._holdings.get(attempt)
        if holding is None:
            tombstone = self._tombstones.get(attempt)
            if tombstone is not None:
                self._send_end(sender, attempt, tombstone)
            elif self._knows_all(now):
                self._send(sender, messages.MemberStopped(attempt))
            return
        if holding.lead != sender or holding.phase not in (
            records.Phase.STARTING,
            records.Phase.RUNNING,
        ):
            return
        answered = message.uptime - self._epoch
        if self._started is not None and self._started <= answered <= now:
            right = answered + timing.compute_member_patience(message.interval)
            holding.right_until = max(holding.right_until, right)
            holding.confirmed = True
        if holding.phase is records.Phase.RUNNING:
            self._send_beat(now, holding)

    def _note_beat(
        self, now: float, sender: str, message: messages.GangBeat
    ) -> None:
        gang = self._gangs.get(message.attempt)
        if gang is not None:
            if gang.decision is leads.Decision.COMMITTED:
                gang.note_beat(now, sender, message.uptime)
            return
        if message.attempt in self._holdings:
            return
        if self._knows_all(now):
            self._send(sender, messages.GangStatus(message.attempt, 'unknown'))

    def _send_beat(self, now: float, holding: records.Holding) -> None:
        self._send(
            holding.lead,
            messages.GangBeat(
                holding.attempt, 0.0, reply=True, uptime=now + self._epoch
            ),
        )

    # End

    def _stop(
        self, now: float, sender: str, message: messages.StopGang
    ) -> None:
        attempt = message.attempt
        gang = self._gangs.get(attempt)
        if gang is not None:
            gang.add_watcher(sender)
            gang.end(now, message.reason, message.grace)
            return
        holding = self._holdings.get(attempt)
        if holding is not None:
            if holding.phase is not records.Phase.RESERVED:
                self._stop_tasks(now, holding, message.grace)
                return
            fate = records.Fate.RELEASED
            if self._is_undecided(holding):
                fate = records.Fate.ABORTED
            self._close(now, holding, fate, message.reason)
        elif not self._knows_all(now):
            return
        self._tombstones.add(now, attempt, '', records.Fate.CLOSED)
        tombstone = self._tombstones.get(attempt)
        if tombstone is None:
            return
        self._send_end(sender, attempt, tombstone)
        if tombstone.fate is records.Fate.ABORTED:
            self._report_aborted(sender, tombstone)
        elif tombstone.fate is records.Fate.CLOSED:
            self._send(sender, messages.GangStatus(attempt, 'unknown'))

    def _report_aborted(self, to: str, tombstone: records.Tombstone) -> None:
        self._send(
            to,
            messages.GangFinished(
                attempt=tombstone.attempt,
                job=tombstone.job,
                committed=False,
                exit_code=None,
                reason=tombstone.reason,
                token=tombstone.token,
            ),
        )

    # Time

    def _begin(self, now: float) -> None:
        """End what is overdue, before anything is decided.

        A process that was paused finds its reservations and beats old here.
        """
        if self._started is None:
            self._started = now
        for holding in list(self._holdings.values()):
            match holding.phase:
                case records.Phase.RESERVED:
                    if now >= holding.expires:
                        fate = records.Fate.RELEASED
                        if self._is_undecided(holding):
                            fate = records.Fate.ABORTED
                        self._close(now, holding, fate, 'expired')
                case records.Phase.STOPPING:
                    if now >= holding.gone_at:
                        self._end_tasks(now, holding, None)
                case _:
                    self._check_tasks(now, holding)
        for gang in self._gangs.values():
            gang.check(now)

    def _check_tasks(self, now: float, holding: records.Holding) -> None:
        led = holding.lead == self._instance
        if not led and now > holding.right_until:
            LOG.warning('stopping %s: lead is silent', holding.attempt)
            self._stop_tasks(now, holding, 0.0)
        elif (
            holding.phase is records.Phase.STARTING and now >= holding.start_by
        ):
            LOG.warning('stopping %s: worker is silent', holding.attempt)
            self._stop_tasks(now, holding, 0.0)

    def _repeat(self, now: float, holding: records.Holding) -> None:
        if holding.phase is records.Phase.STOPPING:
            if now >= holding.revoke_at:
                holding.revoke_at = now + REVOKE_SECONDS
                self._out.append(effects.RevokeTask(holding.attempt))
            return
        if holding.lead == self._instance or now < holding.next_query:
            return
        reserved = holding.phase is records.Phase.RESERVED
        if not reserved and holding.confirmed:
            return
        holding.next_query = now + QUERY_SECONDS
        if not reserved:
            self._send_beat(now, holding)
        self._send(
            holding.lead, messages.QueryGang(holding.attempt, holding.token)
        )

    def _forget(self, gang: leads.Gang) -> None:
        if gang.decision is leads.Decision.ENDED:
            del self._gangs[gang.attempt]

    def _is_undecided(self, holding: records.Holding) -> bool:
        reserved = holding.phase is records.Phase.RESERVED
        return reserved and holding.lead == self._instance

    def _knows_all(self, now: float) -> bool:
        """Tell whether no task of a former run can be unknown."""
        if self._adopted or self._started is None:
            return self._adopted
        return now >= self._started + timing.MAX_LEASE_SECONDS

    def _send(self, to: str, message: messages.Message) -> None:
        self._out.append(effects.Send(to, message))

    def _flush(self, now: float) -> list[effects.Effect]:
        for gang in self._gangs.values():
            self._out.extend(gang.tick(now))
            holding = self._holdings.get(gang.attempt)
            if holding and gang.decision is leads.Decision.ENDING:
                self._stop_tasks(now, holding, gang.grace)
        # A gang of one may end together with its own tasks.
        out, self._out = self._out, []
        return out


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

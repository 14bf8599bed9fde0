"""Decision record of a committed gang, kept by the agent of its lead.

The lead is the first member of a gang. It starts and monitors the others.
"""

from __future__ import annotations

import dataclasses
import enum
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.gang import metrics
from damaskpin.gang import timing
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

LOG = logging.getLogger(__name__)

REPEAT_INTERVAL_SECONDS = 0.5
MAX_REPEAT_INTERVAL_SECONDS = 5.0
MAX_REPORT_INTERVAL_SECONDS = 30.0
# Retention time of an ended gang if a receiver of the report, such as the
# owner, has not acknowledged the end. A network partition between the receiver
# and the lead may last for minutes.
UNACKNOWLEDGED_RETENTION_SECONDS = 3600.0


class Decision(enum.Enum):
    """Phase of a committed gang."""

    COMMITTED = 'committed'
    ENDING = 'ending'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """State of a gang member as its lead knows it.

    :ivar agent: instance id of the member's agent.
    :ivar token: token of the member's reservation.
    :ivar last_message_at: time of the member's last message, monotonic
        seconds.
    :ivar started: whether the member's tasks have started.
    :ivar ended: whether no task of the member runs or can start any more.
    :ivar exit_code: largest exit code of the member's tasks; ``None`` until
        all of them have exited by themselves.
    :ivar uptime: clock of the member in its last reply, seconds.
    :ivar next_send_at: when the next message to the member is due, monotonic
        seconds.
    :ivar repeat_delay: seconds until an unanswered message is repeated.
    """

    agent: str
    token: str
    last_message_at: float
    started: bool = False
    ended: bool = False
    exit_code: int | None = None
    uptime: float = 0.0
    next_send_at: float = 0.0
    repeat_delay: float = REPEAT_INTERVAL_SECONDS


@dataclasses.dataclass(slots=True)
class _Watcher:
    """State of reporting the gang's end to one instance.

    :ivar next_send_at: when the report is sent next, monotonic seconds.
    :ivar repeat_delay: seconds until an unacknowledged report is repeated.
    :ivar acknowledged: whether the instance acknowledged the report.
    """

    next_send_at: float = 0.0
    repeat_delay: float = REPEAT_INTERVAL_SECONDS
    acknowledged: bool = False


class Gang:
    """Starts a committed gang, monitors its members and reports its end.

    :param now: time of the commit, or of the adoption by a restarted agent,
        monotonic seconds.
    :param instance: instance id of the lead.
    :param members: agents of the members; the first is the lead.
    :param tokens: reservation tokens, in the order of the members.
    :param watchers: instances that receive the report of the gang's end.
    :ivar decision: whether the gang is committed, ending or ended.
    :ivar interval: seconds between heartbeats to a member.
    :ivar reason: why the gang ends; empty until then.
    """

    __slots__ = (
        '_ended_at',
        '_failed_exit_code',
        '_grace',
        '_instance',
        '_members',
        '_rng',
        '_start_deadline',
        '_watchers',
        'attempt',
        'decision',
        'interval',
        'job',
        'reason',
    )

    def __init__(
        self,
        now: float,
        instance: str,
        attempt: str,
        job: str,
        members: Sequence[str],
        tokens: Sequence[str],
        watchers: Sequence[str],
        rng: random.Random,
    ) -> None:
        self.attempt = attempt
        self.job = job
        self.decision = Decision.COMMITTED
        self.reason = ''
        self.interval = timing.compute_heartbeat_interval(len(members))
        self._instance = instance
        self._rng = rng
        self._members = {
            agent: MemberStatus(agent, token, now)
            for agent, token in zip(members, tokens, strict=True)
        }
        self._watchers = {name: _Watcher() for name in watchers if name}
        self._grace = 0.0
        self._failed_exit_code: int | None = None
        self._start_deadline = now + timing.START_TIMEOUT_SECONDS
        self._ended_at = 0.0

    @property
    def grace(self) -> float:
        """Seconds that the tasks of an ending gang have for a checkpoint."""
        return self._grace

    def has_member(self, agent: str) -> bool:
        """Return whether an agent is a member of the gang."""
        return agent in self._members

    def check_token(self, agent: str, token: str) -> bool:
        """Return whether a member's token names its committed reservation."""
        return self._members[agent].token == token

    def add_watcher(self, instance: str) -> None:
        """Add an instance that receives the report of the gang's end."""
        watcher = self._watchers.setdefault(instance, _Watcher())
        if not watcher.acknowledged:
            watcher.next_send_at = 0.0

    def acknowledge(self, instance: str) -> None:
        """Record that an instance acknowledged the report of the end."""
        if instance in self._watchers:
            self._watchers[instance].acknowledged = True

    def is_expired(self, now: float) -> bool:
        """Return whether the retention time of an ended gang has passed."""
        if self.decision is not Decision.ENDED:
            return False
        all_acknowledged = all(w.acknowledged for w in self._watchers.values())
        retention = (
            timing.TOMBSTONE_RETENTION_SECONDS
            if all_acknowledged
            else UNACKNOWLEDGED_RETENTION_SECONDS
        )
        return now >= self._ended_at + retention

    def record_started(self, now: float, agent: str, uptime: float) -> None:
        """Record that the tasks of a member have started."""
        member = self._members.get(agent)
        if member is None or member.ended:
            return
        member.last_message_at = now
        member.uptime = uptime
        if not member.started:
            member.started = True
            # A random first time spreads the heartbeats to the members over
            # the interval.
            member.next_send_at = now + self._rng.uniform(0.0, self.interval)

    def record_heartbeat(self, now: float, agent: str, uptime: float) -> None:
        """Record the reply of a member to a heartbeat."""
        member = self._members.get(agent)
        if member is None or member.ended:
            return
        member.last_message_at = now
        member.uptime = uptime

    def record_stopped(self, now: float, agent: str, reason: str) -> None:
        """Record that no task of a member runs or can start; end the gang."""
        member = self._members.get(agent)
        if member is None or member.ended:
            return
        member.ended = True
        self.end(now, reason, 0.0)

    def record_finished(self, now: float, agent: str, exit_code: int) -> None:
        """Record the exit of a member's tasks; end the gang on a failure."""
        member = self._members.get(agent)
        if member is None or member.ended:
            return
        member.ended = True
        member.exit_code = exit_code
        if exit_code == 0 or self.decision is not Decision.COMMITTED:
            return
        self._failed_exit_code = exit_code
        self.end(now, f'{agent} exited with {exit_code}', 0.0)

    def end(self, now: float, reason: str, grace: float) -> None:
        """Start to stop a committed gang on all members.

        :param grace: seconds that the tasks have for a checkpoint.
        """
        if self.decision is not Decision.COMMITTED:
            return
        LOG.warning(
            'ending gang %s: %s',
            self.attempt,
            reason,
            extra={'attempt': self.attempt, 'job': self.job},
        )
        self.decision = Decision.ENDING
        self.reason = reason
        self._grace = grace
        for member in self._members.values():
            member.next_send_at = now
            member.repeat_delay = REPEAT_INTERVAL_SECONDS

    def end_if_timed_out(self, now: float) -> None:
        """End the gang if a member did not start or answer in time."""
        if self.decision is not Decision.COMMITTED:
            return
        timeout = timing.compute_member_timeout(self.interval)
        for member in self._members.values():
            if member.ended or member.agent == self._instance:
                continue
            if not member.started and now >= self._start_deadline:
                self.end(now, f'{member.agent} did not start', 0.0)
                return
            if member.started and now > member.last_message_at + timeout:
                self.end(
                    now, f'{member.agent} does not answer heartbeats', 0.0
                )
                return

    def tick(self, now: float) -> list[effects.Effect]:
        """Return the messages to members and watchers that are due."""
        self.end_if_timed_out(now)
        due_effects: list[effects.Effect] = []
        if self.decision is Decision.ENDED:
            self._report(now, due_effects)
            return due_effects
        for member in self._members.values():
            if member.ended or now < member.next_send_at:
                continue
            if member.agent != self._instance:
                due_effects.append(
                    effects.Send(member.agent, self._make_message(now, member))
                )
        self._end_when_all_ended(now)
        if self.decision is Decision.ENDED:
            self._report(now, due_effects)
        return due_effects

    def make_heartbeat(self, agent: str) -> gang_messages.GangBeat:
        """Return a heartbeat for a member."""
        uptime = self._members[agent].uptime
        return gang_messages.GangBeat(
            self.attempt, self.interval, uptime=uptime
        )

    def make_report(self) -> gang_messages.GangFinished:
        """Return the message that reports the end of the gang."""
        codes = [member.exit_code for member in self._members.values()]
        exit_code = self._failed_exit_code
        if exit_code is None and None not in codes:
            exit_code = max(code for code in codes if code is not None)
        return gang_messages.GangFinished(
            attempt=self.attempt,
            job=self.job,
            committed=True,
            exit_code=exit_code,
            reason=self.reason or 'finished',
            stopped=all(member.ended for member in self._members.values()),
        )

    def _make_message(
        self, now: float, member: MemberStatus
    ) -> messages.Message:
        if self.decision is Decision.COMMITTED and member.started:
            # The random factor keeps the heartbeats of gangs that started
            # together from coinciding.
            member.next_send_at = now + self.interval * self._rng.uniform(
                0.9, 1
            )
            return self.make_heartbeat(member.agent)
        member.next_send_at = now + member.repeat_delay * self._rng.uniform(
            0.75, 1.25
        )
        member.repeat_delay = min(
            2 * member.repeat_delay, MAX_REPEAT_INTERVAL_SECONDS
        )
        if self.decision is Decision.COMMITTED:
            return gang_messages.StartMember(
                self.attempt, member.token, self.interval
            )
        return gang_messages.StopGang(self.attempt, self.reason, self._grace)

    def _end_when_all_ended(self, now: float) -> None:
        if not all(
            self._has_member_ended(now, m) for m in self._members.values()
        ):
            return
        self.decision = Decision.ENDED
        self._ended_at = now
        stopped = self.make_report().exit_code is None
        metrics.ENDS.add(1, {'end': 'stopped' if stopped else 'exited'})

    def _has_member_ended(self, now: float, member: MemberStatus) -> bool:
        """Return whether no task of a member can run any more.

        The members of an ending gang get no heartbeats, so an unreachable
        member stops its tasks after a time-out; if its agent is dead, the
        leases of the tasks expire.
        """
        if member.ended or member.agent == self._instance:
            return member.ended
        timeout = timing.compute_orphan_timeout(len(self._members))
        ending = self.decision is Decision.ENDING
        return ending and now >= member.last_message_at + timeout

    def _report(self, now: float, due_effects: list[effects.Effect]) -> None:
        report = self.make_report()
        for name, watcher in self._watchers.items():
            if watcher.acknowledged or now < watcher.next_send_at:
                continue
            watcher.next_send_at = now + watcher.repeat_delay
            watcher.repeat_delay = min(
                2 * watcher.repeat_delay, MAX_REPORT_INTERVAL_SECONDS
            )
            due_effects.append(effects.Send(name, report))

"""Decision record of a committed gang, held by its lead."""

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

REPEAT_SECONDS = 0.5
MAX_REPEAT_SECONDS = 5.0
MAX_REPORT_SECONDS = 30.0
# An owner may be cut off for minutes; its job's result is kept this long.
UNACKNOWLEDGED_SECONDS = 3600.0


class Decision(enum.Enum):
    """Phase of a committed gang."""

    COMMITTED = 'committed'
    ENDING = 'ending'
    ENDED = 'ended'


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """What the lead knows of a member.

    :ivar done: nothing runs on it or can start there.
    :ivar heard: when the member was heard last.
    :ivar uptime: clock of the member in its last answer.
    """

    agent: str
    token: str
    heard: float
    started: bool = False
    done: bool = False
    exit_code: int | None = None
    uptime: float = 0.0
    next_send: float = 0.0
    delay: float = REPEAT_SECONDS


@dataclasses.dataclass(slots=True)
class _Watcher:
    next_send: float = 0.0
    delay: float = REPEAT_SECONDS
    acknowledged: bool = False


class Gang:
    """A committed gang.

    :param now: time of the decision, or of the adoption.
    :param instance: instance id of the lead.
    :param members: agents in the gang's order.
    :param tokens: tokens of their reservations.
    :param watchers: instances that are told the end.
    """

    __slots__ = (
        '_ended_at',
        '_failed_code',
        '_grace',
        '_instance',
        '_members',
        '_rng',
        '_start_by',
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
        self.interval = timing.compute_beat_interval(len(members))
        self._instance = instance
        self._rng = rng
        self._members = {
            agent: MemberStatus(agent, token, now)
            for agent, token in zip(members, tokens, strict=True)
        }
        self._watchers = {name: _Watcher() for name in watchers if name}
        self._grace = 0.0
        self._failed_code: int | None = None
        self._start_by = now + timing.START_SECONDS
        self._ended_at = 0.0

    @property
    def grace(self) -> float:
        """Seconds for a checkpoint of an ending gang."""
        return self._grace

    def has_member(self, agent: str) -> bool:
        """Tell whether an agent is a member."""
        return agent in self._members

    def check_token(self, agent: str, token: str) -> bool:
        """Tell whether a token names the reservation that was committed."""
        return self._members[agent].token == token

    def add_watcher(self, instance: str) -> None:
        """Tell the end of the gang to one more instance."""
        watcher = self._watchers.setdefault(instance, _Watcher())
        if not watcher.acknowledged:
            watcher.next_send = 0.0

    def acknowledge(self, instance: str) -> None:
        """Note that an instance knows the end."""
        if instance in self._watchers:
            self._watchers[instance].acknowledged = True

    def is_expired(self, now: float) -> bool:
        """Tell whether the record is no longer needed."""
        if self.decision is not Decision.ENDED:
            return False
        known = all(w.acknowledged for w in self._watchers.values())
        kept = timing.TOMBSTONE_SECONDS if known else UNACKNOWLEDGED_SECONDS
        return now >= self._ended_at + kept

    def note_started(self, now: float, agent: str, uptime: float) -> None:
        """Note that the tasks of a member run."""
        member = self._members.get(agent)
        if member is None or member.done:
            return
        member.heard = now
        member.uptime = uptime
        if not member.started:
            member.started = True
            # Random times spread the beats over the interval.
            member.next_send = now + self._rng.uniform(0.0, self.interval)

    def note_beat(self, now: float, agent: str, uptime: float) -> None:
        """Note an answer to a beat."""
        member = self._members.get(agent)
        if member is None or member.done:
            return
        member.heard = now
        member.uptime = uptime

    def note_stopped(self, now: float, agent: str, reason: str) -> None:
        """Note that nothing of a member runs or can start."""
        member = self._members.get(agent)
        if member is None or member.done:
            return
        member.done = True
        self.end(now, reason, 0.0)

    def note_finished(self, now: float, agent: str, exit_code: int) -> None:
        """Note that the tasks of a member ended by themselves."""
        member = self._members.get(agent)
        if member is None or member.done:
            return
        member.done = True
        member.exit_code = exit_code
        if exit_code == 0 or self.decision is not Decision.COMMITTED:
            return
        self._failed_code = exit_code
        self.end(now, f'{agent} exited with {exit_code}', 0.0)

    def end(self, now: float, reason: str, grace: float) -> None:
        """End the gang on all members.

        :param grace: seconds for a checkpoint.
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
            member.next_send = now
            member.delay = REPEAT_SECONDS

    def check(self, now: float) -> None:
        """End the gang when a member was silent for too long."""
        if self.decision is not Decision.COMMITTED:
            return
        patience = timing.compute_lead_patience(self.interval)
        for member in self._members.values():
            if member.done or member.agent == self._instance:
                continue
            if not member.started and now >= self._start_by:
                self.end(now, f'{member.agent} did not start', 0.0)
                return
            if member.started and now > member.heard + patience:
                self.end(now, f'{member.agent} is silent', 0.0)
                return

    def tick(self, now: float) -> list[effects.Effect]:
        """Send what is due."""
        self.check(now)
        out: list[effects.Effect] = []
        if self.decision is Decision.ENDED:
            self._report(now, out)
            return out
        for member in self._members.values():
            if member.done or now < member.next_send:
                continue
            if member.agent != self._instance:
                out.append(
                    effects.Send(member.agent, self._make_message(now, member))
                )
        self._conclude(now)
        if self.decision is Decision.ENDED:
            self._report(now, out)
        return out

    def make_beat(self, agent: str) -> gang_messages.GangBeat:
        """Return a beat for a member."""
        uptime = self._members[agent].uptime
        return gang_messages.GangBeat(
            self.attempt, self.interval, uptime=uptime
        )

    def make_report(self) -> gang_messages.GangFinished:
        """Return the message that tells the end of the gang."""
        codes = [member.exit_code for member in self._members.values()]
        exit_code = self._failed_code
        if exit_code is None and None not in codes:
            exit_code = max(code for code in codes if code is not None)
        return gang_messages.GangFinished(
            attempt=self.attempt,
            job=self.job,
            committed=True,
            exit_code=exit_code,
            reason=self.reason or 'finished',
            stopped=all(member.done for member in self._members.values()),
        )

    def _make_message(
        self, now: float, member: MemberStatus
    ) -> messages.Message:
        if self.decision is Decision.COMMITTED and member.started:
            # Beats of gangs that started together drift apart.
            member.next_send = now + self.interval * self._rng.uniform(0.9, 1)
            return self.make_beat(member.agent)
        member.next_send = now + member.delay * self._rng.uniform(0.75, 1.25)
        member.delay = min(2 * member.delay, MAX_REPEAT_SECONDS)
        if self.decision is Decision.COMMITTED:
            return gang_messages.StartMember(
                self.attempt, member.token, self.interval
            )
        return gang_messages.StopGang(self.attempt, self.reason, self._grace)

    def _conclude(self, now: float) -> None:
        if not all(self._is_gone(now, m) for m in self._members.values()):
            return
        self.decision = Decision.ENDED
        self._ended_at = now
        stopped = self.make_report().exit_code is None
        metrics.ENDS.add(1, {'end': 'stopped' if stopped else 'exited'})

    def _is_gone(self, now: float, member: MemberStatus) -> bool:
        """Tell whether nothing of a member runs.

        An ending gang gets no beats, so a member that can't be reached stops
        by itself, or its leases end.
        """
        if member.done or member.agent == self._instance:
            return member.done
        settle = timing.compute_settle_seconds(len(self._members))
        ending = self.decision is Decision.ENDING
        return ending and now >= member.heard + settle

    def _report(self, now: float, out: list[effects.Effect]) -> None:
        report = self.make_report()
        for name, watcher in self._watchers.items():
            if watcher.acknowledged or now < watcher.next_send:
                continue
            watcher.next_send = now + watcher.delay
            watcher.delay = min(2 * watcher.delay, MAX_REPORT_SECONDS)
            out.append(effects.Send(name, report))

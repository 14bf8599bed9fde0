"""Agent side of service requests: targets, their slots, and attempts."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.peer import messages
from damaskpin.service import attempts

if TYPE_CHECKING:
    from damaskpin import verdict

DEFAULT_SLOTS = 8
MAX_CONNECTIONS = 64
MAX_WAITING = 0
MAX_TTL_S = 3.0
# A target call that is not reported as ended this long after its timeout is
# given up, so that a fault in the caller can't hold a slot for ever.
CALL_MARGIN_S = 5.0
# While draining, an answer that was lost on the way is asked for again within
# this time.
LINGER_S = 3.0


@dataclasses.dataclass(slots=True)
class _Target:
    """The announced target of one service."""

    slots: int
    expires: float
    leaving: bool
    running: int = 0
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )

    def accepts(self, now: float) -> bool:
        return not self.leaving and now < self.expires

    def limit(self) -> int:
        return min(self.slots, MAX_CONNECTIONS)


class Slots:
    """Arbiter of the attempts bound to one agent incarnation.

    :param instance: instance id of the agent.
    :param incarnation: incarnation of the agent.
    :param started: monotonic time at which the agent's uptime is 0.
    :param max_waiting: requests that wait for a slot of each target.
    :param table: table of attempts.
    """

    __slots__ = (
        '_draining',
        '_incarnation',
        '_instance',
        '_last_answer',
        '_max_waiting',
        '_now',
        '_running',
        '_started',
        '_table',
        '_targets',
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        started: float = 0.0,
        max_waiting: int = MAX_WAITING,
        table: attempts.AttemptTable | None = None,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._started = started
        self._max_waiting = max_waiting
        self._table = table or attempts.AttemptTable()
        self._targets: dict[str, _Target] = {}
        self._running: set[str] = set()
        self._draining = False
        self._now = started
        self._last_answer = float('-inf')

    def announce(
        self,
        now: float,
        service: str,
        slots: int = DEFAULT_SLOTS,
        ttl: float = MAX_TTL_S,
        leaving: bool = False,
    ) -> list[effects.Effect]:
        """Record the announcement of a target.

        :param slots: requests that the target serves at the same time.
        :param ttl: seconds after which the announcement expires; at most
            ``MAX_TTL_S`` counts.
        :param leaving: the target accepts nothing new.
        """
        self._now = now
        target = self._targets.get(service)
        if target is None:
            target = self._targets[service] = _Target(slots, now, leaving)
        target.slots = slots
        target.expires = now + min(ttl, MAX_TTL_S)
        target.leaving = leaving
        if leaving:
            return self._refuse_waiting(target, 'leaving')
        return self._start_waiting(now, target)

    def withdraw(self, now: float, service: str) -> list[effects.Effect]:
        """Record that a target accepts nothing new."""
        self._now = now
        target = self._targets.get(service)
        if target is None:
            return []
        target.leaving = True
        result = self._refuse_waiting(target, 'leaving')
        self._forget_target(service)
        return result

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of an entry.

        :param sender: instance id of the entry.
        """
        self._now = now
        match message:
            case messages.RunRequest():
                return self._run(now, sender, message)
            case messages.CancelRequest():
                return self._cancel(now, sender, message)
            case messages.QueryRun():
                return self._query(now, sender, message)
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Expire announcements, waiting requests, calls and old records."""
        self._now = now
        result: list[effects.Effect] = []
        for service, target in list(self._targets.items()):
            if not target.accepts(now):
                result += self._refuse_waiting(target, 'leaving')
                self._forget_target(service)
                continue
            for attempt in list(target.waiting):
                record = self._table.get(attempt)
                if now < record.deadline:
                    continue
                target.waiting.remove(attempt)
                result += self._refuse(record, 'expired')
        for attempt in sorted(self._running):
            record = self._table.get(attempt)
            if now >= record.deadline + CALL_MARGIN_S:
                result += self.target_failed(now, attempt, 'no report')
        self._table.drop_old(now - self._started)
        return result

    def target_answered(
        self, now: float, attempt: str, answer: verdict.Answer
    ) -> list[effects.Effect]:
        """Record the whole answer of a called target."""
        self._now = now
        record = self._stop_running(attempt)
        if record is None:
            return []
        self._table.end(record, now - self._started, attempts.State.ANSWERED)
        self._table.keep_answer(record, answer)
        self._last_answer = now
        return self._tell_senders(record) + self._start_next(now, record)

    def target_failed(
        self, now: float, attempt: str, reason: str, reached: bool = True
    ) -> list[effects.Effect]:
        """Record that a called target gave no whole answer.

        :param reached: whether the target may have received the request.
        """
        self._now = now
        record = self._stop_running(attempt)
        if record is None:
            return []
        self._last_answer = now
        if reached:
            record.reason = reason
            self._table.end(
                record, now - self._started, attempts.State.UNCERTAIN
            )
            result = self._tell_senders(record)
        else:
            result = self._refuse(record, 'unreachable')
        return result + self._start_next(now, record)

    def drain(self, now: float) -> list[effects.Effect]:
        """Refuse everything new; requests in progress are finished."""
        self._now = now
        self._draining = True
        result: list[effects.Effect] = []
        for target in self._targets.values():
            result += self._refuse_waiting(target, 'draining')
        return result

    def is_idle(self) -> bool:
        """Return whether nothing runs and answers had time to arrive."""
        if self._running:
            return False
        if any(target.waiting for target in self._targets.values()):
            return False
        if not self._draining:
            return True
        return self._now - self._last_answer >= LINGER_S

    def list_targets(self) -> tuple[messages.TargetState, ...]:
        """Return the state of the targets for the agent's report."""
        return tuple(
            messages.TargetState(
                service=service,
                slots=target.limit(),
                busy=target.running + len(target.waiting),
                leaving=self._draining or not target.accepts(self._now),
            )
            for service, target in sorted(self._targets.items())
        )

    def _run(
        self, now: float, sender: str, request: messages.RunRequest
    ) -> list[effects.Effect]:
        digest = attempts.compute_digest(
            request.service, request.content_type, request.body
        )
        record = self._table.get(request.attempt)
        if record is not None:
            if record.digest and record.digest != digest:
                return _refuse_unseen(sender, request.attempt, 'conflict')
            return self._join(sender, record)
        unknown = self._check_unseen(
            now,
            sender,
            request.attempt,
            request.incarnation,
            request.expires_uptime,
        )
        if unknown is not None:
            return unknown
        if self._table.is_full():
            # Silence is truthful where refusing all attempts up to a distant
            # expiry would stop the agent for minutes.
            if request.expires_uptime > now - self._started + LINGER_S + 60:
                return []
            self._table.close_until(request.expires_uptime)
            return _refuse_unseen(sender, request.attempt, 'busy')
        record = attempts.Record(
            attempt=request.attempt,
            service=request.service,
            digest=digest,
            expires_uptime=request.expires_uptime,
            state=attempts.State.WAITING,
            deadline=now + request.timeout,
            senders={sender: None},
        )
        self._table.add(record)
        reason = self._find_refusal(now, request)
        if reason:
            return self._refuse(record, reason)
        target = self._targets[request.service]
        if target.running < target.limit():
            return [self._start(now, target, record, request)]
        record.request = request
        target.waiting.append(request.attempt)
        return []

    def _find_refusal(self, now: float, request: messages.RunRequest) -> str:
        if self._draining:
            return 'draining'
        target = self._targets.get(request.service)
        if target is None:
            return 'no-target'
        if not target.accepts(now):
            return 'leaving'
        if request.timeout <= 0:
            return 'expired'
        if target.running < target.limit():
            return ''
        if len(target.waiting) < self._max_waiting:
            return ''
        return 'busy'

    def _check_unseen(
        self,
        now: float,
        sender: str,
        attempt: str,
        incarnation: str,
        expires_uptime: float,
    ) -> list[effects.Effect] | None:
        """Answer for an attempt without a record, unless it may start."""
        if incarnation != self._incarnation:
            # It may have run under the earlier incarnation.
            return [
                effects.Send(
                    sender,
                    messages.RunUncertain(attempt, 'unknown-incarnation'),
                )
            ]
        uptime = now - self._started
        if uptime > expires_uptime + attempts.KEEP_S:
            return [
                effects.Send(
                    sender, messages.RunUncertain(attempt, 'record-dropped')
                )
            ]
        if uptime > expires_uptime:
            return _refuse_unseen(sender, attempt, 'expired')
        if self._table.is_closed(expires_uptime):
            return _refuse_unseen(sender, attempt, 'busy')
        return None

    def _cancel(
        self, now: float, sender: str, message: messages.CancelRequest
    ) -> list[effects.Effect]:
        record = self._table.get(message.attempt)
        if record is None:
            return self._cancel_unseen(now, sender, message)
        if record.state is attempts.State.WAITING:
            self._targets[record.service].waiting.remove(record.attempt)
            record.senders[sender] = None
            return self._refuse(record, 'cancelled')
        if record.state is attempts.State.RUNNING:
            # The target keeps its slot until its call ends: a call that was
            # only abandoned here would still load the target.
            return [
                effects.Send(
                    sender, messages.RunUncertain(record.attempt, 'cancelled')
                )
            ]
        return self._join(sender, record)

    def _cancel_unseen(
        self, now: float, sender: str, message: messages.CancelRequest
    ) -> list[effects.Effect]:
        unknown = self._check_unseen(
            now,
            sender,
            message.attempt,
            message.incarnation,
            message.expires_uptime,
        )
        if unknown is not None:
            return unknown
        if self._table.is_full():
            return []
        record = attempts.Record(
            attempt=message.attempt,
            service='',
            digest=b'',
            expires_uptime=message.expires_uptime,
            state=attempts.State.WAITING,
            senders={sender: None},
        )
        self._table.add(record)
        return self._refuse(record, 'cancelled')

    def _query(
        self, now: float, sender: str, message: messages.QueryRun
    ) -> list[effects.Effect]:
        record = self._table.get(message.attempt)
        if record is not None:
            return self._join(sender, record) or [
                effects.Send(
                    sender,
                    messages.RunState(message.attempt, record.state.value),
                )
            ]
        unknown = self._check_unseen(
            now,
            sender,
            message.attempt,
            message.incarnation,
            message.expires_uptime,
        )
        if unknown is not None:
            return unknown
        return [
            effects.Send(sender, messages.RunState(message.attempt, 'unknown'))
        ]

    def _join(
        self, sender: str, record: attempts.Record
    ) -> list[effects.Effect]:
        record.senders[sender] = None
        if record.state in (attempts.State.WAITING, attempts.State.RUNNING):
            return []
        return [effects.Send(sender, _describe_end(record))]

    def _start(
        self,
        now: float,
        target: _Target,
        record: attempts.Record,
        request: messages.RunRequest,
    ) -> effects.CallTarget:
        target.running += 1
        self._running.add(record.attempt)
        record.state = attempts.State.RUNNING
        record.request = None
        return effects.CallTarget(
            attempt=record.attempt,
            service=record.service,
            body=request.body,
            content_type=request.content_type,
            timeout=record.deadline - now,
            trace=request.trace,
        )

    def _start_waiting(
        self, now: float, target: _Target
    ) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        while (
            target.waiting
            and not self._draining
            and target.accepts(now)
            and target.running < target.limit()
        ):
            record = self._table.get(target.waiting.popleft())
            if (
                now >= record.deadline
                or now - self._started > record.expires_uptime
            ):
                result += self._refuse(record, 'expired')
                continue
            result.append(self._start(now, target, record, record.request))
        return result

    def _start_next(
        self, now: float, record: attempts.Record
    ) -> list[effects.Effect]:
        target = self._targets.get(record.service)
        if target is None:
            return []
        return self._start_waiting(now, target)

    def _stop_running(self, attempt: str) -> attempts.Record | None:
        if attempt not in self._running:
            return None
        self._running.discard(attempt)
        record = self._table.get(attempt)
        self._targets[record.service].running -= 1
        self._forget_target(record.service)
        return record

    def _refuse_waiting(
        self, target: _Target, reason: str
    ) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        while target.waiting:
            record = self._table.get(target.waiting.popleft())
            result += self._refuse(record, reason)
        return result

    def _refuse(
        self, record: attempts.Record, reason: str
    ) -> list[effects.Effect]:
        record.reason = reason
        self._table.end(
            record, self._now - self._started, attempts.State.REFUSED
        )
        return self._tell_senders(record)

    def _tell_senders(self, record: attempts.Record) -> list[effects.Effect]:
        message = _describe_end(record)
        return [effects.Send(sender, message) for sender in record.senders]

    def _forget_target(self, service: str) -> None:
        """Drop a target that left and runs nothing."""
        target = self._targets[service]
        if target.accepts(self._now) or target.running or target.waiting:
            return
        del self._targets[service]


def _refuse_unseen(
    sender: str, attempt: str, reason: str
) -> list[effects.Effect]:
    return [effects.Send(sender, messages.RunRefused(attempt, reason))]


def _describe_end(record: attempts.Record) -> messages.Message:
    match record.state:
        case attempts.State.ANSWERED if record.answer is not None:
            return messages.RunAnswer(record.attempt, record.answer)
        case attempts.State.REFUSED:
            return messages.RunRefused(record.attempt, record.reason)
    return messages.RunUncertain(record.attempt, record.reason)

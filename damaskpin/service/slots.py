"""Handling of service requests in an agent: targets, slots and attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.peer import messages
from damaskpin.service import attempts
from damaskpin.service import targets

if TYPE_CHECKING:
    from damaskpin import verdict

MAX_WAITING_PER_TARGET = 0
# A target call whose end was not recorded this long after its timeout counts
# as failed, so that a fault in the calling code can't occupy a slot for ever.
CALL_TIMEOUT_MARGIN_S = 5.0
# Time that a draining agent stays up after its last answer. An entry that did
# not receive the answer asks for it again within this time.
ANSWER_LINGER_S = 3.0
# While the attempt table is full, a new attempt that expires at most this far
# ahead is refused; one that expires later gets no reply. Attempts without an
# issued key expire within this time.
MAX_REFUSAL_AHEAD_S = 65.0

_HANDLED_MESSAGES = (
    messages.RunRequest,
    messages.CancelRequest,
    messages.QueryRun,
)


class SlotManager:
    """State machine that runs the attempts bound to one agent process.

    :param instance: instance id of the agent.
    :param incarnation: id of this run of the agent's process. Attempts that
        are bound to another one are not run.
    :param started: monotonic time at which the agent's uptime is 0.
    :param max_waiting: number of requests that may wait for each target.
    :param table: table of attempts.
    """

    __slots__ = (
        '_draining',
        '_incarnation',
        '_last_answer_time',
        '_max_waiting',
        '_now',
        '_running',
        '_start_time',
        '_table',
        '_targets',
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        started: float = 0.0,
        max_waiting: int = MAX_WAITING_PER_TARGET,
        table: attempts.AttemptTable | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._start_time = started
        self._max_waiting = max_waiting
        self._table = attempts.AttemptTable() if table is None else table
        self._targets = targets.TargetTable()
        self._running: set[str] = set()
        self._draining = False
        self._now = started
        self._last_answer_time = float('-inf')

    def announce(
        self,
        now: float,
        service: str,
        slots: int = targets.DEFAULT_SLOTS,
        ttl: float = targets.MAX_TTL_S,
        leaving: bool = False,
    ) -> list[effects.Effect]:
        """Record the announcement of a target.

        :param slots: number of requests that the target serves at a time.
        :param ttl: seconds after which the announcement expires, limited to
            ``targets.MAX_TTL_S``.
        :param leaving: whether the target accepts no new requests.
        """
        self._set_time(now)
        target = self._targets.announce(now, service, slots, ttl, leaving)
        if leaving:
            return self._refuse_and_remove(service, target)
        return self._start_waiting(now, service)

    def withdraw(self, now: float, service: str) -> list[effects.Effect]:
        """Record that a target accepts no new requests."""
        self._set_time(now)
        target = self._targets.get(service)
        if target is None:
            return []
        target.leaving = True
        return self._refuse_and_remove(service, target)

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message from an entry.

        :param sender: instance id of the entry.
        """
        self._set_time(now)
        if not isinstance(message, _HANDLED_MESSAGES):
            return []
        record = self._table.get(message.attempt)
        if record is None:
            reply = self._table.reply_without_record(
                now - self._start_time, self._incarnation, message
            )
            if reply is not None:
                return [effects.Send(sender, reply)]
        match message:
            case messages.RunRequest():
                return self._handle_run(now, sender, message, record)
            case messages.CancelRequest():
                return self._handle_cancel(sender, message, record)
        return self._handle_query(sender, message, record)

    def tick(self, now: float) -> list[effects.Effect]:
        """Expire announcements, waiting requests, target calls and records."""
        self._set_time(now)
        result: list[effects.Effect] = []
        for service, target in self._targets.list_services_and_targets():
            if not target.accepts_requests(now):
                result += self._refuse_and_remove(service, target)
                continue
            for attempt in list(target.waiting):
                record = self._table.get(attempt)
                if now < record.deadline:
                    continue
                target.waiting.remove(attempt)
                result += self._refuse(record, 'expired')
        for attempt in sorted(self._running):
            record = self._table.get(attempt)
            if now >= record.deadline + CALL_TIMEOUT_MARGIN_S:
                result += self.record_target_failure(
                    now, attempt, 'the call of the target did not end in time'
                )
        self._table.remove_expired(now - self._start_time)
        return result

    def record_target_answer(
        self, now: float, attempt: str, answer: verdict.Answer
    ) -> list[effects.Effect]:
        """Record the complete answer of a target to an attempt."""
        return self._end_call(
            now, attempt, attempts.State.ANSWERED, answer=answer
        )

    def record_target_failure(
        self, now: float, attempt: str, reason: str, reached: bool = True
    ) -> list[effects.Effect]:
        """Record that the call of a target for an attempt failed.

        :param reached: whether the target may have received the request.
        """
        if reached:
            return self._end_call(
                now, attempt, attempts.State.UNCERTAIN, reason
            )
        return self._end_call(
            now, attempt, attempts.State.REFUSED, 'unreachable'
        )

    def drain(self, now: float) -> list[effects.Effect]:
        """Refuse waiting and new requests, and finish the running ones."""
        self._set_time(now)
        self._draining = True
        result: list[effects.Effect] = []
        for _, target in self._targets.list_services_and_targets():
            result += self._refuse_waiting(target, 'draining')
        return result

    def is_idle(self) -> bool:
        """Return whether no request is in progress.

        A draining agent becomes idle ``ANSWER_LINGER_S`` after its last
        answer.
        """
        if self._running:
            return False
        if any(
            target.waiting
            for _, target in self._targets.list_services_and_targets()
        ):
            return False
        if not self._draining:
            return True
        return self._now - self._last_answer_time >= ANSWER_LINGER_S

    def list_target_states(self) -> tuple[messages.TargetState, ...]:
        """Return the states of the targets for the report of the agent."""
        return self._targets.list_states(self._now, self._draining)

    def _set_time(self, now: float) -> None:
        self._targets.record_call(now)
        self._now = now

    def _handle_run(
        self,
        now: float,
        sender: str,
        request: messages.RunRequest,
        record: attempts.AttemptRecord | None,
    ) -> list[effects.Effect]:
        digest = attempts.compute_request_digest(
            request.service, request.content_type, request.body
        )
        if record is not None:
            if record.digest in (b'', digest):
                return self._table.subscribe(sender, record)
            reply = messages.RunRefused(request.attempt, 'conflict')
            return [effects.Send(sender, reply)]
        if self._table.is_full():
            # A refusal promises that the attempt will never run. A full
            # attempt table keeps this promise by refusing every new attempt
            # that expires no later. For a distant expiry, that would block
            # the agent for minutes, so such an attempt gets no reply.
            seconds_ahead = request.expires_uptime - (now - self._start_time)
            if seconds_ahead > MAX_REFUSAL_AHEAD_S:
                return []
            self._table.refuse_new_until(request.expires_uptime)
            reply = messages.RunRefused(request.attempt, 'busy')
            return [effects.Send(sender, reply)]
        record = self._table.add(sender, request, request.service, digest)
        record.deadline = now + request.timeout
        target = self._targets.get(request.service)
        reason = 'draining'
        if not self._draining:
            reason = targets.find_refusal_reason(
                target, now, request.timeout, self._max_waiting
            )
        if reason:
            return self._refuse(record, reason)
        if target.has_free_slot():
            return [self._start_call(now, target, record, request)]
        record.request = request
        target.waiting.append(request.attempt)
        return []

    def _handle_cancel(
        self,
        sender: str,
        message: messages.CancelRequest,
        record: attempts.AttemptRecord | None,
    ) -> list[effects.Effect]:
        if record is None:
            if self._table.is_full():
                return []
            record = self._table.add(sender, message)
            return self._refuse(record, 'cancelled')
        if record.state is attempts.State.WAITING:
            self._targets.get(record.service).waiting.remove(record.attempt)
            record.senders[sender] = None
            return self._refuse(record, 'cancelled')
        if record.state is attempts.State.RUNNING:
            # The slot stays occupied until the call ends, because the target
            # goes on working on a cancelled request.
            reply = messages.RunUncertain(record.attempt, 'cancelled')
            return [effects.Send(sender, reply)]
        return self._table.subscribe(sender, record)

    def _handle_query(
        self,
        sender: str,
        message: messages.QueryRun,
        record: attempts.AttemptRecord | None,
    ) -> list[effects.Effect]:
        state = 'unknown'
        if record is not None:
            outcome = self._table.subscribe(sender, record)
            if outcome:
                return outcome
            state = record.state.value
        reply = messages.RunState(message.attempt, state)
        return [effects.Send(sender, reply)]

    def _start_call(
        self,
        now: float,
        target: targets.Target,
        record: attempts.AttemptRecord,
        request: messages.RunRequest,
    ) -> effects.CallTarget:
        target.running_count += 1
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

    def _start_waiting(self, now: float, service: str) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        target = self._targets.get(service)
        while target is not None and target.can_start_waiting(now):
            record = self._table.get(target.waiting.popleft())
            if (
                now >= record.deadline
                or now - self._start_time > record.expires_uptime
            ):
                result += self._refuse(record, 'expired')
                continue
            result.append(
                self._start_call(now, target, record, record.request)
            )
        return result

    def _end_call(
        self,
        now: float,
        attempt: str,
        state: attempts.State,
        reason: str = '',
        answer: verdict.Answer | None = None,
    ) -> list[effects.Effect]:
        self._set_time(now)
        if attempt not in self._running:
            return []
        self._running.discard(attempt)
        self._last_answer_time = now
        record = self._table.get(attempt)
        self._targets.get(record.service).running_count -= 1
        self._targets.remove_if_gone(now, record.service)
        result = self._table.record_end(
            record, now - self._start_time, state, reason, answer
        )
        return [*result, *self._start_waiting(now, record.service)]

    def _refuse_waiting(
        self, target: targets.Target, reason: str
    ) -> list[effects.Effect]:
        result: list[effects.Effect] = []
        while target.waiting:
            record = self._table.get(target.waiting.popleft())
            result += self._refuse(record, reason)
        return result

    def _refuse(
        self, record: attempts.AttemptRecord, reason: str
    ) -> list[effects.Send]:
        return self._table.record_end(
            record,
            self._now - self._start_time,
            attempts.State.REFUSED,
            reason,
        )

    def _refuse_and_remove(
        self, service: str, target: targets.Target
    ) -> list[effects.Effect]:
        result = self._refuse_waiting(target, 'leaving')
        self._targets.remove_if_gone(self._now, service)
        return result

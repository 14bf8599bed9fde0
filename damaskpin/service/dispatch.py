"""Entry side of service requests: from submission to a truthful verdict."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.peer import messages
from damaskpin.service import attempts
from damaskpin.service import breaker
from damaskpin.service import claims
from damaskpin.service import limits as limiting
from damaskpin.service import requests
from damaskpin.service import tracking
from damaskpin.service import waiting

if TYPE_CHECKING:
    import random

    from damaskpin.service import routing

EXPIRES_S = 60.0
KEY_LIFETIME_S = 300.0
# An ending request waits this long for the answers to its cancellations.
CANCEL_GRACE_S = 1.0
# Without any target of the service, a request waits for a target that is
# being replaced, but not until a distant deadline.
NO_TARGET_WAIT_S = 5.0
IMMEDIATE_RETRIES = 2
MAX_RETRIES = 3
# Free slots are looked for this often while requests wait: slots also become
# free through reports, back-off and probes.
PUMP_S = 0.05
# Without waiting targets a waiting request is looked at this often.
POLL_SERVICE_S = 0.5
RETRY_AFTER_S = 1.0

_OUTCOMES = {
    'busy': breaker.Outcome.BUSY,
    'leaving': breaker.Outcome.LEFT,
    'no-target': breaker.Outcome.LEFT,
    'draining': breaker.Outcome.LEFT,
    'unreachable': breaker.Outcome.FAILED,
}


class Dispatcher:
    """Runs the requests of one entry.

    :param instance: instance id of the entry.
    :param incarnation: incarnation of the entry; makes its attempts unique.
    :param router: chooses agents.
    :param limits: decides about admission.
    :param rng: source of the jitter.
    :param key_secret: secret of the fleet under which keys are issued.
    """

    __slots__ = (
        '_draining',
        '_incarnation',
        '_instance',
        '_key_secret',
        '_limits',
        '_next_pump',
        '_queue',
        '_rng',
        '_router',
        '_sequence',
        '_timers',
        '_tracker',
        '_works',
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        router: routing.Router,
        limits: limiting.Limits,
        rng: random.Random,
        key_secret: bytes = b'',
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._router = router
        self._limits = limits
        self._rng = rng
        self._key_secret = key_secret
        self._works: dict[str, requests.Work] = {}
        self._queue = waiting.WaitingQueue()
        self._tracker = tracking.Tracker(router, rng)
        self._timers: list[tuple[float, str]] = []
        self._next_pump = 0.0
        self._sequence = 0
        self._draining = False

    def __len__(self) -> int:
        return len(self._works)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.size

    def submit(
        self, now: float, request: requests.Request
    ) -> list[effects.Effect]:
        """Accept a request; a verdict follows, perhaps at once."""
        if request.id in self._works:
            return []
        if self._draining:
            return _refuse(request, 'this entry is stopping', RETRY_AFTER_S)
        work = requests.Work(
            request=request,
            digest=attempts.compute_digest(
                request.service, request.content_type, request.body
            ),
            submitted=now,
            deadline=now + request.deadline_seconds,
            waiting_since=now,
        )
        try:
            self._read_key(work)
        except errors.RequestError as error:
            return _refuse(request, str(error), None)
        result = self._make_place(now, request)
        if result is None:
            return _refuse(
                request,
                f'{self._queue.size} requests are waiting',
                RETRY_AFTER_S,
            )
        refusal = self._limits.admit(
            now,
            request,
            self._queue.count_ahead(request.service, request.priority),
            self._router.count_slots(request.service),
        )
        if refusal is not None:
            return result + _refuse(
                request, refusal.reason, refusal.retry_after
            )
        self._works[request.id] = work
        if work.pinned is not None:
            # Another entry may have sent it already.
            self._tracker.add(work, work.pinned)
        self._wait(work)
        result += self._pump(now, request.service)
        self._schedule(now, work)
        return result

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of an agent; late and repeated ones are ignored.

        :param sender: instance id of the agent.
        """
        result: list[effects.Effect] = []
        match message:
            case messages.RunAnswer(attempt_id, answer):
                for work, attempt in self._tracker.find(sender, attempt_id):
                    result += self._take_answer(now, work, attempt, answer)
            case messages.RunRefused(attempt_id, reason):
                for work, attempt in self._tracker.find(sender, attempt_id):
                    result += self._take_refusal(now, work, attempt, reason)
            case messages.RunUncertain(attempt_id, reason):
                for work, attempt in self._tracker.find(sender, attempt_id):
                    result += self._take_doubt(now, work, attempt, reason)
            case messages.RunState(attempt_id, state):
                for work, attempt in self._tracker.find(sender, attempt_id):
                    result += self._take_state(now, work, attempt, state)
        return result

    def tick(self, now: float) -> list[effects.Effect]:
        """Do what is due: deadlines, queries, store calls and waiting."""
        result: list[effects.Effect] = []
        while self._timers and self._timers[0][0] <= now:
            _, request_id = heapq.heappop(self._timers)
            work = self._works.get(request_id)
            if work is None:
                continue
            result += self._check(now, work)
            self._schedule(now, work)
        if self._queue.size and now >= self._next_pump:
            self._next_pump = now + PUMP_S
            for service in self._queue.list_services():
                result += self._pump(now, service)
        return result

    def next_wakeup(self) -> float | None:
        """Return when ``tick`` is due, or ``None`` when nothing waits."""
        due = [self._timers[0][0]] if self._timers else []
        if self._queue.size:
            due.append(self._next_pump)
        return min(due, default=None)

    def cancel(self, now: float, request_id: str) -> list[effects.Effect]:
        """End a request for its caller."""
        work = self._works.get(request_id)
        if work is None or work.phase is requests.Phase.ENDING:
            return []
        result = self._end(now, work, 'cancelled by the caller')
        self._schedule(now, work)
        return result

    def agent_lost(
        self, now: float, instance: str, incarnation: str
    ) -> list[effects.Effect]:
        """Handle the loss of an agent that membership reports."""
        result: list[effects.Effect] = []
        for work, attempt in self._tracker.list_on(instance, incarnation):
            if attempt.doubtful or attempt.lost_at is not None:
                continue
            result.append(self._tracker.lose(now, attempt))
            self._schedule(now, work)
        return result

    def store_result(
        self,
        now: float,
        request_id: str,
        step: int,
        store_result: claims.StoreResult,
    ) -> list[effects.Effect]:
        """Handle the result of a store call.

        :param step: step of the call that it answers.
        """
        work = self._works.get(request_id)
        if work is None or work.settler is None:
            return []
        outcome = work.settler.receive(now, step, store_result)
        result = self._take_settlement(now, work, outcome)
        self._schedule(now, work)
        return result

    def issue_key(self, now: float, account: str, service: str) -> str | None:
        """Issue a key that needs no store.

        :returns: the key, or ``None`` when no agent has a free slot.
        """
        agent = self._router.choose(now, service)
        if agent is None:
            return None
        key = claims.IssuedKey(
            account=account,
            service=service,
            attempt=self._make_attempt_id(agent.peer.incarnation),
            agent=agent.peer.instance,
            incarnation=agent.peer.incarnation,
            expires_uptime=agent.uptime + KEY_LIFETIME_S,
        )
        return claims.format_key(self._key_secret, key)

    def drain(self) -> None:
        """Refuse new requests; those in progress are finished."""
        self._draining = True

    def _read_key(self, work: requests.Work) -> None:
        request = work.request
        text = request.idempotency_key
        if not text:
            return
        if not text.startswith(claims.KEY_PREFIX):
            if not request.idempotent:
                work.settler = claims.Settler(
                    request.id, request.account, text
                )
            return
        key = claims.parse_key(self._key_secret, text)
        if (key.account, key.service) != (request.account, request.service):
            raise errors.RequestError(
                400,
                'Invalid idempotency key',
                'the key was issued for another account or service',
            )
        if self._tracker.is_taken(key.attempt, work.digest):
            raise errors.RequestError(
                422,
                'Idempotency key reused',
                'the key was used with another request',
            )
        work.pinned = requests.Attempt(
            key.attempt, key.agent, key.incarnation, key.expires_uptime
        )

    def _make_place(
        self, now: float, request: requests.Request
    ) -> list[effects.Effect] | None:
        """Shed a less important request when the queue is full.

        :returns: effects, or ``None`` when there is no place.
        """
        if self._queue.size < self._limits.max_queued:
            return []
        victim = self._queue.find_victim(request.priority)
        if victim is None:
            return None
        return self._conclude_unanswered(
            now, victim, 'shed for more important requests', RETRY_AFTER_S
        )

    def _wait(self, work: requests.Work, first: bool = False) -> None:
        work.phase = requests.Phase.WAITING
        if work.running:
            work.running = False
            self._limits.stop(work.request.account)
        self._queue.add(work, first)
        self._limits.enqueue(work.request.account)

    def _stop_waiting(self, work: requests.Work) -> None:
        if work.phase is requests.Phase.WAITING:
            self._queue.remove(work)
            self._limits.dequeue(work.request.account)

    def _pump(self, now: float, service: str) -> list[effects.Effect]:
        """Give free slots to waiting requests."""
        result: list[effects.Effect] = []
        for work in self._queue.iterate(service):
            if work.not_before > now:
                continue
            if not self._limits.may_run(work.request.account):
                continue
            if work.pinned is not None:
                result += self._send_pinned(now, work)
                continue
            agent = self._router.choose(now, service, work.excluded)
            if agent is not None:
                result += self._place(now, work, agent)
                self._schedule(now, work)
                continue
            if not work.excluded:
                break
            # Every other agent is busy: the excluded ones count again.
            work.excluded.clear()
        return result

    def _send_pinned(
        self, now: float, work: requests.Work
    ) -> list[effects.Effect]:
        attempt = work.pinned
        agent = self._router.get_agent(attempt.instance)
        known = (
            agent is not None and agent.peer.incarnation == attempt.incarnation
        )
        if known and not self._router.has_room(
            now, attempt.instance, work.request.service
        ):
            return []
        self._begin(work)
        result: list[effects.Effect] = [self._tracker.send(now, work, attempt)]
        if known:
            self._tracker.count(now, attempt)
        else:
            attempt.lost_at = now
        self._schedule(now, work)
        return result

    def _begin(self, work: requests.Work) -> None:
        self._stop_waiting(work)
        work.phase = requests.Phase.SENT
        work.running = True
        self._limits.start(work.request.account)

    def _place(
        self, now: float, work: requests.Work, agent: messages.AgentState
    ) -> list[effects.Effect]:
        attempt = requests.Attempt(
            id=self._make_attempt_id(agent.peer.incarnation),
            instance=agent.peer.instance,
            incarnation=agent.peer.incarnation,
            expires_uptime=agent.uptime + EXPIRES_S,
        )
        self._begin(work)
        self._tracker.count(now, attempt)
        if work.settler is None:
            return self._send_first(now, work, attempt)
        work.phase = requests.Phase.CLAIMING
        work.planned = attempt
        wanted = claims.Claim(
            attempt=attempt.id,
            agent=attempt.instance,
            incarnation=attempt.incarnation,
            expires_uptime=attempt.expires_uptime,
            digest=work.digest.hex(),
        )
        return [work.settler.propose(now, work.claim, wanted)]

    def _send_first(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> list[effects.Effect]:
        work.phase = requests.Phase.SENT
        self._tracker.add(work, attempt)
        return [
            self._tracker.send(now, work, attempt),
            effects.Record(
                work.request.id,
                'sent',
                f'attempt {attempt.id} to {attempt.instance}',
            ),
        ]

    def _take_settlement(
        self,
        now: float,
        work: requests.Work,
        outcome: claims.StoreCall | claims.Settled | claims.Failed | None,
    ) -> list[effects.Effect]:
        match outcome:
            case None:
                return []
            case claims.Failed():
                return self._conclude_unanswered(
                    now,
                    work,
                    'nothing was sent: the store that records idempotency '
                    'keys does not answer',
                    RETRY_AFTER_S,
                )
            case claims.Settled(claim):
                return self._follow(now, work, claim)
        return [outcome]

    def _follow(
        self, now: float, work: requests.Work, claim: claims.Claim
    ) -> list[effects.Effect]:
        """Send the attempt that the store holds for the key."""
        planned, work.planned = work.planned, None
        work.claim = claim
        if claim.attempt == planned.id:
            return self._send_first(now, work, planned)
        self._tracker.uncount(now, planned, breaker.Outcome.ABANDONED)
        if claim.digest != work.digest.hex():
            return self._conclude_unanswered(
                now, work, 'the key was used with another request', None
            )
        attempt = requests.Attempt(
            claim.attempt, claim.agent, claim.incarnation, claim.expires_uptime
        )
        agent = self._router.get_agent(claim.agent)
        if agent is not None and agent.peer.incarnation == claim.incarnation:
            self._tracker.count(now, attempt)
        else:
            attempt.lost_at = now
        return self._send_first(now, work, attempt)

    def _take_answer(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        answer: verdicts.Answer,
    ) -> list[effects.Effect]:
        outcome = breaker.Outcome.ANSWERED
        if answer.status >= 500:
            outcome = breaker.Outcome.FAILED
        if attempt.sent is not None:
            self._limits.record_time(work.request.service, now - attempt.sent)
        self._tracker.remove(now, work, attempt, outcome)
        return self._conclude(now, work, verdicts.Ran(answer)) + self._pump(
            now, work.request.service
        )

    def _take_refusal(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        self._tracker.remove(
            now,
            work,
            attempt,
            _OUTCOMES.get(reason, breaker.Outcome.ABANDONED),
        )
        result: list[effects.Effect] = [
            effects.Record(
                work.request.id,
                'refused',
                f'attempt {attempt.id} by {attempt.instance}: {reason}',
            )
        ]
        if work.has_open_attempt() or work.phase is requests.Phase.WAITING:
            return result
        if work.phase is requests.Phase.ENDING:
            return result + self._conclude_unanswered(
                now, work, work.end_reason, None
            )
        if work.pinned is not None or reason == 'conflict':
            return result + self._conclude_unanswered(
                now,
                work,
                f'the agent that the key names refused: {reason}',
                RETRY_AFTER_S,
            )
        work.excluded.add(attempt.instance)
        work.refusals += 1
        if work.refusals > IMMEDIATE_RETRIES:
            work.not_before = now + limiting.compute_backoff(
                self._rng, work.refusals - IMMEDIATE_RETRIES
            )
        self._wait(work, first=True)
        result += self._pump(now, work.request.service)
        self._schedule(now, work)
        return result

    def _take_doubt(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        if attempt.doubtful:
            return []
        outcome = breaker.Outcome.FAILED
        if reason in ('cancelled', 'unknown-incarnation', 'record-dropped'):
            outcome = breaker.Outcome.ABANDONED
        attempt.doubtful = True
        self._tracker.uncount(now, attempt, outcome)
        return self._after_doubt(now, work, attempt, reason)

    def _after_doubt(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        result: list[effects.Effect] = [
            effects.Record(
                work.request.id,
                'uncertain',
                f'attempt {attempt.id} on {attempt.instance}: {reason}',
            )
        ]
        if work.has_open_attempt() or work.phase is requests.Phase.WAITING:
            return result
        if work.phase is requests.Phase.ENDING or not self._retry(
            now, work, attempt
        ):
            return result + self._conclude_unanswered(now, work, reason, None)
        return result + self._pump(now, work.request.service)

    def _retry(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> bool:
        """Let an idempotent request wait for another attempt."""
        if (
            not work.request.idempotent
            or work.pinned is not None
            or work.phase is not requests.Phase.SENT
            or work.retries >= MAX_RETRIES
            or now >= work.deadline
            or not self._limits.take_retry(now)
        ):
            return False
        work.retries += 1
        work.excluded.add(attempt.instance)
        work.not_before = now + limiting.compute_backoff(
            self._rng, work.retries
        )
        self._wait(work, first=True)
        self._schedule(now, work)
        return True

    def _take_state(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        state: str,
    ) -> list[effects.Effect]:
        if attempt.doubtful or attempt.sent is None:
            return []
        self._tracker.hear(now, attempt, state != 'unknown')
        if state == 'unknown' and work.phase is not requests.Phase.ENDING:
            return [self._tracker.send(now, work, attempt)]
        return []

    def _check(self, now: float, work: requests.Work) -> list[effects.Effect]:
        if work.phase is requests.Phase.ENDING:
            if now >= work.give_up:
                return self._conclude_unanswered(
                    now, work, work.end_reason, None
                )
            return self._tracker.cancel(work)
        if now >= work.deadline:
            return self._end(now, work, 'the deadline has passed')
        result: list[effects.Effect] = []
        if work.phase is requests.Phase.CLAIMING:
            result += self._take_settlement(now, work, work.settler.tick(now))
        elif (
            work.phase is requests.Phase.WAITING
            and not work.attempts
            and now >= work.waiting_since + NO_TARGET_WAIT_S
            and not self._router.knows_service(work.request.service)
        ):
            return self._conclude_unanswered(
                now,
                work,
                f'no target of service {work.request.service}',
                RETRY_AFTER_S,
            )
        for event in self._tracker.poll(now, work):
            match event:
                case tracking.Silent(attempt):
                    self._retry(now, work, attempt)
                case tracking.Lost(attempt):
                    result += self._after_doubt(
                        now, work, attempt, 'the agent is gone'
                    )
                case _:
                    result.append(event)
            if work.concluded:
                break
        return result

    def _schedule(self, now: float, work: requests.Work) -> None:
        if work.concluded:
            return
        if work.phase is requests.Phase.ENDING:
            due = min(work.give_up, now + tracking.CANCEL_REPEAT_S)
        else:
            due = min(work.deadline, self._tracker.next_due(work))
            if work.settler is not None and work.settler.due is not None:
                due = min(due, work.settler.due)
            if work.phase is requests.Phase.WAITING:
                check = work.waiting_since + NO_TARGET_WAIT_S
                due = min(due, check if check > now else now + POLL_SERVICE_S)
        heapq.heappush(self._timers, (due, work.request.id))

    def _end(
        self, now: float, work: requests.Work, reason: str
    ) -> list[effects.Effect]:
        """Stop a request; its verdict follows within the grace."""
        if not work.has_open_attempt():
            return self._conclude_unanswered(now, work, reason, None)
        self._stop_waiting(work)
        work.phase = requests.Phase.ENDING
        work.end_reason = reason
        work.give_up = now + CANCEL_GRACE_S
        return self._tracker.cancel(work)

    def _conclude_unanswered(
        self,
        now: float,
        work: requests.Work,
        reason: str,
        retry_after: float | None,
    ) -> list[effects.Effect]:
        if work.attempts:
            return self._conclude(now, work, verdicts.MayHaveRun(reason))
        return self._conclude(now, work, verdicts.NotRun(reason, retry_after))

    def _conclude(
        self, now: float, work: requests.Work, verdict: verdicts.Verdict
    ) -> list[effects.Effect]:
        self._stop_waiting(work)
        if work.running:
            self._limits.stop(work.request.account)
        result = self._tracker.cancel(work)
        for attempt in list(work.attempts.values()):
            self._tracker.remove(now, work, attempt, breaker.Outcome.ABANDONED)
        if work.planned is not None:
            self._tracker.uncount(now, work.planned, breaker.Outcome.ABANDONED)
        self._limits.release(work.request)
        work.concluded = True
        del self._works[work.request.id]
        result.append(effects.Conclude(work.request.id, verdict))
        return result

    def _make_attempt_id(self, agent_incarnation: str) -> str:
        self._sequence += 1
        return f'{agent_incarnation}.{self._incarnation}.{self._sequence}'


def _refuse(
    request: requests.Request, reason: str, retry_after: float | None
) -> list[effects.Effect]:
    return [effects.Conclude(request.id, verdicts.NotRun(reason, retry_after))]

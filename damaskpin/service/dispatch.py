"""Handling of service requests in an entry, from submission to verdict."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.peer import messages
from damaskpin.service import attempts
from damaskpin.service import claims
from damaskpin.service import ledger as ledgers
from damaskpin.service import outcomes
from damaskpin.service import placement
from damaskpin.service import requests

if TYPE_CHECKING:
    import random

    from damaskpin.service import limits as limiting
    from damaskpin.service import routing

LOG = logging.getLogger(__name__)

# An issued key can start its attempt for this long, counted in the uptime of
# the agent.
KEY_LIFETIME_S = 300.0
# Interval at which free slots are searched while requests wait. Slots become
# free not only by answers, but also by reports of agents, by the end of a
# back-off and by circuit breaker probes.
PUMP_S = 0.05
RETRY_AFTER_S = 1.0


class Dispatcher:
    """State machine that handles the service requests of one entry.

    :param instance: instance id of the entry.
    :param incarnation: incarnation of the entry; part of the attempt ids,
        which makes them unique.
    :param router: chooses the agent of each attempt.
    :param limits: admission limits.
    :param rng: random source for the jitter of delays.
    :param key_secret: secret of the fleet that authenticates issued keys.
    """

    __slots__ = (
        '_draining',
        '_key_secret',
        '_ledger',
        '_limits',
        '_next_pump',
        '_outcomes',
        '_placement',
        '_router',
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
        self._key_secret = key_secret
        self._router = router
        self._limits = limits
        self._ledger = ledgers.Ledger(router, limits, rng)
        self._placement = placement.Placement(
            self._ledger, limits, incarnation
        )
        self._outcomes = outcomes.Outcomes(self._ledger, limits, rng)
        self._next_pump = 0.0
        self._draining = False

    def __len__(self) -> int:
        return len(self._ledger)

    @property
    def waiting(self) -> int:
        """Number of requests that are waiting for a slot."""
        return self._ledger.queue.size

    def submit(
        self, now: float, request: requests.Request
    ) -> list[effects.Effect]:
        """Admit or refuse a request; its verdict is delivered as an effect."""
        if self._ledger.get(request.id) is not None:
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
        )
        try:
            self._read_key(work)
        except errors.RequestError as error:
            return _refuse(request, str(error), None)
        refusal = self._limits.admit(
            now,
            request,
            self._ledger.queue.count_ahead(request.service, request.priority),
            self._router.count_slots(request.service),
        )
        if refusal is not None:
            LOG.info(
                'request %s of account %s refused: %s',
                request.id,
                request.account,
                refusal.reason,
            )
            return _refuse(request, refusal.reason, refusal.retry_after)
        result = self._make_place(now, request)
        if result is None:
            self._limits.release(request)
            return _refuse(
                request,
                f'queue full: {self.waiting} requests are waiting',
                RETRY_AFTER_S,
            )
        self._ledger.add(work)
        result += self._placement.pump(now, request.service)
        self._ledger.schedule(now, work)
        return result

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message from an agent; ignore late and repeated ones.

        :param sender: instance id of the agent.
        """
        match message:
            case messages.RunAnswer(attempt_id, detail):
                take = self._outcomes.take_answer
            case messages.RunRefused(attempt_id, 'unknown-incarnation'):
                # A restarted agent can't know what its earlier incarnation
                # ran: this refusal does not prove that the attempt never ran.
                take, detail = self._outcomes.take_doubt, message.reason
            case messages.RunRefused(attempt_id, detail):
                take = self._outcomes.take_refusal
            case messages.RunUncertain(attempt_id, detail):
                take = self._outcomes.take_doubt
            case messages.RunState(attempt_id, detail):
                take = self._outcomes.take_state
            case _:
                return []
        result: list[effects.Effect] = []
        services: set[str] = set()
        for work, attempt in self._ledger.tracker.find(sender, attempt_id):
            result += take(now, work, attempt, detail)
            self._ledger.schedule(now, work)
            services.add(work.request.service)
        for service in sorted(services):
            result += self._placement.pump(now, service)
        return result

    def tick(self, now: float) -> list[effects.Effect]:
        """Handle due deadlines, queries and store calls, and fill slots."""
        result: list[effects.Effect] = []
        while (work := self._ledger.pop_due(now)) is not None:
            result += self._check(now, work)
            self._ledger.schedule(now, work)
        if self.waiting and now >= self._next_pump:
            self._next_pump = now + PUMP_S
            for service in self._ledger.queue.list_services():
                result += self._placement.pump(now, service)
        return result

    def next_wakeup(self) -> float | None:
        """Return the monotonic time of the next ``tick``, or ``None``."""
        due = self._ledger.next_due()
        if self.waiting:
            due = self._next_pump if due is None else min(due, self._next_pump)
        return due

    def cancel(self, now: float, request_id: str) -> list[effects.Effect]:
        """Cancel a request on behalf of its caller."""
        work = self._ledger.get(request_id)
        if work is None or work.phase is requests.Phase.ENDING:
            return []
        result = self._ledger.end(now, work, 'cancelled by the caller')
        self._ledger.schedule(now, work)
        return result

    def agent_lost(
        self, now: float, instance: str, incarnation: str
    ) -> list[effects.Effect]:
        """Handle the loss of an agent that was reported by the membership."""
        result: list[effects.Effect] = []
        tracker = self._ledger.tracker
        for work, attempt in tracker.list_on(instance, incarnation):
            if attempt.uncertain or attempt.lost_at is not None:
                continue
            result.append(tracker.lose(now, attempt))
            self._ledger.schedule(now, work)
        return result

    def store_result(
        self,
        now: float,
        request_id: str,
        step: int,
        store_result: claims.StoreResult,
    ) -> list[effects.Effect]:
        """Handle the result of a store call.

        :param step: number of the store call.
        """
        work = self._ledger.get(request_id)
        if work is None or work.settler is None:
            return []
        outcome = work.settler.receive(now, step, store_result)
        result = self._placement.take_settlement(now, work, outcome)
        self._ledger.schedule(now, work)
        return result

    def issue_key(self, now: float, account: str, service: str) -> str | None:
        """Issue an idempotency key that needs no claim in the store.

        :returns: the key, or ``None`` if no agent has a free slot.
        """
        agent = self._router.choose(now, service)
        if agent is None:
            return None
        key = claims.IssuedKey(
            account=account,
            service=service,
            attempt=self._placement.make_attempt_id(agent.peer.incarnation),
            agent=agent.peer.instance,
            incarnation=agent.peer.incarnation,
            expires_uptime=agent.uptime + KEY_LIFETIME_S,
        )
        return claims.format_key(self._key_secret, key)

    def drain(self) -> None:
        """Refuse new requests from now on, and finish those in progress."""
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
        if self._ledger.tracker.is_taken(key.attempt, work.digest):
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
        """Shed a waiting request of lower priority if the queue is full.

        :returns: effects, or ``None`` if the queue stays full.
        """
        if self.waiting < self._limits.max_queued:
            return []
        victim = self._ledger.queue.find_victim(request.priority)
        if victim is None:
            return None
        LOG.warning(
            'queue full: request %s shed in favour of request %s',
            victim.request.id,
            request.id,
        )
        return self._ledger.conclude_unanswered(
            now,
            victim,
            'shed in favour of a request of higher priority',
            RETRY_AFTER_S,
        )

    def _check(self, now: float, work: requests.Work) -> list[effects.Effect]:
        if work.phase is requests.Phase.ENDING:
            if now >= work.give_up:
                return self._ledger.conclude_unanswered(
                    now, work, work.end_reason
                )
            return self._ledger.tracker.cancel(work)
        if now >= work.deadline:
            return self._ledger.end(
                now, work, 'the deadline has passed', RETRY_AFTER_S
            )
        if work.phase is requests.Phase.CLAIMING:
            return self._placement.take_settlement(
                now, work, work.settler.tick(now)
            )
        if self._ledger.is_without_target(now, work):
            return self._ledger.conclude_unanswered(
                now,
                work,
                f'no target of service {work.request.service}',
                RETRY_AFTER_S,
            )
        return self._outcomes.poll(now, work)


def _refuse(
    request: requests.Request, reason: str, retry_after: float | None
) -> list[effects.Effect]:
    return [
        effects.DeliverVerdict(
            request.id, verdicts.NotRun(reason, retry_after)
        )
    ]

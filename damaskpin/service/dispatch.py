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

# Time for which an idempotency key that an entry issued can start its attempt,
# counted in the uptime of the agent that the key names.
KEY_LIFETIME_S = 300.0
# Interval at which free slots are searched while requests wait. Slots become
# free not only by answers, but also by reports of agents, by the end of a
# back-off and by circuit breaker probes.
FILL_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0


class Dispatcher:
    """State machine that handles the service requests of one entry.

    :param instance: instance id of the entry.
    :param incarnation: id of this run of the entry's process; part of the
        attempt ids, which makes them unique.
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
        '_next_fill',
        '_outcome_handler',
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
        self._outcome_handler = outcomes.OutcomeHandler(
            self._ledger, limits, rng
        )
        self._next_fill = 0.0
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
        pending = requests.PendingRequest(
            request=request,
            digest=attempts.compute_request_digest(
                request.service, request.content_type, request.body
            ),
            submitted_at=now,
            deadline=now + request.deadline_seconds,
        )
        try:
            self._apply_key(pending)
        except errors.RequestError as error:
            return _refuse(request, str(error), None)
        refusal = self._limits.admit(
            now,
            request,
            self._ledger.queue.count_requests_ahead(
                request.service, request.priority
            ),
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
        result = self._make_queue_space(now, request)
        if result is None:
            self._limits.release_body(request)
            return _refuse(
                request,
                f'queue full: {self.waiting} requests are waiting',
                RETRY_AFTER_S,
            )
        self._ledger.add(pending)
        result += self._placement.fill_free_slots(now, request.service)
        self._ledger.schedule_check(now, pending)
        return result

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message from an agent; ignore it if late or repeated.

        :param sender: instance id of the agent.
        """
        match message:
            case messages.RunAnswer(attempt_id, detail):
                handle = self._outcome_handler.handle_answer
            case messages.RunRefused(attempt_id, 'unknown-incarnation'):
                # A restarted agent does not know what it ran before: this
                # refusal does not prove that the attempt never ran.
                handle, detail = (
                    self._outcome_handler.handle_uncertain,
                    message.reason,
                )
            case messages.RunRefused(attempt_id, detail):
                handle = self._outcome_handler.handle_refusal
            case messages.RunUncertain(attempt_id, detail):
                handle = self._outcome_handler.handle_uncertain
            case messages.RunState(attempt_id, detail):
                handle = self._outcome_handler.handle_state
            case _:
                return []
        result: list[effects.Effect] = []
        services: set[str] = set()
        for pending, attempt in self._ledger.tracker.find_requests(
            sender, attempt_id
        ):
            result += handle(now, pending, attempt, detail)
            self._ledger.schedule_check(now, pending)
            services.add(pending.request.service)
        for service in sorted(services):
            result += self._placement.fill_free_slots(now, service)
        return result

    def tick(self, now: float) -> list[effects.Effect]:
        """Handle due deadlines, queries and store calls, and fill slots."""
        result: list[effects.Effect] = []
        while (pending := self._ledger.pop_due_request(now)) is not None:
            result += self._check_request(now, pending)
            self._ledger.schedule_check(now, pending)
        if self.waiting and now >= self._next_fill:
            self._next_fill = now + FILL_INTERVAL_S
            for service in self._ledger.queue.list_services():
                result += self._placement.fill_free_slots(now, service)
        return result

    def next_wakeup(self) -> float | None:
        """Return the monotonic time of the next ``tick``, or ``None``."""
        due = self._ledger.get_next_check_time()
        if self.waiting:
            due = self._next_fill if due is None else min(due, self._next_fill)
        return due

    def cancel(self, now: float, request_id: str) -> list[effects.Effect]:
        """Cancel a request on behalf of its caller."""
        pending = self._ledger.get(request_id)
        if pending is None or pending.phase is requests.Phase.CANCELLING:
            return []
        result = self._ledger.cancel_request(
            now, pending, 'cancelled by the caller'
        )
        self._ledger.schedule_check(now, pending)
        return result

    def handle_agent_loss(
        self, now: float, instance: str, incarnation: str
    ) -> list[effects.Effect]:
        """Handle the loss of an agent that was reported by the membership."""
        result: list[effects.Effect] = []
        tracker = self._ledger.tracker
        for pending, attempt in tracker.list_attempts_on(
            instance, incarnation
        ):
            if attempt.uncertain or attempt.lost_at is not None:
                continue
            result.append(tracker.record_loss(now, attempt))
            self._ledger.schedule_check(now, pending)
        return result

    def receive_store_result(
        self,
        now: float,
        request_id: str,
        step: int,
        store_result: claims.StoreResult,
    ) -> list[effects.Effect]:
        """Handle the result of a store call.

        :param step: number of the store call.
        """
        pending = self._ledger.get(request_id)
        if pending is None or pending.claim_writer is None:
            return []
        outcome = pending.claim_writer.receive(now, step, store_result)
        result = self._placement.handle_claim_outcome(now, pending, outcome)
        self._ledger.schedule_check(now, pending)
        return result

    def issue_key(self, now: float, account: str, service: str) -> str | None:
        """Issue an idempotency key to a caller; it needs no store claim.

        :returns: the key, or ``None`` if no agent has a free slot.
        """
        agent = self._router.choose_agent(now, service)
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

    def _apply_key(self, pending: requests.PendingRequest) -> None:
        request = pending.request
        text = request.idempotency_key
        if not text:
            return
        if not text.startswith(claims.KEY_PREFIX):
            if not request.idempotent:
                pending.claim_writer = claims.ClaimWriter(
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
        if self._ledger.tracker.is_used_by_other(key.attempt, pending.digest):
            raise errors.RequestError(
                422,
                'Idempotency key reused',
                'the key was used with another request',
            )
        pending.pinned_attempt = requests.Attempt(
            key.attempt, key.agent, key.incarnation, key.expires_uptime
        )

    def _make_queue_space(
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
        return self._ledger.conclude_without_answer(
            now,
            victim,
            'shed in favour of a request of higher priority',
            RETRY_AFTER_S,
        )

    def _check_request(
        self, now: float, pending: requests.PendingRequest
    ) -> list[effects.Effect]:
        if pending.phase is requests.Phase.CANCELLING:
            if now >= pending.conclude_by:
                return self._ledger.conclude_without_answer(
                    now, pending, pending.end_reason
                )
            return self._ledger.tracker.cancel(pending)
        if now >= pending.deadline:
            return self._ledger.cancel_request(
                now, pending, 'the deadline has passed', RETRY_AFTER_S
            )
        if pending.phase is requests.Phase.CLAIMING:
            return self._placement.handle_claim_outcome(
                now, pending, pending.claim_writer.tick(now)
            )
        if self._ledger.is_target_wait_over(now, pending):
            return self._ledger.conclude_without_answer(
                now,
                pending,
                f'no target of service {pending.request.service}',
                RETRY_AFTER_S,
            )
        return self._outcome_handler.poll(now, pending)


def _refuse(
    request: requests.Request, reason: str, retry_after: float | None
) -> list[effects.Effect]:
    return [
        effects.DeliverVerdict(
            request.id, verdicts.NotRun(reason, retry_after)
        )
    ]

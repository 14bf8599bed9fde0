"""Entry side of service requests: from submission to a truthful verdict."""

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

# Time for the first use of an issued key, in the agent's uptime.
KEY_LIFETIME_S = 300.0
# Free slots are looked for this often while requests wait: slots also become
# free through reports, back-off and probes.
PUMP_S = 0.05
RETRY_AFTER_S = 1.0


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
        """Number of requests that wait for a slot."""
        return self._ledger.queue.size

    def submit(
        self, now: float, request: requests.Request
    ) -> list[effects.Effect]:
        """Accept a request; a verdict follows, perhaps at once."""
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
                f'{self.waiting} requests are waiting',
                RETRY_AFTER_S,
            )
        self._ledger.add(work)
        result += self._placement.pump(now, request.service)
        self._ledger.schedule(now, work)
        return result

    def receive(
        self, now: float, sender: str, message: messages.Message
    ) -> list[effects.Effect]:
        """Handle a message of an agent; late and repeated ones are ignored.

        :param sender: instance id of the agent.
        """
        match message:
            case messages.RunAnswer(attempt_id, detail):
                take = self._outcomes.take_answer
            case messages.RunRefused(attempt_id, 'unknown-incarnation'):
                # A successor can't promise this for its predecessor.
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
        """Do what is due: deadlines, queries, store calls and waiting."""
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
        """Return when ``tick`` is due, or ``None`` when nothing waits."""
        due = self._ledger.next_due()
        if self.waiting:
            due = self._next_pump if due is None else min(due, self._next_pump)
        return due

    def cancel(self, now: float, request_id: str) -> list[effects.Effect]:
        """End a request for its caller."""
        work = self._ledger.get(request_id)
        if work is None or work.phase is requests.Phase.ENDING:
            return []
        result = self._ledger.end(now, work, 'cancelled by the caller')
        self._ledger.schedule(now, work)
        return result

    def agent_lost(
        self, now: float, instance: str, incarnation: str
    ) -> list[effects.Effect]:
        """Handle the loss of an agent that membership reports."""
        result: list[effects.Effect] = []
        tracker = self._ledger.tracker
        for work, attempt in tracker.list_on(instance, incarnation):
            if attempt.doubtful or attempt.lost_at is not None:
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

        :param step: step of the call that it answers.
        """
        work = self._ledger.get(request_id)
        if work is None or work.settler is None:
            return []
        outcome = work.settler.receive(now, step, store_result)
        result = self._placement.take_settlement(now, work, outcome)
        self._ledger.schedule(now, work)
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
            attempt=self._placement.make_attempt_id(agent.peer.incarnation),
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
        """Shed a less important request when the queue is full.

        :returns: effects, or ``None`` when there is no place.
        """
        if self.waiting < self._limits.max_queued:
            return []
        victim = self._ledger.queue.find_victim(request.priority)
        if victim is None:
            return None
        LOG.warning('request %s shed for %s', victim.request.id, request.id)
        return self._ledger.conclude_unanswered(
            now, victim, 'shed for more important requests', RETRY_AFTER_S
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

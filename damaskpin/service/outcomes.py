"""Handling of answers, refusals and silence of agents in an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.service import breaker
from damaskpin.service import limits as limiting
from damaskpin.service import requests
from damaskpin.service import tracking

if TYPE_CHECKING:
    import random

    from damaskpin.service import ledger as ledgers

IMMEDIATE_RETRIES = 2
MAX_RETRIES = 3
RETRY_AFTER_S = 1.0

_REFUSAL_OUTCOMES = {
    'busy': breaker.Outcome.BUSY,
    'leaving': breaker.Outcome.TARGET_LEAVING,
    'no-target': breaker.Outcome.TARGET_LEAVING,
    'draining': breaker.Outcome.TARGET_LEAVING,
    'unreachable': breaker.Outcome.FAILED,
}
# Reasons of an uncertain outcome that are not evidence of an unhealthy target.
_HEALTH_NEUTRAL_REASONS = frozenset(
    {'cancelled', 'unknown-incarnation', 'record-dropped'}
)


class OutcomeHandler:
    """Retries or concludes requests according to the outcome of attempts.

    :param ledger: requests in progress.
    :param limits: retry budget and mean service times.
    :param rng: random source for the jitter of back-off delays.
    """

    __slots__ = ('_ledger', '_limits', '_rng')

    def __init__(
        self,
        ledger: ledgers.Ledger,
        limits: limiting.Limits,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._limits = limits
        self._rng = rng

    def handle_answer(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        answer: verdicts.Answer,
    ) -> list[effects.Effect]:
        """Conclude a request with the complete answer of an attempt."""
        outcome = breaker.Outcome.ANSWERED
        if answer.status >= 500:
            outcome = breaker.Outcome.FAILED
        if attempt.sent_at is not None:
            self._limits.record_service_time(
                pending.request.service, now - attempt.sent_at
            )
        self._ledger.tracker.remove(now, pending, attempt, outcome)
        return self._ledger.conclude(now, pending, verdicts.Ran(answer))

    def handle_refusal(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Handle the refusal of an attempt.

        The agent guarantees that a refused attempt never runs.
        """
        self._ledger.tracker.remove(
            now,
            pending,
            attempt,
            _REFUSAL_OUTCOMES.get(reason, breaker.Outcome.ABANDONED),
        )
        result: list[effects.Effect] = [
            effects.Record(
                pending.request.id,
                'refused',
                f'attempt {attempt.id} by {attempt.instance}: {reason}',
            )
        ]
        if reason == 'conflict':
            return result + self._ledger.conclude(
                now,
                pending,
                verdicts.NotRun('the key was used with another request'),
            )
        if (
            pending.has_open_attempt()
            or pending.phase is requests.Phase.WAITING
        ):
            return result
        if pending.phase is requests.Phase.CANCELLING:
            return result + self._ledger.conclude_without_answer(
                now, pending, pending.end_reason
            )
        if pending.pinned_attempt is not None:
            return result + self._ledger.conclude_without_answer(
                now,
                pending,
                f'the agent that the key names refused: {reason}; a new key '
                'is needed',
                RETRY_AFTER_S,
            )
        pending.excluded_agents.add(attempt.instance)
        pending.refusal_count += 1
        if pending.refusal_count > IMMEDIATE_RETRIES:
            pending.next_attempt_at = now + limiting.compute_backoff(
                self._rng, pending.refusal_count - IMMEDIATE_RETRIES
            )
        self._ledger.enqueue(pending, at_front=True)
        return result

    def handle_uncertain(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Handle an attempt that may have run but will have no answer."""
        if attempt.uncertain:
            return []
        outcome = breaker.Outcome.FAILED
        if reason in _HEALTH_NEUTRAL_REASONS:
            outcome = breaker.Outcome.ABANDONED
        attempt.uncertain = True
        self._ledger.tracker.release_slot(now, attempt, outcome)
        return self._retry_or_conclude(now, pending, attempt, reason)

    def handle_state(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        state: str,
    ) -> list[effects.Effect]:
        """Handle the reply to a query about an open attempt."""
        if attempt.uncertain or attempt.sent_at is None:
            return []
        self._ledger.tracker.record_reply(now, attempt, state != 'unknown')
        if (
            state == 'unknown'
            and pending.phase is not requests.Phase.CANCELLING
        ):
            return [self._ledger.tracker.send(now, pending, attempt)]
        return []

    def poll(
        self, now: float, pending: requests.PendingRequest
    ) -> list[effects.Effect]:
        """Query open attempts, and handle silent and lost agents."""
        result: list[effects.Effect] = []
        for event in self._ledger.tracker.poll(now, pending):
            match event:
                case tracking.AgentSilent(attempt):
                    # The attempt on the silent agent stays open, because its
                    # answer may still arrive.
                    if pending.phase is requests.Phase.SENT:
                        self._retry(now, pending, attempt)
                case tracking.AgentLost(attempt):
                    result += self._retry_or_conclude(
                        now, pending, attempt, 'the agent was lost'
                    )
                case _:
                    result.append(event)
            if pending.concluded:
                break
        return result

    def _retry_or_conclude(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Retry or conclude a request after an attempt became uncertain."""
        result: list[effects.Effect] = [
            effects.Record(
                pending.request.id,
                'uncertain',
                f'attempt {attempt.id} on {attempt.instance}: {reason}',
            )
        ]
        if (
            pending.has_open_attempt()
            or pending.phase is requests.Phase.WAITING
        ):
            return result
        if pending.phase is requests.Phase.SENT and self._retry(
            now, pending, attempt
        ):
            return result
        reason = pending.end_reason or reason
        return result + self._ledger.conclude_without_answer(
            now, pending, reason
        )

    def _retry(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
    ) -> bool:
        """Put a request into the queue for a retry, if that is allowed.

        Only idempotent requests are retried, within the retry budget.
        """
        if (
            not pending.request.idempotent
            or pending.pinned_attempt is not None
            or pending.retry_count >= MAX_RETRIES
            or now >= pending.deadline
            or not self._limits.take_retry_token(now)
        ):
            return False
        pending.retry_count += 1
        pending.excluded_agents.add(attempt.instance)
        pending.next_attempt_at = now + limiting.compute_backoff(
            self._rng, pending.retry_count
        )
        self._ledger.enqueue(pending, at_front=True)
        return True

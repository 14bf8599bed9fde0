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
    'leaving': breaker.Outcome.LEFT,
    'no-target': breaker.Outcome.LEFT,
    'draining': breaker.Outcome.LEFT,
    'unreachable': breaker.Outcome.FAILED,
}
# Reasons of an uncertain outcome that are not evidence of an unhealthy target.
_NEUTRAL_DOUBTS = frozenset(
    {'cancelled', 'unknown-incarnation', 'record-dropped'}
)


class Outcomes:
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

    def take_answer(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        answer: verdicts.Answer,
    ) -> list[effects.Effect]:
        """Conclude a request with the complete answer of an attempt."""
        outcome = breaker.Outcome.ANSWERED
        if answer.status >= 500:
            outcome = breaker.Outcome.FAILED
        if attempt.sent is not None:
            self._limits.record_time(work.request.service, now - attempt.sent)
        self._ledger.tracker.remove(now, work, attempt, outcome)
        return self._ledger.conclude(now, work, verdicts.Ran(answer))

    def take_refusal(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Handle the refusal of an attempt, which guarantees it never runs."""
        self._ledger.tracker.remove(
            now,
            work,
            attempt,
            _REFUSAL_OUTCOMES.get(reason, breaker.Outcome.ABANDONED),
        )
        result: list[effects.Effect] = [
            effects.Record(
                work.request.id,
                'refused',
                f'attempt {attempt.id} by {attempt.instance}: {reason}',
            )
        ]
        if reason == 'conflict':
            return result + self._ledger.conclude(
                now,
                work,
                verdicts.NotRun('the key was used with another request'),
            )
        if work.has_open_attempt() or work.phase is requests.Phase.WAITING:
            return result
        if work.phase is requests.Phase.ENDING:
            return result + self._ledger.conclude_unanswered(
                now, work, work.end_reason
            )
        if work.pinned is not None:
            return result + self._ledger.conclude_unanswered(
                now,
                work,
                f'the agent that the key names refused: {reason}; a new key '
                'is needed',
                RETRY_AFTER_S,
            )
        work.excluded.add(attempt.instance)
        work.refusals += 1
        if work.refusals > IMMEDIATE_RETRIES:
            work.not_before = now + limiting.compute_backoff(
                self._rng, work.refusals - IMMEDIATE_RETRIES
            )
        self._ledger.wait(work, first=True)
        return result

    def take_doubt(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Handle an attempt that may have run but will have no answer."""
        if attempt.uncertain:
            return []
        outcome = breaker.Outcome.FAILED
        if reason in _NEUTRAL_DOUBTS:
            outcome = breaker.Outcome.ABANDONED
        attempt.uncertain = True
        self._ledger.tracker.uncount(now, attempt, outcome)
        return self._go_on(now, work, attempt, reason)

    def take_state(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        state: str,
    ) -> list[effects.Effect]:
        """Handle the reply to a query about an open attempt."""
        if attempt.uncertain or attempt.sent is None:
            return []
        self._ledger.tracker.hear(now, attempt, state != 'unknown')
        if state == 'unknown' and work.phase is not requests.Phase.ENDING:
            return [self._ledger.tracker.send(now, work, attempt)]
        return []

    def poll(self, now: float, work: requests.Work) -> list[effects.Effect]:
        """Query open attempts, and handle silent and lost agents."""
        result: list[effects.Effect] = []
        for event in self._ledger.tracker.poll(now, work):
            match event:
                case tracking.Silent(attempt):
                    # The attempt stays open, as its answer may still arrive.
                    if work.phase is requests.Phase.SENT:
                        self._retry(now, work, attempt)
                case tracking.Lost(attempt):
                    result += self._go_on(
                        now, work, attempt, 'the agent was lost'
                    )
                case _:
                    result.append(event)
            if work.concluded:
                break
        return result

    def _go_on(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        reason: str,
    ) -> list[effects.Effect]:
        """Retry or conclude a request after an attempt became uncertain."""
        result: list[effects.Effect] = [
            effects.Record(
                work.request.id,
                'uncertain',
                f'attempt {attempt.id} on {attempt.instance}: {reason}',
            )
        ]
        if work.has_open_attempt() or work.phase is requests.Phase.WAITING:
            return result
        if work.phase is requests.Phase.SENT and self._retry(
            now, work, attempt
        ):
            return result
        reason = work.end_reason or reason
        return result + self._ledger.conclude_unanswered(now, work, reason)

    def _retry(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> bool:
        """Put a request into the queue for a retry, if that is allowed.

        Only idempotent requests are retried, within the retry budget.
        """
        if (
            not work.request.idempotent
            or work.pinned is not None
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
        self._ledger.wait(work, first=True)
        return True

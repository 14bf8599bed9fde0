"""Tracking of the attempts of an entry: queries, silence and loss."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.peer import messages
from damaskpin.service import breaker

if TYPE_CHECKING:
    from collections.abc import Iterator
    import random

    from damaskpin.service import requests
    from damaskpin.service import routing

POLL_INTERVAL_S = 1.0
MAX_POLL_INTERVAL_S = 5.0
# Number of unanswered queries after which an agent counts as silent.
MAX_UNANSWERED_QUERIES = 3
# Time for an agent that was reported as lost to answer a last query.
LOST_GRACE_S = 1.0
# Interval at which cancellations are repeated until the request concludes.
CANCEL_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSilent:
    """Event: the agent of an open attempt does not answer queries."""

    attempt: requests.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class AgentLost:
    """Event: the agent of an attempt was lost.

    The outcome of the attempt is uncertain.
    """

    attempt: requests.Attempt


class Tracker:
    """Index of the attempts of all requests of an entry.

    :param router: router that records the start and end of attempts.
    :param rng: random source for the jitter of queries.
    """

    __slots__ = ('_requests_by_attempt', '_rng', '_router')

    def __init__(self, router: routing.Router, rng: random.Random) -> None:
        self._router = router
        self._rng = rng
        # Requests by attempt id and request id. Requests with the same
        # idempotency key share an attempt.
        self._requests_by_attempt: dict[
            str, dict[str, requests.PendingRequest]
        ] = {}

    def find_requests(
        self, sender: str, attempt_id: str
    ) -> list[tuple[requests.PendingRequest, requests.Attempt]]:
        """Return the requests that have an attempt on the sender of a message.

        :param sender: instance id of an agent.
        """
        return [
            (pending, pending.attempts[attempt_id])
            for pending in self._requests_by_attempt.get(
                attempt_id, {}
            ).values()
            if pending.attempts[attempt_id].instance == sender
        ]

    def is_used_by_other(self, attempt_id: str, digest: bytes) -> bool:
        """Return whether an attempt belongs to a different request.

        :param digest: digest of the request that wants to use the attempt.
        """
        return any(
            pending.digest != digest
            for pending in self._requests_by_attempt.get(
                attempt_id, {}
            ).values()
        )

    def list_attempts_on(
        self, instance: str, incarnation: str
    ) -> list[tuple[requests.PendingRequest, requests.Attempt]]:
        """Return the tracked attempts on an agent, with their requests."""
        return [
            (pending, attempt)
            for pending_requests in self._requests_by_attempt.values()
            for pending in pending_requests.values()
            for attempt in pending.attempts.values()
            if attempt.instance == instance
            and attempt.incarnation == incarnation
        ]

    def add(
        self, pending: requests.PendingRequest, attempt: requests.Attempt
    ) -> None:
        """Start tracking an attempt of a request."""
        pending.attempts[attempt.id] = attempt
        pending_requests = self._requests_by_attempt.setdefault(attempt.id, {})
        pending_requests[pending.request.id] = pending

    def remove(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
        outcome: breaker.Outcome,
    ) -> None:
        """Stop tracking an attempt of a request."""
        self.release_slot(now, attempt, outcome)
        del pending.attempts[attempt.id]
        pending_requests = self._requests_by_attempt[attempt.id]
        del pending_requests[pending.request.id]
        if not pending_requests:
            del self._requests_by_attempt[attempt.id]

    def occupy_slot(self, now: float, attempt: requests.Attempt) -> None:
        """Record with the router that an attempt occupies a slot."""
        if not attempt.occupies_slot:
            attempt.occupies_slot = True
            self._router.record_attempt_start(now, attempt.instance)

    def release_slot(
        self,
        now: float,
        attempt: requests.Attempt,
        outcome: breaker.Outcome,
    ) -> None:
        """Record with the router that an attempt has released its slot."""
        if attempt.occupies_slot:
            attempt.occupies_slot = False
            seconds = (
                None if attempt.sent_at is None else now - attempt.sent_at
            )
            self._router.record_attempt_end(
                now, attempt.instance, outcome, seconds
            )

    def send(
        self,
        now: float,
        pending: requests.PendingRequest,
        attempt: requests.Attempt,
    ) -> effects.Send:
        """Return the message that sends or resends an attempt to its agent."""
        if attempt.sent_at is None:
            attempt.sent_at = now
            attempt.poll_interval = POLL_INTERVAL_S
            attempt.next_poll_at = now + POLL_INTERVAL_S
        request = pending.request
        return effects.Send(
            attempt.instance,
            messages.RunRequest(
                attempt=attempt.id,
                incarnation=attempt.incarnation,
                service=request.service,
                account=request.account,
                expires_uptime=attempt.expires_uptime,
                timeout=max(0.0, pending.deadline - now),
                body=request.body,
                content_type=request.content_type,
                trace=request.trace,
            ),
        )

    def record_reply(
        self, now: float, attempt: requests.Attempt, attempt_known: bool
    ) -> None:
        """Record the reply of an agent to a query about an attempt.

        :param attempt_known: whether the agent knows the attempt.
        """
        attempt.unanswered_queries = 0
        attempt.lost_at = None
        if attempt_known:
            attempt.poll_interval = min(
                attempt.poll_interval * 2, MAX_POLL_INTERVAL_S
            )
        attempt.next_poll_at = now + attempt.poll_interval

    def record_loss(
        self, now: float, attempt: requests.Attempt
    ) -> effects.Send:
        """Record that the agent of an attempt was lost; send a last query."""
        attempt.lost_at = now
        self.release_slot(now, attempt, breaker.Outcome.SILENT)
        return _make_query(attempt)

    def poll(
        self, now: float, pending: requests.PendingRequest
    ) -> Iterator[effects.Send | AgentSilent | AgentLost]:
        """Yield the due queries and events of a request's open attempts."""
        for attempt in list(pending.attempts.values()):
            if attempt.uncertain or attempt.sent_at is None:
                continue
            if attempt.lost_at is not None:
                if now >= attempt.lost_at + LOST_GRACE_S:
                    attempt.uncertain = True
                    yield AgentLost(attempt)
                continue
            if now < attempt.next_poll_at:
                continue
            attempt.unanswered_queries += 1
            attempt.next_poll_at = now + POLL_INTERVAL_S * self._rng.uniform(
                0.8, 1.2
            )
            yield _make_query(attempt)
            if (
                attempt.unanswered_queries > MAX_UNANSWERED_QUERIES
                and not attempt.silent
            ):
                attempt.silent = True
                self.release_slot(now, attempt, breaker.Outcome.SILENT)
                yield AgentSilent(attempt)

    def get_next_event_time(self, pending: requests.PendingRequest) -> float:
        """Return the time of the next query or event of a request."""
        due = float('inf')
        for attempt in pending.attempts.values():
            if attempt.uncertain or attempt.sent_at is None:
                continue
            if attempt.lost_at is not None:
                due = min(due, attempt.lost_at + LOST_GRACE_S)
            else:
                due = min(due, attempt.next_poll_at)
        return due

    def cancel(self, pending: requests.PendingRequest) -> list[effects.Effect]:
        """Return cancellations for the open attempts of a request."""
        return [
            effects.Send(
                attempt.instance,
                messages.CancelRequest(
                    attempt.id, attempt.incarnation, attempt.expires_uptime
                ),
            )
            for attempt in pending.attempts.values()
            if not attempt.uncertain
        ]


def _make_query(attempt: requests.Attempt) -> effects.Send:
    return effects.Send(
        attempt.instance,
        messages.QueryRun(
            attempt.id, attempt.incarnation, attempt.expires_uptime
        ),
    )

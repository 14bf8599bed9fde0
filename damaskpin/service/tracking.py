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

POLL_S = 1.0
MAX_POLL_S = 5.0
# Number of unanswered queries after which an agent counts as silent.
SILENT_QUERIES = 3
# Time for an agent that was reported as lost to answer a last query.
LOST_GRACE_S = 1.0
# Interval at which cancellations are repeated until the request concludes.
CANCEL_REPEAT_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Event: the agent of an open attempt does not answer queries."""

    attempt: requests.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Event: the agent of an attempt was lost, its outcome is uncertain."""

    attempt: requests.Attempt


class Tracker:
    """Index of the attempts of all requests of an entry.

    :param router: router that records the start and end of attempts.
    :param rng: random source for the jitter of queries.
    """

    __slots__ = ('_by_attempt', '_rng', '_router')

    def __init__(self, router: routing.Router, rng: random.Random) -> None:
        self._router = router
        self._rng = rng
        # Requests by attempt id and request id: requests with the same
        # idempotency key share an attempt.
        self._by_attempt: dict[str, dict[str, requests.Work]] = {}

    def find(
        self, sender: str, attempt_id: str
    ) -> list[tuple[requests.Work, requests.Attempt]]:
        """Return the requests with an attempt that is bound to the sender.

        :param sender: instance id of an agent.
        """
        return [
            (work, work.attempts[attempt_id])
            for work in self._by_attempt.get(attempt_id, {}).values()
            if work.attempts[attempt_id].instance == sender
        ]

    def is_taken(self, attempt_id: str, digest: bytes) -> bool:
        """Return whether an attempt belongs to a different request.

        :param digest: digest of the request that wants to use the attempt.
        """
        return any(
            work.digest != digest
            for work in self._by_attempt.get(attempt_id, {}).values()
        )

    def list_on(
        self, instance: str, incarnation: str
    ) -> list[tuple[requests.Work, requests.Attempt]]:
        """Return the tracked attempts on an agent, with their requests."""
        return [
            (work, attempt)
            for works in self._by_attempt.values()
            for work in works.values()
            for attempt in work.attempts.values()
            if attempt.instance == instance
            and attempt.incarnation == incarnation
        ]

    def add(self, work: requests.Work, attempt: requests.Attempt) -> None:
        """Start tracking an attempt of a request."""
        work.attempts[attempt.id] = attempt
        works = self._by_attempt.setdefault(attempt.id, {})
        works[work.request.id] = work

    def remove(
        self,
        now: float,
        work: requests.Work,
        attempt: requests.Attempt,
        outcome: breaker.Outcome,
    ) -> None:
        """Stop tracking an attempt of a request."""
        self.uncount(now, attempt, outcome)
        del work.attempts[attempt.id]
        works = self._by_attempt[attempt.id]
        del works[work.request.id]
        if not works:
            del self._by_attempt[attempt.id]

    def count(self, now: float, attempt: requests.Attempt) -> None:
        """Record with the router that an attempt occupies a slot."""
        if not attempt.counted:
            attempt.counted = True
            self._router.started(now, attempt.instance)

    def uncount(
        self,
        now: float,
        attempt: requests.Attempt,
        outcome: breaker.Outcome,
    ) -> None:
        """Record with the router that an attempt has released its slot."""
        if attempt.counted:
            attempt.counted = False
            seconds = None if attempt.sent is None else now - attempt.sent
            self._router.finished(now, attempt.instance, outcome, seconds)

    def send(
        self, now: float, work: requests.Work, attempt: requests.Attempt
    ) -> effects.Send:
        """Return the message that sends or resends an attempt to its agent."""
        if attempt.sent is None:
            attempt.sent = now
            attempt.poll_interval = POLL_S
            attempt.next_poll = now + POLL_S
        request = work.request
        return effects.Send(
            attempt.instance,
            messages.RunRequest(
                attempt=attempt.id,
                incarnation=attempt.incarnation,
                service=request.service,
                account=request.account,
                expires_uptime=attempt.expires_uptime,
                timeout=max(0.0, work.deadline - now),
                body=request.body,
                content_type=request.content_type,
                trace=request.trace,
            ),
        )

    def hear(
        self, now: float, attempt: requests.Attempt, running: bool
    ) -> None:
        """Record the reply of an agent to a query about an attempt.

        :param running: whether the agent knows the attempt.
        """
        attempt.unheard = 0
        attempt.lost_at = None
        if running:
            attempt.poll_interval = min(attempt.poll_interval * 2, MAX_POLL_S)
        attempt.next_poll = now + attempt.poll_interval

    def lose(self, now: float, attempt: requests.Attempt) -> effects.Send:
        """Record that the agent of an attempt was lost; send a last query."""
        attempt.lost_at = now
        self.uncount(now, attempt, breaker.Outcome.SILENT)
        return _query(attempt)

    def poll(
        self, now: float, work: requests.Work
    ) -> Iterator[effects.Send | Silent | Lost]:
        """Yield the due queries and events of a request's open attempts."""
        for attempt in list(work.attempts.values()):
            if attempt.uncertain or attempt.sent is None:
                continue
            if attempt.lost_at is not None:
                if now >= attempt.lost_at + LOST_GRACE_S:
                    attempt.uncertain = True
                    yield Lost(attempt)
                continue
            if now < attempt.next_poll:
                continue
            attempt.unheard += 1
            attempt.next_poll = now + POLL_S * self._rng.uniform(0.8, 1.2)
            yield _query(attempt)
            if attempt.unheard > SILENT_QUERIES and not attempt.silent:
                attempt.silent = True
                self.uncount(now, attempt, breaker.Outcome.SILENT)
                yield Silent(attempt)

    def next_due(self, work: requests.Work) -> float:
        """Return the time of the next query or event of a request."""
        due = float('inf')
        for attempt in work.attempts.values():
            if attempt.uncertain or attempt.sent is None:
                continue
            if attempt.lost_at is not None:
                due = min(due, attempt.lost_at + LOST_GRACE_S)
            else:
                due = min(due, attempt.next_poll)
        return due

    def cancel(self, work: requests.Work) -> list[effects.Effect]:
        """Return cancellations for the open attempts of a request."""
        return [
            effects.Send(
                attempt.instance,
                messages.CancelRequest(
                    attempt.id, attempt.incarnation, attempt.expires_uptime
                ),
            )
            for attempt in work.attempts.values()
            if not attempt.uncertain
        ]


def _query(attempt: requests.Attempt) -> effects.Send:
    return effects.Send(
        attempt.instance,
        messages.QueryRun(
            attempt.id, attempt.incarnation, attempt.expires_uptime
        ),
    )

"""Requests in progress on an entry: queue, timers and verdicts."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.service import breaker
from damaskpin.service import requests
from damaskpin.service import tracking
from damaskpin.service import waiting_queue

if TYPE_CHECKING:
    import random

    from damaskpin.service import limits as limiting
    from damaskpin.service import routing

# Longest delay of the verdict of a cancelled request, to wait for the replies
# of the agents.
CANCEL_GRACE_S = 1.0
# Time that a request waits for a target if its service has none. The target
# may be in replacement; waiting until a distant deadline would take too long.
NO_TARGET_WAIT_S = 5.0
# After ``NO_TARGET_WAIT_S``, requests still in the queue are checked for a
# missing target at this interval.
NO_TARGET_CHECK_S = 0.5


class Ledger:
    """Ledger of the requests in progress, their queue and their timers.

    Each request has a timer for its next check. A check handles the deadline
    of the request, queries about its attempts, and store calls without answer.

    :param router: router that records the start and end of attempts.
    :param limits: limits that count waiting and running requests.
    :param rng: random source for the jitter of queries.
    """

    __slots__ = (
        '_limits',
        '_pending',
        '_timers',
        'queue',
        'router',
        'tracker',
    )

    def __init__(
        self,
        router: routing.Router,
        limits: limiting.Limits,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.queue = waiting_queue.WaitingQueue()
        self.tracker = tracking.Tracker(router, rng)
        self._limits = limits
        self._pending: dict[str, requests.PendingRequest] = {}
        self._timers: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._pending)

    def get(self, request_id: str) -> requests.PendingRequest | None:
        """Return a request in progress."""
        return self._pending.get(request_id)

    def add(self, pending: requests.PendingRequest) -> None:
        """Add an admitted request, and let it wait for a slot."""
        self._pending[pending.request.id] = pending
        if pending.pinned_attempt is not None:
            # Another entry may have sent the pinned attempt already.
            self.tracker.add(pending, pending.pinned_attempt)
        self.enqueue(pending)

    def enqueue(
        self, pending: requests.PendingRequest, at_front: bool = False
    ) -> None:
        """Put a request into the queue for a slot.

        :param at_front: whether the request goes before the other requests of
            its account.
        """
        pending.phase = requests.Phase.WAITING
        if pending.counted_as_running:
            pending.counted_as_running = False
            self._limits.remove_running(pending.request.account)
        self.queue.add(pending, at_front)
        self._limits.add_queued(pending.request.account)

    def mark_running(
        self, pending: requests.PendingRequest, phase: requests.Phase
    ) -> None:
        """Remove a request from the queue, and count it as running.

        :param phase: new phase of the request.
        """
        self._dequeue(pending)
        pending.phase = phase
        pending.counted_as_running = True
        self._limits.add_running(pending.request.account)

    def cancel_request(
        self,
        now: float,
        pending: requests.PendingRequest,
        reason: str,
        retry_after: float | None = None,
    ) -> list[effects.Effect]:
        """Cancel a request; its verdict follows within ``CANCEL_GRACE_S``.

        :param retry_after: seconds after which a request that got no slot
            may be retried.
        """
        if not pending.has_open_attempt():
            return self.conclude_without_answer(
                now, pending, reason, retry_after
            )
        self._dequeue(pending)
        pending.phase = requests.Phase.CANCELLING
        pending.end_reason = reason
        pending.conclude_by = now + CANCEL_GRACE_S
        return self.tracker.cancel(pending)

    def conclude_without_answer(
        self,
        now: float,
        pending: requests.PendingRequest,
        reason: str,
        retry_after: float | None = None,
    ) -> list[effects.Effect]:
        """Conclude a request without an answer.

        The verdict is "not run" if that is certain, and otherwise "may have
        run".

        :param retry_after: seconds after which a retry may succeed.
        """
        verdict: verdicts.Verdict = verdicts.NotRun(reason, retry_after)
        # If the idempotency key already had a claim, an earlier request with
        # the key may still be in progress on another entry. That entry may
        # replace the claim and run another attempt.
        if pending.attempts or pending.has_earlier_claim:
            verdict = verdicts.MayHaveRun(reason)
        return self.conclude(now, pending, verdict)

    def conclude(
        self,
        now: float,
        pending: requests.PendingRequest,
        verdict: verdicts.Verdict,
    ) -> list[effects.Effect]:
        """Deliver the verdict, cancel open attempts and remove the request."""
        self._dequeue(pending)
        if pending.counted_as_running:
            self._limits.remove_running(pending.request.account)
        result = self.tracker.cancel(pending)
        for attempt in list(pending.attempts.values()):
            self.tracker.remove(
                now, pending, attempt, breaker.Outcome.ABANDONED
            )
        if pending.planned_attempt is not None:
            self.tracker.release_slot(
                now, pending.planned_attempt, breaker.Outcome.ABANDONED
            )
        self._limits.release_body(pending.request)
        pending.concluded = True
        del self._pending[pending.request.id]
        detail = verdicts.format_verdict(verdict)
        if not isinstance(verdict, verdicts.Ran):
            detail += f': {verdict.reason}'
        result.append(
            effects.Record(pending.request.id, 'concluded', detail),
        )
        result.append(effects.DeliverVerdict(pending.request.id, verdict))
        return result

    def is_target_wait_over(
        self, now: float, pending: requests.PendingRequest
    ) -> bool:
        """Return whether a request has waited too long for any target."""
        return (
            pending.phase is requests.Phase.WAITING
            and not pending.attempts
            and now >= pending.submitted_at + NO_TARGET_WAIT_S
            and not self.router.has_accepting_target(pending.request.service)
        )

    def schedule_check(
        self, now: float, pending: requests.PendingRequest
    ) -> None:
        """Set the timer for the next check of a request."""
        if pending.concluded:
            return
        if pending.phase is requests.Phase.CANCELLING:
            due = min(pending.conclude_by, now + tracking.CANCEL_INTERVAL_S)
        else:
            due = min(
                pending.deadline, self.tracker.get_next_event_time(pending)
            )
            if (
                pending.claim_writer is not None
                and pending.claim_writer.timeout_at is not None
            ):
                due = min(due, pending.claim_writer.timeout_at)
            if pending.phase is requests.Phase.WAITING:
                check = pending.submitted_at + NO_TARGET_WAIT_S
                if check <= now:
                    check = now + NO_TARGET_CHECK_S
                due = min(due, check)
        if due < pending.next_check_at:
            pending.next_check_at = due
            heapq.heappush(self._timers, (due, pending.request.id))

    def pop_due_request(self, now: float) -> requests.PendingRequest | None:
        """Remove the timer of a due check, and return the request to check.

        The caller schedules the next check of the request.

        :returns: the request, or ``None`` if no check is due.
        """
        while self._timers and self._timers[0][0] <= now:
            due, request_id = heapq.heappop(self._timers)
            pending = self._pending.get(request_id)
            if pending is None or due != pending.next_check_at:
                continue
            pending.next_check_at = float('inf')
            return pending
        return None

    def get_next_check_time(self) -> float | None:
        """Return when the next check of any request is due, or ``None``."""
        return self._timers[0][0] if self._timers else None

    def _dequeue(self, pending: requests.PendingRequest) -> None:
        if pending.phase is requests.Phase.WAITING:
            self.queue.remove(pending)
            self._limits.remove_queued(pending.request.account)

"""Requests in progress on an entry: queue, timers and verdicts."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin import verdict as verdicts
from damaskpin.service import breaker
from damaskpin.service import requests
from damaskpin.service import tracking
from damaskpin.service import waiting

if TYPE_CHECKING:
    import random

    from damaskpin.service import limits as limiting
    from damaskpin.service import routing

# After a request was cancelled, its verdict is delayed by at most this long to
# wait for the replies of the agents.
CANCEL_GRACE_S = 1.0
# If a service has no target, its requests wait this long for a target that is
# being replaced, rather than until a distant deadline.
NO_TARGET_WAIT_S = 5.0
# After that, requests still in the queue are checked for a missing target at
# this interval.
NO_TARGET_CHECK_S = 0.5


class Ledger:
    """Ledger of the requests in progress, their queue and their timers.

    :param router: router that records the start and end of attempts.
    :param limits: limits that count waiting and running requests.
    :param rng: random source for the jitter of queries.
    """

    __slots__ = ('_limits', '_timers', '_works', 'queue', 'router', 'tracker')

    def __init__(
        self,
        router: routing.Router,
        limits: limiting.Limits,
        rng: random.Random,
    ) -> None:
        self.router = router
        self.queue = waiting.WaitingQueue()
        self.tracker = tracking.Tracker(router, rng)
        self._limits = limits
        self._works: dict[str, requests.Work] = {}
        self._timers: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._works)

    def get(self, request_id: str) -> requests.Work | None:
        """Return a request in progress."""
        return self._works.get(request_id)

    def add(self, work: requests.Work) -> None:
        """Add an admitted request, and let it wait for a slot."""
        self._works[work.request.id] = work
        if work.pinned is not None:
            # Another entry may have sent the pinned attempt already.
            self.tracker.add(work, work.pinned)
        self.wait(work)

    def wait(self, work: requests.Work, first: bool = False) -> None:
        """Put a request into the queue for a slot.

        :param first: whether it goes before other requests of the account.
        """
        work.phase = requests.Phase.WAITING
        if work.running:
            work.running = False
            self._limits.stop(work.request.account)
        self.queue.add(work, first)
        self._limits.enqueue(work.request.account)

    def begin(self, work: requests.Work, phase: requests.Phase) -> None:
        """Remove a request from the queue, and count it as running.

        :param phase: new phase of the request.
        """
        self._stop_waiting(work)
        work.phase = phase
        work.running = True
        self._limits.start(work.request.account)

    def end(
        self,
        now: float,
        work: requests.Work,
        reason: str,
        retry_after: float | None = None,
    ) -> list[effects.Effect]:
        """Cancel a request; its verdict follows within ``CANCEL_GRACE_S``.

        :param retry_after: seconds after which a request that got no slot
            may be retried.
        """
        if not work.has_open_attempt():
            return self.conclude_unanswered(now, work, reason, retry_after)
        self._stop_waiting(work)
        work.phase = requests.Phase.ENDING
        work.end_reason = reason
        work.give_up = now + CANCEL_GRACE_S
        return self.tracker.cancel(work)

    def conclude_unanswered(
        self,
        now: float,
        work: requests.Work,
        reason: str,
        retry_after: float | None = None,
    ) -> list[effects.Effect]:
        """Conclude a request without an answer: as not run if that is certain.

        :param retry_after: seconds after which a retry may succeed.
        """
        verdict: verdicts.Verdict = verdicts.NotRun(reason, retry_after)
        # If the key already had a claim, an earlier request may still be in
        # progress on another entry, which may replace the claim and run
        # another attempt.
        if work.attempts or work.joined:
            verdict = verdicts.MayHaveRun(reason)
        return self.conclude(now, work, verdict)

    def conclude(
        self, now: float, work: requests.Work, verdict: verdicts.Verdict
    ) -> list[effects.Effect]:
        """Deliver the verdict, cancel open attempts and remove the request."""
        self._stop_waiting(work)
        if work.running:
            self._limits.stop(work.request.account)
        result = self.tracker.cancel(work)
        for attempt in list(work.attempts.values()):
            self.tracker.remove(now, work, attempt, breaker.Outcome.ABANDONED)
        if work.planned is not None:
            self.tracker.uncount(now, work.planned, breaker.Outcome.ABANDONED)
        self._limits.release(work.request)
        work.concluded = True
        del self._works[work.request.id]
        detail = verdicts.format_verdict(verdict)
        if not isinstance(verdict, verdicts.Ran):
            detail += f': {verdict.reason}'
        result.append(
            effects.Record(work.request.id, 'concluded', detail),
        )
        result.append(effects.DeliverVerdict(work.request.id, verdict))
        return result

    def is_without_target(self, now: float, work: requests.Work) -> bool:
        """Return whether a request has waited in vain for any target."""
        return (
            work.phase is requests.Phase.WAITING
            and not work.attempts
            and now >= work.submitted + NO_TARGET_WAIT_S
            and not self.router.knows_service(work.request.service)
        )

    def schedule(self, now: float, work: requests.Work) -> None:
        """Schedule the next check of a request."""
        if work.concluded:
            return
        if work.phase is requests.Phase.ENDING:
            due = min(work.give_up, now + tracking.CANCEL_REPEAT_S)
        else:
            due = min(work.deadline, self.tracker.next_due(work))
            if work.settler is not None and work.settler.due is not None:
                due = min(due, work.settler.due)
            if work.phase is requests.Phase.WAITING:
                check = work.submitted + NO_TARGET_WAIT_S
                if check <= now:
                    check = now + NO_TARGET_CHECK_S
                due = min(due, check)
        if due < work.check_at:
            work.check_at = due
            heapq.heappush(self._timers, (due, work.request.id))

    def pop_due(self, now: float) -> requests.Work | None:
        """Remove and return a request whose check is due, if any.

        The caller schedules its next check.
        """
        while self._timers and self._timers[0][0] <= now:
            due, request_id = heapq.heappop(self._timers)
            work = self._works.get(request_id)
            if work is None or due != work.check_at:
                continue
            work.check_at = float('inf')
            return work
        return None

    def next_due(self) -> float | None:
        """Return the time of the next check, or ``None``."""
        return self._timers[0][0] if self._timers else None

    def _stop_waiting(self, work: requests.Work) -> None:
        if work.phase is requests.Phase.WAITING:
            self.queue.remove(work)
            self._limits.dequeue(work.request.account)

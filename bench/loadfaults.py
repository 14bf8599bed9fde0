"""Faults of workers in simulated days of load."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from damaskpin.coordinator import removals

if TYPE_CHECKING:
    import random

    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

# Time from a worker's notice to its end in seconds, and the time by which it
# stays longer than it has announced.
NOTICE_S = 6.5
EXTRA_STAY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults of the workers on one day.

    :ivar failing_share: share of the workers that fail all that they start.
    :ivar failing_begin: time since the begin of the day in seconds.
    :ivar failing_seconds: duration in seconds.
    :ivar leaving_share: share of the workers that leave at short notice.
    :ivar leaving_at: time of the notice since the begin of the day, in
        seconds.
    """

    failing_share: float = 0.0
    failing_begin: float = 9.0
    failing_seconds: float = 6.5
    leaving_share: float = 0.0
    leaving_at: float = 12.0


class WorkerFaults:
    """Faults of the workers during one simulated day.

    :param begin: simulated time at which the day begins, in seconds.
    """

    __slots__ = ('_begin', '_failing', '_leaving', '_ledger', '_plan', '_rng')

    def __init__(
        self,
        plan: FaultPlan,
        ledger: ledgers.RunLedger,
        rng: random.Random,
        begin: float,
    ) -> None:
        self._plan = plan
        self._ledger = ledger
        self._rng = rng
        self._begin = begin
        workers = list(ledger.workers.values())
        rng.shuffle(workers)
        count = int(plan.leaving_share * len(workers))
        self._leaving = workers[:count]
        failing = workers[count:][: int(plan.failing_share * len(workers))]
        self._failing = {worker.lifetime for worker in failing}

    def will_fail(self, now: float, worker: worker_state.Worker) -> bool:
        """Return whether a run that starts now on a worker fails."""
        begin = self._begin + self._plan.failing_begin
        if not begin <= now < begin + self._plan.failing_seconds:
            return False
        return worker.lifetime in self._failing

    def draw_failing_share(self) -> float:
        """Return the share of its duration after which a run fails."""
        return self._rng.random()

    def advance(self, now: float) -> set[work.Lifetime]:
        """Announce and carry out the departures that are due.

        :returns: workers that have ended.
        """
        notice = self._begin + self._plan.leaving_at
        if now < notice:
            return set()
        end = notice + NOTICE_S + EXTRA_STAY_S
        gone = set()
        for worker in self._leaving:
            if worker.lifetime not in self._ledger.workers:
                continue
            if now >= end:
                gone.add(worker.lifetime)
                self._ledger.remove_worker(
                    now, worker.lifetime, removals.Proof.WORKER_LEFT
                )
                continue
            was_draining = worker.profile.draining
            profile = msgspec.structs.replace(
                worker.profile,
                draining=True,
                remaining=max(notice + NOTICE_S - now, 0.0),
            )
            worker.set_profile(profile)
            if not was_draining:
                self._ledger.drain_worker(now, worker)
        return gone

"""Starts jobs on accelerators beyond the guarantees of their accounts."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from damaskpin.model import job as jobs
from damaskpin.scheduler import backfill
from damaskpin.scheduler import placement
from damaskpin.scheduler import preemption
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.scheduler import decisions
    from damaskpin.scheduler import estimates
    from damaskpin.scheduler import filling
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues

# A job is moved for a large gang only if its size is at most this share of the
# gang's size, and if it has run and will still run for at least these times,
# so that the cost of moving it is worthwhile.
MAX_MOVED_SHARE = 0.5
MIN_RUN_SECONDS = 300.0
MIN_REMAINING_SECONDS = 60.0

# A large gang that has waited for more than MAX_WAIT_SECONDS may also stop
# borrowing jobs that fit nowhere else, each of at most LATE_MOVED_SHARE of the
# gang's size. A job that was reclaimed MAX_RECLAIMS times is not stopped for
# this reason again, so that it makes progress.
MAX_WAIT_SECONDS = 1800.0
LATE_MOVED_SHARE = 0.5
MAX_RECLAIMS = 3

# Within an account and a priority class, jobs are sorted by submission time
# plus this multiple of the expected run time. Short jobs go first, and only
# jobs submitted within that added time can overtake a long job.
RUN_TIME_WEIGHT = 2.0

# Maximum number of searches per call for borrowing jobs to stop; each search
# examines all accelerators.
MAX_SEARCHES = 6


class Borrowing:
    """Places waiting jobs beyond the guarantees by priority and fair share."""

    __slots__ = (
        '_estimates',
        '_ledger',
        '_reservations',
        '_searches',
        '_too_large',
    )

    def __init__(
        self, ledger: ledgers.Ledger, known: estimates.Estimates
    ) -> None:
        self._ledger = ledger
        self._estimates = known
        self._reservations = backfill.Reservations(ledger, known)
        # Size of the smallest gang that did not fit, by rank of its adjacency
        # level, in the current call.
        self._too_large: dict[int, int] = {}
        self._searches = 0

    def start(
        self, now: float, found: list[decisions.Decision], budget: int
    ) -> int:
        """Place waiting jobs until no other job fits.

        :param found: list to which the decisions are appended.
        :param budget: maximum number of jobs to place.
        :returns: the budget minus the number of jobs placed.
        """
        self._reservations.refresh(now)
        self._too_large = {}
        self._searches = MAX_SEARCHES
        heaps = self._make_heaps(now)
        while heaps and budget > 0:
            account = min(heaps, key=lambda name: self._get_order(heaps, name))
            heap = heaps[account]
            group = heap[0][-1]
            entry = group.peek()
            if entry is not None and self._start_job(now, entry, found):
                budget -= 1
                if group.peek() is not None:
                    heapq.heapreplace(heap, self._make_item(now, group))
                    continue
            heapq.heappop(heap)
            if not heap:
                del heaps[account]
        return budget

    def _start_job(
        self, now: float, entry: queues.Entry, found: list[decisions.Decision]
    ) -> bool:
        ledger = self._ledger
        spec = entry.job.spec
        account = ledger.accounts[entry.job.account]
        used = ledger.used.get(account.name, 0)
        if used + spec.accelerators > account.quota:
            return False
        parts = self._find_free(now, entry)
        if parts is not None:
            ledger.claim(entry, parts, ())
            self._reservations.note_placed(entry)
            ledger.note(now, entry.job.id, 'placed beyond the guarantees')
            found.append(ledger.place(now, entry))
            return True
        if spec.priority is jobs.Priority.URGENT and self._preempt(
            now, entry, found
        ):
            return True
        if spec.accelerators < backfill.LARGE_GANG:
            self._reservations.reserve(now, entry)
            return self._end_backfill(now, entry, found)
        self._reservations.reserve(now, entry)
        return self._end_backfill(now, entry, found) or self._move_small(
            now, entry, found
        )

    def _find_free(
        self, now: float, entry: queues.Entry
    ) -> filling.Parts | None:
        spec = entry.job.spec
        rank = topologies.RANKS[spec.adjacency]
        if spec.accelerators >= self._too_large.get(
            rank, spec.accelerators + 1
        ):
            return None
        closed = self._reservations.get_closed(now, entry)
        avoid = [name for name, end in entry.avoid.items() if end > now]
        topology = self._ledger.topology
        request = placement.Request(
            spec.accelerators, spec.adjacency, closed, avoid
        )
        parts = placement.find_place(topology, request)
        if parts is None and avoid:
            # If no other workers have room, the job may also use workers on
            # which it failed.
            request.avoid = ()
            parts = placement.find_place(topology, request)
        if parts is None and not closed:
            self._too_large[rank] = spec.accelerators
        return parts

    def _preempt(
        self, now: float, entry: queues.Entry, found: list[decisions.Decision]
    ) -> bool:
        """Stop borrowing jobs of normal or low priority for an urgent job.

        :returns: whether the job now holds accelerators.
        """
        if self._searches <= 0:
            return False
        self._searches -= 1
        for plan in preemption.find_plans(
            now,
            self._ledger,
            entry,
            preemption.list_cells(
                self._ledger.topology, entry.job.spec.adjacency
            ),
            lambda other: other.job.spec.priority >= jobs.Priority.NORMAL,
        ):
            reason = f'urgent job {entry.job.id} needs the accelerators'
            self._claim(now, entry, plan, reason, found)
            return True
        return False

    def _end_backfill(
        self, now: float, entry: queues.Entry, found: list[decisions.Decision]
    ) -> bool:
        """Stop backfilled jobs that overrun the reservation of a gang.

        :returns: whether the gang now holds accelerators.
        """
        reservation = self._reservations.by_job.get(entry.job.id)
        if reservation is None:
            return False
        priority = entry.job.spec.priority
        cells = [reservation.cell.nodes]
        if not topologies.RANKS[entry.job.spec.adjacency]:
            cells = [[node] for node in reservation.cell.nodes]
        for plan in preemption.find_plans(
            now,
            self._ledger,
            entry,
            cells,
            lambda other: (
                other.backfilled and other.job.spec.priority >= priority
            ),
        ):
            reason = f'overran the reservation of {entry.job.id}'
            self._claim(now, entry, plan, reason, found)
            return True
        return False

    def _move_small(
        self, now: float, entry: queues.Entry, found: list[decisions.Decision]
    ) -> bool:
        """Stop small borrowing jobs to make room for a large gang.

        The small jobs must fit outside the gang's cell, unless the gang has
        waited for more than ``MAX_WAIT_SECONDS``.

        :returns: whether the gang now holds accelerators.
        """
        ledger = self._ledger
        spec = entry.job.spec
        late = now - entry.submitted > MAX_WAIT_SECONDS
        if not late and ledger.topology.count_free() < spec.accelerators:
            return False
        if self._searches <= 0:
            return False
        self._searches -= 1
        share = LATE_MOVED_SHARE if late else MAX_MOVED_SHARE
        limit = spec.accelerators * share

        def may_move(other: queues.Entry) -> bool:
            return (
                other.job.spec.accelerators <= limit
                and other.job.spec.priority >= spec.priority
                and (not late or other.reclaims < MAX_RECLAIMS)
                and now - other.started >= MIN_RUN_SECONDS
                and self._estimates.get_remaining(now, other)
                >= MIN_REMAINING_SECONDS
            )

        for plan in preemption.find_plans(
            now,
            ledger,
            entry,
            preemption.list_cells(ledger.topology, spec.adjacency),
            may_move,
        ):
            cell = next(iter(plan[0])).get_cell(spec.adjacency)
            if not late and not preemption.fit_elsewhere(
                ledger, plan[1], cell
            ):
                continue
            reason = f'moved to make room for the gang {entry.job.id}'
            self._claim(now, entry, plan, reason, found)
            return True
        return False

    def _claim(
        self,
        now: float,
        entry: queues.Entry,
        plan: preemption.Plan,
        reason: str,
        found: list[decisions.Decision],
    ) -> None:
        ledger = self._ledger
        parts, victims = plan
        for victim in victims:
            found.append(ledger.stop(now, victim, reason))
        ledger.claim(entry, parts, tuple(v.job.id for v in victims))
        ledger.note(
            now, entry.job.id, f'waits for {len(victims)} jobs to stop'
        )
        if ledger.is_ready(entry):
            found.append(ledger.place(now, entry))

    def _make_heaps(self, now: float) -> dict[str, list]:
        ledger = self._ledger
        heaps: dict[str, list] = {}
        for name in list(ledger.queue.get_accounts()):
            if name not in ledger.accounts:
                continue
            items = [
                self._make_item(now, group)
                for group in ledger.queue.get_groups(name)
            ]
            if items:
                heapq.heapify(items)
                heaps[name] = items
        return heaps

    def _get_order(self, heaps: dict[str, list], name: str) -> tuple:
        priority, due, sequence, _ = heaps[name][0]
        used = self._ledger.used.get(name, 0)
        share = used / self._ledger.accounts[name].weight
        return (priority, share, due, sequence)

    def _make_item(self, now: float, group: queues.Group) -> tuple:
        priority, submitted, sequence = group.get_order()
        entry = group.peek()
        assert entry is not None
        expected = self._estimates.get_remaining(now, entry)
        due = submitted + RUN_TIME_WEIGHT * expected
        return (priority, due, sequence, group)

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
    from damaskpin.scheduler import allocations
    from damaskpin.scheduler import decisions
    from damaskpin.scheduler import estimates
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues

# A job is moved for a large gang only if its size is at most this share of the
# gang's size, and if it has run and will still run for at least these times,
# so that the cost of moving it is worthwhile.
MAX_MOVED_SHARE = 0.5
MIN_RUN_SECONDS = 300.0
MIN_REMAINING_SECONDS = 60.0

# A large gang that has waited for more than MAX_WAIT_SECONDS may also stop
# borrowers that fit nowhere else, each of at most LONG_WAIT_MOVED_SHARE of the
# gang's size. A job that was reclaimed MAX_RECLAIMS times is not
# stopped for this reason again, so that it makes progress.
MAX_WAIT_SECONDS = 1800.0
LONG_WAIT_MOVED_SHARE = 0.5
MAX_RECLAIMS = 3

# Within an account and a priority class, jobs are sorted by submission time
# plus this multiple of the expected run time. Short jobs go first, and only
# jobs submitted within that added time can overtake a long job.
RUN_TIME_WEIGHT = 2.0

# Maximum number of searches for borrowers to stop in one scheduler call; each
# search examines all accelerators.
MAX_SEARCHES = 6


class Borrowing:
    """Places waiting jobs beyond the guarantees by priority and fair share.

    A job that runs beyond the guarantees is a borrower: it may be stopped when
    a guaranteed, urgent or large job needs its accelerators.
    """

    __slots__ = (
        '_ledger',
        '_reservations',
        '_run_time_estimates',
        '_searches_left',
        '_smallest_unplaced',
    )

    def __init__(
        self, ledger: ledgers.Ledger, run_time_estimates: estimates.Estimates
    ) -> None:
        self._ledger = ledger
        self._run_time_estimates = run_time_estimates
        self._reservations = backfill.Reservations(ledger, run_time_estimates)
        # Size of the smallest gang that did not fit, by rank of its adjacency
        # level, in the current call.
        self._smallest_unplaced: dict[int, int] = {}
        self._searches_left = 0

    def start(
        self, now: float, new_decisions: list[decisions.Decision], budget: int
    ) -> int:
        """Place waiting jobs until no other job fits.

        :param new_decisions: list to which the decisions are appended.
        :param budget: maximum number of jobs to place.
        :returns: the budget minus the number of jobs placed.
        """
        self._reservations.refresh(now)
        self._smallest_unplaced = {}
        self._searches_left = MAX_SEARCHES
        heaps = self._make_heaps(now)
        while heaps and budget > 0:
            account = min(
                heaps, key=lambda name: self._get_account_order(heaps, name)
            )
            heap = heaps[account]
            group = heap[0][-1]
            entry = group.peek()
            if entry is not None and self._start_job(
                now, entry, new_decisions
            ):
                budget -= 1
                if group.peek() is not None:
                    heapq.heapreplace(heap, self._make_heap_item(now, group))
                    continue
            heapq.heappop(heap)
            if not heap:
                del heaps[account]
        return budget

    def _start_job(
        self,
        now: float,
        entry: queues.JobEntry,
        new_decisions: list[decisions.Decision],
    ) -> bool:
        ledger = self._ledger
        spec = entry.job.spec
        account = ledger.accounts[entry.job.account]
        used = ledger.used.get(account.name, 0)
        if used + spec.accelerators > account.quota:
            return False
        allocation = self._find_allocation(now, entry)
        if allocation is not None:
            ledger.claim(entry, allocation, ())
            self._reservations.record_placement(entry)
            ledger.add_history(
                now, entry.job.id, 'placed beyond the guarantees'
            )
            new_decisions.append(ledger.place(now, entry))
            return True
        if spec.priority is jobs.Priority.URGENT and self._preempt(
            now, entry, new_decisions
        ):
            return True
        if spec.accelerators < backfill.LARGE_GANG:
            self._reservations.reserve(now, entry)
            return self._stop_overrunning_backfill(now, entry, new_decisions)
        self._reservations.reserve(now, entry)
        return self._stop_overrunning_backfill(
            now, entry, new_decisions
        ) or self._move_small_jobs(now, entry, new_decisions)

    def _find_allocation(
        self, now: float, entry: queues.JobEntry
    ) -> allocations.Allocation | None:
        spec = entry.job.spec
        rank = topologies.RANKS[spec.adjacency]
        if spec.accelerators >= self._smallest_unplaced.get(
            rank, spec.accelerators + 1
        ):
            return None
        cell_accelerator_limits = (
            self._reservations.get_cell_accelerator_limits(now, entry)
        )
        avoided_workers = [
            name for name, end in entry.avoided_workers.items() if end > now
        ]
        topology = self._ledger.topology
        request = placement.Request(
            spec.accelerators,
            spec.adjacency,
            cell_accelerator_limits,
            avoided_workers,
        )
        allocation = placement.find_allocation(topology, request)
        if allocation is None and avoided_workers:
            # If no other workers have room, the job may also use workers on
            # which it failed.
            request.avoided_workers = ()
            allocation = placement.find_allocation(topology, request)
        if allocation is None and not cell_accelerator_limits:
            self._smallest_unplaced[rank] = spec.accelerators
        return allocation

    def _preempt(
        self,
        now: float,
        entry: queues.JobEntry,
        new_decisions: list[decisions.Decision],
    ) -> bool:
        """Stop borrowers of normal or low priority for an urgent job.

        :returns: whether the job now holds accelerators.
        """
        if self._searches_left <= 0:
            return False
        self._searches_left -= 1
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
            self._claim(now, entry, plan, reason, new_decisions)
            return True
        return False

    def _stop_overrunning_backfill(
        self,
        now: float,
        entry: queues.JobEntry,
        new_decisions: list[decisions.Decision],
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
            self._claim(now, entry, plan, reason, new_decisions)
            return True
        return False

    def _move_small_jobs(
        self,
        now: float,
        entry: queues.JobEntry,
        new_decisions: list[decisions.Decision],
    ) -> bool:
        """Stop small borrowers to make room for a large gang.

        The small jobs must fit outside the gang's cell, unless the gang has
        waited for more than ``MAX_WAIT_SECONDS``.

        :returns: whether the gang now holds accelerators.
        """
        ledger = self._ledger
        spec = entry.job.spec
        waited_long = now - entry.submitted > MAX_WAIT_SECONDS
        if (
            not waited_long
            and ledger.topology.count_free() < spec.accelerators
        ):
            return False
        if self._searches_left <= 0:
            return False
        self._searches_left -= 1
        size_share = LONG_WAIT_MOVED_SHARE if waited_long else MAX_MOVED_SHARE
        limit = spec.accelerators * size_share

        def is_movable(other: queues.JobEntry) -> bool:
            return (
                other.job.spec.accelerators <= limit
                and other.job.spec.priority >= spec.priority
                and (not waited_long or other.reclaim_count < MAX_RECLAIMS)
                and now - other.started >= MIN_RUN_SECONDS
                and self._run_time_estimates.get_remaining(now, other)
                >= MIN_REMAINING_SECONDS
            )

        for plan in preemption.find_plans(
            now,
            ledger,
            entry,
            preemption.list_cells(ledger.topology, spec.adjacency),
            is_movable,
        ):
            cell = next(iter(plan[0])).get_cell(spec.adjacency)
            if not waited_long and not preemption.fit_elsewhere(
                ledger, plan[1], cell
            ):
                continue
            reason = f'moved to make room for the gang {entry.job.id}'
            self._claim(now, entry, plan, reason, new_decisions)
            return True
        return False

    def _claim(
        self,
        now: float,
        entry: queues.JobEntry,
        plan: preemption.Plan,
        reason: str,
        new_decisions: list[decisions.Decision],
    ) -> None:
        ledger = self._ledger
        allocation, victims = plan
        for victim in victims:
            new_decisions.append(ledger.stop(now, victim, reason))
        ledger.claim(entry, allocation, tuple(v.job.id for v in victims))
        ledger.add_history(
            now, entry.job.id, f'waits for {len(victims)} jobs to stop'
        )
        if ledger.is_ready(entry):
            new_decisions.append(ledger.place(now, entry))

    def _make_heaps(self, now: float) -> dict[str, list]:
        ledger = self._ledger
        heaps: dict[str, list] = {}
        for name in list(ledger.queue.get_accounts()):
            if name not in ledger.accounts:
                continue
            items = [
                self._make_heap_item(now, group)
                for group in ledger.queue.get_groups(name)
            ]
            if items:
                heapq.heapify(items)
                heaps[name] = items
        return heaps

    def _get_account_order(self, heaps: dict[str, list], name: str) -> tuple:
        priority, order_time, sequence, _ = heaps[name][0]
        used = self._ledger.used.get(name, 0)
        weighted_use = used / self._ledger.accounts[name].weight
        return (priority, weighted_use, order_time, sequence)

    def _make_heap_item(self, now: float, group: queues.Group) -> tuple:
        priority, submitted, sequence = group.get_order()
        entry = group.peek()
        assert entry is not None
        expected = self._run_time_estimates.get_remaining(now, entry)
        order_time = submitted + RUN_TIME_WEIGHT * expected
        return (priority, order_time, sequence, group)

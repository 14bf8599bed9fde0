"""Reserves cells for waiting gangs and limits backfilling into them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.scheduler import estimates
    from damaskpin.scheduler import ledger as ledgers

# Gangs of at least LARGE_GANG accelerators get a reservation at once. Smaller
# gangs of more than one accelerator usually find room soon, so they get one
# only after they have waited for SMALL_GANG_WAIT_SECONDS.
LARGE_GANG = 16
SMALL_GANG_WAIT_SECONDS = 300.0

# Limit on concurrent reservations; more of them would block most cells for
# all other jobs.
MAX_RESERVATIONS = 4

# A reservation moves to another cell only if that halves the expected wait.
# Moving it on every small change would let other jobs fill the cell again.
MAX_MOVE_WAIT_SHARE = 0.5

# Interval between searches for a better cell of a reservation; each search
# examines all cells of a level.
SEARCH_INTERVAL_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Reservation of a cell for a gang that waits.

    :ivar entry: job of the gang.
    :ivar start: expected time at which the gang starts.
    :ivar surplus: accelerators of the cell expected to be free at ``start``
        beyond those that the gang needs.
    :ivar last_search: time of the last search for a better cell.
    """

    entry: queues.JobEntry
    cell: topologies.Cell
    start: float
    surplus: int
    last_search: float


class Reservations:
    """All reservations of waiting gangs, the oldest first."""

    __slots__ = ('_ledger', '_run_time_estimates', 'by_job')

    def __init__(
        self, ledger: ledgers.Ledger, run_time_estimates: estimates.Estimates
    ) -> None:
        self._ledger = ledger
        self._run_time_estimates = run_time_estimates
        self.by_job: dict[str, Reservation] = {}

    def refresh(self, now: float) -> None:
        """Delete reservations of jobs that no longer wait; update others."""
        for job_id, reservation in list(self.by_job.items()):
            entry = reservation.entry
            if (
                self._ledger.entries.get(job_id) is not entry
                or entry.state is not queues.State.QUEUED
                or entry.earliest_start > now
                or reservation.cell.total < entry.job.spec.accelerators
            ):
                del self.by_job[job_id]
                continue
            estimate = self._estimate_start(now, reservation.cell, entry)
            if estimate is None:
                del self.by_job[job_id]
                continue
            reservation.start, reservation.surplus = estimate
            if now - reservation.last_search < SEARCH_INTERVAL_SECONDS:
                continue
            reservation.last_search = now
            best = self._find_best_reservation(now, entry, reservation)
            wait = reservation.start - now
            if (
                best is not None
                and best.start - now < wait * MAX_MOVE_WAIT_SHARE
            ):
                self.by_job[job_id] = best

    def reserve(self, now: float, entry: queues.JobEntry) -> None:
        """Reserve a cell for a gang that could not be placed, if allowed."""
        if entry.job.id in self.by_job:
            return
        if len(self.by_job) >= MAX_RESERVATIONS:
            return
        size = entry.job.spec.accelerators
        waited = now - entry.submitted
        if size < LARGE_GANG and (
            size < 2 or waited < SMALL_GANG_WAIT_SECONDS
        ):
            return
        best = self._find_best_reservation(now, entry, None)
        if best is None:
            return
        self.by_job[entry.job.id] = best
        self._ledger.add_history(
            now,
            entry.job.id,
            f'reserved cell {"/".join(best.cell.key)}, start expected in '
            f'{best.start - now:.0f} s',
        )

    def get_cell_accelerator_limits(
        self, now: float, entry: queues.JobEntry
    ) -> dict[topologies.Cell, int]:
        """Return how many accelerators a job may use in reserved cells.

        A job may use accelerators of a reserved cell that the reservation
        does not need. It may use any accelerators there if it is smaller
        than a large gang and expected to end before the reservation starts;
        large gangs were stopped repeatedly when they overran a reservation.
        Jobs of a higher priority class ignore reservations.

        :returns: largest number of accelerators that the job may use in each
            cell reserved for another gang; cells without a limit are absent.
        """
        cell_accelerator_limits: dict[topologies.Cell, int] = {}
        if not self.by_job:
            return cell_accelerator_limits
        spec = entry.job.spec
        end = now + self._run_time_estimates.get_remaining(now, entry)
        for reservation in self.by_job.values():
            if reservation.entry is entry:
                continue
            if spec.priority < reservation.entry.job.spec.priority:
                continue
            if spec.accelerators < LARGE_GANG and end <= reservation.start:
                continue
            cell_accelerator_limits[reservation.cell] = max(
                0, reservation.surplus
            )
        return cell_accelerator_limits

    def record_placement(self, entry: queues.JobEntry) -> None:
        """Mark a placed job as backfilled if it uses a reserved cell.

        Large gangs are not marked, so they are never stopped for a
        reservation.
        """
        size = entry.job.spec.accelerators
        for reservation in self.by_job.values():
            if any(
                reservation.cell in node.cells for node in entry.allocation
            ):
                entry.backfilled = size < LARGE_GANG
                reservation.surplus -= size

    def _find_best_reservation(
        self, now: float, entry: queues.JobEntry, current: Reservation | None
    ) -> Reservation | None:
        spec = entry.job.spec
        level = spec.adjacency
        if level is hardware.Adjacency.WORKER:
            level = hardware.Adjacency.RACK
        best = None
        for cell in self._ledger.topology.cells[level].values():
            if cell.total < spec.accelerators:
                continue
            if spec.adjacency is hardware.Adjacency.WORKER and not any(
                node.total >= spec.accelerators for node in cell.nodes
            ):
                continue
            if self._overlaps_reservation(cell, current):
                continue
            estimate = self._estimate_start(now, cell, entry)
            if estimate is None:
                continue
            # Of cells with the same expected start, the one with the most
            # free accelerators is best.
            key = (estimate[0], spec.accelerators - cell.free)
            if best is None or key < best[0]:
                best = (key, Reservation(entry, cell, *estimate, now))
        return None if best is None else best[1]

    def _overlaps_reservation(
        self, cell: topologies.Cell, current: Reservation | None
    ) -> bool:
        """Return whether a cell overlaps a cell of another reservation."""
        for reservation in self.by_job.values():
            if reservation is current:
                continue
            length = min(len(cell.key), len(reservation.cell.key))
            if cell.key[:length] == reservation.cell.key[:length]:
                return True
        return False

    def _estimate_start(
        self, now: float, cell: topologies.Cell, entry: queues.JobEntry
    ) -> tuple[float, int] | None:
        """Estimate when a gang can start in a cell, and the surplus then.

        :returns: expected start and surplus accelerators; ``None`` if the
            cell is too small.
        """
        if entry.job.spec.adjacency is not hardware.Adjacency.WORKER:
            return self._estimate_start_on_workers(now, cell.nodes, entry)
        starts = [
            estimate
            for node in cell.nodes
            if node.total >= entry.job.spec.accelerators
            and (
                estimate := self._estimate_start_on_workers(now, [node], entry)
            )
        ]
        if not starts:
            return None
        # Other jobs could use the other workers of the rack, but it is not
        # known which worker becomes free first, so the surplus is zero.
        return min(starts)[0], 0

    def _estimate_start_on_workers(
        self, now: float, nodes: list[topologies.Node], entry: queues.JobEntry
    ) -> tuple[float, int] | None:
        missing = entry.job.spec.accelerators
        used: dict[str, int] = {}
        for node in nodes:
            if not node.total:
                continue
            missing -= node.free
            for job_id in node.slots:
                if job_id is not None:
                    used[job_id] = used.get(job_id, 0) + 1
        start = now
        if missing > 0:
            ends = sorted(
                (self._estimate_end(now, job_id), position, count)
                for position, (job_id, count) in enumerate(used.items())
            )
            for end, _, count in ends:
                start = end
                missing -= count
                if missing <= 0:
                    break
        if missing > 0:
            return None
        return start, -missing

    def _estimate_end(self, now: float, job_id: str) -> float:
        entry = self._ledger.entries[job_id]
        if entry.backfilled or entry.state is queues.State.STOPPING:
            return now
        return now + self._run_time_estimates.get_remaining(now, entry)

"""Reservations for large gangs that wait, and who may run there."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.scheduler import estimates
    from damaskpin.scheduler import ledger as ledgers

# Gangs of this size get a reservation at once. Smaller ones of more than one
# accelerator find room soon as a rule, and get one when they have not.
LARGE_GANG = 16
PATIENCE_SECONDS = 300.0

# More reservations would close most of the cells for everything else.
MAX_RESERVATIONS = 4

# A reservation moves only if that halves the expected wait; moving on every
# small change would let the cells fill up again.
MOVE_SHARE = 0.5

# The comparison looks at all cells of a level, so it is not made each time.
CHECK_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Cell in which a gang will start.

    :ivar start: expected time of the start.
    :ivar surplus: accelerators that the gang does not need at that time.
    :ivar checked: time of the last comparison with other cells.
    """

    entry: queues.Entry
    cell: topologies.Cell
    start: float
    surplus: int
    checked: float


class Reservations:
    """Reservations of the gangs that wait, in order of their creation."""

    __slots__ = ('_estimates', '_ledger', 'by_job')

    def __init__(
        self, ledger: ledgers.Ledger, known: estimates.Estimates
    ) -> None:
        self._ledger = ledger
        self._estimates = known
        self.by_job: dict[str, Reservation] = {}

    def refresh(self, now: float) -> None:
        """Drop reservations without a waiting job and update the others."""
        for job_id, reservation in list(self.by_job.items()):
            entry = reservation.entry
            if (
                self._ledger.entries.get(job_id) is not entry
                or entry.state is not queues.State.QUEUED
                or entry.not_before > now
                or reservation.cell.total < entry.job.spec.accelerators
            ):
                del self.by_job[job_id]
                continue
            found = self._estimate_start(now, reservation.cell, entry)
            if found is None:
                del self.by_job[job_id]
                continue
            reservation.start, reservation.surplus = found
            if now - reservation.checked < CHECK_SECONDS:
                continue
            reservation.checked = now
            best = self._find_best(now, entry, reservation)
            wait = reservation.start - now
            if best is not None and best.start - now < wait * MOVE_SHARE:
                self.by_job[job_id] = best

    def reserve(self, now: float, entry: queues.Entry) -> None:
        """Reserve a cell for a gang that found no room, if it may have one."""
        if entry.job.id in self.by_job:
            return
        if len(self.by_job) >= MAX_RESERVATIONS:
            return
        size = entry.job.spec.accelerators
        waited = now - entry.submitted
        if size < LARGE_GANG and (size < 2 or waited < PATIENCE_SECONDS):
            return
        best = self._find_best(now, entry, None)
        if best is None:
            return
        self.by_job[entry.job.id] = best
        self._ledger.note(
            now,
            entry.job.id,
            f'reserved {"/".join(best.cell.key)}, start expected in '
            f'{best.start - now:.0f} s',
        )

    def get_closed(
        self, now: float, entry: queues.Entry
    ) -> dict[topologies.Cell, int]:
        """Return the cells that a job must not fill up.

        A job may run in a reserved cell if it is smaller than a large gang
        and expected to end before the reservation starts, or if the gang
        does not need the accelerators. Large gangs that outran a reservation
        were stopped again and again.
        Work of a higher priority class does not wait for reservations.

        :returns: accelerators that the job may use in each such cell.
        """
        closed: dict[topologies.Cell, int] = {}
        if not self.by_job:
            return closed
        spec = entry.job.spec
        end = now + self._estimates.get_remaining(now, entry)
        for reservation in self.by_job.values():
            if reservation.entry is entry:
                continue
            if spec.priority < reservation.entry.job.spec.priority:
                continue
            if spec.accelerators < LARGE_GANG and end <= reservation.start:
                continue
            closed[reservation.cell] = max(0, reservation.surplus)
        return closed

    def note_placed(self, entry: queues.Entry) -> None:
        """Mark a job that was placed in a reserved cell.

        Large gangs are not marked, so a reservation does not stop them.
        """
        size = entry.job.spec.accelerators
        for reservation in self.by_job.values():
            if any(reservation.cell in node.cells for node in entry.parts):
                entry.backfilled = size < LARGE_GANG
                reservation.surplus -= size

    def _find_best(
        self, now: float, entry: queues.Entry, own: Reservation | None
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
            if self._is_taken(cell, own):
                continue
            found = self._estimate_start(now, cell, entry)
            if found is None:
                continue
            # Among equal starts, the cell that needs the least more is best.
            key = (found[0], spec.accelerators - cell.free)
            if best is None or key < best[0]:
                best = (key, Reservation(entry, cell, *found, now))
        return None if best is None else best[1]

    def _is_taken(
        self, cell: topologies.Cell, own: Reservation | None
    ) -> bool:
        """Return whether a cell overlaps one that is reserved already."""
        for reservation in self.by_job.values():
            if reservation is own:
                continue
            length = min(len(cell.key), len(reservation.cell.key))
            if cell.key[:length] == reservation.cell.key[:length]:
                return True
        return False

    def _estimate_start(
        self, now: float, cell: topologies.Cell, entry: queues.Entry
    ) -> tuple[float, int] | None:
        """Return when a gang can start in a cell, and what is left then."""
        if entry.job.spec.adjacency is not hardware.Adjacency.WORKER:
            return self._estimate_nodes(now, cell.nodes, entry)
        starts = [
            found
            for node in cell.nodes
            if node.total >= entry.job.spec.accelerators
            and (found := self._estimate_nodes(now, [node], entry))
        ]
        if not starts:
            return None
        # The other workers of the rack are open, but it is not known which
        # worker becomes free first, so nothing is counted as surplus.
        return min(starts)[0], 0

    def _estimate_nodes(
        self, now: float, nodes: list[topologies.Node], entry: queues.Entry
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
        return now + self._estimates.get_remaining(now, entry)

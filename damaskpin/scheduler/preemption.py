"""Finds borrowers to stop so that another borrower can start.

A borrower is a job that runs on accelerators without a guaranteed shape.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import allocations
from damaskpin.scheduler import placement
from damaskpin.scheduler import reclaim
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues

Plan = tuple[allocations.Allocation, list['queues.JobEntry']]
CellWorkers = list[list[topologies.Node]]

# Maximum number of cells examined in detail; cells that lack the fewest
# accelerators go first.
MAX_CELLS = 3


def list_cells(
    topology: topologies.Topology, adjacency: hardware.Adjacency
) -> CellWorkers:
    """Return the workers of every cell of an adjacency level."""
    if adjacency is hardware.Adjacency.WORKER:
        return [[node] for node in topology.nodes.values()]
    return [cell.nodes for cell in topology.cells[adjacency].values()]


def find_plans(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.JobEntry,
    cells: CellWorkers,
    may_stop: Callable[[queues.JobEntry], bool],
) -> Iterable[Plan]:
    """Find cells where a gang fits after borrowers are stopped.

    :param cells: workers of each cell to consider.
    :param may_stop: returns whether a borrower may be stopped.
    :returns: accelerators of each worker and the jobs to stop; the cell that
        lacks the fewest accelerators goes first.
    """
    size = entry.job.spec.accelerators
    candidates = []
    for position, nodes in enumerate(cells):
        free = sum(node.free for node in nodes)
        if sum(node.total for node in nodes) < size:
            continue
        candidates.append((size - free, position, nodes))
    candidates.sort()
    examined = 0
    for missing, _, nodes in candidates:
        counts = _count_stoppable(nodes, ledger, may_stop)
        if sum(counts.values()) < missing:
            continue
        plan = _make_plan(now, ledger, entry, nodes, missing, counts)
        if plan is not None:
            yield plan
        examined += 1
        if examined >= MAX_CELLS:
            return


def fit_elsewhere(
    ledger: ledgers.Ledger,
    victims: list[queues.JobEntry],
    cell: topologies.Cell | None,
) -> bool:
    """Return whether all stopped jobs fit outside a cell at once."""
    topology = ledger.topology
    cell_accelerator_limits = {} if cell is None else {cell: 0}
    held_allocations: list[allocations.Allocation] = []
    fit = True
    for victim in victims:
        spec = victim.job.spec
        allocation = placement.find_allocation(
            topology,
            placement.Request(
                spec.accelerators, spec.adjacency, cell_accelerator_limits
            ),
        )
        if allocation is None:
            fit = False
            break
        for node, count in allocation.items():
            topology.hold(node, count)
        held_allocations.append(allocation)
    for allocation in held_allocations:
        for node, count in allocation.items():
            topology.hold(node, -count)
    return fit


def _count_stoppable(
    nodes: list[topologies.Node],
    ledger: ledgers.Ledger,
    may_stop: Callable[[queues.JobEntry], bool],
) -> dict[str, int]:
    """Count the accelerators of each stoppable job on the given workers."""
    counts: dict[str, int] = {}
    for node in nodes:
        if not node.total:
            continue
        for job_id in node.slots:
            if job_id is not None:
                counts[job_id] = counts.get(job_id, 0) + 1
    entries = ledger.entries
    return {
        job_id: count
        for job_id, count in counts.items()
        if entries[job_id].is_borrowing()
        and not entries[job_id].worker_failed
        and may_stop(entries[job_id])
    }


def _make_plan(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.JobEntry,
    nodes: list[topologies.Node],
    missing: int,
    counts: dict[str, int],
) -> Plan | None:
    entries = ledger.entries
    chosen = reclaim.choose_victims_by_count(
        now, missing, [(entries[job_id], n) for job_id, n in counts.items()]
    )
    if chosen is None:
        return None
    ids = {other.job.id for other in chosen}
    available: allocations.Allocation = {}
    for node in nodes:
        if not node.total:
            continue
        count = node.free + sum(1 for job_id in node.slots if job_id in ids)
        if count:
            available[node] = count
    size = entry.job.spec.accelerators
    if sum(available.values()) < size:
        return None
    cell = nodes[0].get_cell(entry.job.spec.adjacency)
    if cell is None:
        allocation = {nodes[0]: size}
    else:
        allocation = allocations.fill_cell(cell, size, available)
    victims = reclaim.choose_victims(
        now,
        reclaim.count_deficits(allocation, entries),
        entries,
        lambda other: other.job.id in ids,
    )
    return None if victims is None else (allocation, victims)

"""Finds borrowing jobs to stop so that another borrowing job can start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import filling
from damaskpin.scheduler import placement
from damaskpin.scheduler import reclaim
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues

Plan = tuple[filling.Parts, list['queues.Entry']]
Cells = list[list[topologies.Node]]

# Maximum number of cells examined in detail; cells that lack the fewest
# accelerators go first.
MAX_CELLS = 3


def list_cells(
    topology: topologies.Topology, adjacency: hardware.Adjacency
) -> Cells:
    """Return the workers of every cell of an adjacency level."""
    if adjacency is hardware.Adjacency.WORKER:
        return [[node] for node in topology.nodes.values()]
    return [cell.nodes for cell in topology.cells[adjacency].values()]


def find_plans(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.Entry,
    cells: Cells,
    may_stop: Callable[[queues.Entry], bool],
) -> Iterable[Plan]:
    """Find cells where a gang fits after borrowing jobs are stopped.

    :param cells: workers of each cell to consider.
    :param may_stop: returns whether a borrowing job may be stopped.
    :returns: accelerators of each worker and the jobs to stop; the cell that
        lacks the fewest accelerators goes first.
    """
    size = entry.job.spec.accelerators
    options = []
    for position, nodes in enumerate(cells):
        free = sum(node.free for node in nodes)
        if sum(node.total for node in nodes) < size:
            continue
        options.append((size - free, position, nodes))
    options.sort()
    tried = 0
    for missing, _, nodes in options:
        sums = _sum_candidates(nodes, ledger, may_stop)
        if sum(sums.values()) < missing:
            continue
        plan = _make_plan(now, ledger, entry, nodes, missing, sums)
        if plan is not None:
            yield plan
        tried += 1
        if tried >= MAX_CELLS:
            return


def fit_elsewhere(
    ledger: ledgers.Ledger,
    victims: list[queues.Entry],
    cell: topologies.Cell | None,
) -> bool:
    """Return whether all stopped jobs fit outside a cell at once."""
    topology = ledger.topology
    closed = {} if cell is None else {cell: 0}
    held: list[filling.Parts] = []
    fit = True
    for victim in victims:
        spec = victim.job.spec
        parts = placement.find_place(
            topology,
            placement.Request(spec.accelerators, spec.adjacency, closed),
        )
        if parts is None:
            fit = False
            break
        for node, count in parts.items():
            topology.hold(node, count)
        held.append(parts)
    for parts in held:
        for node, count in parts.items():
            topology.hold(node, -count)
    return fit


def _sum_candidates(
    nodes: list[topologies.Node],
    ledger: ledgers.Ledger,
    may_stop: Callable[[queues.Entry], bool],
) -> dict[str, int]:
    """Count the accelerators of each stoppable job on the given workers."""
    sums: dict[str, int] = {}
    for node in nodes:
        if not node.total:
            continue
        for job_id in node.slots:
            if job_id is not None:
                sums[job_id] = sums.get(job_id, 0) + 1
    entries = ledger.entries
    return {
        job_id: count
        for job_id, count in sums.items()
        if entries[job_id].is_borrowing()
        and not entries[job_id].broken
        and may_stop(entries[job_id])
    }


def _make_plan(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.Entry,
    nodes: list[topologies.Node],
    missing: int,
    sums: dict[str, int],
) -> Plan | None:
    entries = ledger.entries
    chosen = reclaim.choose_for_count(
        now, missing, [(entries[job_id], n) for job_id, n in sums.items()]
    )
    if chosen is None:
        return None
    ids = {other.job.id for other in chosen}
    avail: filling.Parts = {}
    for node in nodes:
        if not node.total:
            continue
        count = node.free + sum(1 for job_id in node.slots if job_id in ids)
        if count:
            avail[node] = count
    size = entry.job.spec.accelerators
    if sum(avail.values()) < size:
        return None
    cell = nodes[0].get_cell(entry.job.spec.adjacency)
    if cell is None:
        parts = {nodes[0]: size}
    else:
        parts = filling.fill_cell(cell, size, avail)
    victims = reclaim.choose_victims(
        now,
        reclaim.count_deficits(parts, entries),
        entries,
        lambda other: other.job.id in ids,
    )
    return None if victims is None else (parts, victims)

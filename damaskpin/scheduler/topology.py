"""Tracks workers, their accelerators and the cells that contain them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware

if TYPE_CHECKING:
    from collections.abc import Iterator

    from damaskpin.scheduler import decisions

LEVELS = (
    hardware.Adjacency.WORKER,
    hardware.Adjacency.RACK,
    hardware.Adjacency.DATA_CENTRE,
    hardware.Adjacency.REGION,
)
RANKS = {level: rank for rank, level in enumerate(LEVELS)}


class Cell:
    """A rack, data centre or region, and the use of its accelerators.

    :ivar key: names of the region, data centre and rack down to this level.
    :ivar size: accelerators of all known workers.
    :ivar total: accelerators of the workers in service.
    :ivar free: accelerators of the workers in service that are neither used
        nor held.
    :ivar bound: accelerators bound to guaranteed shapes, used or not.
    :ivar failed: number of workers out of service or quarantined.
    """

    __slots__ = (
        'bound',
        'children',
        'failed',
        'free',
        'key',
        'level',
        'nodes',
        'parent',
        'size',
        'total',
    )

    def __init__(
        self,
        key: tuple[str, ...],
        level: hardware.Adjacency,
        parent: Cell | None,
    ) -> None:
        self.key = key
        self.level = level
        self.parent = parent
        self.children: list[Cell] = []
        self.nodes: list[Node] = []
        self.size = 0
        self.total = 0
        self.free = 0
        self.bound = 0
        self.failed = 0

    def is_idle(self) -> bool:
        """Return whether all accelerators in service are free."""
        return self.free == self.total


class Node:
    """A worker and the use of its accelerators.

    :ivar ordinal: position in the order of first reports; breaks ties.
    :ivar slots: id of the job that uses each accelerator, or ``None``.
    :ivar unused: accelerators without a job.
    :ivar held: accelerators held for claimed jobs that have not started.
    :ivar bound: accelerators bound to guaranteed shapes, used or not.
    :ivar bound_unused: bound accelerators that no guaranteed job uses.
    :ivar removed_at: time at which the worker went out of service.
    :ivar probing: whether one job at a time may run on the quarantined worker
        as a probe.
    :ivar free: accelerators that a job can use now; 0 while the worker is
        out of service.
    :ivar total: all accelerators; 0 while the worker is out of service.
    """

    __slots__ = (
        'alive',
        'bound',
        'bound_unused',
        'cells',
        'data_centre',
        'free',
        'held',
        'name',
        'ordinal',
        'probing',
        'quarantined',
        'rack',
        'region',
        'removed_at',
        'size',
        'slots',
        'total',
        'unused',
        'worker',
    )

    def __init__(
        self,
        worker: hardware.Worker,
        ordinal: int,
        cells: tuple[Cell, Cell, Cell],
    ) -> None:
        self.worker = worker
        self.name = worker.name
        self.ordinal = ordinal
        self.cells = cells
        self.rack, self.data_centre, self.region = cells
        self.size = worker.accelerators
        self.slots: list[str | None] = [None] * worker.accelerators
        self.unused = worker.accelerators
        self.held = 0
        self.bound = 0
        self.bound_unused = 0
        self.alive = False
        self.quarantined = False
        self.probing = False
        self.removed_at = 0.0
        self.free = 0
        self.total = 0

    def is_usable(self) -> bool:
        """Return whether guaranteed shapes may be bound to the worker."""
        return self.alive and not self.quarantined

    def accepts_jobs(self) -> bool:
        """Return whether new jobs may start on the worker."""
        return self.alive and (not self.quarantined or self.probing)

    def get_cell(self, level: hardware.Adjacency) -> Cell | None:
        """Return the worker's cell at a level; ``None`` at worker level."""
        rank = RANKS[level]
        return self.cells[rank - 1] if rank else None


class Topology:
    """All known workers and the racks, data centres and regions."""

    __slots__ = ('_worker_count', 'cells', 'nodes')

    def __init__(self) -> None:
        self._worker_count = 0
        self.nodes: dict[str, Node] = {}
        self.cells: dict[hardware.Adjacency, dict[tuple[str, ...], Cell]] = {
            level: {} for level in LEVELS[1:]
        }

    def set_worker(self, worker: hardware.Worker) -> bool:
        """Add a worker, update its description or return it to service.

        :returns: whether the topology has changed.
        """
        node = self.nodes.get(worker.name)
        if node is not None and node.worker != worker:
            self._replace_worker(node, worker)
        elif node is None:
            self._worker_count += 1
            node = Node(worker, self._worker_count, self._make_cells(worker))
            self.nodes[worker.name] = node
            self._add_to_cells(node)
        elif node.alive:
            return False
        self._set_state(node, True, node.quarantined)
        return True

    def remove_worker(self, now: float, name: str) -> bool:
        """Take a worker out of service; its jobs stay recorded.

        :returns: whether the topology has changed.
        """
        node = self.nodes.get(name)
        if node is None or not node.alive:
            return False
        node.removed_at = now
        self._set_state(node, False, node.quarantined)
        return True

    def delete_worker(self, node: Node) -> None:
        """Delete a worker that is out of service and unused."""
        del self.nodes[node.name]
        for cell in node.cells:
            cell.nodes.remove(node)
            cell.failed -= 1
            cell.size -= node.size

    def set_quarantined(self, node: Node, quarantined: bool) -> None:
        """Start or end the quarantine of a worker."""
        node.probing = False
        self._set_state(node, node.alive, quarantined)

    def start_probe(self, node: Node) -> None:
        """Allow one job at a time on a quarantined worker, as a probe."""
        node.probing = True
        self.update_free_counts(node)

    def count_free(self) -> int:
        """Count the accelerators that jobs can use now."""
        regions = self.cells[hardware.Adjacency.REGION].values()
        return sum(cell.free for cell in regions)

    def occupy(self, node: Node, index: int, job_id: str) -> None:
        """Record that a job uses an accelerator of a worker.

        :raises ValueError: another job uses the accelerator.
        """
        if node.slots[index] is not None:
            message = (
                f'accelerator {node.name}:{index} is already used by job '
                f'{node.slots[index]}'
            )
            raise ValueError(message)
        node.slots[index] = job_id
        node.unused -= 1
        self.update_free_counts(node)

    def release(self, members: decisions.Members, job_id: str) -> None:
        """Release the accelerators of a job."""
        for name, indexes in members:
            node = self.nodes[name]
            for index in indexes:
                # The worker may have returned with fewer accelerators.
                if index < len(node.slots) and node.slots[index] == job_id:
                    node.slots[index] = None
                    node.unused += 1
            self.update_free_counts(node)

    def hold(self, node: Node, count: int) -> None:
        """Hold accelerators of a worker; a negative count releases them."""
        node.held += count
        self.update_free_counts(node)

    def update_free_counts(self, node: Node) -> None:
        """Recompute the free accelerators of a worker and its cells."""
        accepts_jobs = node.accepts_jobs()
        free = max(0, node.unused - node.held) if accepts_jobs else 0
        if node.probing and node.unused < node.size:
            # A probed worker runs only one job at a time.
            free = 0
        total = node.size if accepts_jobs else 0
        free_change = free - node.free
        total_change = total - node.total
        if not free_change and not total_change:
            return
        node.free = free
        node.total = total
        for cell in node.cells:
            cell.free += free_change
            cell.total += total_change

    def get_failed(self) -> Iterator[Node]:
        """Return the workers that are out of service or quarantined."""
        return (n for n in self.nodes.values() if not n.is_usable())

    def _make_cells(self, worker: hardware.Worker) -> tuple[Cell, Cell, Cell]:
        parent = None
        path = []
        for level in reversed(LEVELS[1:]):
            key = hardware.get_cell(worker, level)
            cell = self.cells[level].get(key)
            if cell is None:
                cell = Cell(key, level, parent)
                self.cells[level][key] = cell
                if parent is not None:
                    parent.children.append(cell)
            path.append(cell)
            parent = cell
        region, data_centre, rack = path
        return rack, data_centre, region

    def _add_to_cells(self, node: Node) -> None:
        for cell in node.cells:
            cell.nodes.append(node)
            cell.failed += 1
            cell.size += node.size
            cell.bound += node.bound

    def _replace_worker(self, node: Node, worker: hardware.Worker) -> None:
        self._set_state(node, False, node.quarantined)
        for cell in node.cells:
            cell.nodes.remove(node)
            cell.failed -= 1
            cell.size -= node.size
            cell.bound -= node.bound
        node.worker = worker
        node.cells = self._make_cells(worker)
        node.rack, node.data_centre, node.region = node.cells
        node.size = worker.accelerators
        kept_slots = node.slots[: node.size]
        node.slots = kept_slots + [None] * (node.size - len(kept_slots))
        node.unused = node.slots.count(None)
        self._add_to_cells(node)

    def _set_state(self, node: Node, alive: bool, quarantined: bool) -> None:
        before = node.is_usable()
        node.alive = alive
        node.quarantined = quarantined
        change = int(before) - int(node.is_usable())
        for cell in node.cells:
            cell.failed += change
        self.update_free_counts(node)

"""Refuses jobs that can never run or that exceed a queue limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import decisions
from damaskpin.scheduler import shapes
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs
    from damaskpin.scheduler import ledger as ledgers


class Admission:
    """Checks submitted jobs against accounts, hardware and queue limits."""

    __slots__ = ('_largest_configured',)

    def __init__(self, config: configs.Config) -> None:
        self._largest_configured: dict[hardware.Adjacency, int] = {}
        self.set_config(config)

    def set_config(self, config: configs.Config) -> None:
        """Replace the configured hardware."""
        self._largest_configured = get_largest_cells(config)

    def check(
        self, job: jobs.Job, ledger: ledgers.Ledger
    ) -> decisions.Refusal | None:
        """Check a job; return a refusal, or ``None`` if it may be queued."""
        spec = job.spec
        account = ledger.accounts.get(job.account)
        if account is None:
            return decisions.Refusal(job.id, f'unknown account {job.account}')
        if spec.accelerators > account.quota:
            return decisions.Refusal(
                job.id,
                f'the job needs {spec.accelerators} accelerators, the quota '
                f'of account {job.account} is {account.quota}',
            )
        problem = _check_shape(spec, account)
        if problem:
            return decisions.Refusal(job.id, problem)
        largest = self._get_largest(ledger.topology, spec.adjacency)
        if largest is not None and spec.accelerators > largest:
            return decisions.Refusal(
                job.id,
                f'the job needs {spec.accelerators} accelerators in one '
                f'{spec.adjacency.value}, the largest one has {largest}',
            )
        if ledger.queue.counts.get(job.account, 0) >= account.max_queued:
            return decisions.Refusal(
                job.id,
                f'{account.max_queued} jobs of account {job.account} are '
                'waiting, which is the limit',
                retryable=True,
            )
        return None

    def _get_largest(
        self, topology: topologies.Topology, level: hardware.Adjacency
    ) -> int | None:
        """Return the accelerators of the largest cell of a level.

        :returns: ``None`` if no workers are known or configured.
        """
        if not topology.nodes and not self._largest_configured:
            return None
        largest = self._largest_configured.get(level, 0)
        if level is hardware.Adjacency.WORKER:
            known_sizes = (node.size for node in topology.nodes.values())
        else:
            # Failed workers are counted because they may return.
            known_sizes = (
                sum(node.size for node in cell.nodes)
                for cell in topology.cells[level].values()
                if sum(node.size for node in cell.nodes) > largest
            )
        return max(largest, max(known_sizes, default=0))


def get_largest_cells(
    config: configs.Config,
) -> dict[hardware.Adjacency, int]:
    """Return the size in accelerators of the largest cell of each level.

    :returns: sizes from the configured racks; empty without racks.
    """
    if not config.racks:
        return {}
    sums: dict[tuple[str, ...], int] = {}
    for rack in config.racks:
        size = rack.workers * rack.accelerators
        path = (rack.region, rack.data_centre, rack.name)
        for length in range(1, 4):
            key = path[:length]
            sums[key] = sums.get(key, 0) + size
    largest = {
        hardware.Adjacency.WORKER: max(r.accelerators for r in config.racks)
    }
    for level, length in (
        (hardware.Adjacency.RACK, 3),
        (hardware.Adjacency.DATA_CENTRE, 2),
        (hardware.Adjacency.REGION, 1),
    ):
        largest[level] = max(
            size for key, size in sums.items() if len(key) == length
        )
    return largest


def _check_shape(spec: jobs.JobSpec, account: configs.Account) -> str:
    if spec.shape is None:
        return ''
    for shape in account.guarantees:
        if shape.name != spec.shape:
            continue
        if shapes.matches(shape, spec):
            return ''
        return (
            f'the job needs {spec.accelerators} accelerators in one '
            f'{spec.adjacency.value}, shape {shape.name} offers '
            f'{shape.accelerators} in one {shape.adjacency.value}'
        )
    return f'account {account.name} has no shape {spec.shape}'

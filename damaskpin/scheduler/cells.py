"""Checks that all guaranteed shapes fit the configured hardware."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import bindings as bindings_module
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.model import config as configs


def check_feasibility(config: configs.Config) -> list[str]:
    """Check that all guaranteed shapes fit the configured hardware at once.

    :returns: one message for each problem; empty if all shapes fit.
    """
    topology = topologies.Topology()
    for rack in config.racks:
        for index in range(rack.workers):
            name = f'{rack.region}/{rack.data_centre}/{rack.name}/{index}'
            topology.set_worker(
                hardware.Worker(
                    name,
                    rack.region,
                    rack.data_centre,
                    rack.name,
                    rack.accelerators,
                )
            )
    bindings = bindings_module.Bindings(topology, strict=True)
    bindings.set_config(config)
    while not bindings.bind_pending(len(bindings.instances)):
        pass
    problems = []
    unmet = bindings.get_unmet()
    for account in config.accounts:
        total = 0
        for shape in account.guarantees:
            total += shape.accelerators * shape.count
            missing = unmet.get((account.name, shape.name), 0)
            if missing:
                problems.append(
                    f'account {account.name}, shape {shape.name}: {missing} '
                    f'of {shape.count} instances of {shape.accelerators} '
                    f'accelerators in one {shape.adjacency.value} of '
                    f'{shape.data_centre or shape.region} do not fit with '
                    f'{config.failed_workers} failed workers per data centre'
                )
        if total > account.quota:
            problems.append(
                f'account {account.name}: guaranteed shapes need {total} '
                f'accelerators, the quota is {account.quota}'
            )
    return problems

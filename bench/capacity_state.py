"""Measures the memory of agents, jobs and client accounts in an entry."""

from __future__ import annotations

import gc
import random
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from bench import capacity_machines as simulation
from bench import configuration
from bench import decision_cost
from bench import fleets
from damaskpin.gang import owner as owners
from damaskpin.model import config as configs
from damaskpin.peer import membership
from damaskpin.peer import messages
from damaskpin.scheduler import scheduler as schedulers

if TYPE_CHECKING:
    from collections.abc import Callable


def measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes of memory of the object that a function builds."""
    gc.collect()
    tracemalloc.start()
    try:
        built_object = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del built_object
    finally:
        tracemalloc.stop()
    return size


def build_membership(agents: int, tasks: int) -> object:
    """Build the membership state of an entry that received agent reports.

    :param agents: number of agents.
    :param tasks: number of tasks of each agent.
    """
    entry = membership.EntryMembership(
        simulation.make_peer('entry-00', 'entry', 0), 0.0
    )
    for index in range(agents):
        state = simulation.make_state(0, index, tasks)
        data = msgspec.msgpack.encode(state)
        state = msgspec.msgpack.decode(data, type=messages.AgentState)
        report = messages.AgentReport(
            state.peer.instance, state.peer.incarnation, 1, 7, 12.5, state
        )
        entry.receive(0.0, state.peer.instance, report)
    entry.tick(1.0)
    return entry


def build_owner(count: int) -> object:
    """Build an owner with a number of submitted jobs."""
    owner = owners.Owner('entry-00')
    for index in range(count):
        owner.submit(0.0, simulation.make_job(index), False)
    return owner


def build_scheduler(workers: int, count: int) -> object:
    """Build a scheduler with workers and waiting jobs.

    :param workers: number of workers.
    :param count: number of waiting jobs.
    """
    config = decision_cost._make_config(1500)
    scheduler = schedulers.Scheduler(config, random.Random(0))
    for worker in fleets.make_workers(config)[:workers]:
        scheduler.set_worker(0.0, worker)
    for index in range(count):
        job = msgspec.structs.replace(
            simulation.make_job(index), account=config.accounts[0].name
        )
        scheduler.submit(0.0, job)
    return scheduler


def build_accounts(count: int) -> object:
    """Build a configuration with a number of client accounts."""
    config = configs.Config(
        accounts=[
            configs.Account(
                name=f'account-{index}',
                token_sha256=f'{index:064x}',
                quota=96,
                guarantees=[
                    configs.Guarantee(
                        name=f'shape-{shape}',
                        accelerators=8,
                        adjacency='worker',
                        count=1,
                        region='region-0',
                    )
                    for shape in range(3)
                ],
            )
            for index in range(count)
        ],
        racks=[],
        failed_workers=0,
    )
    return msgspec.json.decode(
        configs.format_config(config), type=configs.Config
    )


def get_config_bytes() -> int:
    """Return the bytes of the configuration document at design size."""
    return len(configuration.make_config_document(1500, 2))

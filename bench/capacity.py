"""Measures the costs of every daemon role and how they grow with size."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import fire
import msgspec

from bench import capacity_machines as simulation
from bench import capacity_processes as processes
from bench import capacity_state as memory_use
from bench import gang_messages
from damaskpin.peer import events
from damaskpin.peer import home as homes

if TYPE_CHECKING:
    from collections.abc import Sequence

AGENTS_PER_DATA_CENTRE = 125
ENTRIES = 24
DATA_CENTRES = 12
# Data centres of region 0, the region of entry-00.
REGION_DATA_CENTRES = (0, 3, 6, 9)
CONFIG_CHANGES_PER_DAY = 560
DAY_S = 86_400.0
LINK_BYTES_PER_S = 15e6 / 8
# Time for which a region is disconnected from the others.
PARTITION_S = 120.0
TICK_CALLS = 200


class FittedLine(msgspec.Struct, frozen=True):
    """Straight line that was fitted to measurements.

    :ivar base: value at size 0.
    :ivar slope: increase of the value for each unit of size.
    """

    base: float
    slope: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Fit a line to measurements by least squares.

    :param points: pairs of size and value, of at least two sizes.
    :raises ValueError: all points have the same size.
    """
    mean_size = sum(x for x, _ in points) / len(points)
    mean_value = sum(y for _, y in points) / len(points)
    squared_deviations = sum((x - mean_size) ** 2 for x, _ in points)
    if not squared_deviations:
        raise ValueError('a slope needs two different sizes')
    slope = (
        sum((x - mean_size) * (y - mean_value) for x, y in points)
        / squared_deviations
    )
    return FittedLine(mean_value - slope * mean_size, slope)


def compute_config_rates(body_bytes: int) -> dict[str, float]:
    """Return the traffic that configuration changes cause.

    A watch sends the document in base64, and the watching entry sends it to
    the other entry of its data centre.

    :param body_bytes: bytes of the document.
    :returns: bytes per second by sender or link, and the seconds for which a
        change occupies the link between regions.
    """
    watch_bytes = body_bytes * 4 / 3
    remote_bytes = watch_bytes * DATA_CENTRES * 2 / 3
    return {
        'watching entry': (watch_bytes + body_bytes)
        * CONFIG_CHANGES_PER_DAY
        / DAY_S,
        'other entry': body_bytes * CONFIG_CHANGES_PER_DAY / DAY_S,
        'between regions': remote_bytes * CONFIG_CHANGES_PER_DAY / DAY_S,
        'seconds of the link': remote_bytes / LINK_BYTES_PER_S,
    }


def measure_processes(
    sizes: Sequence[int], seconds: float, settle: float
) -> None:
    """Measure and print traffic, processor time and memory of daemons."""
    print('daemons on loopback, two entries; bytes a second')
    costs = {
        size: processes.measure_role_costs(size, seconds, settle)
        for size in sizes
    }
    for size, roles in costs.items():
        for role, cost in roles.items():
            print(
                f'  {size:3} agents {role:18} wire {cost.wire:7.0f} '
                f'payload {cost.payload:7.0f} frames/s {cost.frames:6.2f} '
                f'store {cost.store_wire:6.0f} core {cost.core:7.4f} '
                f'rss {cost.memory / 1e6:5.1f} MB '
                f'uss {cost.unique / 1e6:5.1f} MB',
                flush=True,
            )
    for role in ('coordinating entry', 'entry', 'agent', 'store'):
        role_costs = [roles[role] for roles in costs.values()]
        memory = fit_line(
            [
                (size, cost.memory)
                for size, cost in zip(sizes, role_costs, strict=True)
            ]
        )
        print(f'  {role}: memory {memory.slope:.0f} bytes an agent', end='')
        if role == 'store':
            print()
            continue
        core = fit_line([(cost.frames, cost.core) for cost in role_costs])
        print(
            f', core {core.base:.5f} + {core.slope:.6f} a frame/s, '
            f'{role_costs[-1].wire / role_costs[-1].frames:.0f} '
            'bytes an exchange'
        )


def measure_state_machines() -> None:
    """Measure and print the traffic of simulated state machines."""
    print('EntryMembership; a second; both directions')
    for agents in (10, 60, 125, 500):
        for entries in (4, 12, 24):
            traffic = simulation.measure_membership(agents, entries)
            print(
                f'  {agents:3} home agents {entries:2} entries: '
                f'{format_rates(traffic, 60.0)}',
                flush=True,
            )
    print('Owner of waiting jobs; a second; both directions')
    points = []
    for count in (10, 100, 400):
        traffic = simulation.measure_owner(count)
        points.append((count, traffic.wire / simulation.OWNER_SECONDS))
        print(
            f'  {count:3} jobs: '
            f'{format_rates(traffic, simulation.OWNER_SECONDS)}'
        )
    line = fit_line(points)
    print(f'  wire {line.base:.0f} + {line.slope:.1f} a job')
    print('gang beats of the lead, bytes a second')
    for size in (1, 8, 16, 64, 128):
        gang_traffic = gang_messages.measure_gang_traffic(size, 1)
        exchanges = gang_traffic['minute_messages'] / 2 / 60
        headers = exchanges * simulation.get_wire_bytes(0)
        wire = gang_traffic['lead_bytes_per_second'] + headers
        print(
            f'  {size:3} members: '
            f'encoded {gang_traffic["lead_bytes_per_second"]}, '
            f'wire {wire:.0f}, exchanges {exchanges:.2f}'
        )
    print('one agent whose busy slots change all the time')
    for entries in (1, 4, 12, 24):
        traffic = measure_busy_agent(entries, 10.0)
        print(
            f'  its home of {entries:2} entries: {format_rates(traffic, 10.0)}'
        )


def measure_busy_agent(entries: int, seconds: float) -> simulation.Traffic:
    """Measure the traffic of an entry whose one agent changes in every tick.

    :param entries: number of entries; with one entry, the agent causes all
        traffic.
    :param seconds: simulated seconds that are measured.
    :returns: traffic of the entry.
    """
    fleet = simulation.SimulatedFleet(entries, {0: 1}, without_neighbour=True)
    fleet.run(10.0)
    name, agent = next(iter(fleet.agents.items()))
    fleet.reset_counters()
    for step in range(round(seconds / simulation.DAEMON_TICK_S)):
        fleet.now += simulation.DAEMON_TICK_S
        target = msgspec.structs.replace(
            agent.state.targets[0], busy=step % 2 + 1
        )
        agent.set_state(
            fleet.now,
            msgspec.structs.replace(agent.state, targets=(target,)),
        )
        fleet.deliver_outputs(name, agent.tick(fleet.now))
        entry = fleet.entries[fleet.observed_entry]
        fleet.deliver_outputs(fleet.observed_entry, entry.tick(fleet.now))
    return fleet.observed_traffic


def measure_state_memory() -> None:
    """Measure and print the memory of each agent, worker, job and account."""
    print('state, bytes each')
    cases = {
        'agent without tasks': (
            (10, 125, 500),
            lambda size: memory_use.build_membership(size, 0),
        ),
        'agent with 8 tasks': (
            (10, 125, 500),
            lambda size: memory_use.build_membership(size, 8),
        ),
        'job of an owner': ((100, 1000, 4000), memory_use.build_owner),
        'worker in the scheduler': (
            (100, 500, 1500),
            lambda size: memory_use.build_scheduler(size, 0),
        ),
        'job in the queue': (
            (100, 500, 1500),
            lambda size: memory_use.build_scheduler(0, size),
        ),
        'account': ((4, 37, 100), memory_use.build_accounts),
    }
    for name, (sizes, build) in cases.items():
        points = [
            (size, memory_use.measure_memory(lambda n=size, b=build: b(n)))
            for size in sizes
        ]
        line = fit_line(points)
        print(f'  {name}: {line.slope:.0f}, points {points}')


def measure_design_size() -> None:
    """Measure and print a region at design size, also during failures."""
    agent_counts = dict.fromkeys(REGION_DATA_CENTRES, AGENTS_PER_DATA_CENTRE)
    fleet = simulation.SimulatedFleet(ENTRIES, agent_counts)
    fleet.run(simulation.WARM_UP_S)
    counts = [
        len(fleet.entries[name].list_home_agents())
        for name in sorted(fleet.entries)
        if fleet.data_centres[name] in REGION_DATA_CENTRES
    ]
    print(f'design size; agents of each entry of the region {counts}')
    fleet.reset_counters()
    fleet.run(60.0)
    print(f'  entry-00: {format_rates(fleet.observed_traffic, 60.0)}')
    print(f'  all entries: {format_rates(fleet.total_traffic, 60.0)}')
    baseline = msgspec.structs.replace(fleet.total_traffic)
    _measure_partition(fleet, baseline)
    _measure_lost_neighbour(fleet)
    _measure_tick_cost(fleet)
    _measure_lost_data_centre(fleet, baseline)


def _measure_tick_cost(fleet: simulation.SimulatedFleet) -> None:
    # A daemon calls ``tick`` more often than the simulated fleet does.
    observed = fleet.entries[fleet.observed_entry]
    started = time.process_time()
    for _ in range(TICK_CALLS):
        observed.tick(fleet.now)
    cost = (time.process_time() - started) / TICK_CALLS
    ticks_per_second = 1 / simulation.DAEMON_TICK_S
    print(
        f'  tick {cost * 1e6:.0f} us, core {cost * ticks_per_second:.4f} at '
        f'{ticks_per_second:.0f} ticks/s'
    )


def _measure_partition(
    fleet: simulation.SimulatedFleet, baseline: simulation.Traffic
) -> None:
    fleet.isolated_regions = {0}
    fleet.run(PARTITION_S)
    reachable_entries = len(fleet.entries[fleet.observed_entry].list_entries())
    fleet.isolated_regions = set()
    fleet.reset_counters()
    fleet.announce_entries()
    rejoin_traffic = fleet.total_traffic
    fleet.run(5.0)
    window_share = 5.0 / 60.0
    print(
        f'  region cut off for {PARTITION_S:.0f} s, '
        f'{reachable_entries} entries left; on rejoin within 5 s '
        f'{rejoin_traffic.messages - baseline.messages * window_share:.0f} '
        'messages, '
        f'{rejoin_traffic.wire - baseline.wire * window_share:.0f} '
        'bytes more than usual, '
        f'{rejoin_traffic.remote_wire} between regions '
        f'({rejoin_traffic.remote_wire / LINK_BYTES_PER_S:.3f} s '
        'of the link); '
        f'{len(fleet.entries[fleet.observed_entry].list_entries())} '
        'entries again'
    )


def _measure_lost_neighbour(fleet: simulation.SimulatedFleet) -> None:
    """Measure an entry while the other entry of its data centre is lost."""
    fleet.run(60.0)
    neighbour = fleet.entries.pop('entry-01')
    for agent in fleet.agents.values():
        if agent.home == 'entry-01':
            agent.handle_call_failure(fleet.now, 'entry-01')
    fleet.run(60.0)
    fleet.reset_counters()
    fleet.run(60.0)
    count = len(fleet.entries[fleet.observed_entry].list_home_agents())
    print(
        f'  entry-00 without entry-01, {count} agents: '
        f'{format_rates(fleet.observed_traffic, 60.0)}'
    )
    fleet.entries['entry-01'] = neighbour
    fleet.announce_entries()
    fleet.run(60.0)


def _measure_lost_data_centre(
    fleet: simulation.SimulatedFleet, baseline: simulation.Traffic
) -> None:
    lost_at = fleet.now
    fleet.reset_counters()
    fleet.remove_data_centre(0)
    fleet.run(60.0)
    latest_times: dict[tuple[str, str], float] = {}
    for now, name, event in fleet.events:
        if name not in fleet.entries:
            continue
        in_region = fleet.data_centres[name] in REGION_DATA_CENTRES
        event_kind = type(event).__name__
        if isinstance(event, events.AgentLost | events.EntryLost):
            key = (event_kind, 'region' if in_region else 'elsewhere')
            latest_times[key] = max(latest_times.get(key, 0.0), now - lost_at)
    print(
        f'  data centre lost: {fleet.total_traffic.messages} messages and '
        f'{fleet.total_traffic.wire} bytes in 60 s '
        f'({baseline.messages} and {baseline.wire} before the loss); '
        'last seconds: '
        + ', '.join(
            f'{event_kind} {location} {seconds:.1f}'
            for (event_kind, location), seconds in sorted(latest_times.items())
        )
    )


def format_rates(traffic: simulation.Traffic, seconds: float) -> str:
    """Render traffic as text, in units per second."""
    return (
        f'messages {traffic.messages / seconds:.2f}, '
        f'exchanges {traffic.exchanges / seconds:.2f}, '
        f'encoded {traffic.encoded / seconds:.0f}, '
        f'wire {traffic.wire / seconds:.0f}, '
        f'between regions {traffic.remote_wire / seconds:.0f}, '
        f'core {traffic.processor / seconds:.5f}'
    )


def main(
    agents: tuple[int, ...] = (3, 10, 30),
    seconds: float = 30.0,
    settle: float = 12.0,
    daemons: bool = True,
) -> None:
    """Measure the costs of all roles and print them.

    :param agents: numbers of agents that run as processes.
    :param seconds: seconds of each measurement of processes.
    :param settle: seconds between the start of processes and a measurement.
    :param daemons: whether to start and measure processes too.
    """
    if daemons:
        measure_processes(agents, seconds, settle)
    measure_state_memory()
    measure_state_machines()
    measure_design_size()
    body_bytes = memory_use.get_config_bytes()
    print(f'configuration of {body_bytes} bytes, bytes a second')
    for name, value in compute_config_rates(body_bytes).items():
        print(f'  {name}: {value:.2f}')
    print(f'shortest gap of reports {homes.MIN_REPORT_GAP_S} s')


if __name__ == '__main__':
    fire.Fire(main)

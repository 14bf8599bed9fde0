"""Measures the costs of every daemon role and how they grow with size."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import fire
import msgspec

from bench import capacity_machines as machines
from bench import capacity_processes as processes
from bench import capacity_state as states
from bench import gang_messages
from damaskpin.peer import events
from damaskpin.peer import home as homes

if TYPE_CHECKING:
    from collections.abc import Sequence

AGENTS_PER_DATA_CENTRE = 125
ENTRIES = 24
DATA_CENTRES = 12
# Data centres of region 0, the region of entry-00.
REGION_PLACES = (0, 3, 6, 9)
CHANGES_PER_DAY = 560
DAY_S = 86_400.0
LINK_BYTES_PER_S = 15e6 / 8
# Time for which a region is disconnected from the others.
CUT_S = 120.0
TICK_CALLS = 200


class Line(msgspec.Struct, frozen=True):
    """Straight line that was fitted to measurements.

    :ivar base: value at size 0.
    :ivar slope: increase of the value for each unit of size.
    """

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to measurements by least squares.

    :param points: pairs of size and value, of at least two sizes.
    :raises ValueError: all points have the same size.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError('a slope needs two different sizes')
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def compute_config_rates(body: int) -> dict[str, float]:
    """Return the traffic that configuration changes cause.

    A watch sends the document in base64, and the watching entry sends it to
    the other entry of its data centre.

    :param body: bytes of the document.
    :returns: bytes per second by sender or link, and the seconds for which a
        change occupies the link between regions.
    """
    watched = body * 4 / 3
    remote = watched * DATA_CENTRES * 2 / 3
    return {
        'watching entry': (watched + body) * CHANGES_PER_DAY / DAY_S,
        'other entry': body * CHANGES_PER_DAY / DAY_S,
        'between regions': remote * CHANGES_PER_DAY / DAY_S,
        'seconds of the link': remote / LINK_BYTES_PER_S,
    }


def measure_processes(
    sizes: Sequence[int], seconds: float, settle: float
) -> None:
    """Measure and print traffic, processor time and memory of daemons."""
    print('daemons on loopback, two entries; bytes a second')
    costs = {size: processes.measure(size, seconds, settle) for size in sizes}
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
        found = [roles[role] for roles in costs.values()]
        memory = fit_line(
            [
                (size, cost.memory)
                for size, cost in zip(sizes, found, strict=True)
            ]
        )
        print(f'  {role}: memory {memory.slope:.0f} bytes an agent', end='')
        if role == 'store':
            print()
            continue
        core = fit_line([(cost.frames, cost.core) for cost in found])
        print(
            f', core {core.base:.5f} + {core.slope:.6f} a frame/s, '
            f'{found[-1].wire / found[-1].frames:.0f} bytes an exchange'
        )


def measure_machines() -> None:
    """Measure and print the traffic of simulated state machines."""
    print('EntryMembership; a second; both directions')
    for agents in (10, 60, 125, 500):
        for entries in (4, 12, 24):
            rates = machines.measure_membership(agents, entries)
            print(
                f'  {agents:3} home agents {entries:2} entries: '
                f'{format_rates(rates, 60.0)}',
                flush=True,
            )
    print('Owner of waiting jobs; a second; both directions')
    points = []
    for count in (10, 100, 400):
        rates = machines.measure_owner(count)
        points.append((count, rates.wire / machines.OWNER_SECONDS))
        print(
            f'  {count:3} jobs: {format_rates(rates, machines.OWNER_SECONDS)}'
        )
    line = fit_line(points)
    print(f'  wire {line.base:.0f} + {line.slope:.1f} a job')
    print('gang beats of the lead, bytes a second')
    for size in (1, 8, 16, 64, 128):
        found = gang_messages.measure(size, 1)
        exchanges = found['minute_messages'] / 2 / 60
        headers = exchanges * machines.count_wire(0)
        wire = found['lead_bytes_per_second'] + headers
        print(
            f'  {size:3} members: encoded {found["lead_bytes_per_second"]}, '
            f'wire {wire:.0f}, exchanges {exchanges:.2f}'
        )
    print('one agent whose busy slots change all the time')
    for entries in (1, 4, 12, 24):
        rates = measure_busy_agent(entries, 10.0)
        print(
            f'  its home of {entries:2} entries: {format_rates(rates, 10.0)}'
        )


def measure_busy_agent(entries: int, seconds: float) -> machines.Rates:
    """Measure the traffic of an entry whose one agent changes in every tick.

    :param entries: number of entries; with one entry, the agent causes all
        traffic.
    :param seconds: simulated seconds that are measured.
    :returns: traffic of the entry.
    """
    fleet = machines.Fleet(entries, {0: 1}, alone=True)
    fleet.run(10.0)
    name, agent = next(iter(fleet.agents.items()))
    fleet.reset()
    for step in range(round(seconds / machines.DAEMON_TICK_S)):
        fleet.now += machines.DAEMON_TICK_S
        target = msgspec.structs.replace(
            agent.state.targets[0], busy=step % 2 + 1
        )
        agent.set_state(
            fleet.now,
            msgspec.structs.replace(agent.state, targets=(target,)),
        )
        fleet.apply(name, agent.tick(fleet.now))
        entry = fleet.entries[fleet.observed]
        fleet.apply(fleet.observed, entry.tick(fleet.now))
    return fleet.one


def measure_state() -> None:
    """Measure and print the memory of each agent, worker, job and account."""
    print('state, bytes each')
    cases = {
        'agent without tasks': (
            (10, 125, 500),
            lambda size: states.build_membership(size, 0),
        ),
        'agent with 8 tasks': (
            (10, 125, 500),
            lambda size: states.build_membership(size, 8),
        ),
        'job of an owner': ((100, 1000, 4000), states.build_owner),
        'worker in the scheduler': (
            (100, 500, 1500),
            lambda size: states.build_scheduler(size, 0),
        ),
        'job in the queue': (
            (100, 500, 1500),
            lambda size: states.build_scheduler(0, size),
        ),
        'account': ((4, 37, 100), states.build_accounts),
    }
    for name, (sizes, build) in cases.items():
        points = [
            (size, states.measure_memory(lambda n=size, b=build: b(n)))
            for size in sizes
        ]
        line = fit_line(points)
        print(f'  {name}: {line.slope:.0f}, points {points}')


def measure_design() -> None:
    """Measure and print a region at design size, also during failures."""
    places = dict.fromkeys(REGION_PLACES, AGENTS_PER_DATA_CENTRE)
    fleet = machines.Fleet(ENTRIES, places)
    fleet.run(machines.WARM_UP_S)
    counts = [
        len(fleet.entries[name].list_home_agents())
        for name in sorted(fleet.entries)
        if fleet.places[name] in REGION_PLACES
    ]
    print(f'design size; agents of each entry of the region {counts}')
    fleet.reset()
    fleet.run(60.0)
    print(f'  entry-00: {format_rates(fleet.one, 60.0)}')
    print(f'  all entries: {format_rates(fleet.all, 60.0)}')
    quiet = msgspec.structs.replace(fleet.all)
    _measure_partition(fleet, quiet)
    _measure_neighbour(fleet)
    _measure_tick(fleet)
    _measure_loss(fleet, quiet)


def _measure_tick(fleet: machines.Fleet) -> None:
    # A daemon calls ``tick`` more often than the simulated fleet does.
    observed = fleet.entries[fleet.observed]
    started = time.process_time()
    for _ in range(TICK_CALLS):
        observed.tick(fleet.now)
    cost = (time.process_time() - started) / TICK_CALLS
    rate = 1 / machines.DAEMON_TICK_S
    print(
        f'  tick {cost * 1e6:.0f} us, core {cost * rate:.4f} at '
        f'{rate:.0f} ticks/s'
    )


def _measure_partition(fleet: machines.Fleet, quiet: machines.Rates) -> None:
    fleet.cut = {0}
    fleet.run(CUT_S)
    seen = len(fleet.entries[fleet.observed].list_entries())
    fleet.cut = set()
    fleet.reset()
    fleet.relearn()
    burst = fleet.all
    fleet.run(5.0)
    share = 5.0 / 60.0
    print(
        f'  region cut off for {CUT_S:.0f} s, {seen} entries left; on rejoin '
        f'within 5 s {burst.messages - quiet.messages * share:.0f} messages, '
        f'{burst.wire - quiet.wire * share:.0f} bytes more than usual, '
        f'{burst.remote_wire} between regions '
        f'({burst.remote_wire / LINK_BYTES_PER_S:.3f} s of the link); '
        f'{len(fleet.entries[fleet.observed].list_entries())} entries again'
    )


def _measure_neighbour(fleet: machines.Fleet) -> None:
    """Measure an entry while the other entry of its data centre is lost."""
    fleet.run(60.0)
    neighbour = fleet.entries.pop('entry-01')
    for agent in fleet.agents.values():
        if agent.home == 'entry-01':
            agent.handle_call_failure(fleet.now, 'entry-01')
    fleet.run(60.0)
    fleet.reset()
    fleet.run(60.0)
    count = len(fleet.entries[fleet.observed].list_home_agents())
    print(
        f'  entry-00 without entry-01, {count} agents: '
        f'{format_rates(fleet.one, 60.0)}'
    )
    fleet.entries['entry-01'] = neighbour
    fleet.relearn()
    fleet.run(60.0)


def _measure_loss(fleet: machines.Fleet, quiet: machines.Rates) -> None:
    lost_at = fleet.now
    fleet.reset()
    fleet.remove_data_centre(0)
    fleet.run(60.0)
    ends: dict[tuple[str, str], float] = {}
    for now, name, event in fleet.events:
        if name not in fleet.entries:
            continue
        near = fleet.places[name] in REGION_PLACES
        kind = type(event).__name__
        if isinstance(event, events.AgentLost | events.EntryLost):
            key = (kind, 'region' if near else 'elsewhere')
            ends[key] = max(ends.get(key, 0.0), now - lost_at)
    print(
        f'  data centre lost: {fleet.all.messages} messages and '
        f'{fleet.all.wire} bytes in 60 s ({quiet.messages} and {quiet.wire} '
        'before the loss); last seconds: '
        + ', '.join(
            f'{kind} {place} {seconds:.1f}'
            for (kind, place), seconds in sorted(ends.items())
        )
    )


def format_rates(rates: machines.Rates, seconds: float) -> str:
    """Render traffic as text, in units per second."""
    return (
        f'messages {rates.messages / seconds:.2f}, '
        f'exchanges {rates.exchanges / seconds:.2f}, '
        f'encoded {rates.encoded / seconds:.0f}, '
        f'wire {rates.wire / seconds:.0f}, '
        f'between regions {rates.remote_wire / seconds:.0f}, '
        f'core {rates.processor / seconds:.5f}'
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
    measure_state()
    measure_machines()
    measure_design()
    body = states.get_body_bytes()
    print(f'configuration of {body} bytes, bytes a second')
    for name, value in compute_config_rates(body).items():
        print(f'  {name}: {value:.2f}')
    print(f'shortest gap of reports {homes.MIN_REPORT_GAP_S} s')


if __name__ == '__main__':
    fire.Fire(main)

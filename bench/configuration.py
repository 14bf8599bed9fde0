"""Cost of one configuration change, and the time until it is in force.

The shipping state machines exchange encoded messages over a simulated network.
Heartbeats run on, but are not counted: they cost the same without a change.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import statistics

import fire
import msgspec

from damaskpin import effects
from damaskpin.model import config as configs
from damaskpin.peer import codec as codecs
from damaskpin.peer import messages
from damaskpin.store import configuration

ENTRIES_PER_DATA_CENTRE = 2
REGIONS = 3
WORKERS_PER_RACK = 3
LOCAL_LATENCY_S = 0.001
REGION_LATENCY_S = 0.020
# The link between regions carries 15 Mbit/s for all traffic.
REGION_BYTES_PER_S = 15e6 / 8
TICK_S = 0.25
BEAT_S = 1.0
REMOTE_BEAT_S = 3.0
LIMIT_S = 60.0
FIRST_REVISION = 10
NEW_REVISION = 11


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of one simulated change.

    :ivar store_calls: transaction, and events to waiting watches.
    :ivar in_force: seconds until every process has applied the change.
    :ivar remote_bytes: bytes of messages between regions.
    :ivar store_remote_bytes: bytes of watch events to other regions.
    :ivar largest: bytes that the busiest process sent.
    """

    store_calls: int
    messages: int
    bytes: int
    remote_bytes: int
    store_remote_bytes: int
    largest: int
    in_force: float


class Simulation:
    """One change in a fleet of entries and agents."""

    def __init__(
        self, entries: int, agents: int, loss: float, rng: random.Random
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.rng = rng
        self.codec = codecs.Codec(b'bench')
        self.sent = 0
        self.remote_bytes = 0
        self.bytes: dict[str, int] = {}
        self.events: list[tuple[float, int, str, str, object]] = []
        self.numbers = itertools.count()
        self.holders: dict[str, configuration.ConfigHolder] = {}
        self.data_centres: dict[str, int] = {}
        self.agents: list[str] = []
        body = make_body(agents, 1)
        for index in range(entries):
            name = f'entry-{index:02}'
            self.holders[name] = configuration.ConfigHolder(name, 'entry')
            self.data_centres[name] = index // ENTRIES_PER_DATA_CENTRE
            self.holders[name].handle_store_value(0.0, FIRST_REVISION, body)
        self.entries = list(self.holders)
        homes: dict[str, list[str]] = {name: [] for name in self.entries}
        for index in range(agents):
            name = f'agent-{index:04}'
            home = self.entries[index % entries]
            homes[home].append(name)
            self.agents.append(name)
            self.holders[name] = configuration.ConfigHolder(name, 'agent')
            self.holders[name].handle_peer_revision(0.0, home, FIRST_REVISION)
            self.data_centres[name] = self.data_centres[home]
        for name in self.entries:
            holder = self.holders[name]
            holder.set_neighbours(0.0, self.list_neighbours(name))
            holder.set_agents(homes[name])

    def list_neighbours(self, name: str) -> list[str]:
        """Return the entries of the same data centre."""
        place = self.data_centres[name]
        return [e for e in self.entries if self.data_centres[e] == place]

    def get_region(self, name: str) -> int:
        """Return the region of a process."""
        return self.data_centres[name] % REGIONS

    def send(self, sender: str, to: str, message: messages.Message) -> None:
        """Encode a message and put it under way, or lose it."""
        frame = messages.Frame(sender, 'incarnation', 'tcp://[::1]:7000', ())
        data = self.codec.encode_frame(
            msgspec.structs.replace(frame, messages=(message,))
        )
        remote = self.get_region(sender) != self.get_region(to)
        if not isinstance(message, messages.EntryBeat):
            self.sent += 1
            self.bytes[sender] = self.bytes.get(sender, 0) + len(data)
            self.remote_bytes += len(data) * remote
        if self.rng.random() < self.loss:
            return
        delay = LOCAL_LATENCY_S
        if remote:
            delay = REGION_LATENCY_S + len(data) / REGION_BYTES_PER_S
        self.push(delay, sender, to, message)

    def push(self, delay: float, sender: str, to: str, what: object) -> None:
        """Schedule an event."""
        number = next(self.numbers)
        event = (self.now + delay, number, sender, to, what)
        heapq.heappush(self.events, event)

    def carry_out(self, name: str, produced: list[effects.Effect]) -> None:
        """Send what a state machine asks for."""
        for effect in produced:
            if isinstance(effect, effects.Send):
                self.send(name, effect.to, effect.message)

    def run(self, body: bytes) -> Result:
        """Accept a change at time 0 and run until it is in force."""
        watchers = [
            name
            for name in self.entries
            if configuration.is_watcher(name, self.list_neighbours(name))
        ]
        store_remote_bytes = 0
        for region in range(REGIONS):
            delay = REGION_LATENCY_S if region else LOCAL_LATENCY_S
            for name in watchers:
                if self.get_region(name) != region:
                    continue
                # The store is in region 0; the watches of another region
                # share its link.
                if region:
                    store_remote_bytes += len(body) * 4 // 3
                    delay += len(body) * 4 / 3 / REGION_BYTES_PER_S
                self.push(delay, 'store', name, body)
        for name in self.holders:
            self.push(self.rng.uniform(0, TICK_S), '', name, 'tick')
        for name in self.entries:
            self.push(self.rng.uniform(0, BEAT_S), '', name, 'beat')
            self.push(
                self.rng.uniform(0, REMOTE_BEAT_S), '', name, 'remote beat'
            )
        waiting = set(self.holders)
        while waiting and self.now < LIMIT_S:
            self.now, _, sender, to, what = heapq.heappop(self.events)
            self.handle(sender, to, what)
            if self.holders[to].revision == NEW_REVISION:
                waiting.discard(to)
        in_force = self.now if not waiting else float('inf')
        # Confirmations that are under way at this time are counted too.
        self.finish_messages()
        return Result(
            store_calls=1 + len(watchers),
            messages=self.sent,
            bytes=sum(self.bytes.values()),
            remote_bytes=self.remote_bytes,
            store_remote_bytes=store_remote_bytes,
            largest=max(self.bytes.values(), default=0),
            in_force=in_force,
        )

    def finish_messages(self) -> None:
        """Deliver what is under way, without further ticks."""
        while self.events:
            self.now, _, sender, to, what = heapq.heappop(self.events)
            if not isinstance(what, str):
                self.handle(sender, to, what)

    def handle(self, sender: str, to: str, what: object) -> None:
        """Handle one event."""
        holder = self.holders[to]
        match what:
            case 'tick':
                self.carry_out(to, holder.tick(self.now))
                self.push(TICK_S, '', to, 'tick')
            case 'beat':
                self.send_beats(to, remote=False)
                self.push(BEAT_S, '', to, 'beat')
            case 'remote beat':
                self.send_beats(to, remote=True)
                self.push(REMOTE_BEAT_S, '', to, 'remote beat')
            case bytes():
                self.carry_out(
                    to, holder.handle_store_value(self.now, NEW_REVISION, what)
                )
            case messages.EntryBeat(revision=revision):
                self.carry_out(
                    to, holder.handle_peer_revision(self.now, sender, revision)
                )
            case _:
                self.carry_out(to, holder.receive(self.now, sender, what))

    def send_beats(self, name: str, remote: bool) -> None:
        """Send the heartbeats of an entry to its region or to the others."""
        peer = messages.Peer(name, 'incarnation', 'entry', '', '', '')
        beat = messages.EntryBeat(peer, self.holders[name].revision)
        for to in self.entries:
            other = self.get_region(to) != self.get_region(name)
            if to != name and other == remote:
                self.send(name, to, beat)


def make_body(agents: int, failed_workers: int) -> bytes:
    """Return a document of the size that belongs to a number of workers."""
    accounts = max(4, min(37, agents // 10))
    return configs.format_config(
        configs.Config(
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
                for index in range(accounts)
            ],
            racks=[
                configs.Rack(
                    name=f'rack-{index}',
                    data_centre='data-centre-0',
                    region='region-0',
                    workers=WORKERS_PER_RACK,
                    accelerators=8,
                )
                for index in range(-(-agents // WORKERS_PER_RACK))
            ],
            failed_workers=failed_workers,
        )
    )


def main(
    entries: tuple[int, ...] = (4, 12, 24),
    agents: tuple[int, ...] = (10, 100, 1500),
    loss: tuple[float, ...] = (0.0, 0.1),
    seeds: int = 20,
) -> None:
    """Print one line for each size of the fleet and each loss rate.

    :param entries: numbers of entries.
    :param agents: numbers of agents.
    :param loss: shares of messages that are lost.
    :param seeds: simulations of each kind; medians are printed, and the
        longest time.
    """
    print(
        'entries agents  loss  config_B store_calls messages   bytes '
        'remote_B store_remote_B busiest_B  in_force_s median/max'
    )
    for size, count, share in itertools.product(entries, agents, loss):
        body = make_body(count, 2)
        results = [
            Simulation(size, count, share, random.Random(seed)).run(body)
            for seed in range(seeds)
        ]

        def middle(field: str, results: list[Result] = results) -> float:
            return statistics.median(getattr(r, field) for r in results)

        longest = max(result.in_force for result in results)
        print(
            f'{size:7} {count:6} {share:5.2f} {len(body):9} '
            f'{middle("store_calls"):11.0f} {middle("messages"):8.0f} '
            f'{middle("bytes"):7.0f} {middle("remote_bytes"):8.0f} '
            f'{middle("store_remote_bytes"):14.0f} '
            f'{middle("largest"):9.0f}  '
            f'{middle("in_force"):.3f}/{longest:.3f}',
            flush=True,
        )


if __name__ == '__main__':
    fire.Fire(main)

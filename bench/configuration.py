"""Measures cost and duration of the propagation of a configuration change.

The production state machines exchange encoded messages over a simulated
network. Heartbeats are simulated but not counted, since they are sent without
a change too.
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
# Bandwidth of the link between regions: 15 Mbit/s for all traffic.
REGION_BYTES_PER_S = 15e6 / 8
TICK_INTERVAL_S = 0.25
HEARTBEAT_S = 1.0
REMOTE_HEARTBEAT_S = 3.0
# Simulated time after which a change counts as not applied everywhere.
MAX_SIMULATED_S = 60.0
FIRST_REVISION = 10
NEW_REVISION = 11


@dataclasses.dataclass(slots=True)
class ChangeResult:
    """Outcome of one simulated configuration change.

    :ivar store_calls: number of transactions and watch events of the store.
    :ivar messages: number of messages, without heartbeats.
    :ivar bytes: encoded bytes of the messages.
    :ivar remote_bytes: encoded bytes of the messages between regions.
    :ivar store_remote_bytes: bytes of watch events to other regions.
    :ivar largest: bytes that the busiest process sent.
    :ivar in_force: seconds until every process has applied the change, or
        infinity.
    """

    store_calls: int
    messages: int
    bytes: int
    remote_bytes: int
    store_remote_bytes: int
    largest: int
    in_force: float


class ChangeSimulation:
    """Simulation of one configuration change among entries and agents.

    :param entries: number of entries.
    :param agents: number of agents.
    :param loss: share of the messages that are lost.
    :param rng: random number generator of message losses and timer offsets.
    """

    def __init__(
        self, entries: int, agents: int, loss: float, rng: random.Random
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.rng = rng
        self.codec = codecs.Codec(b'bench')
        self.sent_messages = 0
        self.remote_bytes = 0
        self.bytes: dict[str, int] = {}
        self.events: list[tuple[float, int, str, str, object]] = []
        self.event_numbers = itertools.count()
        self.holders: dict[str, configuration.ConfigHolder] = {}
        self.data_centres: dict[str, int] = {}
        self.agents: list[str] = []
        body = make_config_document(agents, 1)
        for index in range(entries):
            name = f'entry-{index:02}'
            self.holders[name] = configuration.ConfigHolder(name, 'entry')
            self.data_centres[name] = index // ENTRIES_PER_DATA_CENTRE
            self.holders[name].handle_store_value(0.0, FIRST_REVISION, body)
        self.entries = list(self.holders)
        agents_by_entry: dict[str, list[str]] = {
            name: [] for name in self.entries
        }
        for index in range(agents):
            name = f'agent-{index:04}'
            home_entry = self.entries[index % entries]
            agents_by_entry[home_entry].append(name)
            self.agents.append(name)
            self.holders[name] = configuration.ConfigHolder(name, 'agent')
            self.holders[name].handle_peer_revision(
                0.0, home_entry, FIRST_REVISION
            )
            self.data_centres[name] = self.data_centres[home_entry]
        for name in self.entries:
            holder = self.holders[name]
            holder.set_neighbours(0.0, self.list_neighbours(name))
            holder.set_agents(agents_by_entry[name])

    def list_neighbours(self, name: str) -> list[str]:
        """Return all entries in the data centre of an entry, including it."""
        own_data_centre = self.data_centres[name]
        return [
            e for e in self.entries if self.data_centres[e] == own_data_centre
        ]

    def get_region(self, name: str) -> int:
        """Return the number of the region of an entry or agent."""
        return self.data_centres[name] % REGIONS

    def send(self, sender: str, to: str, message: messages.Message) -> None:
        """Count an encoded message, and schedule its delivery or drop it."""
        frame = messages.Frame(sender, 'incarnation', 'tcp://[::1]:7000', ())
        data = self.codec.encode_frame(
            msgspec.structs.replace(frame, messages=(message,))
        )
        remote = self.get_region(sender) != self.get_region(to)
        if not isinstance(message, messages.EntryBeat):
            self.sent_messages += 1
            self.bytes[sender] = self.bytes.get(sender, 0) + len(data)
            self.remote_bytes += len(data) * remote
        if self.rng.random() < self.loss:
            return
        delay = LOCAL_LATENCY_S
        if remote:
            delay = REGION_LATENCY_S + len(data) / REGION_BYTES_PER_S
        self.schedule(delay, sender, to, message)

    def schedule(
        self, delay: float, sender: str, to: str, content: object
    ) -> None:
        """Schedule an event after a delay in seconds."""
        number = next(self.event_numbers)
        event = (self.now + delay, number, sender, to, content)
        heapq.heappush(self.events, event)

    def send_effects(
        self, name: str, returned_effects: list[effects.Effect]
    ) -> None:
        """Send the messages that a state machine returned."""
        for effect in returned_effects:
            if isinstance(effect, effects.Send):
                self.send(name, effect.to, effect.message)

    def run(self, body: bytes) -> ChangeResult:
        """Change the configuration and run until all processes apply it."""
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
                # The store is in region 0. The watches of another region share
                # the link to that region, so their delays add up.
                if region:
                    store_remote_bytes += len(body) * 4 // 3
                    delay += len(body) * 4 / 3 / REGION_BYTES_PER_S
                self.schedule(delay, 'store', name, body)
        for name in self.holders:
            self.schedule(
                self.rng.uniform(0, TICK_INTERVAL_S), '', name, 'tick'
            )
        for name in self.entries:
            self.schedule(self.rng.uniform(0, HEARTBEAT_S), '', name, 'beat')
            self.schedule(
                self.rng.uniform(0, REMOTE_HEARTBEAT_S),
                '',
                name,
                'remote beat',
            )
        pending_processes = set(self.holders)
        while pending_processes and self.now < MAX_SIMULATED_S:
            self.now, _, sender, to, content = heapq.heappop(self.events)
            self.handle_event(sender, to, content)
            if self.holders[to].revision == NEW_REVISION:
                pending_processes.discard(to)
        in_force = self.now if not pending_processes else float('inf')
        # Processes still have confirmations of the revision in transit when
        # this loop ends. These are delivered, so that they are counted too.
        self.deliver_pending_messages()
        return ChangeResult(
            store_calls=1 + len(watchers),
            messages=self.sent_messages,
            bytes=sum(self.bytes.values()),
            remote_bytes=self.remote_bytes,
            store_remote_bytes=store_remote_bytes,
            largest=max(self.bytes.values(), default=0),
            in_force=in_force,
        )

    def deliver_pending_messages(self) -> None:
        """Deliver the messages in transit, without further timer events."""
        while self.events:
            self.now, _, sender, to, content = heapq.heappop(self.events)
            if not isinstance(content, str):
                self.handle_event(sender, to, content)

    def handle_event(self, sender: str, to: str, content: object) -> None:
        """Handle a timer event, a store value or a message."""
        holder = self.holders[to]
        match content:
            case 'tick':
                self.send_effects(to, holder.tick(self.now))
                self.schedule(TICK_INTERVAL_S, '', to, 'tick')
            case 'beat':
                self.send_heartbeats(to, remote=False)
                self.schedule(HEARTBEAT_S, '', to, 'beat')
            case 'remote beat':
                self.send_heartbeats(to, remote=True)
                self.schedule(REMOTE_HEARTBEAT_S, '', to, 'remote beat')
            case bytes():
                self.send_effects(
                    to,
                    holder.handle_store_value(self.now, NEW_REVISION, content),
                )
            case messages.EntryBeat(revision=revision):
                self.send_effects(
                    to, holder.handle_peer_revision(self.now, sender, revision)
                )
            case _:
                self.send_effects(
                    to, holder.receive(self.now, sender, content)
                )

    def send_heartbeats(self, name: str, remote: bool) -> None:
        """Send heartbeats of an entry to the other entries.

        :param remote: whether to send them to other regions instead of the
            region of the entry.
        """
        peer = messages.Peer(name, 'incarnation', 'entry', '', '', '')
        beat = messages.EntryBeat(peer, self.holders[name].revision)
        for to in self.entries:
            to_other_region = self.get_region(to) != self.get_region(name)
            if to != name and to_other_region == remote:
                self.send(name, to, beat)


def make_config_document(agents: int, failed_workers: int) -> bytes:
    """Build a configuration document of realistic size.

    :param agents: number of agents, each with one worker.
    :param failed_workers: failures that guarantees allow for.
    """
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
    """Simulate configuration changes and print their costs.

    One line is printed for each number of entries and agents and each loss
    rate, with medians over the seeds and the longest time.

    :param entries: numbers of entries.
    :param agents: numbers of agents.
    :param loss: shares of messages that are lost.
    :param seeds: number of simulations for each line.
    """
    print(
        'entries agents  loss  config_B store_calls messages   bytes '
        'remote_B store_remote_B busiest_B  in_force_s median/max'
    )
    for entry_count, agent_count, loss_share in itertools.product(
        entries, agents, loss
    ):
        body = make_config_document(agent_count, 2)
        results = [
            ChangeSimulation(
                entry_count, agent_count, loss_share, random.Random(seed)
            ).run(body)
            for seed in range(seeds)
        ]

        def get_median(
            field: str, results: list[ChangeResult] = results
        ) -> float:
            return statistics.median(getattr(r, field) for r in results)

        longest = max(result.in_force for result in results)
        print(
            f'{entry_count:7} {agent_count:6} {loss_share:5.2f} {len(body):9} '
            f'{get_median("store_calls"):11.0f} {get_median("messages"):8.0f} '
            f'{get_median("bytes"):7.0f} {get_median("remote_bytes"):8.0f} '
            f'{get_median("store_remote_bytes"):14.0f} '
            f'{get_median("largest"):9.0f}  '
            f'{get_median("in_force"):.3f}/{longest:.3f}',
            flush=True,
        )


if __name__ == '__main__':
    fire.Fire(main)

"""Simulation of entries and agents of two regions on a faulty network."""

import heapq
import itertools
import random

from damaskpin import effects
from damaskpin.peer import home as homes
from damaskpin.peer import membership as memberships
from damaskpin.peer import messages
from damaskpin.store import registry

# Region and data centre of each entry; data centre x2 has no entry.
ENTRIES = {
    'e1': ('west', 'w1'),
    'e2': ('west', 'w2'),
    'e3': ('east', 'x1'),
    'e4': ('east', 'x1'),
}
AGENTS = {
    'a1': ('west', 'w1'),
    'a2': ('west', 'w2'),
    'a3': ('west', 'w1'),
    'a4': ('east', 'x1'),
    'a5': ('east', 'x2'),
}
STEP_S = 0.1
NORMAL_DELAY_S = 0.05
MAX_DELAY_S = 5.0
# Longest time between two reads of the registered entries from the store, in
# seconds. An entry reads them only when it also renews its registration.
LISTING_INTERVAL_S = registry.LIST_INTERVAL_S + registry.RENEW_INTERVAL_S
SEED_INTERVAL_S = 1.0


class Fleet:
    """Entries and agents with a simulated network and simulated time.

    :ivar live: entries and agents that run, including frozen ones.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.live = {}
        self.peers = {}
        self.events = []
        self.partitioned = False
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay = NORMAL_DELAY_S
        self._frozen = {}
        self._next_listing = {}
        self._queue = []
        self._counter = itertools.count()
        for name in [*ENTRIES, *AGENTS]:
            self.start(name)

    def start(self, name):
        """Start a process, or replace it with a new incarnation."""
        role = 'entry' if name in ENTRIES else 'agent'
        region, data_centre = (ENTRIES | AGENTS)[name]
        incarnation = f'{name}-{next(self._counter)}'
        peer = messages.Peer(
            name, incarnation, role, f'tcp://{name}', region, data_centre
        )
        self.peers[name] = peer
        self._frozen.pop(name, None)
        self._next_listing[name] = self.now
        if role == 'entry':
            self.live[name] = memberships.EntryMembership(peer, self.now)
        else:
            state = messages.AgentState(peer, 'k', f'w-{name}', 8, 0.0, 1, 0)
            self.live[name] = homes.AgentHome(state, self.now)

    def crash(self, name):
        """End a process without notice to the others."""
        self.live.pop(name, None)

    def leave(self, name):
        """End an entry after it has told the others that it leaves."""
        if name in self.live:
            self._apply(name, self.live[name].leave())
            self.crash(name)

    def freeze(self, name, seconds):
        """Pause a process; messages to it are delivered when it resumes."""
        self._frozen[name] = self.now + seconds

    def change(self, name):
        """Change the targets in the state of an agent."""
        agent = self.live.get(name)
        if agent is not None:
            busy = agent.state.sequence
            targets = (messages.TargetState('s', 9, busy),)
            agent.set_state(
                self.now,
                messages.AgentState(
                    agent.state.peer, 'k', f'w-{name}', 8, 0, 0, 0, targets
                ),
            )

    def end_faults(self):
        """End all network faults and resume frozen processes."""
        self.partitioned = False
        self.loss = self.duplication = 0.0
        self.max_delay = NORMAL_DELAY_S
        self._frozen.clear()

    def run(self, seconds):
        """Run all processes for a simulated time, in seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for name, process in list(self.live.items()):
                if self.is_frozen(name):
                    continue
                self._list_entries(name, process)
                self._apply(name, process.tick(self.now))

    def is_frozen(self, name):
        """Return whether a process is paused."""
        return self._frozen.get(name, 0.0) > self.now

    def is_partitioned(self, one, other):
        """Return whether a partition separates two processes."""
        return self.partitioned and self._get_region(one) != self._get_region(
            other
        )

    def list_discrepancies(self):
        """Return how the views of entries and agents differ from reality.

        The views are the listed entries and agents, the regions' coordinators
        and the agents' home entries.
        """
        discrepancies = []
        entries = {name for name in self.live if name in ENTRIES}
        agents = {name for name in self.live if name in AGENTS}
        for name in sorted(entries):
            entry = self.live[name]
            listed = {p.instance: p.incarnation for p in entry.list_entries()}
            actual = {n: self.peers[n].incarnation for n in entries}
            if listed != actual:
                discrepancies.append(
                    f'{name} lists entries {listed}, not {actual}'
                )
            listed = {
                state.peer.instance: (state.peer.incarnation, state.sequence)
                for state in entry.list_agents()
            }
            actual = {
                n: (self.peers[n].incarnation, self.live[n].state.sequence)
                for n in agents
                if self._get_region(n) == self._get_region(name)
            }
            if listed != actual:
                discrepancies.append(
                    f'{name} lists agents {listed}, not {actual}'
                )
            for region in ('west', 'east'):
                expected = min(
                    (
                        n
                        for n in entries
                        if self._get_region(n) == region
                        and not self.live[n].draining
                    ),
                    default=None,
                )
                found = entry.get_coordinator(region)
                if found != expected:
                    discrepancies.append(f'{name}: {region} by {found}')
        return discrepancies + self._list_home_discrepancies(entries, agents)

    def _list_home_discrepancies(self, entries, agents):
        discrepancies = []
        for name in sorted(agents):
            region, data_centre = AGENTS[name]
            usable = {
                n
                for n in entries
                if ENTRIES[n][0] == region and not self.live[n].draining
            }
            same_data_centre = {
                n for n in usable if ENTRIES[n][1] == data_centre
            }
            home = self.live[name].home
            if usable and home not in (same_data_centre or usable):
                discrepancies.append(f'{name} has home {home!r}')
        return discrepancies

    def _get_region(self, name):
        return (ENTRIES | AGENTS)[name][0]

    def _list_entries(self, name, process):
        if self.now < self._next_listing[name]:
            return
        if name in ENTRIES:
            # The entry reads the registered entries from the store, which both
            # regions can reach.
            self._next_listing[name] = self.now + LISTING_INTERVAL_S
            peers = [self.peers[n] for n in ENTRIES if n in self.live]
            self._apply(name, process.learn_entries(self.now, peers))
            return
        self._next_listing[name] = self.now + SEED_INTERVAL_S
        seeds = [
            n
            for n in ENTRIES
            if n in self.live
            and not self.is_frozen(n)
            and not self.is_partitioned(n, name)
        ]
        if seeds and process.needs_entries(self.now):
            seed = self.live[self.rng.choice(seeds)]
            self._apply(
                name, process.learn_entries(self.now, seed.list_entries())
            )

    def _apply(self, name, outputs):
        for output in outputs:
            if isinstance(output, effects.Send):
                self._send(name, output.to, output.message)
            else:
                self.events.append((self.now, name, output))

    def _send(self, sender, to, message):
        if self.is_partitioned(sender, to):
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            due = self.now + self.rng.uniform(0.0, self.max_delay)
            item = (due, next(self._counter), sender, to, message)
            heapq.heappush(self._queue, item)

    def _deliver(self):
        undelivered = []
        while self._queue and self._queue[0][0] <= self.now:
            item = heapq.heappop(self._queue)
            _, _, sender, to, message = item
            if to not in self.live or self.is_partitioned(sender, to):
                continue
            if self.is_frozen(to):
                undelivered.append(item)
                continue
            outputs = self.live[to].receive(self.now, sender, message)
            self._apply(to, outputs)
        for item in undelivered:
            heapq.heappush(self._queue, item)

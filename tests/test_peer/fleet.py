"""Entries and agents of two regions over a network that misbehaves."""

import heapq
import itertools
import random

from damaskpin import effects
from damaskpin.peer import home as homes
from damaskpin.peer import membership as memberships
from damaskpin.peer import messages
from damaskpin.store import registry

# Data centre x2 has no entry of its own.
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
GOOD_DELAY_S = 0.05
MAX_DELAY_S = 5.0
# The registry is read this often, at one of the steps that renew its lease.
LEARN_S = registry.LIST_INTERVAL_S + registry.RENEW_INTERVAL_S
SEED_S = 1.0


class Fleet:
    """Processes with simulated time.

    :ivar live: entries and agents that run, frozen ones included.
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
        self.max_delay = GOOD_DELAY_S
        self._frozen = {}
        self._learn = {}
        self._queue = []
        self._order = itertools.count()
        for name in [*ENTRIES, *AGENTS]:
            self.start(name)

    def start(self, name):
        """Start a process, or replace it by a new incarnation."""
        role = 'entry' if name in ENTRIES else 'agent'
        region, data_centre = (ENTRIES | AGENTS)[name]
        incarnation = f'{name}-{next(self._order)}'
        peer = messages.Peer(
            name, incarnation, role, f'tcp://{name}', region, data_centre
        )
        self.peers[name] = peer
        self._frozen.pop(name, None)
        self._learn[name] = self.now
        if role == 'entry':
            self.live[name] = memberships.EntryMembership(peer, self.now)
        else:
            state = messages.AgentState(peer, 'k', f'w-{name}', 8, 0.0, 1, 0)
            self.live[name] = homes.AgentHome(state, self.now)

    def crash(self, name):
        """End a process without a word."""
        self.live.pop(name, None)

    def leave(self, name):
        """End an entry in order."""
        if name in self.live:
            self._apply(name, self.live[name].leave())
            self.crash(name)

    def freeze(self, name, seconds):
        """Stop a process from running; its sockets fill up."""
        self._frozen[name] = self.now + seconds

    def change(self, name):
        """Change the state of an agent."""
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

    def heal(self):
        """Let everything run again over a good network."""
        self.partitioned = False
        self.loss = self.duplication = 0.0
        self.max_delay = GOOD_DELAY_S
        self._frozen.clear()

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for name, process in list(self.live.items()):
                if self.is_frozen(name):
                    continue
                self._ask(name, process)
                self._apply(name, process.tick(self.now))

    def is_frozen(self, name):
        """Return whether a process stands still."""
        return self._frozen.get(name, 0.0) > self.now

    def is_cut(self, one, other):
        """Return whether nothing passes between two processes."""
        return self.partitioned and self._region(one) != self._region(other)

    def list_faults(self):
        """Return where the views differ from what runs."""
        faults = []
        entries = {name for name in self.live if name in ENTRIES}
        agents = {name for name in self.live if name in AGENTS}
        for name in sorted(entries):
            entry = self.live[name]
            seen = {p.instance: p.incarnation for p in entry.list_entries()}
            real = {n: self.peers[n].incarnation for n in entries}
            if seen != real:
                faults.append(f'{name} lists entries {seen}, not {real}')
            seen = {
                state.peer.instance: (state.peer.incarnation, state.sequence)
                for state in entry.list_agents()
            }
            real = {
                n: (self.peers[n].incarnation, self.live[n].state.sequence)
                for n in agents
                if self._region(n) == self._region(name)
            }
            if seen != real:
                faults.append(f'{name} lists agents {seen}, not {real}')
            for region in ('west', 'east'):
                expected = min(
                    (
                        n
                        for n in entries
                        if self._region(n) == region
                        and not self.live[n].draining
                    ),
                    default=None,
                )
                found = entry.get_coordinator(region)
                if found != expected:
                    faults.append(f'{name}: {region} by {found}')
        return faults + self._list_home_faults(entries, agents)

    def _list_home_faults(self, entries, agents):
        faults = []
        for name in sorted(agents):
            region, data_centre = AGENTS[name]
            usable = {
                n
                for n in entries
                if ENTRIES[n][0] == region and not self.live[n].draining
            }
            near = {n for n in usable if ENTRIES[n][1] == data_centre}
            home = self.live[name].home
            if usable and home not in (near or usable):
                faults.append(f'{name} has home {home!r}')
        return faults

    def _region(self, name):
        return (ENTRIES | AGENTS)[name][0]

    def _ask(self, name, process):
        if self.now < self._learn[name]:
            return
        if name in ENTRIES:
            # The store, which both regions reach, lists the entries.
            self._learn[name] = self.now + LEARN_S
            peers = [self.peers[n] for n in ENTRIES if n in self.live]
            self._apply(name, process.learn_entries(self.now, peers))
            return
        self._learn[name] = self.now + SEED_S
        seeds = [
            n
            for n in ENTRIES
            if n in self.live
            and not self.is_frozen(n)
            and not self.is_cut(n, name)
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
        if self.is_cut(sender, to):
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            due = self.now + self.rng.uniform(0.0, self.max_delay)
            item = (due, next(self._order), sender, to, message)
            heapq.heappush(self._queue, item)

    def _deliver(self):
        held = []
        while self._queue and self._queue[0][0] <= self.now:
            item = heapq.heappop(self._queue)
            _, _, sender, to, message = item
            if to not in self.live or self.is_cut(sender, to):
                continue
            if self.is_frozen(to):
                held.append(item)
                continue
            outputs = self.live[to].receive(self.now, sender, message)
            self._apply(to, outputs)
        for item in held:
            heapq.heappush(self._queue, item)

"""In-memory store, operators and network for the configuration fuzzer."""

import dataclasses

import msgspec

from damaskpin import effects
from damaskpin import errors
from damaskpin.peer import messages
from damaskpin.store import client as clients
from damaskpin.store import configuration
from damaskpin.store import values

CONFIG_KEY = configuration.CONFIG_KEY
DATA_CENTRES = {'e1': 'd1', 'e2': 'd1', 'e3': 'd2', 'e4': 'd2', 'e5': 'd3'}
ENTRIES = tuple(DATA_CENTRES)
HOMES = {'a1': 'e1', 'a2': 'e2', 'a3': 'e3', 'a4': 'e5'}
# Seconds between heartbeats of entries, and between reports of an agent whose
# first report was not answered. An agent whose report was answered reports
# every 12 s, so the test's run of 9 s has no further report of it.
HEARTBEAT_INTERVAL_S = 1.0
STEP_S = 0.25
# Longest time without a working watch of the store, in seconds: the lifetime
# of a connection that no longer delivers changes, and the longest back-off.
WATCH_DELAY_S = 5.5


class Call:
    """A transaction of an operator that waits for the store's answer."""

    def __init__(self, compares, success, failure):
        self.arguments = (compares, success, failure)

    def __await__(self):
        return (yield self)


class MemoryStore(clients.StoreClient):
    """Store client whose transactions wait until the test runs them."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []

    async def transact(self, compares, success, failure=()):
        return await Call(compares, success, failure)

    def run(self, call):
        compares, success, failure = call.arguments
        holds = all(self.compare(item) for item in compares)
        reads = []
        writes = False
        for operation in success if holds else failure:
            match operation:
                case values.Get(key=key):
                    reads.append(self.items.get(key))
                case values.Put(key=key, value=value):
                    writes = True
                    self.write(key, value, self.revision + 1)
        self.revision += writes
        return values.TxnResult(holds, self.revision, tuple(reads))

    def compare(self, item):
        found = self.items.get(item.key)
        match item:
            case values.HasRevision(mod_revision=wanted):
                return (found.mod_revision if found else 0) == wanted
            case values.HasCreateRevision(create_revision=wanted):
                return (found.create_revision if found else 0) == wanted
        raise AssertionError(item)

    def write(self, key, value, revision):
        former_item = self.items.get(key)
        self.items[key] = values.KeyValue(
            key,
            value,
            revision,
            former_item.create_revision if former_item else revision,
            1,
        )
        if key == CONFIG_KEY:
            self.history.append((revision, value))


@dataclasses.dataclass
class Change:
    """A configuration change and the outcome told to its operator.

    :ivar token: token that identifies the change.
    :ivar body: proposed document.
    :ivar revision: revision that the operator expects to replace.
    :ivar attempt: running coroutine that proposes the change, or that settles
        it: finds its final outcome and cancels a change that was not written.
    :ivar call: store transaction that ``attempt`` waits for.
    :ivar outcome: result of the last finished ``attempt``.
    """

    token: str
    body: bytes
    revision: int
    attempt: object = None
    call: Call | None = None
    outcome: object = None


class Fleet:
    """Configuration holders, messages in flight and a simulated clock."""

    def __init__(self):
        self.now = 0.0
        self.queue = []
        self.holders = {}
        # Agents whose first report was not answered; they repeat it.
        self.unanswered_agents = set()
        for name in (*ENTRIES, *HOMES):
            self.start(name)

    def start(self, name):
        """Start or replace an instance; messages to it stay in flight."""
        role = 'entry' if name in DATA_CENTRES else 'agent'
        holder = configuration.ConfigHolder(name, role)
        self.holders[name] = holder
        if role == 'agent':
            self.unanswered_agents.add(name)
            # The answer to a report reaches only the incarnation that sent
            # the report.
            self.queue = [
                item for item in self.queue if not is_ack(item, name)
            ]
            return
        holder.set_agents([a for a, home in HOMES.items() if home == name])
        same_data_centre = [
            e for e in ENTRIES if DATA_CENTRES[e] == DATA_CENTRES[name]
        ]
        others = same_data_centre if len(same_data_centre) > 1 else ENTRIES
        self.queue_messages(name, holder.set_neighbours(self.now, others))

    def queue_messages(self, name, outputs):
        for effect in outputs:
            if isinstance(effect, effects.Send):
                self.queue.append((name, effect.to, effect.message))

    def deliver(self, index):
        sender, to, message = self.queue.pop(index)
        holder = self.holders[to]
        if isinstance(message, messages.EntryBeat):
            self.unanswered_agents.discard(to)
            outputs = holder.handle_peer_revision(
                self.now, sender, message.revision
            )
        else:
            outputs = holder.receive(self.now, sender, message)
        self.queue_messages(to, outputs)

    def report(self, agent):
        self.send_heartbeat(agent, HOMES[agent])
        self.send_heartbeat(HOMES[agent], agent)

    def send_heartbeat(self, sender, to):
        heartbeat = messages.EntryBeat(None, self.holders[sender].revision)
        self.queue.append((sender, to, heartbeat))

    def deliver_store_value(self, name, revision, body):
        holder = self.holders[name]
        self.queue_messages(
            name, holder.handle_store_value(self.now, revision, body)
        )

    def watch(self, store):
        """Deliver the stored document to each data centre's watching entry."""
        found = store.items.get(CONFIG_KEY)
        for name in ENTRIES:
            live = [
                e for e in ENTRIES if DATA_CENTRES[e] == DATA_CENTRES[name]
            ]
            if found is not None and configuration.is_watcher(name, live):
                self.deliver_store_value(name, found.mod_revision, found.value)

    def advance(self, seconds):
        self.now += seconds
        for name, holder in self.holders.items():
            self.queue_messages(name, holder.tick(self.now))

    def run_healthy(self, seconds, store=None):
        """Run without message faults; watches resume after a delay."""
        start_time = self.now
        steps = round(seconds / STEP_S)
        for step in range(steps):
            self.advance(STEP_S)
            elapsed = self.now - start_time
            if store is not None and elapsed >= WATCH_DELAY_S:
                self.watch(store)
            if step % round(HEARTBEAT_INTERVAL_S / STEP_S) == 0:
                for sender in ENTRIES:
                    for to in ENTRIES:
                        if sender != to:
                            self.send_heartbeat(sender, to)
                for agent in sorted(self.unanswered_agents):
                    self.report(agent)
            delivered = 0
            for _ in range(3):
                # One simulated time step covers three message delays, so that
                # replies to the messages of the step are delivered too.
                for _ in range(len(self.queue)):
                    self.deliver(0)
                    delivered += 1
            assert delivered < 2000, 'messages multiply'


def is_ack(item, agent):
    """Return whether a message in flight answers a report of an agent."""
    return item[1] == agent and isinstance(item[2], messages.EntryBeat)


def resume(change, answer=None, error=None):
    """Resume a change until its next store call or its outcome.

    :param answer: result of the store call that the change waits for.
    :param error: exception to raise from that call instead.
    """
    try:
        if error is not None:
            change.call = change.attempt.throw(error)
        else:
            change.call = change.attempt.send(answer)
    except StopIteration as stop:
        change.attempt = None
        change.call = None
        change.outcome = stop.value


UNAVAILABLE = errors.StoreUnavailableError('down')
UNKNOWN = errors.StoreUncertainError('no answer')


def make_body(number):
    """Return a valid document that is unique for a number."""
    return (
        msgspec.json.format(
            msgspec.json.encode(
                {'accounts': [], 'failed_workers': number, 'racks': []}
            ),
            indent=2,
        )
        + b'\n'
    )

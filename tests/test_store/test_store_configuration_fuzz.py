"""Stateful fuzzing of configuration changes against a simple oracle."""

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from damaskpin.operator import changes
from tests.test_store import simulation

ENTRIES = st.sampled_from(simulation.ENTRIES)
FATES = st.sampled_from(
    ['answered', 'answered', 'refused', 'lost', 'late', 'unheard', 'wait']
)


class ConfigurationFuzz(stateful.RuleBasedStateMachine):
    """Racing operators, a faulty store and a faulty network.

    Oracle: applied revisions never go down and have the accepted content;
    outcomes told to operators are true for good; without faults every process
    has the newest accepted configuration within 9 s.
    """

    def __init__(self):
        super().__init__()
        self.store = simulation.MemoryStore()
        self.proposer = changes.ChangeProposer(self.store)
        self.fleet = simulation.Fleet()
        self.changes = []
        self.late = []
        self.seen = {}
        self.invalid = set()

    def pick(self, items, index):
        return items[index % len(items)]

    @stateful.rule(
        entry=ENTRIES,
        saw=st.sampled_from(['store', 'store', 'entry', 'future']),
        fate=FATES,
    )
    def propose(self, entry, saw, fate):
        number = len(self.changes)
        found = self.store.items.get(simulation.CONFIG_KEY)
        newest = found.mod_revision if found else 0
        revisions = {
            'store': newest,
            'entry': self.fleet.holders[entry].revision,
            # As after the loss of the store's last writes.
            'future': self.store.revision + 1,
        }
        change = simulation.Change(
            f'change-{number:04}',
            simulation.make_body(number),
            revisions[saw],
        )
        self.changes.append(change)
        self.attempt(change, first=True)
        self.answer(change, fate)

    def attempt(self, change, first=False):
        change.attempt = self.proposer.propose(
            change.body, change.revision, change.token, first
        )
        simulation.drive(change)

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(index=st.integers(0, 99), fate=FATES)
    def store_answers_operator(self, index, fate):
        waiting = [change for change in self.changes if change.call]
        if not waiting:
            return
        self.answer(self.pick(waiting, index), fate)

    def answer(self, change, fate):
        # Other operators go on while this one waits.
        if change.call is None or fate == 'wait':
            return
        match fate:
            case 'answered':
                simulation.drive(change, self.store.run(change.call))
            case 'refused':
                simulation.drive(change, error=simulation.UNAVAILABLE)
            case 'unheard':
                self.store.run(change.call)
                simulation.drive(change, error=simulation.UNKNOWN)
            case 'late':
                self.late.append(change.call)
                simulation.drive(change, error=simulation.UNKNOWN)
            case 'lost':
                simulation.drive(change, error=simulation.UNKNOWN)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=st.integers(0, 99))
    def late_write_takes_effect(self, index):
        self.store.run(self.late.pop(index % len(self.late)))

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(index=st.integers(0, 99), settle=st.booleans(), fate=FATES)
    def operator_asks_again(self, index, settle, fate):
        unknown = [
            change
            for change in self.changes
            if isinstance(change.outcome, changes.Unknown)
            and change.call is None
        ]
        if not unknown:
            return
        change = self.pick(unknown, index)
        if settle:
            change.attempt = self.proposer.settle(change.token)
            simulation.drive(change)
        else:
            self.attempt(change)
        self.answer(change, fate)

    @stateful.rule()
    def somebody_writes_an_invalid_document(self):
        self.store.revision += 1
        self.invalid.add(self.store.revision)
        self.store.write(
            simulation.CONFIG_KEY, b'{"racks": 1}', self.store.revision
        )

    @stateful.rule(entry=ENTRIES, back=st.integers(0, 3))
    def entry_reads_the_store(self, entry, back):
        history = self.store.history
        if history:
            revision, body = history[max(0, len(history) - 1 - back)]
            self.fleet.answer_of_store(entry, revision, body)

    @stateful.rule(sender=ENTRIES, to=ENTRIES)
    def beat(self, sender, to):
        if sender != to:
            self.fleet.beat(sender, to)

    @stateful.rule(agent=st.sampled_from(sorted(simulation.HOMES)))
    def report(self, agent):
        self.fleet.report(agent)

    @stateful.precondition(lambda self: self.fleet.queue)
    @stateful.rule(
        index=st.integers(0, 999),
        fate=st.sampled_from(['deliver'] * 3 + ['lose', 'duplicate']),
    )
    def network(self, index, fate):
        index %= len(self.fleet.queue)
        match fate:
            case 'deliver':
                self.fleet.deliver(index)
            case 'lose':
                self.fleet.queue.pop(index)
            case 'duplicate':
                self.fleet.queue.append(self.fleet.queue[index])

    @stateful.rule()
    def all_messages_under_way_are_lost(self):
        self.fleet.queue.clear()

    @stateful.rule(entry=ENTRIES)
    def notices_of_a_change_are_lost(self, entry):
        """Agents that have reported lately learn the change in time."""
        self.heal()
        self.propose(entry, 'store', 'answered')
        self.entry_reads_the_store(entry, 0)
        self.fleet.queue.clear()

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 2.5, 30.0]))
    def time_passes(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(
        name=st.sampled_from((*simulation.ENTRIES, *simulation.HOMES))
    )
    def replace(self, name):
        self.fleet.start(name)
        self.seen.pop(name, None)

    @stateful.rule(name=ENTRIES)
    def replace_in_store_outage(self, name):
        """A new instance learns the newest revision its neighbours have."""
        self.replace(name)
        before = self.find_newest_applied()
        self.fleet.run_healthy(9.0)
        # A document that was under way may have raised it since.
        newest = self.find_newest_applied()
        assert self.fleet.holders[name].revision == newest >= before

    def find_newest_applied(self):
        return max(
            self.fleet.holders[entry].revision for entry in simulation.ENTRIES
        )

    @stateful.rule()
    def heal(self):
        """All faults end: 9 s later everybody has the newest revision."""
        self.finish_operators()
        # Also after a change was settled, an earlier write of it may arrive.
        for call in self.late:
            self.store.run(call)
        self.late.clear()
        self.outcomes_are_true()
        newest = self.store.items.get(simulation.CONFIG_KEY)
        if newest is None or newest.mod_revision in self.invalid:
            number = len(self.changes)
            change = simulation.Change(
                f'change-{number:04}',
                simulation.make_body(number),
                newest.mod_revision if newest else 0,
            )
            self.changes.append(change)
            self.attempt(change, first=True)
            self.finish_operators()
            assert isinstance(change.outcome, changes.Accepted)
            newest = self.store.items[simulation.CONFIG_KEY]
        self.fleet.run_healthy(9.0, self.store)
        for name, holder in self.fleet.holders.items():
            assert holder.revision == newest.mod_revision, name
            if name in simulation.ENTRIES:
                assert holder.body == newest.value, name

    def finish_operators(self):
        for change in self.changes:
            while change.call is not None:
                simulation.drive(change, self.store.run(change.call))
            if not isinstance(change.outcome, changes.Unknown):
                continue
            change.attempt = self.proposer.settle(change.token)
            simulation.drive(change)
            simulation.drive(change, self.store.run(change.call))
            assert not isinstance(change.outcome, changes.Unknown)

    @stateful.invariant()
    def applied_revisions_are_monotonic_and_accepted(self):
        contents = dict(self.store.history)
        for name, holder in self.fleet.holders.items():
            assert holder.revision >= self.seen.get(name, 0), name
            self.seen[name] = holder.revision
            if not holder.revision:
                continue
            assert holder.revision not in self.invalid
            assert holder.revision in contents
            if name in simulation.ENTRIES:
                assert holder.body == contents[holder.revision]

    @stateful.invariant()
    def outcomes_are_true(self):
        history = self.store.history
        written = {body: revision for revision, body in history}
        former = {
            body: revision
            for (revision, _), (_, body) in itertools.pairwise(
                [(0, b''), *history]
            )
        }
        for change in self.changes:
            match change.outcome:
                case changes.Accepted(revision=revision):
                    assert written[change.body] == revision
                    # No change of another operator was overwritten unseen.
                    assert former[change.body] == change.revision
                case changes.Superseded() | changes.Rejected():
                    assert change.body not in written, change

    def teardown(self):
        self.heal()
        self.outcomes_are_true()
        self.applied_revisions_are_monotonic_and_accepted()


class ChangesFuzz(ConfigurationFuzz):
    """The same oracle with operators and the store only.

    Without the rules of the network, the rare orders of racing operators and
    delayed writes come up within the examples of one run.
    """

    all_messages_under_way_are_lost = None
    beat = None
    entry_reads_the_store = None
    network = None
    notices_of_a_change_are_lost = None
    replace = None
    replace_in_store_outage = None
    report = None
    time_passes = None


TestChangesFuzz = ChangesFuzz.TestCase
TestConfigurationFuzz = ConfigurationFuzz.TestCase

"""Stateful fuzz tests of configuration changes with an oracle."""

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from damaskpin.operator import changes
from tests.test_store import simulation

ENTRIES = st.sampled_from(simulation.ENTRIES)
# What becomes of an operator's transaction. The operator learns the result
# ("answered") or that nothing was written ("refused"), or gets no answer: the
# transaction then has no effect ("lost"), takes effect at once ("unheard") or
# later ("late"). With "wait" the store does not answer the transaction yet.
TRANSACTION_RESULTS = st.sampled_from(
    ['answered', 'answered', 'refused', 'lost', 'late', 'unheard', 'wait']
)


class ConfigurationFuzz(stateful.RuleBasedStateMachine):
    """Concurrent operators with a faulty store and a faulty network.

    Checks that applied revisions never decrease and have the accepted
    content, that outcomes told to operators stay true, and that 9 s after the
    last fault every process has the newest accepted configuration.
    """

    def __init__(self):
        super().__init__()
        self.store = simulation.MemoryStore()
        self.proposer = changes.ChangeProposer(self.store)
        self.fleet = simulation.Fleet()
        self.changes = []
        self.delayed_calls = []
        self.applied_revisions = {}
        self.invalid_revisions = set()

    def select_item(self, items, index):
        return items[index % len(items)]

    @stateful.rule(
        entry=ENTRIES,
        expected_revision=st.sampled_from(
            ['store', 'store', 'entry', 'future']
        ),
        result=TRANSACTION_RESULTS,
    )
    def propose(self, entry, expected_revision, result):
        number = len(self.changes)
        found = self.store.items.get(simulation.CONFIG_KEY)
        newest = found.mod_revision if found else 0
        revisions = {
            'store': newest,
            'entry': self.fleet.holders[entry].revision,
            # A revision newer than the store's, which an operator may have
            # seen before the store lost its last writes.
            'future': self.store.revision + 1,
        }
        change = simulation.Change(
            f'change-{number:04}',
            simulation.make_body(number),
            revisions[expected_revision],
        )
        self.changes.append(change)
        self.attempt(change, first=True)
        self.answer(change, result)

    def attempt(self, change, first=False):
        change.attempt = self.proposer.propose(
            change.body, change.revision, change.token, first
        )
        simulation.resume(change)

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(index=st.integers(0, 99), result=TRANSACTION_RESULTS)
    def store_answers_operator(self, index, result):
        waiting = [change for change in self.changes if change.call]
        if not waiting:
            return
        self.answer(self.select_item(waiting, index), result)

    def answer(self, change, result):
        # While a change waits for the store's answer, other operators' changes
        # may be handled.
        if change.call is None or result == 'wait':
            return
        match result:
            case 'answered':
                simulation.resume(change, self.store.run(change.call))
            case 'refused':
                simulation.resume(change, error=simulation.UNAVAILABLE)
            case 'unheard':
                self.store.run(change.call)
                simulation.resume(change, error=simulation.UNKNOWN)
            case 'late':
                self.delayed_calls.append(change.call)
                simulation.resume(change, error=simulation.UNKNOWN)
            case 'lost':
                simulation.resume(change, error=simulation.UNKNOWN)

    @stateful.precondition(lambda self: self.delayed_calls)
    @stateful.rule(index=st.integers(0, 99))
    def late_write_takes_effect(self, index):
        self.store.run(self.delayed_calls.pop(index % len(self.delayed_calls)))

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(
        index=st.integers(0, 99),
        settle=st.booleans(),
        result=TRANSACTION_RESULTS,
    )
    def operator_asks_again(self, index, settle, result):
        unknown = [
            change
            for change in self.changes
            if isinstance(change.outcome, changes.Unknown)
            and change.call is None
        ]
        if not unknown:
            return
        change = self.select_item(unknown, index)
        if settle:
            change.attempt = self.proposer.settle(change.token)
            simulation.resume(change)
        else:
            self.attempt(change)
        self.answer(change, result)

    @stateful.rule()
    def invalid_document_is_written(self):
        self.store.revision += 1
        self.invalid_revisions.add(self.store.revision)
        self.store.write(
            simulation.CONFIG_KEY, b'{"racks": 1}', self.store.revision
        )

    @stateful.rule(entry=ENTRIES, revisions_back=st.integers(0, 3))
    def entry_reads_the_store(self, entry, revisions_back):
        history = self.store.history
        if history:
            revision, body = history[max(0, len(history) - 1 - revisions_back)]
            self.fleet.deliver_store_value(entry, revision, body)

    @stateful.rule(sender=ENTRIES, to=ENTRIES)
    def send_heartbeat(self, sender, to):
        if sender != to:
            self.fleet.send_heartbeat(sender, to)

    @stateful.rule(agent=st.sampled_from(sorted(simulation.HOMES)))
    def report(self, agent):
        self.fleet.report(agent)

    @stateful.precondition(lambda self: self.fleet.queue)
    @stateful.rule(
        index=st.integers(0, 999),
        result=st.sampled_from(['deliver'] * 3 + ['lose', 'duplicate']),
    )
    def handle_message_in_flight(self, index, result):
        index %= len(self.fleet.queue)
        match result:
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
        """Lose all first notices of a change, just after agents reported."""
        self.end_faults()
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
        self.applied_revisions.pop(name, None)

    @stateful.rule(name=ENTRIES)
    def replace_in_store_outage(self, name):
        """Check that a new entry gets the neighbours' newest revision."""
        self.replace(name)
        before = self.find_newest_applied()
        self.fleet.run_healthy(9.0)
        # Configuration documents in flight may have raised the newest applied
        # revision in the meantime.
        newest = self.find_newest_applied()
        assert self.fleet.holders[name].revision == newest >= before

    def find_newest_applied(self):
        return max(
            self.fleet.holders[entry].revision for entry in simulation.ENTRIES
        )

    @stateful.rule()
    def end_faults(self):
        """End all faults; 9 s later all processes have the newest revision."""
        self.finish_operators()
        # The store may receive a delayed write even after the operator has
        # settled the change: has asked for its final outcome, which cancels a
        # change that was not written.
        for call in self.delayed_calls:
            self.store.run(call)
        self.delayed_calls.clear()
        self.outcomes_are_true()
        newest = self.store.items.get(simulation.CONFIG_KEY)
        if newest is None or newest.mod_revision in self.invalid_revisions:
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
                simulation.resume(change, self.store.run(change.call))
            if not isinstance(change.outcome, changes.Unknown):
                continue
            change.attempt = self.proposer.settle(change.token)
            simulation.resume(change)
            simulation.resume(change, self.store.run(change.call))
            assert not isinstance(change.outcome, changes.Unknown)

    @stateful.invariant()
    def applied_revisions_are_monotonic_and_accepted(self):
        contents = dict(self.store.history)
        for name, holder in self.fleet.holders.items():
            assert holder.revision >= self.applied_revisions.get(name, 0), name
            self.applied_revisions[name] = holder.revision
            if not holder.revision:
                continue
            assert holder.revision not in self.invalid_revisions
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
                    # The change replaced the revision that its operator saw,
                    # so it overwrote no change of another operator.
                    assert former[change.body] == change.revision
                case changes.Superseded() | changes.Rejected():
                    assert change.body not in written, change

    def teardown(self):
        self.end_faults()
        self.outcomes_are_true()
        self.applied_revisions_are_monotonic_and_accepted()


class ChangesFuzz(ConfigurationFuzz):
    """Fuzz test of configuration changes without network rules.

    With operators and the store only, rare orders of concurrent operators and
    delayed writes occur within the examples of one run.
    """

    all_messages_under_way_are_lost = None
    send_heartbeat = None
    entry_reads_the_store = None
    handle_message_in_flight = None
    notices_of_a_change_are_lost = None
    replace = None
    replace_in_store_outage = None
    report = None
    time_passes = None


TestChangesFuzz = ChangesFuzz.TestCase
TestConfigurationFuzz = ConfigurationFuzz.TestCase

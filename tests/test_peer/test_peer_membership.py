"""Tests of membership with simulated entries and agents."""

import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from damaskpin.peer import events
from damaskpin.peer import home as homes
from damaskpin.peer import messages
from damaskpin.peer import timing
from tests.test_peer import fleet as fleets

# Heartbeat intervals with four entries and five agents: 2 x 300 B / 400 B/s
# for the two entries of the other region, the minimum for other processes.
ENTRY_INTERVAL_S = 1.5
AGENT_INTERVAL_S = 1.0
DEATH_DETECTION_S = timing.MISSED_HEARTBEATS * ENTRY_INTERVAL_S
MISMATCH_DETECTION_S = timing.MAX_DIGEST_MISMATCHES * 1.5 * ENTRY_INTERVAL_S
# Seconds after the last fault until all processes' views of each other are
# correct. The last delayed message arrives and may add a dead process, which
# is removed when it stays silent; entries are read from the store again;
# differing digests are detected; agents of a dead home entry time out; agents
# leave a silent home entry and retry a failed one.
RECOVERY_S = (
    fleets.MAX_DELAY_S
    + fleets.LISTING_INTERVAL_S
    + DEATH_DETECTION_S
    + MISMATCH_DETECTION_S
    + timing.MAX_AGENT_INTERVAL_S
    + timing.MISSED_HEARTBEATS * AGENT_INTERVAL_S
    + homes.FAILED_ENTRY_RETRY_S
)
SEQUENCES = 2000 if os.environ.get('DAMASKPIN_FUZZ') == 'long' else 60
NAMES = [*fleets.ENTRIES, *fleets.AGENTS]


class MembershipFuzz(stateful.RuleBasedStateMachine):
    """Guards against wrong views of other processes after all faults ended."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def create_fleet(self, seed):
        self.fleet = fleets.Fleet(seed)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 2.0, 6.0, 20.0]))
    def run_on(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def crash(self, name):
        self.fleet.crash(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def start(self, name):
        self.fleet.start(name)

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        seconds=strategies.sampled_from([2.0, 4.0, 15.0, 40.0]),
    )
    def freeze(self, name, seconds):
        self.fleet.freeze(name, seconds)

    @stateful.rule(on=strategies.booleans())
    def partition(self, on):
        self.fleet.partitioned = on

    @stateful.rule(name=strategies.sampled_from(list(fleets.ENTRIES)))
    def drain(self, name):
        if name in self.fleet.live:
            self.fleet.live[name].draining = True

    @stateful.rule(name=strategies.sampled_from(list(fleets.ENTRIES)))
    def leave(self, name):
        self.fleet.leave(name)

    @stateful.rule(name=strategies.sampled_from(list(fleets.AGENTS)))
    def change(self, name):
        self.fleet.change(name)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.5]),
        duplication=strategies.sampled_from([0.0, 0.3]),
        delay=strategies.sampled_from([0.05, 1.0, fleets.MAX_DELAY_S]),
    )
    def set_network(self, loss, duplication, delay):
        self.fleet.loss = loss
        self.fleet.duplication = duplication
        self.fleet.max_delay = delay

    def teardown(self):
        self.fleet.end_faults()
        self.fleet.run(RECOVERY_S)
        assert self.fleet.list_discrepancies() == []


TestMembershipFuzz = MembershipFuzz.TestCase
TestMembershipFuzz.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck), max_examples=30
)


def _draw_rule(rng):
    """Return a random rule of the state machine with its arguments."""
    return rng.choice(
        [
            ('run_on', (rng.choice([0.1, 0.5, 2.0, 6.0, 20.0]),)),
            ('run_on', (rng.choice([0.5, 2.0, 6.0]),)),
            ('crash', (rng.choice(NAMES),)),
            ('start', (rng.choice(NAMES),)),
            ('start', (rng.choice(NAMES),)),
            ('freeze', (rng.choice(NAMES), rng.choice([2, 4, 15, 40]))),
            ('partition', (rng.random() < 0.5,)),
            ('drain', (rng.choice(list(fleets.ENTRIES)),)),
            ('leave', (rng.choice(list(fleets.ENTRIES)),)),
            ('change', (rng.choice(list(fleets.AGENTS)),)),
            (
                'set_network',
                (
                    rng.choice([0.0, 0.1, 0.5]),
                    rng.choice([0.0, 0.3]),
                    rng.choice([0.05, 1.0, fleets.MAX_DELAY_S]),
                ),
            ),
        ]
    )


@pytest.mark.parametrize('seed', range(SEQUENCES))
def test_membership_fuzz_sequence(seed):
    """Guards against failures that need longer sequences than Hypothesis'."""
    machine = MembershipFuzz()
    machine.fleet = fleets.Fleet(seed)
    rng = random.Random(seed)
    for _ in range(40):
        name, values = _draw_rule(rng)
        getattr(machine, name)(*values)
    machine.teardown()


def test_live_agents_survive_the_restart_of_their_home():
    """Guards against gangs that are stopped because an entry restarted.

    The entry's new incarnation knows no agents yet when other entries request
    the states of its agents.
    """
    fleet = fleets.Fleet(1)
    fleet.run(30.0)
    fleet.events.clear()
    fleet.start('e1')
    fleet.run(RECOVERY_S)
    lost_events = [
        event
        for _, _, event in fleet.events
        if isinstance(event, events.AgentLost)
    ]
    assert lost_events == []
    assert fleet.list_discrepancies() == []


def test_live_agents_survive_the_death_of_their_home():
    """Guards against gangs that are stopped because an entry died."""
    fleet = fleets.Fleet(1)
    fleet.run(30.0)
    fleet.events.clear()
    fleet.crash('e1')
    fleet.run(RECOVERY_S)
    lost_events = [
        event
        for _, _, event in fleet.events
        if isinstance(event, events.AgentLost)
    ]
    assert lost_events == []
    assert fleet.list_discrepancies() == []


def test_late_leave_message_of_a_former_incarnation_is_ignored():
    """Guards against a delayed message that removes a live entry."""
    fleet = fleets.Fleet(1)
    fleet.run(10.0)
    former_peer = fleet.peers['e2']
    fleet.start('e2')
    fleet.run(10.0)
    entry = fleet.live['e1']
    late_message = messages.EntryBeat(former_peer, 0, 1.0, True, True, True)
    entry.receive(fleet.now, 'e2', late_message)
    assert fleet.peers['e2'] in entry.list_entries()


def test_agents_leave_a_draining_home():
    """Guards against agents that report to a draining entry until it ends."""
    fleet = fleets.Fleet(1)
    fleet.run(30.0)
    fleet.events.clear()
    fleet.live['e1'].draining = True
    fleet.run(RECOVERY_S)
    assert fleet.list_discrepancies() == []
    fleet.leave('e1')
    fleet.run(RECOVERY_S)
    assert fleet.list_discrepancies() == []
    assert not [
        event
        for _, _, event in fleet.events
        if isinstance(event, events.AgentLost)
    ]


def test_dead_agent_is_removed_although_the_update_was_lost():
    """Guards against a dead agent that stays listed without a home entry.

    A home entry's full update that lacks the agent clears the agent's home
    entry and restarts its timeout, after which the agent must be removed.
    """
    fleet = fleets.Fleet(1)
    fleet.run(30.0)
    fleet.crash('a1')
    fleet.run(2.0)
    fleet.loss = 1.0
    fleet.run(1.5)
    fleet.end_faults()
    fleet.run(RECOVERY_S)
    assert fleet.list_discrepancies() == []

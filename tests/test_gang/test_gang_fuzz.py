"""Stateful fuzzing of members, coordinators and owners."""

import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from damaskpin.model import job as jobs
from tests.test_gang import simulation as simulations

AGENTS = [f'agent-{i}' for i in range(4)]
ENTRIES = ['entry-1', 'entry-2']
ALL = AGENTS + ENTRIES
CONCLUDE_SECONDS = 900.0
COMMANDS = [('sleep', '1'), ('sleep', '60'), ('fail', '2'), ('stubborn', '40')]
BURST_EVENTS = 4
SEQUENCE_EVENTS = 40
SEQUENCES = 5000 if os.environ.get('DAMASKPIN_FUZZ') == 'long' else 150
BOTH = [True, False]
# Weight in a burst, and the arguments, of each rule.
RULES = {
    'submit': (
        4,
        {
            'size': [1, 2, 3, 4],
            'idempotent': BOTH,
            'detached': BOTH,
            'entry': ENTRIES,
            'command': COMMANDS,
            'deadline': [None, None, 3.0, 20.0],
        },
    ),
    'run_on': (8, {'seconds': [0.05, 0.5, 2, 6, 25]}),
    'crash_agent': (
        1,
        {
            'name': AGENTS,
            'back_after': [0.01, 3.0, 13.0, 50.0],
            'adopt': BOTH,
            'machine': BOTH,
        },
    ),
    'crash_entry': (0.7, {'name': ENTRIES, 'back_after': [1.0, 30.0]}),
    'freeze': (1, {'name': ALL, 'seconds': [1.0, 4.0, 14.0, 20.0, 70.0]}),
    'partition': (1, {'size': [0, 0, 1, 2, 3], 'seed': list(range(50))}),
    'set_network': (
        1,
        {
            'loss': [0.0, 0.0, 0.1, 0.5],
            'duplication': [0.0, 0.3],
            'max_delay': [0.05, 0.05, 2.0, 20.0],
        },
    ),
    'replay': (1.5, {'name': ALL}),
    'split_coordinators': (0.7, {'split': BOTH}),
    'set_surroundings': (
        0.5,
        {'refusals': [0.0, 0.0, 0.5], 'store_up': [True, True, False]},
    ),
    'change_revision': (0.2, {}),
    'change_coordinator': (0.5, {'name': ENTRIES}),
    'end_job': (
        1,
        {
            'entry': ENTRIES,
            'number': list(range(1, 9)),
            'cancel': BOTH,
            'grace': [0.0, 2.0],
        },
    ),
    'suspect': (0.5, {'entry': ENTRIES, 'name': AGENTS}),
}


def _rule(function):
    """Make a rule whose arguments come from ``RULES``."""
    arguments = RULES[function.__name__][1]
    return stateful.rule(
        **{key: strategies.sampled_from(v) for key, v in arguments.items()}
    )(function)


class GangFuzz(stateful.RuleBasedStateMachine):
    """Drives the shipping state machines through faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.simulation = simulations.Simulation(seed)
        self.counter = 0

    @_rule
    def submit(self, size, idempotent, detached, entry, command, deadline):
        process = self.simulation.entries[entry]
        if not process.up or process.is_frozen():
            return
        self.counter += 1
        job = jobs.Job(
            id=f'job-{self.counter}',
            account='a',
            spec=jobs.JobSpec(
                accelerators=size,
                idempotent=idempotent,
                command=list(command),
                deadline_seconds=deadline,
            ),
        )
        self.simulation.jobs[job.id] = simulations.JobState(
            job, detached, entry
        )
        process.do(process.owner.submit, job, detached)

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def burst(self, seed):
        """Call several of the other rules."""
        self.call_rules(seed, BURST_EVENTS)

    def call_rules(self, seed, count):
        rng = random.Random(seed)
        weights = [weight for weight, _ in RULES.values()]
        for name in rng.choices(list(RULES), weights, k=count):
            choices = RULES[name][1]
            arguments = {k: rng.choice(v) for k, v in choices.items()}
            rule = getattr(type(self), name)
            # Hypothesis wraps rules; the plain function is kept in it.
            rule.hypothesis_stateful_rule.function(self, **arguments)

    @_rule
    def run_on(self, seconds):
        self.simulation.run(seconds)

    @_rule
    def crash_agent(self, name, back_after, adopt, machine):
        if self.simulation.agents[name].up:
            self.simulation.crash(name, back_after, adopt)
            if machine:
                self.simulation.kill_worker(name)

    @_rule
    def crash_entry(self, name, back_after):
        self.simulation.crash(name, back_after)

    @_rule
    def freeze(self, name, seconds):
        simulation = self.simulation
        process = simulation.processes[name]
        process.frozen_until = simulation.now + seconds
        simulation.last_fault = simulation.now + seconds

    @_rule
    def partition(self, size, seed):
        """Cut some processes off from the others; 0 heals the network."""
        cut = random.Random(seed).sample(ALL, size)
        self.simulation.cut = frozenset(cut)
        self.simulation.last_fault = self.simulation.now

    @_rule
    def set_network(self, loss, duplication, max_delay):
        self.simulation.loss = loss
        self.simulation.duplication = duplication
        self.simulation.max_delay = max_delay
        self.simulation.last_fault = self.simulation.now

    @_rule
    def replay(self, name):
        self.simulation.replay(name)

    @_rule
    def split_coordinators(self, split):
        self.simulation.split = split

    @_rule
    def set_surroundings(self, refusals, store_up):
        self.simulation.worker_refusals = refusals
        self.simulation.store_up = store_up

    @_rule
    def change_revision(self):
        self.simulation.revision += 1
        agent = self.simulation.agents['agent-0']
        if agent.up and not agent.is_frozen():
            agent.do(agent.member.set_revision, self.simulation.revision)

    @_rule
    def change_coordinator(self, name):
        self.simulation.coordinator = name
        for entry in self.simulation.entries.values():
            if entry.up and not entry.is_frozen():
                entry.do(entry.owner.set_coordinator, name)

    @_rule
    def end_job(self, entry, number, cancel, grace):
        process = self.simulation.entries[entry]
        if not process.up or process.is_frozen():
            return
        job_id = f'job-{number}'
        if cancel:
            process.do(process.owner.cancel, job_id, 'cancelled')
            return
        if job_id in process.placing:
            self.simulation.note_stop(process.placing[job_id])
        process.do(process.coordinator.stop, job_id, 'reclaimed', grace)

    @_rule
    def suspect(self, entry, name):
        """Report an agent as lost that lives."""
        process = self.simulation.entries[entry]
        if process.up and not process.is_frozen():
            process.do(process.owner.agent_lost, name)
            process.do(process.coordinator.agent_lost, name)

    def teardown(self):
        """Heal everything, then every job must conclude."""
        if not hasattr(self, 'simulation'):
            return
        simulation = self.simulation
        self.set_network(0.0, 0.0, 0.05)
        self.set_surroundings(0.0, True)
        self.split_coordinators(False)
        self.partition(0, 0)
        for process in simulation.processes.values():
            process.frozen_until = 0.0
        end = simulation.now + CONCLUDE_SECONDS
        while simulation.now < end and self.list_waiting():
            simulation.run(5.0)
        assert not self.list_waiting(), self.list_waiting()
        # The longest task takes 60 s, and nothing is left behind after it.
        simulation.run(200.0)
        for agent in simulation.agents.values():
            assert agent.member.list_gangs() == (), agent.name
        for entry in simulation.entries.values():
            assert entry.coordinator.list_attempts() == (), entry.name

    def list_waiting(self):
        return [
            state
            for state in self.simulation.jobs.values()
            if state.conclusion is None and not state.lost
        ]


GangFuzz.TestCase.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)
TestGangFuzz = GangFuzz.TestCase


@pytest.mark.parametrize('seed', range(SEQUENCES))
def test_gang_fuzz_sequence(seed):
    """Drive the same rules with weights.

    Hypothesis repeats few seeds and draws short sequences, in which few gangs
    start: 21 different seeds in 106 examples of a run.
    """
    machine = GangFuzz()
    machine.begin.hypothesis_stateful_initialize_rule.function(machine, seed)
    machine.call_rules(seed, SEQUENCE_EVENTS)
    machine.teardown()

"""Stateful fuzzing of members, coordinators and owners."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from damaskpin.model import job as jobs
from tests.test_gang import simulation as simulations

AGENTS = [f'agent-{i}' for i in range(4)]
ENTRIES = ['entry-1', 'entry-2']
CONCLUDE_SECONDS = 900.0
COMMANDS = [('sleep', '1'), ('sleep', '60'), ('fail', '2'), ('stubborn', '40')]
BURST_EVENTS = 8
# Weight and arguments of each rule in a burst. Hypothesis draws short and
# simple sequences, in which few gangs start; bursts are busier.
BURST = {
    'submit': (
        4,
        {
            'size': [1, 2, 3, 4],
            'idempotent': [True, False],
            'detached': [True, False],
            'entry': ENTRIES,
            'command': COMMANDS,
            'deadline': [None, None, 20.0],
        },
    ),
    'run_on': (8, {'seconds': [0.05, 0.5, 2, 6, 25]}),
    'crash_agent': (
        1,
        {
            'name': AGENTS,
            'back_after': [0.01, 3.0, 13.0, 50.0],
            'adopt': [True, False],
            'machine': [True, False],
        },
    ),
    'crash_entry': (0.7, {'name': ENTRIES, 'back_after': [1.0, 30.0]}),
    'freeze': (1, {'name': AGENTS + ENTRIES, 'seconds': [4.0, 14.0, 70.0]}),
    'partition': (1, {'cut': [{'agent-0'}, {'agent-1', 'entry-1'}]}),
    'heal': (1, {}),
    'set_network': (
        1,
        {
            'loss': [0.0, 0.0, 0.1, 0.5],
            'duplication': [0.0, 0.3],
            'max_delay': [0.05, 0.05, 2.0, 20.0],
        },
    ),
    'replay': (1.5, {'name': AGENTS + ENTRIES}),
    'split_coordinators': (0.7, {'split': [True, False]}),
    'change_coordinator': (0.5, {'name': ENTRIES}),
    'end_job': (
        1,
        {
            'entry': ENTRIES,
            'number': [1, 2, 3, 4, 5, 6, 7, 8],
            'cancel': [True, False],
            'grace': [0.0, 2.0],
        },
    ),
    'suspect': (0.5, {'entry': ENTRIES, 'name': AGENTS}),
}


class GangFuzz(stateful.RuleBasedStateMachine):
    """Drives the shipping state machines through faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.simulation = simulations.Simulation(seed)
        self.counter = 0

    @stateful.rule(
        size=strategies.integers(1, 4),
        idempotent=strategies.booleans(),
        detached=strategies.booleans(),
        entry=strategies.sampled_from(ENTRIES),
        command=strategies.sampled_from(COMMANDS),
        deadline=strategies.sampled_from([None, 3.0, 20.0]),
    )
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
        process.carry_out(process.owner.submit(process.clock(), job, detached))

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def burst(self, seed):
        """Call several of the other rules."""
        rng = random.Random(seed)
        weights = [weight for weight, _ in BURST.values()]
        for name in rng.choices(list(BURST), weights, k=BURST_EVENTS):
            arguments = {
                key: rng.choice(values)
                for key, values in BURST[name][1].items()
            }
            rule = getattr(type(self), name)
            # Hypothesis wraps rules; the plain function is kept in it.
            rule.hypothesis_stateful_rule.function(self, **arguments)

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.5, 2, 6, 25]))
    def run_on(self, seconds):
        self.simulation.run(seconds)

    @stateful.rule(
        name=strategies.sampled_from(AGENTS),
        back_after=strategies.sampled_from([0.01, 3.0, 13.0, 50.0]),
        adopt=strategies.booleans(),
        machine=strategies.booleans(),
    )
    def crash_agent(self, name, back_after, adopt, machine):
        if self.simulation.agents[name].up:
            self.simulation.crash(name, back_after, adopt)
            if machine:
                self.simulation.kill_worker(name)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        back_after=strategies.sampled_from([1.0, 30.0]),
    )
    def crash_entry(self, name, back_after):
        self.simulation.crash(name, back_after)

    @stateful.rule(
        name=strategies.sampled_from(AGENTS + ENTRIES),
        seconds=strategies.sampled_from([1.0, 4.0, 14.0, 20.0, 70.0]),
    )
    def freeze(self, name, seconds):
        simulation = self.simulation
        process = simulation.processes[name]
        process.frozen_until = simulation.now + seconds
        simulation.last_fault = simulation.now + seconds

    @stateful.rule(
        cut=strategies.sets(strategies.sampled_from(AGENTS + ENTRIES))
    )
    def partition(self, cut):
        self.simulation.cut = frozenset(cut)
        self.simulation.last_fault = self.simulation.now

    @stateful.rule()
    def heal(self):
        self.partition(())

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.5]),
        duplication=strategies.sampled_from([0.0, 0.3]),
        max_delay=strategies.sampled_from([0.05, 2.0, 20.0]),
    )
    def set_network(self, loss, duplication, max_delay):
        self.simulation.loss = loss
        self.simulation.duplication = duplication
        self.simulation.max_delay = max_delay
        self.simulation.last_fault = self.simulation.now

    @stateful.rule(name=strategies.sampled_from(AGENTS + ENTRIES))
    def replay(self, name):
        self.simulation.replay(name)

    @stateful.rule(split=strategies.booleans())
    def split_coordinators(self, split):
        self.simulation.split = split

    @stateful.rule(
        refusals=strategies.sampled_from([0.0, 0.5]),
        store_up=strategies.booleans(),
    )
    def set_surroundings(self, refusals, store_up):
        self.simulation.worker_refusals = refusals
        self.simulation.store_up = store_up

    @stateful.rule()
    def change_revision(self):
        self.simulation.revision += 1
        agent = self.simulation.agents['agent-0']
        if agent.up and not agent.is_frozen():
            agent.carry_out(
                agent.member.set_revision(
                    agent.clock(), self.simulation.revision
                )
            )

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def change_coordinator(self, name):
        self.simulation.coordinator = name
        for entry in self.simulation.entries.values():
            if entry.up and not entry.is_frozen():
                entry.carry_out(
                    entry.owner.set_coordinator(entry.clock(), name)
                )

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        number=strategies.integers(1, 8),
        cancel=strategies.booleans(),
        grace=strategies.sampled_from([0.0, 2.0]),
    )
    def end_job(self, entry, number, cancel, grace):
        process = self.simulation.entries[entry]
        if not process.up or process.is_frozen():
            return
        now = process.clock()
        if cancel:
            effects = process.owner.cancel(now, f'job-{number}', 'cancelled')
        else:
            job_id = f'job-{number}'
            effects = process.coordinator.stop(now, job_id, 'reclaimed', grace)
            if job_id in process.placing:
                self.simulation.note_stop(process.placing[job_id])
        process.carry_out(effects)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        name=strategies.sampled_from(AGENTS),
    )
    def suspect(self, entry, name):
        """Report an agent as lost that lives."""
        process = self.simulation.entries[entry]
        if process.up and not process.is_frozen():
            now = process.clock()
            process.carry_out(process.owner.agent_lost(now, name))
            process.carry_out(process.coordinator.agent_lost(now, name))

    def teardown(self):
        """Heal everything, then every job must conclude."""
        if not hasattr(self, 'simulation'):
            return
        simulation = self.simulation
        self.set_network(0.0, 0.0, 0.05)
        self.set_surroundings(0.0, True)
        self.split_coordinators(False)
        self.partition(())
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

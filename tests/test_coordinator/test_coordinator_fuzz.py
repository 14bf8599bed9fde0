"""Stateful fuzz test of coordinator and agents with simulated workers."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpin.model import work
from tests.test_coordinator import simulation as simulations

DEMANDS = [
    work.Resources(1000, 500, 1),
    work.Resources(2000, 1000, 2),
    work.Resources(4000, 500, 0),
]


@st.composite
def make_steps(draw):
    """Generate one or two steps of a job."""
    steps = []
    for index in range(draw(st.integers(1, 2))):
        steps.append(
            work.Step(
                # A gang of up to three members with any of these demands
                # fits on the three workers.
                count=draw(st.integers(1, 3)),
                demand=draw(st.sampled_from(DEMANDS)),
                estimate=draw(st.sampled_from([0.5, 3.0])),
                after=(0,) if index else (),
                checkpoints=draw(st.booleans()),
                gang=draw(st.booleans()),
            )
        )
    return tuple(steps)


class CoordinatorMachine(stateful.RuleBasedStateMachine):
    """Actions and faults in any order; the simulation checks each start."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.simulation = simulations.Simulation(seed)
        self.simulation.run(1.0)

    @stateful.rule(steps=make_steps())
    def submit(self, steps):
        self.simulation.submit(steps)

    @stateful.rule(choice=st.integers(0, 50))
    def cancel(self, choice):
        known = sorted(self.simulation.submissions)
        if known:
            self.simulation.cancel(known[choice % len(known)])

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0, 9.0]))
    def wait(self, seconds):
        self.simulation.run(seconds)

    @stateful.rule(
        choice=st.integers(0, 50),
        ending=st.sampled_from([work.Ending.DONE, work.Ending.FAILED]),
    )
    def end_run(self, choice, ending):
        self.simulation.end_run(choice, ending)

    @stateful.rule()
    def replace_coordinator(self):
        self.simulation.replace_coordinator()

    @stateful.rule(index=st.integers(0, 2))
    def restart_agent(self, index):
        self.simulation.restart_agent(self.simulation.instances[index])

    @stateful.rule(index=st.integers(0, 2))
    def restart_worker(self, index):
        self.simulation.restart_worker(self.simulation.instances[index])

    @stateful.rule(index=st.integers(0, 2))
    def toggle_disconnected(self, index):
        instance = self.simulation.instances[index]
        instance.disconnected = not instance.disconnected

    @stateful.rule(index=st.integers(0, 2))
    def toggle_unresponsive(self, index):
        """Toggle whether a running worker answers its agent."""
        instance = self.simulation.instances[index]
        instance.unresponsive = not instance.unresponsive

    @stateful.rule(index=st.integers(0, 2))
    def drain(self, index):
        """Announce the end of a worker, which goes on for a while."""
        self.simulation.instances[index].worker.draining = True

    @stateful.rule(index=st.integers(0, 2))
    def toggle_busy(self, index):
        """Toggle whether a worker refuses starts, as an unhealthy one."""
        worker = self.simulation.instances[index].worker
        worker.busy = not worker.busy

    @stateful.rule(
        loss_rate=st.sampled_from([0.0, 0.2, 0.6]),
        delay_rate=st.sampled_from([0.0, 0.2, 0.5]),
    )
    def disturb(self, loss_rate, delay_rate):
        self.simulation.loss_rate = loss_rate
        self.simulation.delay_rate = delay_rate

    def teardown(self):
        if hasattr(self, 'simulation'):
            self.simulation.heal_and_finish()


TestCoordinatorFuzz = CoordinatorMachine.TestCase
TestCoordinatorFuzz.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)

"""Stateful fuzzing of coordinator and agents against simulated workers."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpin.model import work
from tests.test_coordinator import world as worlds

DEMANDS = [
    work.Resources(1000, 500, 1),
    work.Resources(2000, 1000, 2),
    work.Resources(4000, 500, 0),
]


@st.composite
def make_steps(draw):
    """Make one or two steps."""
    steps = []
    for index in range(draw(st.integers(1, 2))):
        steps.append(
            work.Step(
                # Three workers hold a gang of any of these demands.
                count=draw(st.integers(1, 3)),
                demand=draw(st.sampled_from(DEMANDS)),
                estimate=draw(st.sampled_from([0.5, 3.0])),
                after=(0,) if index else (),
                checkpoints=draw(st.booleans()),
                gang=draw(st.booleans()),
            )
        )
    return tuple(steps)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the world checks each start."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.world = worlds.World(seed)
        self.world.run(1.0)

    @stateful.rule(steps=make_steps())
    def submit(self, steps):
        self.world.submit(steps)

    @stateful.rule(choice=st.integers(0, 50))
    def cancel(self, choice):
        known = sorted(self.world.submissions)
        if known:
            self.world.cancel(known[choice % len(known)])

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0, 9.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @stateful.rule(
        choice=st.integers(0, 50),
        ending=st.sampled_from([work.Ending.DONE, work.Ending.FAILED]),
    )
    def end_run(self, choice, ending):
        self.world.end_run(choice, ending)

    @stateful.rule()
    def elect(self):
        self.world.elect()

    @stateful.rule(index=st.integers(0, 2))
    def restart_agent(self, index):
        self.world.restart_agent(self.world.places[index])

    @stateful.rule(index=st.integers(0, 2))
    def restart_worker(self, index):
        self.world.restart_worker(self.world.places[index])

    @stateful.rule(index=st.integers(0, 2))
    def toggle_cut(self, index):
        place = self.world.places[index]
        place.cut = not place.cut

    @stateful.rule(index=st.integers(0, 2))
    def toggle_mute(self, index):
        """Keep a worker that runs on from answering its agent."""
        place = self.world.places[index]
        place.muted = not place.muted

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        lateness=st.sampled_from([0.0, 0.2, 0.5]),
    )
    def disturb(self, loss, lateness):
        self.world.loss = loss
        self.world.lateness = lateness

    def teardown(self):
        if hasattr(self, 'world'):
            self.world.settle()


TestFleetFuzz = FleetMachine.TestCase
TestFleetFuzz.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)

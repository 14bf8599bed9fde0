"""Stateful fuzzing of agents' slots and entries' dispatchers under faults.

Guards against a second run of a non-idempotent request, untruthful verdicts,
answers that belong to another request, requests that get no verdict, and
requests that reach a target after it left.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from damaskpin.model import job as jobs
from tests.test_service import simulation as simulations

AGENTS = st.sampled_from(['a0', 'a1', 'a2'])
ENTRIES = st.sampled_from(['e0', 'e1'])
DEADLINES = st.sampled_from([0.5, 3.0, 12.0, 40.0])


class FuzzRequests(stateful.RuleBasedStateMachine):
    """Draws requests and faults; the simulation checks the invariants."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.simulation = simulations.Simulation(seed)
        self.requests_with_key = []

    @stateful.rule(
        entry=ENTRIES,
        deadline=DEADLINES,
        idempotent=st.booleans(),
        priority=st.sampled_from(jobs.Priority),
        count=st.integers(1, 4),
    )
    def submit(self, entry, deadline, idempotent, priority, count):
        for _ in range(count):
            self.simulation.submit(
                entry,
                deadline_seconds=deadline,
                idempotent=idempotent,
                priority=priority,
            )

    @stateful.rule(entry=ENTRIES, deadline=DEADLINES)
    def submit_with_key(self, entry, deadline):
        key = f'k{len(self.requests_with_key)}'
        self.requests_with_key.append(
            self.simulation.submit(
                entry, deadline_seconds=deadline, idempotency_key=key
            )
        )

    @stateful.rule(entry=ENTRIES, deadline=DEADLINES)
    def submit_with_issued_key(self, entry, deadline):
        process = self.simulation.entries[entry]
        if process.is_frozen():
            return
        key = process.machine.issue_key(
            process.now(), 'naamkunde', simulations.SERVICE
        )
        if key is not None:
            self.requests_with_key.append(
                self.simulation.submit(
                    entry, deadline_seconds=deadline, idempotency_key=key
                )
            )

    @stateful.precondition(lambda self: self.requests_with_key)
    @stateful.rule(entry=ENTRIES, deadline=DEADLINES, data=st.data())
    def retry_key(self, entry, deadline, data):
        name = data.draw(st.sampled_from(self.requests_with_key))
        request = self.simulation.submissions[name].request
        self.simulation.submit(
            entry,
            deadline_seconds=deadline,
            idempotency_key=request.idempotency_key,
            body=request.body,
        )

    @stateful.precondition(lambda self: self.requests_with_key)
    @stateful.rule(entry=ENTRIES, data=st.data())
    def retry_key_after_its_record_was_dropped(self, entry, data):
        name = data.draw(st.sampled_from(self.requests_with_key))
        request = self.simulation.submissions[name].request
        self.simulation.advance(190.0)
        self.simulation.submit(
            entry,
            deadline_seconds=12.0,
            idempotency_key=request.idempotency_key,
            body=request.body,
        )

    @stateful.precondition(lambda self: self.requests_with_key)
    @stateful.rule(entry=ENTRIES)
    def crash_and_retry_elsewhere(self, entry):
        self.simulation.entries[entry].restart()
        other = 'e1' if entry == 'e0' else 'e0'
        for name in self.requests_with_key:
            submission = self.simulation.submissions[name]
            if submission.crashed and submission.entry == entry:
                self.simulation.submit(
                    other,
                    deadline_seconds=12.0,
                    idempotency_key=submission.request.idempotency_key,
                    body=submission.request.body,
                )

    @stateful.precondition(lambda self: self.simulation.submissions)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.simulation.submissions)))
        entry = self.simulation.entries[
            self.simulation.submissions[name].entry
        ]
        entry.call(lambda now: entry.machine.cancel(now, name))

    @stateful.rule(
        loss_rate=st.sampled_from([0.0, 0.0, 0.2, 0.6, 1.0]),
        duplicate_rate=st.sampled_from([0.0, 0.5]),
        delay=st.sampled_from([0.0, 0.3, 5.0, 90.0]),
        failure_rate=st.sampled_from([0.0, 0.0, 0.5]),
    )
    def change_network(self, loss_rate, duplicate_rate, delay, failure_rate):
        self.simulation.loss_rate = loss_rate
        self.simulation.duplicate_rate = duplicate_rate
        self.simulation.delay = delay
        self.simulation.failure_rate = failure_rate

    @stateful.rule(mode=st.sampled_from(['up', 'up', 'down', 'lossy', 'slow']))
    def change_store(self, mode):
        self.simulation.store_mode = mode

    @stateful.rule(name=AGENTS, report_delay=st.sampled_from([None, 0.1, 3.0]))
    def restart_agent(self, name, report_delay):
        agent = self.simulation.agents[name]
        old = agent.incarnation
        agent.restart()
        if report_delay is not None:
            for entry in self.simulation.entries.values():
                self.simulation.schedule(
                    report_delay, entry.report_loss, name, old
                )

    @stateful.rule(
        name=AGENTS, notice=st.sampled_from(['', 'leaving', 'withdrawn'])
    )
    def leave(self, name, notice):
        agent = self.simulation.agents[name]
        if agent.leaving_since is None:
            agent.leaving_since = self.simulation.time
            if notice == 'leaving':
                agent.announce(leaving=True)
            elif notice == 'withdrawn':
                agent.call(
                    lambda now: agent.machine.withdraw(
                        now, simulations.SERVICE
                    )
                )

    @stateful.rule(name=AGENTS)
    def return_target(self, name):
        self.simulation.agents[name].leaving_since = None

    @stateful.rule(name=AGENTS)
    def drain(self, name):
        agent = self.simulation.agents[name]
        agent.draining = True
        agent.call(lambda now: agent.machine.drain(now))

    @stateful.rule(
        name=AGENTS | ENTRIES, seconds=st.sampled_from([0.4, 2.0, 7.0, 70.0])
    )
    def freeze(self, name, seconds):
        self.simulation.processes[name].freeze(seconds)

    @stateful.rule(seconds=st.sampled_from([0.25, 1.0, 3.0, 10.0, 130.0]))
    def advance(self, seconds):
        self.simulation.advance(seconds)

    def teardown(self):
        if hasattr(self, 'simulation'):
            self.simulation.end_faults()


# Hypothesis takes longer to shrink a failing example than the time limit of
# other tests.
TestFuzzRequests = pytest.mark.timeout(3600)(FuzzRequests.TestCase)
TestFuzzRequests.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)

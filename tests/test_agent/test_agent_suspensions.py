"""Tests of an agent whose machine is suspended with its worker."""

from __future__ import annotations

import pytest

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.model import leases
from damaskpin.model import work
from damaskpin.peer import orders

FENCE = 5
GRANT_S = 13.5
LEASE_S = 7.0
STOP_S = 0.9
NOW = 50.0
LIFETIME = work.Lifetime('w1', 1000)
RUN = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
RUNNING = (work.RunningRun(RUN, '', 5.0),)


class Machine:
    """A machine with an agent and its worker, which runs one work item.

    :ivar now: time in seconds, also while the machine is suspended.
    :ivar stopped: runs that the agent has told the worker to stop.
    """

    def __init__(self):
        self.now = NOW
        self.stopped = []
        self._clock = 1000
        self.agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
        capacity = work.Resources(1000, 1000, 8)
        profile = orders.WorkerProfile(
            LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
        )
        self.agent.handle_heartbeat(NOW, profile, self._clock)
        self.grant(1)
        self.poll()

    def grant(self, sequence):
        """Let the coordinator answer a report of this time."""
        message = orders.Orders(
            FENCE, sequence, 'c', LIFETIME, self.now, 0, (), (), ()
        )
        self.agent.handle_orders(self.now, message)

    def advance(self, seconds):
        """Let time pass in which the worker answers all polls."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self._clock += 100
            self._make_due_calls()
            self.poll()

    def suspend(self, seconds):
        """Let time pass that the worker's clock does not count."""
        self.now += seconds
        self._make_due_calls()

    def poll(self, is_answered=True):
        """Poll the worker and return the call."""
        call = self.agent.make_poll(self.now)
        result = calls.Unanswered('timeout')
        if is_answered:
            result = calls.Lists(self._clock, LIFETIME.born, RUNNING, ())
        self.agent.handle_poll_result(self.now, self.now, call, result)
        return call

    def _make_due_calls(self):
        for call in self.agent.collect_due_calls(self.now):
            if isinstance(call, calls.StopCall):
                self.stopped.append(call.run)


@pytest.mark.parametrize('seconds', [1.5, leases.MAX_SUSPENSION_S, 8.0])
def test_suspension_is_no_silence_of_the_worker(seconds):
    """Guards against a lease that is not renewed after a suspension.

    The poll under way ends without an answer, and the time since the last
    answer is that of the suspension, in which the worker could give none.
    """
    machine = Machine()
    machine.suspend(seconds)
    machine.poll(is_answered=False)
    assert not machine.agent.make_report(machine.now).silence
    machine.poll()
    assert machine.poll().until is not None, 'the lease is not renewed'


def test_runs_that_outlast_the_grant_are_stopped():
    """Guards against a run that executes twice.

    The coordinator allows for one suspension after the grant. A run that goes
    on then would outlast the time that it counts if there were a second one.
    """
    machine = Machine()
    machine.advance(GRANT_S - 5.0)
    machine.suspend(leases.MAX_SUSPENSION_S)
    machine.advance(1.5)
    assert RUN in machine.stopped


def test_runs_are_kept_if_the_grant_is_renewed_after_a_suspension():
    """Guards against work that is thrown away after a cut has ended."""
    machine = Machine()
    machine.advance(GRANT_S - 3.0)
    machine.suspend(leases.MAX_SUSPENSION_S)
    machine.advance(1.0)
    machine.grant(2)
    machine.advance(3.0)
    assert not machine.stopped


def test_runs_are_kept_until_the_grant_has_ended():
    """Guards against work that is thrown away in a cut."""
    machine = Machine()
    machine.advance(GRANT_S - 6.0)
    machine.suspend(leases.MAX_SUSPENSION_S)
    machine.advance(1.8)
    assert not machine.stopped

"""Property tests of the lease that an agent gives against the books."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.coordinator import ledger as ledgers
from damaskpin.model import leases
from damaskpin.model import work
from damaskpin.peer import orders

FENCE = 5
GRANT_S = 13.5
LEASE_S = 7.0
STOP_S = 0.9
START = 50.0
TICK_S = 0.05
# Timeout of a poll that waits at the worker, in seconds.
POLL_TIMEOUT_S = 1.0
# Tolerance for rounded times, in seconds.
TOLERANCE_S = 0.001
LIFETIME = work.Lifetime('w1', 1000)
ITEM = work.Item('0' * 16, 0, 0, 0)

SHORT_TIMES = strategies.floats(0.0, 1.2)
SUSPENSIONS = strategies.one_of(strategies.just(0.0), strategies.floats(0, 20))


class Machine:
    """A machine with an agent and its worker, and the coordinator's books.

    Each call that carries an expiry is checked when it is sent. A lease that
    the worker holds already outlasts a later suspension by its duration if the
    worker's clock stands still meanwhile; no call of the agent changes that.

    :param clock_rate: speed of the worker's clock as a factor.
    :param stands_still: whether the worker's clock stands still while the
        machine is suspended.
    """

    def __init__(self, clock_rate, stands_still):
        self._clock_rate = clock_rate
        self._stands_still = stands_still
        self._now = START
        self._clock = 1000.0
        self._sequence = 0
        self._ledger = ledgers.RunLedger(0.0, GRANT_S, STOP_S)
        self._latest_run_end = 0.0
        self._agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
        self._agent.handle_heartbeat(START, _make_profile(), 1000)

    def advance(self, seconds):
        """Let time pass; the agent makes the calls that are due."""
        for _ in range(int(seconds / TICK_S)):
            self._now += TICK_S
            self._clock += TICK_S * self._clock_rate * 1000
            self._make_due_calls()

    def suspend(self, seconds):
        """Suspend the machine."""
        self._now += seconds
        if not self._stands_still:
            self._clock += seconds * self._clock_rate * 1000

    def grant(self, age):
        """Answer a report of some seconds ago, and order a start."""
        self._sequence += 1
        echo = self._now - age
        # The coordinator received the report at its own time or later.
        latest_run_end = self._ledger.run_ends.get_granted_end(echo)
        # The time of a suspension is left for one that follows.
        latest_run_end -= leases.MAX_SUSPENSION_S
        self._latest_run_end = max(self._latest_run_end, latest_run_end)
        start = orders.StartOrder(work.Run(ITEM, self._sequence), 'spec', '')
        message = orders.Orders(
            FENCE, self._sequence, 'c', LIFETIME, echo, 0, (start,), (), ()
        )
        self._agent.handle_orders(self._now, message)
        self._make_due_calls()

    def poll(self, delay, suspension):
        """Poll the worker, which answers after a delay, if in time."""
        call = self._agent.make_poll(self._now)
        if call is None:
            return
        self._check(call)
        sent = self._now
        clock = int(self._clock)
        self.advance(delay)
        self.suspend(suspension)
        result = calls.Lists(clock, LIFETIME.born, (), ())
        if delay > POLL_TIMEOUT_S:
            result = calls.Unanswered('timeout')
        self._agent.handle_poll_result(self._now, sent, call, result)

    def _make_due_calls(self):
        for call in self._agent.collect_due_calls(self._now):
            if isinstance(call, calls.StopCall):
                continue
            self._check(call)
            assert call.until > self._clock, 'the worker refuses a late start'
            self._agent.handle_start_result(
                self._now, call, calls.Accepted(int(self._clock))
            )

    def _check(self, call):
        if call.until is None:
            return
        lease = (call.until - self._clock) / 1000 / self._clock_rate
        run_end = self._now + lease + leases.LEASE_EXPIRY_MARGIN_S + STOP_S
        late = run_end - self._latest_run_end
        assert late <= TOLERANCE_S, (
            f'the lease ends {late:.3f} s after the time that the coordinator'
            ' counts'
        )


def _make_profile():
    capacity = work.Resources(1000, 1000, 8)
    return orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, False, 0.0
    )


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('advance'), SHORT_TIMES),
        strategies.tuples(strategies.just('suspend'), SUSPENSIONS),
        strategies.tuples(strategies.just('grant'), strategies.floats(0, 12)),
        strategies.tuples(strategies.just('poll'), SHORT_TIMES, SUSPENSIONS),
    ),
    max_size=40,
)


# Guards against a run that executes twice: a lease that outlasts the
# coordinator's books keeps a run whose work item starts elsewhere.
@hypothesis.given(
    strategies.sampled_from([0.98, 1.0]), strategies.booleans(), STEPS
)
def test_no_renewal_outlasts_the_time_that_the_coordinator_counts(
    clock_rate, stands_still, steps
):
    machine = Machine(clock_rate, stands_still)
    machine.grant(0.0)
    for name, *arguments in steps:
        getattr(machine, name)(*arguments)


def test_poll_after_a_standstill_asks_for_an_answer_at_once():
    """Guards against runs that lapse after a standstill.

    The first renewal after it gives only what is certain. The next one waits
    for a new clock reading, which the worker must not delay.
    """
    agent = agents.Agent('agent-1', GRANT_S, LEASE_S, STOP_S)
    agent.handle_heartbeat(START, _make_profile(), 1000)
    message = orders.Orders(FENCE, 1, 'c', LIFETIME, START, 0, (), (), ())
    agent.handle_orders(START, message)
    call = agent.make_poll(START)
    lists = calls.Lists(1000, LIFETIME.born, (), ())
    agent.handle_poll_result(START, START, call, lists)
    assert agent.make_poll(START + 0.05).wait
    assert not agent.make_poll(START + 6.5).wait

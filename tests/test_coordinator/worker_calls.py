"""Simulated calls of the agents to their workers, each carried out at once."""

from __future__ import annotations

from damaskpin.agent import calls
from tests.test_coordinator import disturbances

# Longest delay of a call that its sender sees unanswered, in seconds.
MAX_CALL_DELAY_S = 12.0


class Connection:
    """A connection to an instance's worker, which ends with its process.

    :ivar worker: process that has accepted it; ``None`` before the first call.
    """

    def __init__(self, instance):
        self.instance = instance
        self.worker = None
        self._epoch = instance.connection_epoch

    def open(self, now):
        """Connect to the process that listens now, unless that is done.

        :returns: ``None``, or the result of a call that can't be sent.
        """
        if self.worker is None:
            if now < self.instance.down_until:
                return calls.Unanswered(
                    'connection refused', sent=False, refused=True
                )
            self.worker = self.instance.worker
            self._epoch = self.instance.connection_epoch
        if not self.worker.alive or self.is_reset():
            return calls.Unanswered('connection has ended', sent=False)
        return None

    def is_reset(self):
        """Return whether it has ended although its process may live."""
        return self._epoch != self.instance.connection_epoch

    def close(self):
        """Close the connection; calls that it has carried may be late."""


class WorkerCalls:
    """Carries calls that have an answer, or none, at the moment of sending.

    A call without an answer may be carried out later.

    :param simulation: simulation whose processes call each other; it holds
        the rates of the faults.
    :param send: function that sends a call and returns its result.
    """

    def __init__(self, simulation, send):
        self._simulation = simulation
        self._send = send
        self._delayed = []

    def step(self, instance):
        """Make the calls that are due at an agent."""
        agent = instance.agent
        now = self._simulation.now
        for call in agent.collect_due_calls(now):
            result = self._send(instance, call)
            match call:
                case calls.StartCall():
                    agent.handle_start_result(now, call, result)
                case calls.StopCall():
                    agent.handle_stop_result(now, call, result)
        poll = agent.make_poll(now)
        if poll is not None:
            result = self._send(instance, poll)
            agent.handle_poll_result(now, now, poll, result)

    def advance(self):
        """Carry out the delayed calls that are due."""
        now = self._simulation.now
        for item in list(self._delayed):
            due, instance, worker, call = item
            if due <= now and not instance.is_suspended(now):
                self._delayed.remove(item)
                if self._simulation.late_calls_outlive_processes:
                    worker = instance.worker
                if now >= instance.down_until:
                    apply_call(now, worker, call)

    def send(self, instance, call):
        """Carry out a call, after the first call of a new connection."""
        now = self._simulation.now
        exchange = instance.pool.begin(now, call)
        while exchange.result is None:
            connection = exchange.connection.client
            next_call = exchange.get_next_call()
            result = self._transmit(instance, connection, next_call)
            exchange.handle_result(now, now, result)
        return exchange.result

    def _transmit(self, instance, connection, call):
        """Apply a call now, later, or with a lost answer."""
        simulation = self._simulation
        now = simulation.now
        failure = connection.open(now)
        if failure is not None:
            return failure
        worker = connection.worker
        if instance.unresponsive:
            # Either the call or only its answer is lost.
            if simulation.random.random() < 0.5:
                apply_call(now, worker, call)
            return calls.Unanswered('cut off')
        if simulation.late_start_s and isinstance(call, calls.StartCall):
            due = now + simulation.late_start_s
            self._delayed.append((due, instance, worker, call))
            return calls.Unanswered('late')
        loss = simulation.disturbances.draw_loss(call)
        if loss is disturbances.Loss.REQUEST:
            return calls.Unanswered('call lost')
        if simulation.disturbances.is_late(call):
            due = now + simulation.random.uniform(0.5, MAX_CALL_DELAY_S)
            self._delayed.append((due, instance, worker, call))
            return calls.Unanswered('late')
        result = apply_call(now, worker, call)
        if simulation.is_lost() or loss is not None:
            return calls.Unanswered('answer lost')
        return result


def apply_call(now, worker, call):
    """Let a worker carry out a call and return its result."""
    match call:
        case calls.PollCall():
            return worker.poll(now, call)
        case calls.StartCall():
            return worker.start(now, call)
        case calls.StopCall():
            return worker.stop(now, call)

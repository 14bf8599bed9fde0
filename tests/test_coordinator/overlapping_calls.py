"""Simulated calls of agents to workers that take time and overlap."""

from __future__ import annotations

from damaskpin.agent import calls
from tests.test_coordinator import disturbances
from tests.test_coordinator import worker_calls

# Time in seconds after which a call without an answer is given up, beside the
# time for which it asks the worker to wait.
TIMEOUT_S = 0.5
# Usual and longest time in seconds of a call or an answer on its way.
USUAL_WAY_S = 0.02
LONGEST_WAY_S = 0.45
# Interval in seconds of an agent's periodic step.
TICK_S = 0.05
# Pauses after a poll in seconds, as those of the agent's runtime.
RENEWAL_PAUSE_S = 0.05
UNANSWERED_PAUSE_S = 0.25


class Exchange:
    """One call of an agent.

    :ivar agent: process of the agent that has sent the call.
    :ivar sent: time in seconds at which it was sent.
    :ivar steps: first call of a new connection, if it needs one, and the call.
    :ivar settled: whether the agent has an answer or has given up.
    """

    def __init__(self, instance, call, sent):
        self.instance = instance
        self.agent = instance.agent
        self.call = call
        self.sent = sent
        self.steps = instance.pool.begin(sent, call)
        self.settled = False


class Transmission:
    """One call of an exchange on its connection.

    :ivar worker: process that the connection leads to.
    :ivar loss: what of it is lost; ``None`` for nothing.
    :ivar is_answered: whether its result has arrived or it was given up.
    """

    def __init__(self, exchange, sent):
        self.exchange = exchange
        self.call = exchange.steps.get_next_call()
        self.connection = exchange.steps.connection.client
        self.worker = self.connection.worker
        self.sent = sent
        self.loss = None
        self.is_answered = False


class OverlappingCalls:
    """Carries calls of which several of one agent are under way at once.

    A call is carried out when it arrives, and its answer arrives later. Calls
    and answers on different connections overtake each other. Polls and other
    calls of an agent are made as by its runtime: one poll at a time, and
    starts and stops beside it.

    :param simulation: simulation whose processes call each other; it holds
        the rates of the faults.
    :ivar slow_rate: share of calls and of answers that are slow.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._polls = {}
        self._next_polls = {}
        self._waiting_polls = []
        self.slow_rate = 0.2

    def step(self, instance):
        """Make the calls that are due at an agent."""
        agent = instance.agent
        now = self._simulation.now
        for call in agent.collect_due_calls(now):
            self._send(instance, call)
        poll = self._polls.get(instance)
        if poll is not None and poll.agent is agent and not poll.settled:
            return
        if poll is not None and poll.agent is not agent:
            self._next_polls[instance] = now
        if now < self._next_polls.get(instance, 0.0):
            return
        call = agent.make_poll(now)
        if call is not None:
            self._polls[instance] = self._send(instance, call)

    def advance(self):
        """Answer the polls whose wait has ended."""
        now = self._simulation.now
        for item in list(self._waiting_polls):
            transmission, until = item
            worker = transmission.worker
            if not worker.alive:
                self._waiting_polls.remove(item)
                continue
            if now < worker.resumes_at:
                continue
            worker.advance(now)
            if worker.ended or now >= until:
                self._waiting_polls.remove(item)
                self._answer(transmission, worker.list_runs(now))

    def _send(self, instance, call):
        exchange = Exchange(instance, call, self._simulation.now)
        self._continue(exchange)
        return exchange

    def _continue(self, exchange):
        """Make the next call of an exchange, or end it."""
        if exchange.steps.result is not None:
            self._settle(exchange)
            return
        simulation = self._simulation
        connection = exchange.steps.connection.client
        failure = connection.open(simulation.now)
        transmission = Transmission(exchange, simulation.now)
        if failure is not None:
            simulation.schedule(
                0.001, lambda: self._receive(transmission, failure)
            )
            return
        self._transmit(transmission)

    def _transmit(self, transmission):
        """Send a call; its answer or its timeout follow."""
        simulation = self._simulation
        instance = transmission.exchange.instance
        call = transmission.call
        timeout = TIMEOUT_S
        if isinstance(call, calls.PollCall):
            timeout += call.wait
        result = calls.Unanswered('timeout')
        simulation.schedule(
            timeout, lambda: self._receive(transmission, result)
        )
        if instance.unresponsive and simulation.random.random() < 0.5:
            return
        transmission.loss = simulation.disturbances.draw_loss(call)
        if transmission.loss is disturbances.Loss.REQUEST:
            return
        delay = self._draw_way()
        if simulation.late_start_s and isinstance(call, calls.StartCall):
            delay = simulation.late_start_s
            simulation.late_starts.append(
                (instance, call, simulation.now + delay)
            )
        elif simulation.disturbances.is_late(call):
            delay = simulation.random.uniform(
                TIMEOUT_S, worker_calls.MAX_CALL_DELAY_S
            )
        simulation.schedule(delay, lambda: self._arrive(transmission))

    def _arrive(self, transmission):
        """Let the worker carry out a call."""
        now = self._simulation.now
        instance = transmission.exchange.instance
        if instance.is_suspended(now):
            self._simulation.schedule(
                instance.suspended_until - now,
                lambda: self._arrive(transmission),
            )
            return
        worker = transmission.worker
        if self._simulation.late_calls_outlive_processes:
            worker = instance.worker
            if now < instance.down_until:
                return
        if not worker.alive:
            return
        call = transmission.call
        result = worker_calls.apply_call(now, worker, call)
        if worker is not transmission.worker:
            return
        match result:
            case calls.Lists(ended=()) if call.wait:
                self._waiting_polls.append((transmission, now + call.wait))
            case _:
                self._answer(transmission, result)

    def _answer(self, transmission, result):
        instance = transmission.exchange.instance
        if instance.unresponsive or self._simulation.is_lost():
            return
        if transmission.loss is not None or transmission.connection.is_reset():
            return
        self._simulation.schedule(
            self._draw_way(), lambda: self._receive(transmission, result)
        )

    def _receive(self, transmission, result):
        """Pass an answer to the agent, or that there was none in time."""
        exchange = transmission.exchange
        if exchange.agent is not exchange.instance.agent:
            return
        self._simulation.pass_to_agent(
            exchange.instance, lambda: self._handle(transmission, result)
        )

    def _handle(self, transmission, result):
        exchange = transmission.exchange
        if transmission.is_answered:
            return
        if exchange.agent is not exchange.instance.agent:
            return
        transmission.is_answered = True
        exchange.steps.handle_result(
            self._simulation.now, transmission.sent, result
        )
        self._continue(exchange)

    def _settle(self, exchange):
        """Pass the result of a call to the agent."""
        exchange.settled = True
        instance = exchange.instance
        agent = exchange.agent
        now = self._simulation.now
        call = exchange.call
        result = exchange.steps.result
        match call:
            case calls.StartCall():
                agent.handle_start_result(now, call, result)
            case calls.StopCall():
                agent.handle_stop_result(now, call, result)
            case calls.PollCall():
                agent.handle_poll_result(now, exchange.sent, call, result)
                self._next_polls[instance] = now + get_pause(call, result)

    def _draw_way(self):
        """Return the time that a call or an answer is on its way."""
        rng = self._simulation.random
        if rng.random() < self.slow_rate:
            return rng.uniform(USUAL_WAY_S, LONGEST_WAY_S)
        return rng.uniform(0.001, USUAL_WAY_S)


def get_pause(call, result):
    """Return the pause in seconds after a poll, as the runtime makes it."""
    match result:
        case calls.Unanswered():
            return UNANSWERED_PAUSE_S
        case calls.Lists() if call.wait:
            return 0.0
    return RENEWAL_PAUSE_S

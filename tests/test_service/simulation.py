"""Simulation of entries, agents, targets, store and network.

The simulation checks the invariants of service requests after every step.
"""

import collections
import dataclasses
import heapq
import random

from damaskpin import effects
from damaskpin import verdict
from damaskpin.peer import messages
from damaskpin.service import claims
from damaskpin.service import dispatch
from damaskpin.service import limits
from damaskpin.service import requests
from damaskpin.service import routing
from damaskpin.service import slots

SERVICE = 'shortlist'
STEP_S = 0.25
MAX_VERDICT_DELAY_S = 1.0 + 2 * STEP_S
MAX_LEAVING_DELAY_S = 3.0
# The rates of two simulated clocks differ by up to 200 ppm.
CLOCK_TOLERANCE_S = 0.002
MAX_IDEMPOTENT_EXECUTIONS = 4


class Process:
    """Simulated process with its own clock, which can freeze and restart.

    :ivar incarnation_number: number of times that the process was started.
    :ivar frozen_until: simulated time at which a frozen process resumes.
    :ivar resume_time: simulated time at which the latest freeze ended or ends.
    :ivar deferred_calls: calls that are made when a frozen process resumes.
    """

    def __init__(self, simulation, name, clock_offset, clock_rate):
        self.simulation = simulation
        self.name = name
        self.clock_offset = clock_offset
        self.clock_rate = clock_rate
        self.incarnation_number = 0
        self.frozen_until = 0.0
        self.resume_time = 0.0
        self.deferred_calls = []

    def now(self):
        return self.clock_offset + self.simulation.time * self.clock_rate

    def is_frozen(self):
        return self.simulation.time < self.frozen_until

    def freeze(self, seconds):
        self.frozen_until = max(
            self.frozen_until, self.simulation.time + seconds
        )
        self.resume_time = self.frozen_until

    def resume(self):
        self.frozen_until = min(self.frozen_until, self.simulation.time)
        self.resume_time = min(self.resume_time, self.simulation.time)

    def call(self, method, *arguments):
        """Call the state machine now, or when a frozen process resumes."""
        if self.is_frozen():
            self.deferred_calls.append((method, arguments))
            return
        self.run_deferred_calls()
        self.apply_effects(method(self.now(), *arguments))

    def run_deferred_calls(self):
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        # A process that resumes after a freeze may read its sockets in any
        # order.
        self.simulation.rng.shuffle(deferred_calls)
        for method, arguments in deferred_calls:
            self.apply_effects(method(self.now(), *arguments))

    def step(self):
        if not self.is_frozen():
            self.run_deferred_calls()
            self.apply_effects(self.machine.tick(self.now()))

    def apply_effects(self, produced):
        for effect in produced:
            match effect:
                case effects.Send(to, message):
                    self.simulation.send(self.name, to, message)
                case effects.Record():
                    pass
                case _:
                    self.apply_effect(effect)

    def receive(self, now, sender, message):
        # The state machine is looked up at this point, so that a deferred
        # message reaches the state machine of the restarted process.
        return self.machine.receive(now, sender, message)


class Agent(Process):
    """Simulated agent with one target."""

    def __init__(self, simulation, name, clock_offset, clock_rate):
        super().__init__(simulation, name, clock_offset, clock_rate)
        self.leaving_since = None
        self.slots = 2
        self.last_announcement = -1.0
        self.restart()

    def restart(self):
        self.incarnation_number += 1
        self.incarnation = f'{self.name}i{self.incarnation_number}'
        self.started = self.now()
        self.machine = slots.SlotManager(
            self.name, self.incarnation, self.started
        )
        self.deferred_calls = []
        self.resume()
        self.running = set()
        self.draining = False

    def announce(self, leaving=False):
        if self.simulation.rng.random() < self.simulation.loss_rate:
            return
        self.call(
            lambda now: self.machine.announce(
                now, SERVICE, self.slots, 3.0, leaving
            )
        )

    def make_state(self):
        return messages.AgentState(
            peer=messages.Peer(
                self.name, self.incarnation, 'agent', '', 'r', 'd'
            ),
            rack='k',
            worker=self.name,
            accelerators=8,
            uptime=self.now() - self.started,
            sequence=int((self.now() - self.started) * 1000),
            revision=1,
            targets=self.machine.list_target_states(),
            draining=self.draining,
        )

    def apply_effect(self, effect):
        assert isinstance(effect, effects.CallTarget)
        simulation = self.simulation
        simulation.check_target_call(self, effect)
        simulation.executions[effect.body].append(effect.attempt)
        self.running.add(effect.attempt)
        duration = simulation.rng.choice((0.0, 0.1, 1.0, 4.0))
        if simulation.rng.random() < simulation.failure_rate:
            reached = simulation.rng.random() < 0.7
            if not reached:
                simulation.executions[effect.body].pop()
            simulation.schedule(
                duration, self.fail, effect, reached, self.incarnation_number
            )
            return
        if duration > effect.timeout:
            simulation.schedule(
                effect.timeout,
                self.fail,
                effect,
                True,
                self.incarnation_number,
            )
            return
        simulation.schedule(
            duration, self.answer, effect, self.incarnation_number
        )

    def answer(self, effect, incarnation_number):
        if incarnation_number != self.incarnation_number:
            return
        self.running.discard(effect.attempt)
        self.call(
            lambda now: self.machine.record_target_answer(
                now, effect.attempt, verdict.Answer(200, effect.body)
            )
        )

    def fail(self, effect, reached, incarnation_number):
        if incarnation_number != self.incarnation_number:
            return
        self.running.discard(effect.attempt)
        self.call(
            lambda now: self.machine.record_target_failure(
                now, effect.attempt, 'broken', reached
            )
        )


class Entry(Process):
    """Simulated entry with its router and limits."""

    def __init__(self, simulation, name, clock_offset, clock_rate):
        super().__init__(simulation, name, clock_offset, clock_rate)
        self.restart()

    def restart(self):
        self.incarnation_number += 1
        for submission in self.simulation.submissions.values():
            if submission.entry == self.name and submission.verdict is None:
                submission.crashed = True
        seed = self.simulation.rng.random()
        self.router = routing.Router('d', 'r', random.Random(seed))
        self.limits = limits.Limits(max_queued=6)
        self.machine = dispatch.Dispatcher(
            self.name,
            f'{self.name}i{self.incarnation_number}',
            self.router,
            self.limits,
            random.Random(seed),
            b'secret',
        )
        self.deferred_calls = []
        self.resume()

    def apply_effect(self, effect):
        if isinstance(effect, effects.DeliverVerdict):
            self.simulation.record_verdict(effect.work, effect.verdict)
            return
        self.simulation.call_store(self, effect)

    def receive_report(self, state):
        def update(now):
            self.router.set_agent(now, state)
            return []

        self.call(update)

    def report_loss(self, name, incarnation):
        def update(now):
            state = self.router.get_agent(name)
            if state is not None and state.peer.incarnation == incarnation:
                self.router.remove_agent(now, name)
            return self.machine.handle_agent_loss(now, name, incarnation)

        self.call(update)

    def receive_store_result(self, request, step, result, incarnation_number):
        if incarnation_number != self.incarnation_number:
            return
        self.call(
            lambda now: self.machine.receive_store_result(
                now, request, step, result
            )
        )


@dataclasses.dataclass
class Submission:
    """A submitted request and its verdict.

    :ivar deadline: simulated time at which the verdict is due.
    :ivar crashed: whether the entry was restarted before the verdict.
    """

    request: requests.Request
    entry: str
    deadline: float
    verdict: object = None
    crashed: bool = False


class Simulation:
    """Simulation of all processes, advanced in steps of ``STEP_S``."""

    def __init__(self, seed, agents=3, entries=2):
        self.rng = random.Random(seed)
        self.time = 0.0
        self.loss_rate = self.duplicate_rate = self.failure_rate = 0.0
        self.delay = 0.0
        self.store_mode = 'up'
        self.store = {}
        self.events = []
        self.event_count = 0
        self.submissions = {}
        self.executions = collections.defaultdict(list)
        self.agents = {}
        self.entries = {}
        for index in range(entries):
            self.entries[f'e{index}'] = Entry(
                self, f'e{index}', *self.draw_clock()
            )
        for index in range(agents):
            self.agents[f'a{index}'] = Agent(
                self, f'a{index}', *self.draw_clock()
            )
        self.processes = {**self.entries, **self.agents}
        self.advance(2.0)

    def draw_clock(self):
        return self.rng.uniform(0, 1e5), self.rng.uniform(0.9999, 1.0001)

    def schedule(self, delay, function, *arguments):
        self.event_count += 1
        heapq.heappush(
            self.events,
            (self.time + delay, self.event_count, function, arguments),
        )

    def send(self, sender, to, message):
        copies = 1 + (self.rng.random() < self.duplicate_rate)
        for _ in range(copies):
            if self.rng.random() < self.loss_rate or to not in self.processes:
                continue
            self.schedule(
                self.rng.uniform(0, self.delay),
                self.deliver,
                sender,
                to,
                message,
            )

    def deliver(self, sender, to, message):
        process = self.processes[to]
        process.call(process.receive, sender, message)

    def call_store(self, entry, call):
        """Execute a store call under the current store fault."""
        mode, incarnation_number = self.store_mode, entry.incarnation_number
        if mode == 'down':
            self.schedule(
                0.0,
                entry.receive_store_result,
                call.request,
                call.step,
                claims.StoreUnreachable(),
                incarnation_number,
            )
            return
        if mode == 'up':
            self.schedule(
                0.0, self.apply_store, entry, call, incarnation_number, False
            )
            return
        answer_lost = mode == 'lossy'
        delay = self.rng.uniform(0, 4.0) if mode == 'slow' else 0.0
        if answer_lost and self.rng.random() < 0.5:
            self.schedule(
                delay,
                entry.receive_store_result,
                call.request,
                call.step,
                claims.StoreResultUnknown(),
                incarnation_number,
            )
            return
        self.schedule(
            delay,
            self.apply_store,
            entry,
            call,
            incarnation_number,
            answer_lost,
        )

    def apply_store(self, entry, call, incarnation_number, answer_lost):
        key = (call.account, call.key)
        match call:
            case claims.CreateClaim():
                self.store.setdefault(key, call.claim)
            case claims.ReplaceClaim() if self.store.get(key) == call.before:
                self.store[key] = call.after
        result = claims.StoreAnswered(self.store.get(key))
        if answer_lost:
            result = claims.StoreResultUnknown()
        entry.receive_store_result(
            call.request, call.step, result, incarnation_number
        )

    def submit(self, entry, **fields):
        name = f'q{len(self.submissions)}'
        fields = {
            'id': name,
            'account': 'naamkunde',
            'service': SERVICE,
            'body': name.encode(),
            'deadline_seconds': 10.0,
        } | fields
        request = requests.Request(**fields)
        # The deadline is counted from the time at which the entry accepts the
        # connection.
        submission = Submission(request, entry, float('inf'))
        self.submissions[name] = submission
        process = self.entries[entry]

        def accept(now):
            submission.deadline = self.time + request.deadline_seconds
            return process.machine.submit(now, request)

        process.call(accept)
        return name

    def record_verdict(self, name, result):
        submission = self.submissions[name]
        assert submission.verdict is None, f'{name} was concluded twice'
        submission.verdict = result
        if isinstance(result, verdict.Ran):
            body = submission.request.body
            assert result.answer.body == body, (
                'answer belongs to another request'
            )
            assert self.executions[body], 'answer without an execution'

    def advance(self, seconds):
        end = self.time + seconds
        while self.time < end:
            target = min(end, self.time + STEP_S)
            while self.events and self.events[0][0] <= target:
                when, _, function, arguments = heapq.heappop(self.events)
                self.time = max(self.time, when)
                function(*arguments)
            self.time = target
            for agent in self.agents.values():
                self.step_agent(agent)
            for process in self.processes.values():
                process.step()
            self.check_invariants()

    def step_agent(self, agent):
        if self.time - agent.last_announcement < 1.0:
            return
        agent.last_announcement = self.time
        if agent.leaving_since is None:
            agent.announce()
        if agent.is_frozen():
            return
        state = agent.make_state()
        for entry in self.entries.values():
            if self.rng.random() >= self.loss_rate:
                self.schedule(
                    self.rng.uniform(0, self.delay),
                    entry.receive_report,
                    state,
                )

    def check_target_call(self, agent, effect):
        assert len(agent.running) < agent.slots, 'more target calls than slots'
        assert effect.attempt.startswith(agent.incarnation + '.')
        if agent.leaving_since is not None:
            late = self.time - agent.leaving_since
            assert late <= MAX_LEAVING_DELAY_S + CLOCK_TOLERANCE_S, (
                f'request reached {agent.name} {late:.3f} s after it began '
                'to leave'
            )

    def check_invariants(self):
        """Check the invariants that hold at any time."""
        by_body = collections.defaultdict(list)
        for submission in self.submissions.values():
            by_body[submission.request.body].append(submission)
        for body, submissions_of_body in by_body.items():
            runs = len(self.executions[body])
            limit = 1
            if submissions_of_body[0].request.idempotent:
                limit = MAX_IDEMPOTENT_EXECUTIONS * len(submissions_of_body)
            assert runs <= limit, f'{body} ran {runs} times'
            if runs and all(
                isinstance(submission.verdict, verdict.NotRun)
                for submission in submissions_of_body
            ):
                raise AssertionError(f'{body} ran and was reported as not run')
        for name, submission in self.submissions.items():
            entry = self.entries[submission.entry]
            if submission.verdict is not None or submission.crashed:
                continue
            due = max(submission.deadline, entry.resume_time)
            assert self.time <= due + MAX_VERDICT_DELAY_S, (
                f'{name} has no verdict {self.time - due:.2f} s after its '
                'deadline'
            )

    def end_faults(self):
        """End all faults, and check that all requests conclude."""
        self.loss_rate = self.duplicate_rate = self.failure_rate = (
            self.delay
        ) = 0.0
        self.store_mode = 'up'
        for agent in self.agents.values():
            if agent.draining:
                agent.restart()
            agent.leaving_since = None
        for process in self.processes.values():
            process.resume()
        self.advance(60.0)
        for entry in self.entries.values():
            assert len(entry.machine) == 0
            assert entry.machine.waiting == 0
            assert entry.limits.queued == 0

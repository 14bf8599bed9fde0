"""Simulated entries, agents, targets, store and network, with an oracle."""

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
CONCLUDE_BOUND_S = 1.0 + 2 * STEP_S
LEAVE_BOUND_S = 3.0
# Clocks run up to 200 ppm apart.
CLOCK_TOLERANCE_S = 0.002
MAX_IDEMPOTENT_RUNS = 4


class Process:
    """A process with its own clock, that can be frozen and restarted."""

    def __init__(self, world, name, offset, rate):
        self.world = world
        self.name = name
        self.offset = offset
        self.rate = rate
        self.runs = 0
        self.frozen_until = 0.0
        self.thawed = 0.0
        self.held = []

    def now(self):
        return self.offset + self.world.time * self.rate

    def is_frozen(self):
        return self.world.time < self.frozen_until

    def freeze(self, seconds):
        self.frozen_until = max(self.frozen_until, self.world.time + seconds)
        self.thawed = self.frozen_until

    def thaw(self):
        self.frozen_until = min(self.frozen_until, self.world.time)
        self.thawed = min(self.thawed, self.world.time)

    def call(self, method, *arguments):
        """Call the machine now, or when the process runs again."""
        if self.is_frozen():
            self.held.append((method, arguments))
            return
        self.run_held()
        self.handle(method(self.now(), *arguments))

    def run_held(self):
        held, self.held = self.held, []
        # Sockets are read in any order after a pause.
        self.world.rng.shuffle(held)
        for method, arguments in held:
            self.handle(method(self.now(), *arguments))

    def step(self):
        if not self.is_frozen():
            self.run_held()
            self.handle(self.machine.tick(self.now()))

    def handle(self, produced):
        for effect in produced:
            match effect:
                case effects.Send(to, message):
                    self.world.send(self.name, to, message)
                case effects.Record():
                    pass
                case _:
                    self.carry_out(effect)

    def receive(self, now, sender, message):
        # Looked up late: a held message reaches the restarted machine.
        return self.machine.receive(now, sender, message)


class Agent(Process):
    """An agent with its target."""

    def __init__(self, world, name, offset, rate):
        super().__init__(world, name, offset, rate)
        self.leaving_since = None
        self.slots = 2
        self.announced = -1.0
        self.restart()

    def restart(self):
        self.runs += 1
        self.incarnation = f'{self.name}i{self.runs}'
        self.started = self.now()
        self.machine = slots.Slots(self.name, self.incarnation, self.started)
        self.held = []
        self.thaw()
        self.running = set()
        self.draining = False

    def announce(self, leaving=False):
        if self.world.rng.random() < self.world.loss:
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
            targets=self.machine.list_targets(),
            draining=self.draining,
        )

    def carry_out(self, effect):
        assert isinstance(effect, effects.CallTarget)
        world = self.world
        world.check_start(self, effect)
        world.executions[effect.body].append(effect.attempt)
        self.running.add(effect.attempt)
        duration = world.rng.choice((0.0, 0.1, 1.0, 4.0))
        if world.rng.random() < world.failing:
            reached = world.rng.random() < 0.7
            if not reached:
                world.executions[effect.body].pop()
            world.later(duration, self.fail, effect, reached, self.runs)
            return
        if duration > effect.timeout:
            world.later(effect.timeout, self.fail, effect, True, self.runs)
            return
        world.later(duration, self.answer, effect, self.runs)

    def answer(self, effect, run):
        if run != self.runs:
            return
        self.running.discard(effect.attempt)
        self.call(
            lambda now: self.machine.target_answered(
                now, effect.attempt, verdict.Answer(200, effect.body)
            )
        )

    def fail(self, effect, reached, run):
        if run != self.runs:
            return
        self.running.discard(effect.attempt)
        self.call(
            lambda now: self.machine.target_failed(
                now, effect.attempt, 'broken', reached
            )
        )


class Entry(Process):
    """An entry with its router and limits."""

    def __init__(self, world, name, offset, rate):
        super().__init__(world, name, offset, rate)
        self.restart()

    def restart(self):
        self.runs += 1
        for submission in self.world.submissions.values():
            if submission.entry == self.name and submission.verdict is None:
                submission.crashed = True
        seed = self.world.rng.random()
        self.router = routing.Router('d', 'r', random.Random(seed))
        self.limits = limits.Limits(max_queued=6)
        self.machine = dispatch.Dispatcher(
            self.name,
            f'{self.name}i{self.runs}',
            self.router,
            self.limits,
            random.Random(seed),
            b'secret',
        )
        self.held = []
        self.thaw()

    def carry_out(self, effect):
        if isinstance(effect, effects.DeliverVerdict):
            self.world.conclude(effect.work, effect.verdict)
            return
        self.world.call_store(self, effect)

    def report(self, state):
        def update(now):
            self.router.set_agent(now, state)
            return []

        self.call(update)

    def lose(self, name, incarnation):
        def update(now):
            state = self.router.get_agent(name)
            if state is not None and state.peer.incarnation == incarnation:
                self.router.remove_agent(now, name)
            return self.machine.agent_lost(now, name, incarnation)

        self.call(update)

    def store_result(self, request, step, result, run):
        if run != self.runs:
            return
        self.call(
            lambda now: self.machine.store_result(now, request, step, result)
        )


@dataclasses.dataclass
class Submission:
    """What a caller knows about one of its requests."""

    request: requests.Request
    entry: str
    deadline: float
    verdict: object = None
    crashed: bool = False


class World:
    """Everything, driven in steps of ``STEP_S``."""

    def __init__(self, seed, agents=3, entries=2):
        self.rng = random.Random(seed)
        self.time = 0.0
        self.loss = self.duplicates = self.failing = 0.0
        self.delay = 0.0
        self.store_mode = 'up'
        self.store = {}
        self.events = []
        self.counter = 0
        self.submissions = {}
        self.executions = collections.defaultdict(list)
        self.agents = {}
        self.entries = {}
        for index in range(entries):
            self.entries[f'e{index}'] = Entry(self, f'e{index}', *self.clock())
        for index in range(agents):
            self.agents[f'a{index}'] = Agent(self, f'a{index}', *self.clock())
        self.processes = {**self.entries, **self.agents}
        self.advance(2.0)

    def clock(self):
        return self.rng.uniform(0, 1e5), self.rng.uniform(0.9999, 1.0001)

    def later(self, delay, function, *arguments):
        self.counter += 1
        heapq.heappush(
            self.events,
            (self.time + delay, self.counter, function, arguments),
        )

    def send(self, sender, to, message):
        copies = 1 + (self.rng.random() < self.duplicates)
        for _ in range(copies):
            if self.rng.random() < self.loss or to not in self.processes:
                continue
            self.later(
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
        """Carry out a store call under the fault in force."""
        mode, run = self.store_mode, entry.runs
        if mode == 'down':
            self.later(
                0.0,
                entry.store_result,
                call.request,
                call.step,
                claims.Refused(),
                run,
            )
            return
        if mode == 'up':
            self.later(0.0, self.apply_store, entry, call, run, False)
            return
        lost = mode == 'lossy'
        delay = self.rng.uniform(0, 4.0) if mode == 'slow' else 0.0
        if lost and self.rng.random() < 0.5:
            self.later(
                delay,
                entry.store_result,
                call.request,
                call.step,
                claims.Unknown(),
                run,
            )
            return
        self.later(delay, self.apply_store, entry, call, run, lost)

    def apply_store(self, entry, call, run, lost):
        key = (call.account, call.key)
        match call:
            case claims.WriteClaim():
                self.store.setdefault(key, call.claim)
            case claims.MoveClaim() if self.store.get(key) == call.before:
                self.store[key] = call.after
        result = claims.Holds(self.store.get(key))
        if lost:
            result = claims.Unknown()
        entry.store_result(call.request, call.step, result, run)

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
        # The deadline counts from when the entry accepts the connection.
        submission = Submission(request, entry, float('inf'))
        self.submissions[name] = submission
        process = self.entries[entry]

        def accept(now):
            submission.deadline = self.time + request.deadline_seconds
            return process.machine.submit(now, request)

        process.call(accept)
        return name

    def conclude(self, name, result):
        submission = self.submissions[name]
        assert submission.verdict is None, f'{name} was concluded twice'
        submission.verdict = result
        if isinstance(result, verdict.Ran):
            body = submission.request.body
            assert result.answer.body == body, 'answer of another request'
            assert self.executions[body], 'an answer without an execution'

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
            self.check()

    def step_agent(self, agent):
        if self.time - agent.announced < 1.0:
            return
        agent.announced = self.time
        if agent.leaving_since is None:
            agent.announce()
        if agent.is_frozen():
            return
        state = agent.make_state()
        for entry in self.entries.values():
            if self.rng.random() >= self.loss:
                self.later(
                    self.rng.uniform(0, self.delay), entry.report, state
                )

    def check_start(self, agent, effect):
        assert len(agent.running) < agent.slots, 'more calls than slots'
        assert effect.attempt.startswith(agent.incarnation + '.')
        if agent.leaving_since is not None:
            late = self.time - agent.leaving_since
            assert late <= LEAVE_BOUND_S + CLOCK_TOLERANCE_S, (
                f'work reached {agent.name} {late:.3f} s after it began to '
                'leave'
            )

    def check(self):
        """Check all invariants that hold at any time."""
        by_body = collections.defaultdict(list)
        for submission in self.submissions.values():
            by_body[submission.request.body].append(submission)
        for body, group in by_body.items():
            runs = len(self.executions[body])
            limit = 1
            if group[0].request.idempotent:
                limit = MAX_IDEMPOTENT_RUNS * len(group)
            assert runs <= limit, f'{body} ran {runs} times'
            if runs and all(
                isinstance(submission.verdict, verdict.NotRun)
                for submission in group
            ):
                raise AssertionError(f'{body} ran and was reported as not run')
        for name, submission in self.submissions.items():
            entry = self.entries[submission.entry]
            if submission.verdict is not None or submission.crashed:
                continue
            due = max(submission.deadline, entry.thawed)
            assert self.time <= due + CONCLUDE_BOUND_S, (
                f'{name} has no verdict {self.time - due:.2f} s after its '
                'deadline'
            )

    def heal(self):
        """End all faults and let everything finish."""
        self.loss = self.duplicates = self.failing = self.delay = 0.0
        self.store_mode = 'up'
        for agent in self.agents.values():
            if agent.draining:
                agent.restart()
            agent.leaving_since = None
        for process in self.processes.values():
            process.thaw()
        self.advance(60.0)
        for entry in self.entries.values():
            assert len(entry.machine) == 0
            assert entry.machine.waiting == 0
            assert entry.limits.queued == 0

"""Measures the choice of agents against random and least-loaded choice.

Two entries send requests to targets of which some are slow, silent or failing
and some return after an absence. Time is simulated and every run is seeded;
only the cost of one choice is measured in real time.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import json
import random
import statistics
import time
from typing import Any
from typing import TYPE_CHECKING

import fire

from damaskpin.peer import messages
from damaskpin.service import breaker
from damaskpin.service import routing

if TYPE_CHECKING:
    from collections.abc import Collection

SERVICE = 'shortlist'
SLOTS = 8
ENTRIES = 2
REPORT_S = 1.0
MEAN_TIME_S = 0.2
SLOW_FACTOR = 10.0
FAIL_TIME_S = 0.01
SILENT_TIMEOUT_S = 3.0
REPORTED_LOST_S = 9.0
# A returning target is cold for this long and serves this many requests at
# once without becoming slow.
COLD_S = 5.0
COLD_SLOTS = 2
FAULTS = ('slow', 'silent', 'failing', 'returning')
CHOICE_ROUNDS = 5000


class RandomChoice:
    """Baseline: any target with a free slot, as far as the entry knows."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[str, messages.AgentState] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()

    def set_agent(self, now: float, state: messages.AgentState) -> None:
        self._states[state.peer.instance] = state

    def remove_agent(self, now: float, instance: str) -> None:
        self._states.pop(instance, None)
        del self._outstanding[instance]

    def choose_agent(
        self, now: float, service: str, exclude: Collection[str] = ()
    ) -> messages.AgentState | None:
        free = [
            state
            for instance, state in self._states.items()
            if self._outstanding[instance] < SLOTS and instance not in exclude
        ]
        return self._pick(free) if free else None

    def record_attempt_start(self, now: float, instance: str) -> None:
        self._outstanding[instance] += 1

    def record_attempt_end(
        self,
        now: float,
        instance: str,
        outcome: breaker.Outcome,
        seconds: float | None = None,
    ) -> None:
        self._outstanding[instance] -= 1

    def _pick(self, free: list[messages.AgentState]) -> messages.AgentState:
        return self._rng.choice(free)


class LeastLoadedChoice(RandomChoice):
    """Baseline: the target with the fewest requests of this entry."""

    def _pick(self, free: list[messages.AgentState]) -> messages.AgentState:
        return min(
            free,
            key=lambda state: (
                self._outstanding[state.peer.instance],
                self._rng.random(),
            ),
        )


def make_chooser(name: str, rng: random.Random) -> Any:
    """Return a router or a baseline."""
    match name:
        case 'router':
            return routing.Router('d', 'r', rng)
        case 'random':
            return RandomChoice(rng)
    return LeastLoadedChoice(rng)


@dataclasses.dataclass(slots=True)
class Target:
    """A simulated target.

    :ivar fault: kind of its fault; empty for a healthy one.
    :ivar absent: interval of time in which a returning target is away.
    """

    name: str
    fault: str
    absent: tuple[float, float] = (float('inf'), float('inf'))
    running: int = 0
    busy_seconds: float = 0.0

    def is_away(self, now: float) -> bool:
        return self.absent[0] <= now < self.absent[1]

    def is_cold(self, now: float) -> bool:
        return self.absent[1] <= now < self.absent[1] + COLD_S


class Run:
    """One simulated run."""

    def __init__(
        self, chooser: str, seed: int, targets: int, load: float, seconds: int
    ) -> None:
        self.rng = random.Random(seed)
        self.choosers = [
            make_chooser(chooser, random.Random(seed * 10 + index))
            for index in range(ENTRIES)
        ]
        self.seconds = seconds
        self.rate = load * targets * SLOTS / MEAN_TIME_S
        self.targets = make_targets(self.rng, targets, seconds)
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.counter = 0
        self.met: collections.Counter[str] = collections.Counter()
        self.times: list[float] = []
        self.requests = self.waited = self.refused = 0
        self.waiting: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]

    def run(self) -> dict[str, float]:
        """Simulate and return the figures."""
        for index in range(ENTRIES):
            self.later(0.0, self.report, index)
            self.later(0.001, self.arrive, index)
        now = 0.0
        while self.events and now < self.seconds:
            now, _, function, arguments = heapq.heappop(self.events)
            function(now, *arguments)
        result = {
            f'share_{fault}': self.met[fault] / self.requests
            for fault in FAULTS
        }
        busy = [
            target.busy_seconds
            for target in self.targets.values()
            if not target.fault
        ]
        self.times.sort()
        return result | {
            'share_refused': self.refused / self.requests,
            'share_waited': self.waited / self.requests,
            'load_spread': statistics.pstdev(busy) / statistics.mean(busy),
            'mean_seconds': statistics.mean(self.times),
            'p95_seconds': self.times[int(len(self.times) * 0.95)],
        }

    def later(self, when: float, function: Any, *arguments: Any) -> None:
        self.counter += 1
        heapq.heappush(self.events, (when, self.counter, function, arguments))

    def report(self, now: float, index: int) -> None:
        for target in self.targets.values():
            if target.is_away(now):
                if now - target.absent[0] > REPORTED_LOST_S:
                    self.choosers[index].remove_agent(now, target.name)
                continue
            self.choosers[index].set_agent(
                now, make_state(target.name, now, target.running)
            )
        self.later(now + REPORT_S, self.report, index)

    def arrive(self, now: float, index: int) -> None:
        delay = self.rng.expovariate(self.rate / ENTRIES)
        self.later(now + delay, self.arrive, index)
        self.requests += 1
        self.waiting[index].append(now)
        self.pump(now, index)
        if self.waiting[index]:
            self.waited += 1

    def pump(self, now: float, index: int) -> None:
        chooser = self.choosers[index]
        while self.waiting[index]:
            state = chooser.choose_agent(now, SERVICE)
            if state is None:
                return
            arrived = self.waiting[index].popleft()
            name = state.peer.instance
            chooser.record_attempt_start(now, name)
            self.serve(now, index, self.targets[name], arrived)

    def serve(
        self, now: float, index: int, target: Target, arrived: float
    ) -> None:
        outcome = breaker.Outcome.ANSWERED
        seconds = self.rng.expovariate(1 / MEAN_TIME_S)
        if target.fault == 'silent' or target.is_away(now):
            self.met['silent'] += 1
            self.later(
                now + SILENT_TIMEOUT_S,
                self.finish,
                index,
                target,
                arrived,
                now,
                breaker.Outcome.SILENT,
                False,
            )
            return
        if target.running >= SLOTS:
            self.refused += 1
            outcome = breaker.Outcome.BUSY
            self.later(
                now + 0.002,
                self.finish,
                index,
                target,
                arrived,
                now,
                outcome,
                False,
            )
            return
        if target.fault == 'failing':
            self.met['failing'] += 1
            outcome, seconds = breaker.Outcome.FAILED, FAIL_TIME_S
        elif target.fault == 'slow':
            self.met['slow'] += 1
            seconds *= SLOW_FACTOR
        elif target.is_cold(now) and target.running >= COLD_SLOTS:
            self.met['returning'] += 1
            seconds *= SLOW_FACTOR
        target.running += 1
        target.busy_seconds += seconds
        self.later(
            now + seconds,
            self.finish,
            index,
            target,
            arrived,
            now,
            outcome,
            True,
        )

    def finish(
        self,
        now: float,
        index: int,
        target: Target,
        arrived: float,
        started: float,
        outcome: breaker.Outcome,
        ran: bool,
    ) -> None:
        if ran:
            target.running -= 1
        self.choosers[index].record_attempt_end(
            now, target.name, outcome, now - started
        )
        if outcome in (breaker.Outcome.BUSY, breaker.Outcome.SILENT):
            # Retried elsewhere, as an idempotent request.
            self.waiting[index].appendleft(arrived)
        elif outcome is breaker.Outcome.ANSWERED:
            self.times.append(now - arrived)
        self.pump(now, index)


def make_targets(
    rng: random.Random, count: int, seconds: int
) -> dict[str, Target]:
    """Return targets of which a tenth has each of the faults."""
    targets = [Target(f't{index}', '') for index in range(count)]
    share = max(1, count // 10)
    chosen = rng.sample(targets, share * len(FAULTS))
    for index, target in enumerate(chosen):
        target.fault = FAULTS[index // share]
        if target.fault == 'returning':
            start = rng.uniform(1, seconds / 4)
            target.absent = (start, start + seconds / 3)
    return {target.name: target for target in targets}


def make_state(name: str, uptime: float, busy: int) -> messages.AgentState:
    """Return the report of an agent with one target."""
    return messages.AgentState(
        peer=messages.Peer(name, f'{name}.1', 'agent', '', 'r', 'd'),
        rack='k',
        worker=name,
        accelerators=8,
        uptime=uptime,
        sequence=int(uptime * 1000),
        revision=1,
        targets=(messages.TargetState(SERVICE, SLOTS, busy),),
    )


def compare(
    seeds: int = 20,
    targets: int = 30,
    load: float = 0.4,
    seconds: int = 30,
) -> None:
    """Print median, minimum and maximum of each figure over the seeds.

    :param targets: number of targets; a tenth has each of four faults.
    :param load: offered load as a share of all slots.
    :param seconds: simulated seconds of each run.
    """
    for chooser in ('router', 'random', 'least-loaded'):
        runs = [
            Run(chooser, seed, targets, load, seconds).run()
            for seed in range(seeds)
        ]
        for name in runs[0]:
            values = [run[name] for run in runs]
            print(
                json.dumps(
                    {
                        'chooser': chooser,
                        'figure': name,
                        'median': round(statistics.median(values), 4),
                        'min': round(min(values), 4),
                        'max': round(max(values), 4),
                    }
                )
            )


def cost(rounds: int = CHOICE_ROUNDS, seed: int = 1) -> None:
    """Print the cost of one choice in microseconds of processor time.

    :param rounds: choices that are timed together; the best of 5 counts.
    """
    for chooser in ('router', 'random', 'least-loaded'):
        for count in (10, 100, 1500):
            for used in ('idle', 'saturated'):
                print(
                    json.dumps(
                        {
                            'chooser': chooser,
                            'targets': count,
                            'slots': used,
                            'microseconds': round(
                                _time_choice(
                                    chooser, count, used, rounds, seed
                                ),
                                2,
                            ),
                        }
                    )
                )


def _time_choice(
    name: str, count: int, used: str, rounds: int, seed: int
) -> float:
    chooser = make_chooser(name, random.Random(seed))
    for index in range(count):
        chooser.set_agent(0.0, make_state(f't{index}', 0.0, 0))
        if used == 'saturated':
            for _ in range(SLOTS):
                chooser.record_attempt_start(0.0, f't{index}')
    best = float('inf')
    for _ in range(5):
        start = time.process_time()
        for _ in range(rounds // 5):
            chooser.choose_agent(10.0, SERVICE)
        best = min(best, time.process_time() - start)
    return best / (rounds // 5) * 1e6


if __name__ == '__main__':
    fire.Fire({'compare': compare, 'cost': cost})

"""Compares the request router with random and least-loaded choice.

Two entries send requests to targets, of which some are slow, silent or failing
and some return after an absence. Time is simulated and every run is seeded;
only the cost of one choice is measured, in processor time.
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
SLOTS_PER_TARGET = 8
ENTRIES = 2
REPORT_INTERVAL_S = 1.0
MEAN_SERVICE_TIME_S = 0.2
SLOW_FACTOR = 10.0
FAILURE_TIME_S = 0.01
SILENT_TIMEOUT_S = 3.0
LOST_REPORT_DELAY_S = 9.0
# After its return a target is cold for this time. A cold target is slow when
# it serves more than ``COLD_SLOTS`` requests at once.
COLD_PERIOD_S = 5.0
COLD_SLOTS = 2
FAULTS = ('slow', 'silent', 'failing', 'returning')
CHOICE_ROUNDS = 5000


class RandomChoice:
    """Baseline that chooses a random target with a free slot.

    Only requests of the own entry count against the slots.
    """

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
            if self._outstanding[instance] < SLOTS_PER_TARGET
            and instance not in exclude
        ]
        return self._choose_free(free) if free else None

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

    def _choose_free(
        self, free: list[messages.AgentState]
    ) -> messages.AgentState:
        return self._rng.choice(free)


class LeastLoadedChoice(RandomChoice):
    """Baseline that chooses the target with fewest requests of its entry."""

    def _choose_free(
        self, free: list[messages.AgentState]
    ) -> messages.AgentState:
        return min(
            free,
            key=lambda state: (
                self._outstanding[state.peer.instance],
                self._rng.random(),
            ),
        )


def make_chooser(name: str, rng: random.Random) -> Any:
    """Return a router or a baseline by its name."""
    match name:
        case 'router':
            return routing.Router('d', 'r', rng)
        case 'random':
            return RandomChoice(rng)
    return LeastLoadedChoice(rng)


@dataclasses.dataclass(slots=True)
class Target:
    """A simulated target.

    :ivar fault: kind of its fault; empty for a healthy target.
    :ivar absence: begin and end of its absence in seconds.
    :ivar running: number of requests that it serves.
    :ivar busy_seconds: total service time of its requests.
    """

    name: str
    fault: str
    absence: tuple[float, float] = (float('inf'), float('inf'))
    running: int = 0
    busy_seconds: float = 0.0

    def is_absent(self, now: float) -> bool:
        return self.absence[0] <= now < self.absence[1]

    def is_cold(self, now: float) -> bool:
        return self.absence[1] <= now < self.absence[1] + COLD_PERIOD_S


class RoutingSimulation:
    """Simulation of entries that send requests to targets."""

    def __init__(
        self, chooser: str, seed: int, targets: int, load: float, seconds: int
    ) -> None:
        self.rng = random.Random(seed)
        self.choosers = [
            make_chooser(chooser, random.Random(seed * 10 + index))
            for index in range(ENTRIES)
        ]
        self.seconds = seconds
        self.arrival_rate = (
            load * targets * SLOTS_PER_TARGET / MEAN_SERVICE_TIME_S
        )
        self.targets = make_targets(self.rng, targets, seconds)
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.event_number = 0
        self.requests_by_fault: collections.Counter[str] = (
            collections.Counter()
        )
        self.response_times: list[float] = []
        self.request_count = self.waited_count = self.refused_count = 0
        self.waiting: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]

    def run(self) -> dict[str, float]:
        """Run the simulation and return its figures by name."""
        for index in range(ENTRIES):
            self.schedule(0.0, self.report_targets, index)
            self.schedule(0.001, self.handle_arrival, index)
        now = 0.0
        while self.events and now < self.seconds:
            now, _, function, arguments = heapq.heappop(self.events)
            function(now, *arguments)
        result = {
            f'share_{fault}': self.requests_by_fault[fault]
            / self.request_count
            for fault in FAULTS
        }
        busy = [
            target.busy_seconds
            for target in self.targets.values()
            if not target.fault
        ]
        self.response_times.sort()
        return result | {
            'share_refused': self.refused_count / self.request_count,
            'share_waited': self.waited_count / self.request_count,
            'load_spread': statistics.pstdev(busy) / statistics.mean(busy),
            'mean_seconds': statistics.mean(self.response_times),
            'p95_seconds': self.response_times[
                int(len(self.response_times) * 0.95)
            ],
        }

    def schedule(
        self, event_time: float, function: Any, *arguments: Any
    ) -> None:
        self.event_number += 1
        heapq.heappush(
            self.events, (event_time, self.event_number, function, arguments)
        )

    def report_targets(self, now: float, index: int) -> None:
        for target in self.targets.values():
            if target.is_absent(now):
                if now - target.absence[0] > LOST_REPORT_DELAY_S:
                    self.choosers[index].remove_agent(now, target.name)
                continue
            self.choosers[index].set_agent(
                now, make_state(target.name, now, target.running)
            )
        self.schedule(now + REPORT_INTERVAL_S, self.report_targets, index)

    def handle_arrival(self, now: float, index: int) -> None:
        delay = self.rng.expovariate(self.arrival_rate / ENTRIES)
        self.schedule(now + delay, self.handle_arrival, index)
        self.request_count += 1
        self.waiting[index].append(now)
        self.send_waiting(now, index)
        if self.waiting[index]:
            self.waited_count += 1

    def send_waiting(self, now: float, index: int) -> None:
        chooser = self.choosers[index]
        while self.waiting[index]:
            state = chooser.choose_agent(now, SERVICE)
            if state is None:
                return
            arrived = self.waiting[index].popleft()
            name = state.peer.instance
            chooser.record_attempt_start(now, name)
            self.send_request(now, index, self.targets[name], arrived)

    def send_request(
        self, now: float, index: int, target: Target, arrived: float
    ) -> None:
        outcome = breaker.Outcome.ANSWERED
        seconds = self.rng.expovariate(1 / MEAN_SERVICE_TIME_S)
        if target.fault == 'silent' or target.is_absent(now):
            self.requests_by_fault['silent'] += 1
            self.schedule(
                now + SILENT_TIMEOUT_S,
                self.finish_request,
                index,
                target,
                arrived,
                now,
                breaker.Outcome.SILENT,
                False,
            )
            return
        if target.running >= SLOTS_PER_TARGET:
            self.refused_count += 1
            outcome = breaker.Outcome.BUSY
            self.schedule(
                now + 0.002,
                self.finish_request,
                index,
                target,
                arrived,
                now,
                outcome,
                False,
            )
            return
        if target.fault == 'failing':
            self.requests_by_fault['failing'] += 1
            outcome, seconds = breaker.Outcome.FAILED, FAILURE_TIME_S
        elif target.fault == 'slow':
            self.requests_by_fault['slow'] += 1
            seconds *= SLOW_FACTOR
        elif target.is_cold(now) and target.running >= COLD_SLOTS:
            self.requests_by_fault['returning'] += 1
            seconds *= SLOW_FACTOR
        target.running += 1
        target.busy_seconds += seconds
        self.schedule(
            now + seconds,
            self.finish_request,
            index,
            target,
            arrived,
            now,
            outcome,
            True,
        )

    def finish_request(
        self,
        now: float,
        index: int,
        target: Target,
        arrived: float,
        started: float,
        outcome: breaker.Outcome,
        occupied_slot: bool,
    ) -> None:
        if occupied_slot:
            target.running -= 1
        self.choosers[index].record_attempt_end(
            now, target.name, outcome, now - started
        )
        if outcome in (breaker.Outcome.BUSY, breaker.Outcome.SILENT):
            # Requests are idempotent, so the entry may send them again.
            self.waiting[index].appendleft(arrived)
        elif outcome is breaker.Outcome.ANSWERED:
            self.response_times.append(now - arrived)
        self.send_waiting(now, index)


def make_targets(
    rng: random.Random, count: int, seconds: int
) -> dict[str, Target]:
    """Build targets; each kind of fault affects a tenth of them."""
    targets = [Target(f't{index}', '') for index in range(count)]
    targets_per_fault = max(1, count // 10)
    chosen = rng.sample(targets, targets_per_fault * len(FAULTS))
    for index, target in enumerate(chosen):
        target.fault = FAULTS[index // targets_per_fault]
        if target.fault == 'returning':
            start = rng.uniform(1, seconds / 4)
            target.absence = (start, start + seconds / 3)
    return {target.name: target for target in targets}


def make_state(name: str, uptime: float, busy: int) -> messages.AgentState:
    """Build the reported state of an agent with one target."""
    return messages.AgentState(
        peer=messages.Peer(name, f'{name}.1', 'agent', '', 'r', 'd'),
        rack='k',
        worker=name,
        accelerators=8,
        uptime=uptime,
        sequence=int(uptime * 1000),
        revision=1,
        targets=(messages.TargetState(SERVICE, SLOTS_PER_TARGET, busy),),
    )


def compare(
    seeds: int = 20,
    targets: int = 30,
    load: float = 0.4,
    seconds: int = 30,
) -> None:
    """Simulate all choosers and print their figures over several seeds.

    :param seeds: number of runs for each chooser.
    :param targets: number of targets; each of four faults affects a tenth.
    :param load: offered load as a share of all slots.
    :param seconds: simulated seconds of each run.
    """
    for chooser in ('router', 'random', 'least-loaded'):
        runs = [
            RoutingSimulation(chooser, seed, targets, load, seconds).run()
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
    """Measure and print the processor time of one choice in microseconds.

    :param rounds: number of choices; they are timed in 5 parts, of which the
        fastest counts.
    :param seed: seed of the choosers.
    """
    for chooser in ('router', 'random', 'least-loaded'):
        for count in (10, 100, 1500):
            for slot_use in ('idle', 'saturated'):
                print(
                    json.dumps(
                        {
                            'chooser': chooser,
                            'targets': count,
                            'slots': slot_use,
                            'microseconds': round(
                                _time_choice(
                                    chooser, count, slot_use, rounds, seed
                                ),
                                2,
                            ),
                        }
                    )
                )


def _time_choice(
    name: str, count: int, slot_use: str, rounds: int, seed: int
) -> float:
    chooser = make_chooser(name, random.Random(seed))
    for index in range(count):
        chooser.set_agent(0.0, make_state(f't{index}', 0.0, 0))
        if slot_use == 'saturated':
            for _ in range(SLOTS_PER_TARGET):
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

"""Counts messages and encoded bytes while a gang starts and runs.

The production state machines exchange messages over a simulated network
without losses. A call carries one message, and its reply carries the messages
that the receiver sends back immediately, as in ``damaskpin/peer/link.py``.
Bytes are those of the encoded frames, without transport headers.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import json
import random

import fire

from damaskpin import effects
from damaskpin.gang import coordinator as coordinators
from damaskpin.gang import member as members
from damaskpin.gang import owner as owners
from damaskpin.model import job as jobs
from damaskpin.peer import codec as codecs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

LATENCY_S = 0.001
TICK_S = 0.25
TASK_START_S = 0.1
# Duration of the start phase. It includes the replies to the last start
# message and ends before the first heartbeat of the gang.
START_S = 0.2
MINUTE_S = 60.0
OWNER = 'entry-sandton-1'
COORDINATOR = 'entry-midrand-1'


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic of one phase.

    :ivar messages: number of messages.
    :ivar frames: number of frames.
    :ivar bytes: encoded bytes of the frames.
    :ivar bytes_of: bytes sent or received, by process.
    """

    messages: int = 0
    frames: int = 0
    bytes: int = 0
    bytes_of: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, one: str, other: str, count: int, size: int) -> None:
        """Count one frame between two processes.

        :param count: messages in the frame.
        :param size: encoded bytes of the frame.
        """
        self.messages += count
        self.frames += 1
        self.bytes += size
        for name in (one, other):
            self.bytes_of[name] = self.bytes_of.get(name, 0) + size


class Run:
    """Simulation of one gang, from its placement on.

    :param size: number of members, each on an agent of its own.
    :param seed: seed of jitter and tokens.
    :ivar traffic: traffic of the current phase.
    :ivar running: names of the agents whose task runs.
    :ivar started_at: time in seconds at which the last task started, or
        ``None``.
    """

    def __init__(self, size: int, seed: int) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, object]] = []
        self._counter = itertools.count()
        self._codec = codecs.Codec(b'k' * 32)
        self.traffic = Traffic()
        self.running: set[str] = set()
        self.started_at: float | None = None
        rng = random.Random(seed)
        names = [f'agent-sandton-{index:04d}' for index in range(size)]
        self.names = names
        self._machines: dict[str, object] = {
            name: members.Member(name, 8, random.Random(rng.getrandbits(64)))
            for name in names
        }
        for name in names:
            self._machines[name].adoption_done(0.0)
        self._owner = owners.Owner(OWNER)
        self._coordinator = coordinators.Coordinator(COORDINATOR, rng)
        self._machines[OWNER] = self._owner
        self._machines[COORDINATOR] = self._coordinator
        job = jobs.Job(
            'job-0123456789ab',
            'shortlist',
            jobs.JobSpec(accelerators=size, command=['sleep', '3600']),
        )
        # The owner is given no coordinator, so it does not resubmit the job:
        # messages about queueing are not measured.
        self._owner.submit(0.0, job, False)
        self._carry_out(
            COORDINATOR,
            self._coordinator.place(
                0.0,
                'job-0123456789ab.1',
                job,
                OWNER,
                tuple(gang_messages.Member(name, (0,)) for name in names),
                7,
                True,
            ),
        )
        for index, name in enumerate(self._machines):
            offset = TICK_S * index / len(self._machines)
            self._after(offset, lambda n=name: self._tick(n))

    def run(self, until: float) -> None:
        """Process events up to a time in seconds since the placement."""
        while self._events and self._events[0][0] <= until:
            self._now, _, call = heapq.heappop(self._events)
            call()
        self._now = until

    def _after(self, delay: float, call: object) -> None:
        heapq.heappush(
            self._events, (self._now + delay, next(self._counter), call)
        )

    def _tick(self, name: str) -> None:
        self._after(TICK_S, lambda: self._tick(name))
        self._carry_out(name, self._machines[name].tick(self._now))

    def _carry_out(self, name: str, out: list[effects.Effect]) -> None:
        for effect in out:
            match effect:
                case effects.Send():
                    self._after(
                        LATENCY_S,
                        lambda e=effect: self._call(name, e.to, e.message),
                    )
                case effects.StartTask():
                    self._after(TASK_START_S, lambda: self._start_task(name))

    def _start_task(self, name: str) -> None:
        self.running.add(name)
        if len(self.running) == len(self.names):
            self.started_at = self._now
        self._carry_out(
            name,
            self._machines[name].task_started(self._now, 'job-0123456789ab.1'),
        )

    def _call(self, sender: str, to: str, message: messages.Message) -> None:
        self._count(sender, to, [message])
        out = self._machines[to].receive(self._now, sender, message)
        reply = []
        rest = []
        for effect in out:
            if isinstance(effect, effects.Send) and effect.to == sender:
                reply.append(effect.message)
            else:
                rest.append(effect)
        self._count(to, sender, reply)
        self._carry_out(to, rest)
        for answer in reply:
            self._after(
                LATENCY_S, lambda a=answer: self._answer(to, sender, a)
            )

    def _answer(self, sender: str, to: str, message: messages.Message) -> None:
        self._carry_out(
            to, self._machines[to].receive(self._now, sender, message)
        )

    def _count(
        self, sender: str, to: str, batch: list[messages.Message]
    ) -> None:
        frame = messages.Frame(
            sender, 'f' * 16, 'tcp://10.20.30.40:7601', tuple(batch)
        )
        size = len(self._codec.encode_frame(frame))
        self.traffic.add(sender, to, len(batch), size)


def measure(size: int, seed: int) -> dict[str, object]:
    """Measure the traffic of a gang while it starts and for a minute."""
    run = Run(size, seed)
    run.run(START_S)
    start, run.traffic = run.traffic, Traffic()
    run.run(START_S + MINUTE_S)
    minute = run.traffic
    others = [minute.bytes_of.get(name, 0) for name in run.names[1:]]
    return {
        'members': size,
        'start_seconds': round(run.started_at or -1.0, 3),
        'start_messages': start.messages,
        'start_bytes': start.bytes,
        'start_coordinator_bytes': start.bytes_of[COORDINATOR],
        'minute_messages': minute.messages,
        'minute_bytes': minute.bytes,
        'lead_bytes_per_second': round(
            minute.bytes_of.get(run.names[0], 0) / MINUTE_S, 1
        ),
        'member_bytes_per_second': round(max(others, default=0) / MINUTE_S, 1),
    }


def main(
    sizes: tuple[int, ...] = (1, 8, 16, 64, 128),
    seed: int = 1,
    as_json: bool = False,
) -> None:
    """Measure the traffic of gangs and print it.

    :param sizes: numbers of members.
    :param seed: seed of jitter and tokens.
    :param as_json: print JSON lines instead of a table.
    """
    results = [measure(size, seed) for size in sizes]
    if as_json:
        for result in results:
            print(json.dumps(result))
        return
    for name in results[0]:
        row = ''.join(f'{result[name]!s:>10}' for result in results)
        print(f'{name:<26}{row}')


if __name__ == '__main__':
    fire.Fire(main)

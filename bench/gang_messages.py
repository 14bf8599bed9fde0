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
START_PHASE_S = 0.2
MINUTE_S = 60.0
OWNER_NAME = 'entry-sandton-1'
COORDINATOR_NAME = 'entry-midrand-1'


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic of one phase.

    :ivar messages: number of messages.
    :ivar frames: number of frames.
    :ivar bytes: encoded bytes of the frames.
    :ivar bytes_by_process: bytes sent or received, by process.
    """

    messages: int = 0
    frames: int = 0
    bytes: int = 0
    bytes_by_process: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(
        self, first_process: str, second_process: str, count: int, size: int
    ) -> None:
        """Count one frame between two processes.

        :param count: messages in the frame.
        :param size: encoded bytes of the frame.
        """
        self.messages += count
        self.frames += 1
        self.bytes += size
        for name in (first_process, second_process):
            self.bytes_by_process[name] = (
                self.bytes_by_process.get(name, 0) + size
            )


class GangSimulation:
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
        self._event_numbers = itertools.count()
        self._codec = codecs.Codec(b'k' * 32)
        self.traffic = Traffic()
        self.running: set[str] = set()
        self.started_at: float | None = None
        rng = random.Random(seed)
        names = [f'agent-sandton-{index:04d}' for index in range(size)]
        self.names = names
        self._state_machines: dict[str, object] = {
            name: members.Member(name, 8, random.Random(rng.getrandbits(64)))
            for name in names
        }
        for name in names:
            self._state_machines[name].finish_adoption(0.0)
        self._owner = owners.Owner(OWNER_NAME)
        self._coordinator = coordinators.Coordinator(COORDINATOR_NAME, rng)
        self._state_machines[OWNER_NAME] = self._owner
        self._state_machines[COORDINATOR_NAME] = self._coordinator
        job = jobs.Job(
            'job-0123456789ab',
            'shortlist',
            jobs.JobSpec(accelerators=size, command=['sleep', '3600']),
        )
        # The owner is given no coordinator, so it does not resubmit the job:
        # messages about queueing are not measured.
        self._owner.submit(0.0, job, False)
        self._apply_effects(
            COORDINATOR_NAME,
            self._coordinator.place(
                0.0,
                'job-0123456789ab.1',
                job,
                OWNER_NAME,
                tuple(gang_messages.Member(name, (0,)) for name in names),
                7,
                True,
            ),
        )
        for index, name in enumerate(self._state_machines):
            offset = TICK_S * index / len(self._state_machines)
            self._schedule(offset, lambda n=name: self._tick(n))

    def run(self, until: float) -> None:
        """Process events up to a time in seconds since the placement."""
        while self._events and self._events[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        self._now = until

    def _schedule(self, delay: float, callback: object) -> None:
        heapq.heappush(
            self._events,
            (self._now + delay, next(self._event_numbers), callback),
        )

    def _tick(self, name: str) -> None:
        self._schedule(TICK_S, lambda: self._tick(name))
        self._apply_effects(name, self._state_machines[name].tick(self._now))

    def _apply_effects(
        self, name: str, produced_effects: list[effects.Effect]
    ) -> None:
        for effect in produced_effects:
            match effect:
                case effects.Send():
                    self._schedule(
                        LATENCY_S,
                        lambda e=effect: self._deliver_call(
                            name, e.to, e.message
                        ),
                    )
                case effects.StartTask():
                    self._schedule(
                        TASK_START_S, lambda: self._start_task(name)
                    )

    def _start_task(self, name: str) -> None:
        self.running.add(name)
        if len(self.running) == len(self.names):
            self.started_at = self._now
        self._apply_effects(
            name,
            self._state_machines[name].handle_task_started(
                self._now, 'job-0123456789ab.1'
            ),
        )

    def _deliver_call(
        self, sender: str, to: str, message: messages.Message
    ) -> None:
        self._count_frame(sender, to, [message])
        produced_effects = self._state_machines[to].receive(
            self._now, sender, message
        )
        reply = []
        other_effects = []
        for effect in produced_effects:
            if isinstance(effect, effects.Send) and effect.to == sender:
                reply.append(effect.message)
            else:
                other_effects.append(effect)
        self._count_frame(to, sender, reply)
        self._apply_effects(to, other_effects)
        for reply_message in reply:
            self._schedule(
                LATENCY_S,
                lambda a=reply_message: self._deliver_reply(to, sender, a),
            )

    def _deliver_reply(
        self, sender: str, to: str, message: messages.Message
    ) -> None:
        self._apply_effects(
            to, self._state_machines[to].receive(self._now, sender, message)
        )

    def _count_frame(
        self, sender: str, to: str, batch: list[messages.Message]
    ) -> None:
        frame = messages.Frame(
            sender, 'f' * 16, 'tcp://10.20.30.40:7601', tuple(batch)
        )
        size = len(self._codec.encode_frame(frame))
        self.traffic.add(sender, to, len(batch), size)


def measure_gang_traffic(size: int, seed: int) -> dict[str, object]:
    """Measure the traffic of a gang while it starts and for a minute."""
    run = GangSimulation(size, seed)
    run.run(START_PHASE_S)
    start_traffic, run.traffic = run.traffic, Traffic()
    run.run(START_PHASE_S + MINUTE_S)
    minute_traffic = run.traffic
    member_bytes = [
        minute_traffic.bytes_by_process.get(name, 0) for name in run.names[1:]
    ]
    return {
        'members': size,
        'start_seconds': round(run.started_at or -1.0, 3),
        'start_messages': start_traffic.messages,
        'start_bytes': start_traffic.bytes,
        'start_coordinator_bytes': start_traffic.bytes_by_process[
            COORDINATOR_NAME
        ],
        'minute_messages': minute_traffic.messages,
        'minute_bytes': minute_traffic.bytes,
        'lead_bytes_per_second': round(
            minute_traffic.bytes_by_process.get(run.names[0], 0) / MINUTE_S, 1
        ),
        'member_bytes_per_second': round(
            max(member_bytes, default=0) / MINUTE_S, 1
        ),
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
    results = [measure_gang_traffic(size, seed) for size in sizes]
    if as_json:
        for result in results:
            print(json.dumps(result))
        return
    for name in results[0]:
        row = ''.join(f'{result[name]!s:>10}' for result in results)
        print(f'{name:<26}{row}')


if __name__ == '__main__':
    fire.Fire(main)

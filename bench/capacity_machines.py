"""Measures the traffic of state machines at chosen sizes, without daemons.

Frames are counted as ``damaskpin/peer/link.py`` sends them: one frame for a
call and one for its reply. Bytes on the wire include the transport headers of
both frames and the headers of three TCP segments for each exchange (call,
reply, acknowledgement).
"""

from __future__ import annotations

import time

import msgspec

from bench import capacity_sockets
from damaskpin import effects
from damaskpin.gang import owner as owners
from damaskpin.model import job as jobs
from damaskpin.peer import codec as codecs
from damaskpin.peer import gang_messages
from damaskpin.peer import home as homes
from damaskpin.peer import membership
from damaskpin.peer import messages

REGIONS = 3
ENTRIES_PER_DATA_CENTRE = 2
# Number of a data centre of region 0 without agents.
OTHER_PLACE = 300
TICK_S = 0.25
# Bytes of the length prefix and request id that pynng puts before a message.
TRANSPORT_BYTES = 12
EXCHANGE_SEGMENTS = 3
DAEMON_TICK_S = 0.05
WARM_UP_S = 60.0
OWNER_WARM_UP_S = 4.0
# Measured seconds of an owner, which cover the longest interval between two
# submissions of a waiting job.
OWNER_SECONDS = 240.0


class Rates(msgspec.Struct):
    """Traffic of one process or of all processes over some time.

    :ivar messages: number of messages.
    :ivar exchanges: number of calls with their replies.
    :ivar encoded: bytes of the encoded frames.
    :ivar wire: bytes of the frames with all headers.
    :ivar remote_wire: bytes of ``wire`` that are sent between regions.
    :ivar processor: processor seconds of the observed process.
    """

    messages: int = 0
    exchanges: int = 0
    encoded: int = 0
    wire: int = 0
    remote_wire: int = 0
    processor: float = 0.0


class Fleet:
    """Simulated entries and agents whose messages arrive without delay.

    :param entries: number of entries.
    :param homes_of: number of agents by data centre.
    :param alone: whether the observed entry is the only entry of its data
        centre; the second entry is then in another data centre of the region.
    """

    def __init__(
        self, entries: int, homes_of: dict[int, int], alone: bool = False
    ) -> None:
        self.now = 0.0
        self.observed = 'entry-00'
        self.one = Rates()
        self.all = Rates()
        self.cut: set[int] = set()
        self._codec = codecs.Codec(b'k' * 32)
        self.places: dict[str, int] = {}
        self.entries: dict[str, membership.EntryMembership] = {}
        self.agents: dict[str, homes.AgentHome] = {}
        self.events: list[tuple[float, str, membership.Output]] = []
        for index in range(entries):
            place = index // ENTRIES_PER_DATA_CENTRE
            if alone and index == 1:
                place = OTHER_PLACE
            peer = make_peer(f'entry-{index:02}', 'entry', place)
            self.places[peer.instance] = place
            self.entries[peer.instance] = membership.EntryMembership(peer, 0.0)
        for place, count in homes_of.items():
            for index in range(count):
                state = make_state(place, index, 0)
                name = state.peer.instance
                self.places[name] = place
                self.agents[name] = homes.AgentHome(state, 0.0)
        peers = [entry.peer for entry in self.entries.values()]
        for name, entry in self.entries.items():
            self.apply(name, entry.learn_entries(0.0, peers))
        for agent in self.agents.values():
            agent.learn_entries(0.0, peers)

    def run(self, seconds: float) -> None:
        """Advance the simulated time by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for name in list(self.entries):
                started = time.process_time()
                outputs = self.entries[name].tick(self.now)
                if name == self.observed:
                    self.one.processor += time.process_time() - started
                self.apply(name, outputs)
            for name in list(self.agents):
                self.apply(name, self.agents[name].tick(self.now))

    def reset(self) -> None:
        """Reset the traffic counters and the list of events."""
        self.one, self.all = Rates(), Rates()
        self.events.clear()

    def remove_data_centre(self, place: int) -> None:
        """Remove all entries and agents of a data centre."""
        for machines in (self.entries, self.agents):
            for name in list(machines):
                if self.places[name] == place:
                    del machines[name]

    def relearn(self) -> None:
        """Tell every entry the list of all entries, as the store does."""
        peers = [entry.peer for entry in self.entries.values()]
        for name, entry in self.entries.items():
            self.apply(name, entry.learn_entries(self.now, peers))

    def apply(self, name: str, outputs: list[membership.Output]) -> None:
        """Deliver the messages and record the events of a state machine."""
        calls: dict[str, list[messages.Message]] = {}
        for output in outputs:
            if isinstance(output, effects.Send):
                calls.setdefault(output.to, []).append(output.message)
            else:
                self.events.append((self.now, name, output))
        for to, batch in calls.items():
            self._call(name, to, batch)

    def _call(
        self, sender: str, to: str, batch: list[messages.Message]
    ) -> None:
        remote = _is_remote(self.places[sender], self.places[to])
        separated = (self.places[sender] % REGIONS in self.cut) != (
            self.places[to] % REGIONS in self.cut
        )
        if to not in self.entries and to not in self.agents:
            return
        if separated:
            return
        produced = self._receive(to, sender, batch)
        reply = [
            output.message
            for output in produced
            if isinstance(output, effects.Send) and output.to == sender
        ]
        self._count(sender, to, batch, reply, remote)
        answers = self._receive(sender, to, reply)
        rest = [
            output
            for output in produced
            if not (isinstance(output, effects.Send) and output.to == sender)
        ]
        self.apply(to, rest)
        self.apply(sender, answers)

    def _receive(
        self, name: str, sender: str, batch: list[messages.Message]
    ) -> list[membership.Output]:
        machine = self.entries.get(name) or self.agents[name]
        outputs: list[membership.Output] = []
        started = time.process_time()
        for message in batch:
            outputs += machine.receive(self.now, sender, message)
        if name == self.observed:
            self.one.processor += time.process_time() - started
        return outputs

    def _count(
        self,
        sender: str,
        to: str,
        batch: list[messages.Message],
        reply: list[messages.Message],
        remote: bool,
    ) -> None:
        encoded = sum(
            len(self._codec.encode_frame(_make_frame(name, part)))
            for name, part in ((sender, batch), (to, reply))
        )
        wire = count_wire(encoded)
        for rates in (self.all, self.one):
            if rates is self.one and self.observed not in (sender, to):
                continue
            rates.messages += len(batch) + len(reply)
            rates.exchanges += 1
            rates.encoded += encoded
            rates.wire += wire
            rates.remote_wire += wire * remote


def count_wire(encoded: int) -> int:
    """Return the bytes on the wire of one exchange of small frames."""
    headers = EXCHANGE_SEGMENTS * capacity_sockets.SEGMENT_HEADER_BYTES
    return encoded + 2 * TRANSPORT_BYTES + headers


def make_state(place: int, index: int, tasks: int) -> messages.AgentState:
    """Build the reported state of an agent with a number of tasks."""
    name = f'agent-{place:02}-{index:04}'
    gangs = tuple(
        messages.GangState(
            f'job-0123456789ab-{number}.1',
            f'job-0123456789ab-{number}',
            'account-12',
            (number,),
            f'agent-{place:02}-0000',
            True,
            False,
            'entry-00',
        )
        for number in range(tasks)
    )
    return messages.AgentState(
        make_peer(name, 'agent', place),
        f'rack-{index // 3}',
        f'worker-{place}-{index}',
        8,
        12.5,
        1,
        7,
        (messages.TargetState('shortlist', 8, 3),),
        gangs,
    )


def measure_membership(
    agents: int, entries: int, seconds: float = 60.0
) -> Rates:
    """Measure the traffic of an entry in a fleet without changes.

    :param agents: number of agents that report to the entry; other data
        centres have none.
    :param entries: number of entries.
    :param seconds: simulated seconds that are measured.
    """
    fleet = Fleet(entries, {0: agents}, alone=True)
    fleet.run(WARM_UP_S)
    fleet.reset()
    fleet.run(seconds)
    return fleet.one


def measure_owner(jobs_count: int, seconds: float = OWNER_SECONDS) -> Rates:
    """Measure the submissions that an owner repeats for waiting jobs."""
    owner = owners.Owner('entry-00')
    now = 0.0
    # The first submissions to a new coordinator are made during the warm-up
    # and are not counted.
    for index in range(jobs_count):
        now = index * 2.0 / jobs_count
        owner.submit(now, make_job(index), False)
    owner.set_coordinator(now, 'entry-01')
    codec = codecs.Codec(b'k' * 32)
    rates = Rates()
    for step in range(round((seconds + OWNER_WARM_UP_S) / DAEMON_TICK_S)):
        now += DAEMON_TICK_S
        started = time.process_time()
        sent = [
            effect.message
            for effect in owner.tick(now)
            if isinstance(effect, effects.Send)
        ]
        answers = [
            gang_messages.JobUpdate(message.job.id, 'queued')
            for message in sent
        ]
        for answer in answers:
            owner.receive(now, 'entry-01', answer)
        if step * DAEMON_TICK_S < OWNER_WARM_UP_S:
            continue
        rates.processor += time.process_time() - started
        for start in range(0, len(sent), 64):
            batch = sent[start : start + 64]
            reply = answers[start : start + 64]
            encoded = sum(
                len(codec.encode_frame(_make_frame(name, part)))
                for name, part in (('entry-00', batch), ('entry-01', reply))
            )
            rates.messages += len(batch)
            rates.exchanges += 1
            rates.encoded += encoded
            rates.wire += count_wire(encoded)
    return rates


def make_job(index: int) -> jobs.Job:
    """Build a job of typical size."""
    return jobs.Job(
        f'job-{index:012x}',
        f'account-{index % 37}',
        jobs.JobSpec(accelerators=8, command=['/opt/run', '--shard', 'auto']),
    )


def make_peer(name: str, role: str, place: int) -> messages.Peer:
    return messages.Peer(
        name,
        'f' * 12,
        role,
        'tcp://10.20.30.40:7601',
        f'region-{place % REGIONS}',
        f'data-centre-{place}',
        'http://10.20.30.40:8080',
    )


def _make_frame(sender: str, batch: list[messages.Message]) -> messages.Frame:
    return messages.Frame(
        sender, 'f' * 12, 'tcp://10.20.30.40:7601', tuple(batch)
    )


def _is_remote(one: int, other: int) -> bool:
    return one % REGIONS != other % REGIONS

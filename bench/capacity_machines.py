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
OTHER_DATA_CENTRE = 300
SIMULATED_TICK_S = 0.25
# Bytes of the length prefix and request id that pynng puts before a message.
TRANSPORT_BYTES = 12
EXCHANGE_SEGMENTS = 3
DAEMON_TICK_S = 0.05
WARM_UP_S = 60.0
OWNER_WARM_UP_S = 4.0
# Measured seconds of an owner, which cover the longest interval between two
# submissions of a waiting job.
OWNER_SECONDS = 240.0


class Traffic(msgspec.Struct):
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


class SimulatedFleet:
    """Simulated entries and agents whose messages arrive without delay.

    :param entries: number of entries.
    :param agents_by_data_centre: number of agents by data centre.
    :param without_neighbour: whether the observed entry is the only entry of
        its data centre; the second entry is then in another data centre of
        the region.
    """

    def __init__(
        self,
        entries: int,
        agents_by_data_centre: dict[int, int],
        without_neighbour: bool = False,
    ) -> None:
        self.now = 0.0
        self.observed_entry = 'entry-00'
        self.observed_traffic = Traffic()
        self.total_traffic = Traffic()
        self.isolated_regions: set[int] = set()
        self._codec = codecs.Codec(b'k' * 32)
        self.data_centres: dict[str, int] = {}
        self.entries: dict[str, membership.EntryMembership] = {}
        self.agents: dict[str, homes.AgentHome] = {}
        self.events: list[tuple[float, str, membership.Output]] = []
        for index in range(entries):
            data_centre = index // ENTRIES_PER_DATA_CENTRE
            if without_neighbour and index == 1:
                data_centre = OTHER_DATA_CENTRE
            peer = make_peer(f'entry-{index:02}', 'entry', data_centre)
            self.data_centres[peer.instance] = data_centre
            self.entries[peer.instance] = membership.EntryMembership(peer, 0.0)
        for data_centre, count in agents_by_data_centre.items():
            for index in range(count):
                state = make_state(data_centre, index, 0)
                name = state.peer.instance
                self.data_centres[name] = data_centre
                self.agents[name] = homes.AgentHome(state, 0.0)
        peers = [entry.peer for entry in self.entries.values()]
        for name, entry in self.entries.items():
            self.deliver_outputs(name, entry.learn_entries(0.0, peers))
        for agent in self.agents.values():
            agent.learn_entries(0.0, peers)

    def run(self, seconds: float) -> None:
        """Advance the simulated time by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += SIMULATED_TICK_S
            for name in list(self.entries):
                start_time = time.process_time()
                outputs = self.entries[name].tick(self.now)
                if name == self.observed_entry:
                    self.observed_traffic.processor += (
                        time.process_time() - start_time
                    )
                self.deliver_outputs(name, outputs)
            for name in list(self.agents):
                self.deliver_outputs(name, self.agents[name].tick(self.now))

    def reset_counters(self) -> None:
        """Reset the traffic counters and the list of events."""
        self.observed_traffic, self.total_traffic = Traffic(), Traffic()
        self.events.clear()

    def remove_data_centre(self, data_centre: int) -> None:
        """Remove all entries and agents of a data centre."""
        for processes in (self.entries, self.agents):
            for name in list(processes):
                if self.data_centres[name] == data_centre:
                    del processes[name]

    def announce_entries(self) -> None:
        """Tell every entry the list of all entries, as the store does."""
        peers = [entry.peer for entry in self.entries.values()]
        for name, entry in self.entries.items():
            self.deliver_outputs(name, entry.learn_entries(self.now, peers))

    def deliver_outputs(
        self, name: str, outputs: list[membership.Output]
    ) -> None:
        """Deliver the messages and record the events of a state machine."""
        calls: dict[str, list[messages.Message]] = {}
        for output in outputs:
            if isinstance(output, effects.Send):
                calls.setdefault(output.to, []).append(output.message)
            else:
                self.events.append((self.now, name, output))
        for to, batch in calls.items():
            self._deliver_call(name, to, batch)

    def _deliver_call(
        self, sender: str, to: str, batch: list[messages.Message]
    ) -> None:
        remote = _is_between_regions(
            self.data_centres[sender], self.data_centres[to]
        )
        isolated = (
            self.data_centres[sender] % REGIONS in self.isolated_regions
        ) != (self.data_centres[to] % REGIONS in self.isolated_regions)
        if to not in self.entries and to not in self.agents:
            return
        if isolated:
            return
        outputs = self._deliver_messages(to, sender, batch)
        reply = [
            output.message
            for output in outputs
            if isinstance(output, effects.Send) and output.to == sender
        ]
        self._count_exchange(sender, to, batch, reply, remote)
        reply_outputs = self._deliver_messages(sender, to, reply)
        other_outputs = [
            output
            for output in outputs
            if not (isinstance(output, effects.Send) and output.to == sender)
        ]
        self.deliver_outputs(to, other_outputs)
        self.deliver_outputs(sender, reply_outputs)

    def _deliver_messages(
        self, name: str, sender: str, batch: list[messages.Message]
    ) -> list[membership.Output]:
        machine = self.entries.get(name) or self.agents[name]
        outputs: list[membership.Output] = []
        start_time = time.process_time()
        for message in batch:
            outputs += machine.receive(self.now, sender, message)
        if name == self.observed_entry:
            self.observed_traffic.processor += time.process_time() - start_time
        return outputs

    def _count_exchange(
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
        wire = get_wire_bytes(encoded)
        for traffic in (self.total_traffic, self.observed_traffic):
            if (
                traffic is self.observed_traffic
                and self.observed_entry not in (sender, to)
            ):
                continue
            traffic.messages += len(batch) + len(reply)
            traffic.exchanges += 1
            traffic.encoded += encoded
            traffic.wire += wire
            traffic.remote_wire += wire * remote


def get_wire_bytes(encoded: int) -> int:
    """Return the bytes on the wire of one exchange of small frames."""
    headers = EXCHANGE_SEGMENTS * capacity_sockets.SEGMENT_HEADER_BYTES
    return encoded + 2 * TRANSPORT_BYTES + headers


def make_state(
    data_centre: int, index: int, tasks: int
) -> messages.AgentState:
    """Build the reported state of an agent with a number of tasks."""
    name = f'agent-{data_centre:02}-{index:04}'
    gangs = tuple(
        messages.GangState(
            f'job-0123456789ab-{number}.1',
            f'job-0123456789ab-{number}',
            'account-12',
            (number,),
            f'agent-{data_centre:02}-0000',
            True,
            False,
            'entry-00',
        )
        for number in range(tasks)
    )
    return messages.AgentState(
        make_peer(name, 'agent', data_centre),
        f'rack-{index // 3}',
        f'worker-{data_centre}-{index}',
        8,
        12.5,
        1,
        7,
        (messages.TargetState('shortlist', 8, 3),),
        gangs,
    )


def measure_membership(
    agents: int, entries: int, seconds: float = 60.0
) -> Traffic:
    """Measure the traffic of an entry in a fleet without changes.

    :param agents: number of agents that report to the entry; other data
        centres have none.
    :param entries: number of entries.
    :param seconds: simulated seconds that are measured.
    """
    fleet = SimulatedFleet(entries, {0: agents}, without_neighbour=True)
    fleet.run(WARM_UP_S)
    fleet.reset_counters()
    fleet.run(seconds)
    return fleet.observed_traffic


def measure_owner(jobs_count: int, seconds: float = OWNER_SECONDS) -> Traffic:
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
    traffic = Traffic()
    for step in range(round((seconds + OWNER_WARM_UP_S) / DAEMON_TICK_S)):
        now += DAEMON_TICK_S
        start_time = time.process_time()
        sent = [
            effect.message
            for effect in owner.tick(now)
            if isinstance(effect, effects.Send)
        ]
        replies = [
            gang_messages.JobUpdate(message.job.id, 'queued')
            for message in sent
        ]
        for update in replies:
            owner.receive(now, 'entry-01', update)
        if step * DAEMON_TICK_S < OWNER_WARM_UP_S:
            continue
        traffic.processor += time.process_time() - start_time
        for start in range(0, len(sent), 64):
            batch = sent[start : start + 64]
            reply = replies[start : start + 64]
            encoded = sum(
                len(codec.encode_frame(_make_frame(name, part)))
                for name, part in (('entry-00', batch), ('entry-01', reply))
            )
            traffic.messages += len(batch)
            traffic.exchanges += 1
            traffic.encoded += encoded
            traffic.wire += get_wire_bytes(encoded)
    return traffic


def make_job(index: int) -> jobs.Job:
    """Build a job of typical size."""
    return jobs.Job(
        f'job-{index:012x}',
        f'account-{index % 37}',
        jobs.JobSpec(accelerators=8, command=['/opt/run', '--shard', 'auto']),
    )


def make_peer(name: str, role: str, data_centre: int) -> messages.Peer:
    return messages.Peer(
        name,
        'f' * 12,
        role,
        'tcp://10.20.30.40:7601',
        f'region-{data_centre % REGIONS}',
        f'data-centre-{data_centre}',
        'http://10.20.30.40:8080',
    )


def _make_frame(sender: str, batch: list[messages.Message]) -> messages.Frame:
    return messages.Frame(
        sender, 'f' * 12, 'tcp://10.20.30.40:7601', tuple(batch)
    )


def _is_between_regions(
    first_data_centre: int, second_data_centre: int
) -> bool:
    return first_data_centre % REGIONS != second_data_centre % REGIONS

"""Simulated writes of the record of silent agents to the store."""

from __future__ import annotations

import random

from damaskpin.coordinator import silent_agents
from tests.test_coordinator import disturbances

# Each takeover of this number is by an entry that has just started, which
# doesn't know the former coordinator.
NEW_ENTRY_INTERVAL = 5


class SilenceWrites:
    """Writes the records of silent agents, some late or without an answer.

    As in the shipping writer, a record is written again until there is an
    answer. A write has no effect once another write or another coordinator
    has followed.

    :param simulation: simulation with the coordinator.
    :ivar counts: number of agents that were recorded, and of recorded agents
        at takeovers, by name.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._random = random.Random(1)
        self._takeovers = 0
        self._value = None
        self._seen = 0.0
        self._revision = 0
        self._coordinator = None
        self._pending = None
        self._is_under_way = False
        self.counts = {'recorded': 0, 'takeovers': 0}

    def advance(self):
        """Write the record that is due, or the one without an answer."""
        simulation = self._simulation
        coordinator = simulation.coordinator
        if coordinator is not self._coordinator:
            self._coordinator = coordinator
            self._pending = None
            self._is_under_way = False
        if self._pending is None:
            record = coordinator.silence_records.make_due_record(
                simulation.now
            )
            if record is None:
                return
            self.counts['recorded'] += len(record.ages)
            value = silent_agents.encode_record(record)
            self._pending = (value, self._revision)
        if simulation.leader_lease.is_store_away():
            return
        if not self._is_under_way and not simulation.is_lost():
            self._send(coordinator, self._pending)

    def get_answers(self):
        """Return the latest answers that the record tells an entry."""
        self._takeovers += 1
        if self._value is None or self._takeovers % NEW_ENTRY_INTERVAL == 0:
            return {}
        record = silent_agents.decode_record(self._value)
        if record.fence != self._simulation.fence - 1:
            return {}
        self.counts['takeovers'] += len(record.ages)
        return {agent: self._seen - age for agent, age in record.ages.items()}

    def _send(self, coordinator, write):
        simulation = self._simulation
        delay = simulation.disturbances.draw_write_delay()
        if delay:
            self._is_under_way = self._random.random() < 0.5
            is_answered = self._is_under_way
            simulation.schedule(
                delay,
                lambda: self._carry_out(coordinator, write, is_answered),
            )
            return
        loss = simulation.disturbances.draw_loss(disturbances.STORE_WRITES)
        if loss is not disturbances.Loss.REQUEST:
            self._carry_out(coordinator, write, loss is None)

    def _carry_out(self, coordinator, write, is_answered):
        """Carry out a write, unless another one has followed."""
        if coordinator is not self._simulation.coordinator:
            return
        if self._simulation.leader_lease.is_store_away():
            self._is_under_way = False
            return
        value, expected = write
        if expected == self._revision:
            self._value = value
            self._revision += 1
            self._seen = self._simulation.now
        if is_answered and write is self._pending:
            assert self._value == value
            self._pending = None
            self._is_under_way = False
            coordinator.silence_records.record_stored()

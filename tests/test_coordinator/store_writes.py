"""Simulated writes of the coordinator to the store."""

from __future__ import annotations

from damaskpin.coordinator import records
from tests.test_coordinator import disturbances
from tests.test_coordinator import silence_writes


class StoreWrites:
    """Writes the progress of jobs, sometimes late or without an answer.

    As in the shipping writer, there is one write of a job at a time, and a
    write has no effect once another coordinator has taken over.

    :param simulation: simulation with the coordinator and the store.
    :ivar silences: writes of the record of silent agents.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._pending = set()
        self.silences = silence_writes.SilenceWrites(simulation)

    def advance(self):
        """Write the progress that is not stored yet."""
        simulation = self._simulation
        coordinator = simulation.coordinator
        self.silences.advance()
        if simulation.leader_lease.is_store_away():
            return
        for job in coordinator.list_unstored_jobs():
            if simulation.is_lost():
                continue
            if (coordinator, job.id) in self._pending:
                continue
            value = records.encode_progress(job.progress)
            self._write(coordinator, job.id, value, job.progress.version)

    def _write(self, coordinator, job_id, value, version):
        simulation = self._simulation
        delay = simulation.disturbances.draw_write_delay()
        if delay:
            self._pending.add((coordinator, job_id))
            if simulation.random.random() < 0.5:
                # Only the answer is late.
                simulation.store[job_id] = value
            simulation.schedule(
                delay,
                lambda: self._arrive(coordinator, job_id, value, version),
            )
            return
        loss = simulation.disturbances.draw_loss(disturbances.STORE_WRITES)
        if loss is disturbances.Loss.REQUEST:
            return
        simulation.store[job_id] = value
        if loss is None:
            coordinator.record_stored(job_id, version)

    def _arrive(self, coordinator, job_id, value, version):
        """Carry out a late write, or let its late answer arrive."""
        self._pending.discard((coordinator, job_id))
        if self._simulation.leader_lease.is_store_away():
            return
        if coordinator is self._simulation.coordinator:
            self._simulation.store[job_id] = value
            coordinator.record_stored(job_id, version)

"""Simulated processes of the workers: their starts, heartbeats and ends."""

from __future__ import annotations

from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import fakeworker

# Capacity of a worker that has come back on a smaller machine.
SMALL_CAPACITY = work.Resources(2000, 2000, 2)
# Longest delay of a heartbeat in seconds.
MAX_HEARTBEAT_DELAY_S = 6.0
# Unix time in milliseconds to which the birth of the first worker is added.
FIRST_BIRTH_MS = 1_000_000
# Milliseconds by which the time of day is set back. Fewer workers start in a
# play, so that no two have the same birth.
CLOCK_STEP_MS = 1000


class WorkerProcesses:
    """Starts the processes of workers and carries their heartbeats.

    :param simulation: simulation of the agents beside the workers.
    :ivar late_heartbeat_rate: share of heartbeats that are delayed.
    :ivar lost_heartbeat_rate: share of heartbeats that are lost.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._birth_offset = FIRST_BIRTH_MS
        self.late_heartbeat_rate = 0.0
        self.lost_heartbeat_rate = 0.0

    def set_time_of_day_back(self):
        """Let later workers have lower births than earlier ones."""
        self._birth_offset -= CLOCK_STEP_MS

    def start(self, instance, name, capacity):
        """Start a worker.

        Its first heartbeat is delayed by up to a second.
        """
        simulation = self._simulation
        simulation.worker_count += 1
        instance.worker = fakeworker.FakeWorker(
            name,
            simulation.worker_count + self._birth_offset,
            capacity,
            simulation.random.choice([0.98, 1.0]),
            self._check_start,
            self._record_end,
            self._record_noted,
        )
        instance.worker.on_void = simulation.oracle.record_void
        instance.worker.clock_origin = simulation.now
        if instance.is_suspended(simulation.now):
            # The machine starts it once it is awake.
            instance.down_until = max(
                instance.down_until, instance.suspended_until
            )
            instance.worker.suspend(
                simulation.now, instance.suspended_until - simulation.now
            )
        instance.next_heartbeat = (
            instance.down_until + simulation.random.uniform(0.0, 1.0)
        )

    def shrink(self, instance, start_time=0.0):
        """Replace a worker by a smaller one with the same id.

        :param start_time: time in seconds that the smaller one takes to start;
            its clock is at zero when it is up.
        """
        instance.worker.crash()
        instance.down_until = self._simulation.now + start_time
        name = instance.worker.lifetime.worker
        self.start(instance, name, SMALL_CAPACITY)
        instance.worker.clock_origin = instance.down_until

    def leave(self, instance, is_heard=True):
        """Let a worker drain, announce that it leaves, and end.

        :param is_heard: whether the worker hears the answer to its notice and
            ends at once. Otherwise it goes on for some seconds, although the
            agent may have the notice.
        """
        worker = instance.worker
        worker.draining = True
        self._simulation.schedule(
            self._simulation.random.uniform(0.3, 3.0),
            lambda: self._send_leave(instance, worker, is_heard),
        )

    def leave_unheard(self, instance, notice_delay):
        """Let a worker leave that hears no answer to its notice.

        It goes on for some seconds after the notice.

        :param notice_delay: seconds by which the notice is late, so that it
            may arrive after the worker's end; ``None`` if it is lost.
        """
        simulation = self._simulation
        worker = instance.worker
        worker.draining = True
        sent = simulation.random.uniform(0.3, 3.0)
        if notice_delay is not None:
            name = worker.lifetime.worker
            simulation.schedule(
                sent + notice_delay,
                lambda: self._deliver_notice(instance, name),
            )
        simulation.schedule(
            sent + simulation.random.uniform(1.0, 8.0),
            lambda: self._end(instance, worker),
        )

    def send_heartbeat(self, instance):
        """Send a heartbeat, sometimes late and out of order."""
        simulation = self._simulation
        profile = make_profile(instance.worker, instance.rack, instance.labels)
        clock = instance.worker.get_clock(simulation.now)

        def arrive():
            simulation.pass_to_agent(instance, handle)

        def handle():
            instance.agent.handle_heartbeat(simulation.now, profile, clock)

        rate = self.lost_heartbeat_rate
        if rate and simulation.random.random() < rate:
            return
        rate = self.late_heartbeat_rate
        if rate and simulation.random.random() < rate:
            delay = simulation.random.uniform(0.5, MAX_HEARTBEAT_DELAY_S)
            simulation.schedule(delay, arrive)
            return
        arrive()

    def _send_leave(self, instance, worker, is_heard):
        simulation = self._simulation
        if instance.worker is not worker:
            return
        if self._postpone(
            instance, lambda: self._send_leave(instance, worker, is_heard)
        ):
            return
        name = worker.lifetime.worker
        if is_heard and not instance.is_frozen(simulation.now):
            instance.agent.handle_leave(simulation.now, name)
            simulation.restart_worker(instance)
            return
        if not is_heard:
            self._deliver_notice(instance, name)
        simulation.schedule(
            simulation.random.uniform(1.0, 8.0),
            lambda: self._end(instance, worker),
        )

    def _deliver_notice(self, instance, name):
        simulation = self._simulation
        simulation.pass_to_agent(
            instance,
            lambda: instance.agent.handle_leave(simulation.now, name),
        )

    def _end(self, instance, worker):
        if instance.worker is not worker:
            return
        if self._postpone(instance, lambda: self._end(instance, worker)):
            return
        self._simulation.restart_worker(instance)

    def _postpone(self, instance, action):
        """Put off what a suspended machine does; return whether it is one."""
        simulation = self._simulation
        if not instance.is_suspended(simulation.now):
            return False
        simulation.schedule(instance.suspended_until - simulation.now, action)
        return True

    # Called by the workers

    def _check_start(self, worker, run, order):
        simulation = self._simulation
        if run.item.job in simulation.crashing_jobs:
            simulation.crashing_workers.append(worker)
        simulation.oracle.check_start(worker, run)

    def _record_end(self, worker, run, ending):
        self._simulation.oracle.record_end(run, ending)

    def _record_noted(self, worker, row):
        self._simulation.oracle.record_noted(row)


def make_profile(worker, rack='r1', labels=('a', 'r1')):
    """Return the profile that a worker's heartbeat carries now."""
    return orders.WorkerProfile(
        worker.lifetime,
        's',
        'dc',
        rack,
        labels,
        worker.capacity,
        worker.draining,
        0.0,
    )

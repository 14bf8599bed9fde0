"""Simulation of a fleet with long and wide jobs that loses all at once."""

from __future__ import annotations

import math

from damaskpin.coordinator import run_stages
from damaskpin.model import work
from damaskpin.platform import settings
from tests.test_coordinator import gang_members
from tests.test_coordinator import idle_check
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

INSTANCES = 11
CAPACITY = work.Resources(128_000, 524_288, 8)
# Accelerators that are guaranteed to the account of all jobs.
GUARANTEE = 16

# Slowdown of a work item in another rack than its data.
FAR_FACTOR = 3.0
# Share by which equal work items differ, to either side.
UNEVEN = 0.15
# Seconds after which a run that always fails has failed.
FAILURE_S = 1.0

# Shortest and longest time in seconds for which all processes are down, and
# until a worker that has come back is lost for good.
DOWN_S = (0.3, 3.0)
LOST_AGAIN_S = (0.3, 12.0)
# Most workers that do not come back, or that are lost again.
MAX_LOST = 4

# Time in seconds without a run from which a job is recorded as waiting: starts
# take some tenths of a second.
MIN_WAIT_S = 1.0


class Installation:
    """Configuration that guarantees each account the same accelerators."""

    def get_guarantee(self, _account):
        """Return the accelerators guaranteed to an account."""
        return GUARANTEE


class HoldCheck(idle_check.IdleCheck):
    """Measures for how long after a loss the books keep work.

    :param simulation: simulation in which all processes were just lost.
    :ivar latest_by_cause: seconds after the loss at which a job has last
        waited beside room, by what kept its work.
    :ivar latest_by_stage: seconds after the loss at which the books last had
        a run on a worker that is gone, by the stage of the run.
    """

    def __init__(self, simulation):
        super().__init__(simulation, is_limit=False)
        self.latest_by_cause = {}
        self.latest_by_stage = {}

    def observe(self):
        """Measure the waits and the runs in the books at this time."""
        super().observe()
        simulation = self._simulation
        now = simulation.now
        living = {
            instance.worker.lifetime
            for instance in simulation.instances
            if now >= instance.down_until
        }
        for worker in simulation.coordinator.workers.values():
            if worker.lifetime in living:
                continue
            for placed in worker.runs.values():
                stage = run_stages.find_stage(now, worker, placed).value
                self.latest_by_stage[stage] = now - self._healed

    def _record_cause(self, wait, cause):
        if wait >= MIN_WAIT_S:
            elapsed = self._simulation.now - self._healed
            self.latest_by_cause[cause] = elapsed


class FleetSimulation(simulations.Simulation):
    """Simulation of workers with accelerators and of runs that last.

    Runs end after the time that their step tells, also before the last fault.

    :ivar failing_jobs: ids of jobs whose runs fail.
    :ivar hold_check: check of what holds work since the loss of all processes;
        ``None`` before.
    """

    capacity = CAPACITY
    # Some jobs have two steps of 45 s for each work item.
    heal_s = 300.0

    def __init__(self, seed, has_overlapping_calls=False):
        self.failing_jobs = set()
        self.hold_check = None
        super().__init__(seed, INSTANCES, has_overlapping_calls)
        for index, instance in enumerate(self.instances):
            racks = waiting_actions.RACKS
            instance.rack = racks[index % len(racks)]
            instance.labels = ('a', instance.rack)
            if index % waiting_actions.LABEL_INTERVAL == 0:
                instance.labels += (waiting_actions.LABEL,)

    def get_grant(self):
        """Return the grant of the program's agents in seconds."""
        return settings.GRANT_DURATION_S

    def replace_coordinator(self):
        """Start a new coordinator, which knows the guarantees."""
        super().replace_coordinator()
        self.coordinator.set_installation(Installation())

    def lose_all(self, fault):
        """Lose all processes at once; most come back soon.

        :param fault: which processes are lost, and which of them for good.
        """
        down_s = self.random.uniform(*DOWN_S)
        instances = list(self.instances)
        if fault != 'loss of agents and coordinator':
            for instance in instances:
                self._restart(instance, down_s, fault == 'loss with new ids')
        for instance in instances:
            self.restart_agent(instance)
            instance.disconnected = True
            instance.frozen_until = self.now + down_s
        self.replace_coordinator()
        self.hold_check = HoldCheck(self)
        count = self.random.randint(1, MAX_LOST)
        # Others may have been lost before.
        lost = self.random.sample(instances, min(count, len(instances)))
        if fault == 'loss with workers that stay away':
            waiting_actions.lose(self, lost)
        self.schedule(down_s, lambda: self._come_back(instances))
        if fault == 'loss with workers that are lost again':
            for instance in lost:
                delay = down_s + self.random.uniform(*LOST_AGAIN_S)
                self._lose_later(instance, delay)

    def _restart(self, instance, down_s, has_new_id):
        name = instance.worker.lifetime.worker
        if has_new_id:
            name = f'w{self.worker_count + 1}'
        instance.worker.crash()
        instance.down_until = self.now + down_s
        self.processes.start(instance, name, self.capacity)

    def _come_back(self, instances):
        for instance in instances:
            if not math.isinf(instance.down_until):
                instance.disconnected = False

    def _lose_later(self, instance, delay):
        def lose():
            if self.idle_check is None and instance in self.instances:
                waiting_actions.lose(self, [instance])

        self.schedule(delay, lose)

    def _advance(self):
        for instance in self.instances:
            # Runs without progress would be moved as stalled.
            instance.worker.get_percent = self._get_percent
        super()._advance()
        if self.idle_check is None:
            self._end_old_runs()
        if self.hold_check is not None:
            self.hold_check.observe()

    def _get_percent(self, active_run, now):
        duration = self._get_duration(None, active_run.run)
        return min(100.0 * (now - active_run.began) / duration, 99.0)

    def _get_duration(self, instance, run):
        """Return the seconds that a run lasts.

        :param instance: instance that it runs on; ``None`` for the best one.
        """
        if run.item.job in self.failing_jobs:
            return FAILURE_S
        step = self.submissions[run.item.job].steps[run.item.step]
        share = (run.item.index * 7 + run.item.step * 3) % 10 / 10
        duration = step.estimate * (1.0 - UNEVEN + 2 * UNEVEN * share)
        if instance and step.data_rack not in ('', instance.rack):
            duration *= FAR_FACTOR
        return duration

    def _end_old_runs(self):
        for instance in self.instances:
            for run, active_run in list(instance.worker.running.items()):
                if run not in instance.worker.running:
                    continue
                duration = self._get_duration(instance, run)
                if self.now - active_run.began < duration:
                    continue
                if run.item.job in self.failing_jobs:
                    instance.worker.finish(run, work.Ending.FAILED)
                elif gang_members.is_complete(self, run):
                    instance.worker.finish(run, work.Ending.DONE)
                    gang_members.finish_members(self, run)

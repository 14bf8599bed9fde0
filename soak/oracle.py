"""Test oracle: checks the starts and ends of runs against the guarantees.

Workers and clients of the soak test report what they see.
"""

from __future__ import annotations

import time

from soak import failures

# Seconds after which no run of a cancelled job may start. An instance that is
# cut off from the coordinator may start runs until its grant of 13.5 s ends.
MAX_START_AFTER_CANCEL_S = 15.0


class Oracle:
    """Checks the runs of tasks.

    A task may have one live run at a time, and none after its recorded end,
    after its cancellation, or if its job was refused. A job is shown as failed
    only after its attempts.

    :ivar failures: runs that fail, and those that have failed.
    :ivar violations: descriptions of broken guarantees.
    :ivar live_runs: worker by (worker id, run number), for each task.
    :ivar unrecorded_ends: task by (worker id, start time of the worker,
        serial) of each completed run whose end is not yet acknowledged.
    :ivar recorded_tasks: tasks whose completion is acknowledged.
    :ivar started_jobs: jobs of which a run has started.
    :ivar cancelled: time of the acknowledged cancellation, by job.
    :ivar start_count: number of started runs.
    """

    def __init__(self, rng, clock=time.monotonic):
        self.clock = clock
        self.rng = rng
        self.violations = []
        self.failures = failures.Failures()
        self.live_runs = {}
        self.unrecorded_ends = {}
        self.recorded_tasks = set()
        self.started_jobs = set()
        self.cancelled = {}
        self.failed_submissions = set()
        self.start_count = 0

    def record_start(self, worker, task, run_number):
        """Record the start of a run and check whether it was allowed."""
        self.start_count += 1
        self.failures.record_start(task, run_number)
        job = task.split('.')[0]
        self.started_jobs.add(job)
        delay = self.clock() - self.cancelled.get(job, self.clock())
        if delay > MAX_START_AFTER_CANCEL_S:
            self.violations.append(
                f'{task} starts {delay:.1f} s after its cancellation'
            )
        for live_worker in list(self.live_runs.get(task, {}).values()):
            # A worker ends expired runs only when it is called, and a worker
            # that is cut off gets no calls.
            live_worker.advance()
        for other in self.live_runs.get(task, {}):
            self.violations.append(
                f'{task} starts as run {run_number} on {worker.name} while '
                f'{other} is live'
            )
        if task in self.recorded_tasks:
            self.violations.append(f'{task} starts after its recorded end')
        self.live_runs.setdefault(task, {})[(worker.name, run_number)] = worker

    def record_cancelled(self, job):
        """Record the time at which a cancellation was acknowledged."""
        self.cancelled.setdefault(job, self.clock())

    def record_end(self, worker, task, run_number, outcome, serial, ended_at):
        """Record the end of a run.

        :param ended_at: monotonic time of the worker in milliseconds.
        """
        if outcome == 'failed':
            self.failures.record_failure(task, run_number, ended_at)
        self.live_runs.get(task, {}).pop((worker.name, run_number), None)
        if outcome == 'done':
            self.unrecorded_ends[(worker.name, worker.start_time, serial)] = (
                task
            )

    def record_worker_crash(self, worker):
        """Remove all live runs of a worker that has crashed."""
        for task, runs in self.live_runs.items():
            for key, live_worker in list(runs.items()):
                if live_worker is worker:
                    del runs[key]
                    self.failures.record_crash(task, key[1])
        for _, task, run_number, _, _ in worker.ended:
            self.failures.record_crash(task, run_number)

    def record_acknowledged_ends(self, worker, last_serial):
        """Record that an agent has acknowledged ends of runs.

        :param worker: worker on which the runs ended.
        :param last_serial: serial number of the last acknowledged end.
        """
        for key, task in list(self.unrecorded_ends.items()):
            if (
                key[:2] == (worker.name, worker.start_time)
                and key[2] <= last_serial
            ):
                self.recorded_tasks.add(task)
                del self.unrecorded_ends[key]

    def check_refused(self, refused):
        """Check that no job has run whose submissions were all refused.

        :param refused: ids of these jobs.
        """
        for job in refused & self.started_jobs:
            self.violations.append(
                f'{job} ran although all its submissions were refused'
            )

    def check_failed(self, failed_jobs, attempts):
        """Check that each job that is shown as failed has no attempts left.

        :param failed_jobs: reasons of these jobs by id.
        :param attempts: failed runs after which a job fails.
        """
        self.violations += self.failures.list_unexplained(
            failed_jobs, attempts
        )

    def check_withdrawn(self, withdrawn):
        """Check that no job has run that was cancelled as an unknown one.

        :param withdrawn: ids of these jobs.
        """
        for job in withdrawn & self.started_jobs:
            self.violations.append(
                f'{job} ran although its cancel was answered with 410'
            )

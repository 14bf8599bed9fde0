"""A coordinator beside the watch for jobs that wait, for tests of its log."""

from __future__ import annotations

import logging

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import records
from damaskpin.entry import view as views
from damaskpin.entry import work_watch
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_coordinator import builders

NOW = builders.NOW
WALL = builders.WALL
FENCE = 4
STEP_S = 0.25

# Time within which a wait that begins at once is logged, in seconds.
LATE_S = work_watch.MAX_WAIT_S + 2 * work_watch.CHECK_INTERVAL_S

WAIT_MESSAGE = 'job waits although there is room'
END_MESSAGE = 'job waits no more'


class Scene:
    """Workers whose agents report, a coordinator, and the watch beside it.

    Its time begins at ``NOW``. The workers list the runs in ``listed``, by
    worker id, whatever the books have; those in ``accepted`` are accepted.

    :ivar silent: ids of the workers that do not answer their agents.
    :ivar unreported: ids of the workers whose agents do not report.
    :ivar decides: whether placement passes are made.
    :ivar leads: whether the coordinator holds a valid lease.
    :ivar is_stopped: whether the entry has discarded its coordinator.
    :ivar follows: whether another entry coordinates.
    """

    def __init__(self, workers=2, rack_size=3):
        self.ledger = builders.make_ledger(workers, rack_size)
        self.coordinator = coordinators.Coordinator(
            'c', FENCE, self.ledger, None
        )
        self.view = views.JobView()
        self.watch = work_watch.WorkWatch(self.view)
        self.lists = [
            (worker.agent, worker.profile)
            for worker in self.ledger.workers.values()
        ]
        self.listed = {}
        self.accepted = {}
        self.silent = set()
        self.unreported = set()
        self.decides = True
        self.leads = True
        self.is_stopped = False
        self.follows = False
        self.sequence = 0
        self.revision = 0
        self.now = NOW

    def submit(self, *steps, job_id='job', **more):
        """Accept a job, which the books and the store have then."""
        job = builders.submit(
            self.ledger, job_id, *steps, now=self.now, **more
        )
        self.put(
            layout.make_job_key(job_id),
            records.encode_submission(job.submission),
        )
        return job

    def put(self, key, value):
        """Store a value."""
        self.revision += 1
        item = transactions.StoredItem(
            key, value, self.revision, self.revision
        )
        self.view.apply(item, self.now)

    def store(self, job):
        """Store the progress of a job."""
        self.put(
            layout.make_progress_key(job.id),
            records.encode_progress(job.progress),
        )
        self.coordinator.record_stored(job.id, job.progress.version)

    def get_worker(self, worker_id):
        """Return a worker as the books have it."""
        (worker,) = [
            w
            for w in self.ledger.workers.values()
            if w.lifetime.worker == worker_id
        ]
        return worker

    def list_placed(self):
        """List all runs of the books as running on their workers."""
        self.listed = {
            worker.lifetime.worker: tuple(worker.runs)
            for worker in self.ledger.workers.values()
        }

    def play(self, seconds=LATE_S, change=None):
        """Let time pass.

        :param change: called before each placement pass.
        """
        end = self.now + seconds
        while self.now <= end:
            self._report()
            if change is not None:
                change()
            wall = WALL + self.now - NOW
            if self.decides:
                self.coordinator.decide(self.now, wall)
            coordinator = None if self.is_stopped else self.coordinator
            if self.follows:
                self.watch.follow(self.now)
            else:
                self.watch.check(self.now, wall, coordinator, self.leads)
            self.now += STEP_S

    def make_report(self, agent, profile, sequence):
        """Return an agent's report with the lists of its worker."""
        runs = self.listed.get(profile.lifetime.worker, ())
        return orders.Report(
            agent,
            self.now,
            sequence,
            profile,
            None,
            FENCE,
            FENCE,
            tuple(work.RunningRun(run, '', 0.0) for run in runs),
            (),
            self.accepted.get(profile.lifetime.worker, ()),
            (),
            1.0 if profile.lifetime.worker in self.silent else 0.0,
        )

    def _report(self):
        self.sequence += 1
        for agent, profile in self.lists:
            if profile.lifetime.worker in self.unreported:
                continue
            report = self.make_report(agent, profile, self.sequence)
            self.watch.record_report(self.now, report)
            worker = self.ledger.workers.get(profile.lifetime)
            if worker is not None:
                worker.last_report_time = self.now
                worker.silence = report.silence


def list_waits(caplog):
    """Return the lines about jobs that wait."""
    return [r for r in caplog.records if r.message == WAIT_MESSAGE]


def list_ends(caplog):
    """Return the lines about the ends of waits."""
    return [r for r in caplog.records if r.message == END_MESSAGE]


def capture(caplog):
    """Capture all lines that a watch may write."""
    caplog.set_level(logging.INFO)


def play_to_line(scene, caplog, change=None):
    """Return the line about the job that waits."""
    scene.play(change=change)
    (record,) = [r for r in list_waits(caplog) if r.job == 'job']
    return record


def make_ready_scene(**more):
    """Return a scene whose job is ready; the test tells the passes."""
    scene = Scene(**more)
    scene.decides = False
    job = scene.submit(builders.make_step(2))
    (unit, _) = job.iterate_ready(NOW, builders.WALL)
    return scene, unit


def trace_pass(scene, unit, outcome):
    """Return a function that traces a pass with one unit in it."""

    def trace():
        scene.ledger.pass_trace.begin(scene.now)
        scene.ledger.pass_trace.record_outcome(unit, outcome)

    return trace

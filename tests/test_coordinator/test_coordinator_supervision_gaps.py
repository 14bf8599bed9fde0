"""Tests of the rate of runs around times without lists of their worker."""

from __future__ import annotations

from damaskpin.coordinator import supervision
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
RUN_S = 60.0
LIST_INTERVAL_S = 0.5


class _Run:
    """A sound run of a work item, and the lists that the coordinator gets."""

    def __init__(self):
        self.now = NOW
        self.worked = 0.0
        self.ledger = builders.make_ledger(workers=2)
        builders.submit(self.ledger, 'job', builders.make_step(1, 1, RUN_S))
        builders.decide(self.ledger)
        builders.report_all_runs_begun(self.ledger, NOW)

    def work(self, seconds):
        """Let the run work while its worker lists it."""
        end = self.now + seconds
        while self.now < end:
            self.now += LIST_INTERVAL_S
            self.worked += LIST_INTERVAL_S
            self._list(self.worked, 0.0)

    def work_unseen(self, seconds):
        """Let the run work while its agent repeats the latest list."""
        listed = self.worked
        self.worked += seconds
        silence = 0.0
        while silence < seconds:
            self.now += LIST_INTERVAL_S
            silence += LIST_INTERVAL_S
            self._list(listed, silence)

    def stand_still(self, seconds):
        """Let time pass without lists, in which the run does not work."""
        self.now += seconds

    def is_stopped(self):
        return builders.list_stopping_jobs(self.ledger) != []

    def _list(self, worked, silence):
        percent = float(int(100.0 * worked / RUN_S))
        for worker in self.ledger.workers.values():
            worker.last_report_time = self.now
            worker.silence = silence
            for placed in worker.runs.values():
                row = work.RunningRun(placed.run, '', percent)
                placed.update_from_list(row, self.now, silence)
        supervision.stop_faulty_runs(self.now, self.ledger)


def test_run_of_a_suspended_machine_is_not_slow():
    """Guards against sound work that is stopped after a suspension.

    The rate of the run was measured over the suspension of its machine.
    """
    run = _Run()
    run.work(6.5)
    run.stand_still(4.0)
    run.work(10.0)
    assert not run.is_stopped()


def test_run_of_a_silent_worker_is_not_slow_afterwards():
    """Guards against sound work that is stopped after a cut of its worker.

    All progress of the cut counted for the time since the worker answers, so
    that the usual rate was slow against it.
    """
    run = _Run()
    run.work(6.5)
    run.work_unseen(5.5)
    run.work(10.0)
    assert not run.is_stopped()

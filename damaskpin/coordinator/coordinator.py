"""Scheduling decisions for all jobs, made by one entry at a time."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import advisor_questions
from damaskpin.coordinator import agent_processes
from damaskpin.coordinator import contact
from damaskpin.coordinator import crashes
from damaskpin.coordinator import grants
from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import placement
from damaskpin.coordinator import removals
from damaskpin.coordinator import restarts
from damaskpin.coordinator import run_lists
from damaskpin.coordinator import run_orders
from damaskpin.coordinator import silence_records
from damaskpin.coordinator import supervision
from damaskpin.coordinator import unanswered_starts
from damaskpin.coordinator import wait_reasons
from damaskpin.model import work
from damaskpin.peer import orders

if TYPE_CHECKING:
    import collections

    from damaskpin.coordinator import job as job_module
    from damaskpin.coordinator import worker_state
    from damaskpin.model import installation as installations

LOG = logging.getLogger(__name__)

# Time after which waiting units are tried again if nothing has changed, in
# seconds.
RECHECK_INTERVAL_S = 0.25


class Coordinator:
    """Decides which worker runs each work item, and which runs are stopped.

    All times are in seconds. ``now`` is the time of a steady clock that also
    runs while the process is suspended; ``wall`` is Unix time.

    :param instance: instance id of the entry that coordinates.
    :param fence: fencing token of this coordinator.
    :param ledger: jobs, workers and runs.
    :param installation: configuration; ``None`` until it is known.
    :ivar entries: addresses of all entries, for the orders.
    :ivar lease_renewed: time in seconds of the latest confirmed renewal of
        this coordinator's lease.
    :ivar silence_records: records of the agents that do not report.
    """

    __slots__ = (
        '_agent_processes',
        '_installation',
        '_instance',
        '_ledger',
        '_next_check',
        '_sequence',
        'entries',
        'fence',
        'lease_renewed',
        'silence_records',
    )

    def __init__(
        self,
        instance: str,
        fence: int,
        ledger: ledgers.RunLedger,
        installation: installations.Installation | None,
    ) -> None:
        self._instance = instance
        self.fence = fence
        self._ledger = ledger
        self._agent_processes = agent_processes.AgentProcesses()
        self.silence_records = silence_records.SilenceRecords(ledger, fence)
        self._installation = installation
        self._sequence = 0
        self._next_check = 0.0
        self.entries: tuple[str, ...] = ()
        self.lease_renewed = math.inf

    @property
    def jobs(self) -> dict[str, job_module.Job]:
        """Return the known jobs by id."""
        return self._ledger.jobs

    @property
    def counts(self) -> collections.Counter[str]:
        """Return the number of run events by name since the start."""
        return self._ledger.counts

    @property
    def lost_work(self) -> lost_work.LostWork:
        """Return the account of lost work since the start."""
        return self._ledger.lost_work

    @property
    def workers(self) -> dict[work.Lifetime, worker_state.Worker]:
        """Return the known workers by lifetime."""
        return self._ledger.workers

    def set_installation(
        self, installation: installations.Installation
    ) -> None:
        """Set the configuration that is in force."""
        self._installation = installation
        self._ledger.changed = True

    def add_job(self, now: float, job: job_module.Job) -> None:
        """Add a job with its stored progress."""
        self._ledger.add_job(now, job)

    def cancel_job(self, wall: float, job_id: str) -> None:
        """Cancel a job and stop its runs, unless the job has ended."""
        job = self.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        if job.is_final():
            return
        job.finish(work.JobState.CANCELED, wall)
        LOG.info('job cancelled', extra={'job': job_id})
        self._ledger.stop_job(job, lost_work.Cause.CANCELLED, 'job cancelled')
        self._ledger.changed = True

    def forget_job(self, job_id: str) -> None:
        """Remove a job whose record was deleted from the store."""
        self.jobs.pop(job_id, None)
        self._ledger.tickets.forget_job(job_id)

    def record_stored(self, job_id: str, version: int) -> None:
        """Record that a version of a job's progress is stored.

        Start orders and acknowledgements of ended runs wait for this.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.stored_version = max(job.stored_version, version)
        for worker in self.workers.values():
            if worker.pending_ends:
                worker.orders_due = True
                continue
            for placed in worker.runs.values():
                if placed.job is job and not placed.confirmed:
                    worker.orders_due = True

    def list_unstored_jobs(self) -> list[job_module.Job]:
        """Return the jobs with progress that is not stored yet."""
        return [
            job for job in self.jobs.values() if job.has_unstored_changes()
        ]

    def is_superseded(self, report: orders.Report) -> bool:
        """Return whether a later process of the agent has reported."""
        return self._agent_processes.is_superseded(report)

    def handle_report(
        self, now: float, wall: float, report: orders.Report, address: str
    ) -> worker_state.Worker | None:
        """Apply the report of an agent.

        :param address: address of the agent.
        :returns: the worker that the report is about; ``None`` if there is
            none or the report is outdated.
        """
        self.silence_records.record_report(now, report.agent)
        if not self._agent_processes.admit(report):
            LOG.info(
                'overtaken report ignored',
                extra={'agent': report.agent, 'sequence': report.sequence},
            )
            return None
        for crash in report.crashes:
            crashes.record_crash(now, wall, self._ledger, crash)
        if report.left is not None:
            self._ledger.remove_worker(
                now, report.left, removals.Proof.WORKER_LEFT
            )
        profile = report.profile
        if profile is None or profile.lifetime == report.left:
            return None
        worker = self._ledger.find_worker(
            now,
            report.agent,
            profile.lifetime,
            report.list_fence == self.fence,
        )
        if worker is None:
            return None
        worker.address = address
        worker.last_report_time = now
        worker.report_time = report.time
        worker.process = report.process
        worker.reads_contents = report.reads_contents
        contact.record_contact(now, self._ledger, self.fence, worker, report)
        draining = worker.profile is not None and worker.profile.draining
        worker.set_profile(profile)
        if report.list_fence == self.fence:
            run_lists.apply_run_lists(now, wall, self._ledger, worker, report)
        if profile.draining and not draining:
            self._ledger.drain_worker(now, worker)
        return worker

    def decide(self, now: float, wall: float) -> None:
        """Place ready units, and stop expired, faulty and preempted runs."""
        ledger = self._ledger
        ledger.remove_expired_workers(now)
        restarts.remove_replaced_runs(now, ledger)
        crashes.review_crashes(now, wall, ledger)
        if not ledger.changed and now < self._next_check:
            return
        ledger.changed = False
        self._next_check = now + RECHECK_INTERVAL_S
        supervision.stop_faulty_runs(now, ledger)
        unanswered_starts.stop_unanswered_starts(now, ledger)
        placement.place_ready_units(now, wall, ledger, self._get_guarantee)

    def list_last_grants(self) -> grants.LastGrants:
        """Return from when on the last grants of this coordinator count."""
        return self.silence_records.list_last_grants(self.lease_renewed)

    def describe_unheard_workers(self, now: float) -> dict[str, object]:
        """Return log fields of the workers that no agent has reported yet."""
        return self._ledger.describe_unheard_workers(now)

    def explain_waits(
        self, now: float, wall: float, questions: list[wait_reasons.Question]
    ) -> list[wait_reasons.Explanation]:
        """Return why each of some jobs waits, as the books tell."""
        return wait_reasons.explain(now, wall, self._ledger, questions)

    def take_advisor_question(
        self, now: float, wall: float
    ) -> advice.AdvisorQuestion | None:
        """Return the question that the advisor should be asked now, if any."""
        return advisor_questions.choose_next_question(
            now, wall, self._ledger, self._get_guarantee
        )

    def apply_advisor_answer(
        self,
        sent: float,
        question: advice.AdvisorQuestion,
        rows: dict[str, str] | None,
    ) -> None:
        """Apply the answer of the advisor to a question.

        :param sent: time at which the question was asked, in seconds.
        :param rows: ticket by worker id; ``None`` if there was no answer.
        """
        tickets = self._ledger.tickets
        if rows is None:
            tickets.record_no_answer(sent, question)
            return
        tickets.record_answer(sent, question, rows)
        self._ledger.changed = True

    def make_answer(self, worker: worker_state.Worker) -> orders.Orders | None:
        """Return the answer to the latest report about a worker.

        An agent that the stored record of the silent agents may still have
        gets a limited grant and no orders about runs, or none at all.
        """
        if self.may_answer(worker):
            return self.make_orders(worker)
        start = grants.find_grant_start(worker, self.lease_renewed)
        echo = self.silence_records.renew_limited_grant(worker, start)
        if echo is None:
            return None
        self._sequence += 1
        return orders.make_grant(
            self.fence,
            self._sequence,
            self._instance,
            echo,
            self.entries,
            worker.process,
            self._agent_processes.get_session(worker.agent),
        )

    def make_orders(self, worker: worker_state.Worker) -> orders.Orders:
        """Return the current orders for a worker.

        The orders also renew the grant of the worker's agent, unless the
        worker is silent.
        """
        self._sequence += 1
        worker.orders_due = False
        self._ledger.silent_agents.record_answer(
            worker.agent, worker.last_report_time
        )
        start = grants.find_grant_start(worker, self.lease_renewed)
        if not worker.silence:
            self._ledger.renew_grant(worker, start)
        process = self._agent_processes.get_process(worker.agent)
        about_runs = run_orders.list_run_orders(self._ledger, worker, process)
        return orders.Orders(
            self.fence,
            self._sequence,
            self._instance,
            worker.lifetime,
            # A time of a former process was read on a clock that may have
            # started anew.
            start.echo if worker.process == process else 0.0,
            worker.get_acknowledged_end_serial(),
            about_runs.starts,
            about_runs.stops,
            self.entries,
            process,
            self._agent_processes.get_session(worker.agent),
            worker.is_restarted(),
            about_runs.contents,
        )

    def pop_due_workers(self) -> list[worker_state.Worker]:
        """Return the workers to which new orders should be sent now.

        The orders of the returned workers no longer count as due.
        """
        due_workers = [
            w
            for w in self.workers.values()
            if w.orders_due and w.address and self.may_answer(w)
        ]
        for worker in due_workers:
            worker.orders_due = False
        return due_workers

    def may_answer(self, worker: worker_state.Worker) -> bool:
        """Return whether orders may answer the latest report on a worker."""
        return self._ledger.silent_agents.may_answer(
            worker.agent, worker.last_report_time
        )

    def _get_guarantee(self, account: str) -> int:
        if self._installation is None:
            return 0
        return self._installation.get_guarantee(account)

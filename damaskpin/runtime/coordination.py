"""Runs the coordinator while this entry holds the leader key."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import lost_work
from damaskpin.entry import stored_silences
from damaskpin.entry import view as views
from damaskpin.entry import work_watch
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import coordinator_factory
from damaskpin.runtime import coordinator_writers
from damaskpin.runtime import grant_handover
from damaskpin.runtime import leadership as leaderships
from damaskpin.runtime import pacing
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.coordinator import advice
    from damaskpin.coordinator import coordinator as coordinators
    from damaskpin.coordinator import worker_state
    from damaskpin.model import installation as installations
    from damaskpin.peer import exchange as exchanges
    from damaskpin.runtime import configuration
    from damaskpin.runtime import options
    from damaskpin.store import interface
    from damaskpin.store import mirror as mirrors

LOG = logging.getLogger(__name__)


class Coordination:
    """Runs a coordinator for as long as this entry holds the leader key.

    :param settings: addresses and time limits of this process.
    :param store: client of the store.
    :param view: jobs and entries that are recorded in the store.
    :param mirror: local copy of the store that feeds the view.
    :param leadership: campaigns for the leader key and renews its lease.
    :param exchange: sends orders to the agents.
    :param config: watcher that has the configuration in force.
    """

    __slots__ = (
        '_config_watcher',
        '_coordinator',
        '_exchange',
        '_handover',
        '_leadership',
        '_mirror',
        '_pacer',
        '_settings',
        '_silences',
        '_store',
        '_view',
        '_watch',
        '_writers',
    )

    def __init__(
        self,
        settings: options.Options,
        store: interface.Store,
        view: views.JobView,
        mirror: mirrors.Mirror,
        leadership: leaderships.Leadership,
        exchange: exchanges.Exchange,
        config: configuration.ConfigurationWatcher,
    ) -> None:
        self._settings = settings
        self._store = store
        self._view = view
        self._mirror = mirror
        self._leadership = leadership
        self._exchange = exchange
        self._config_watcher = config
        self._handover = grant_handover.GrantHandover(
            settings.address, leadership, exchange
        )
        self._pacer = pacing.Pacer()
        self._watch = work_watch.WorkWatch(view)
        self._coordinator: coordinators.Coordinator | None = None
        self._writers: coordinator_writers.CoordinatorWriters | None = None
        self._silences = stored_silences.StoredSilences()

    @property
    def counts(self) -> collections.Counter[str]:
        """Return the number of run events by kind under this coordinator."""
        if self._coordinator is None:
            return collections.Counter()
        return self._coordinator.counts

    @property
    def lost_work(self) -> lost_work.LostWork:
        """Return the account of lost work under this coordinator."""
        if self._coordinator is None:
            return lost_work.LostWork()
        return self._coordinator.lost_work

    @property
    def wait_counts(self) -> collections.Counter[str]:
        """Return the number of waits beside room by reason."""
        return self._watch.counts

    def decide_and_send(self) -> None:
        """Make the decisions that are due and send orders to the agents."""
        self._sync_with_leadership()
        coordinator = self._get_leading_coordinator()
        if coordinator is None:
            return
        now = clocks.get_monotonic_time()
        if self._pacer.is_due(now):
            coordinator.decide(now, clocks.get_wall_time())
            self._pacer.record_pass(now, clocks.get_monotonic_time())
        if self._writers is not None:
            self._writers.wake()
        for worker in coordinator.pop_due_workers():
            self._post_orders(worker)

    def watch_waits(self) -> None:
        """Log jobs that wait, unless another entry coordinates."""
        now = clocks.get_monotonic_time()
        address, _ = leaderships.parse_leader(self._view.leader)
        if address and address != self._settings.address:
            self._watch.follow(now)
            return
        self._watch.check(
            now,
            clocks.get_wall_time(),
            self._coordinator,
            self._leadership.is_leader(),
        )

    def needs_advice(self) -> bool:
        """Return whether this entry coordinates a queue that needs advice."""
        installation = self._config_watcher.installation
        if self._coordinator is None or installation is None:
            return False
        return any(queue.advice is not None for queue in installation.queues)

    def take_advisor_question(self) -> advice.AdvisorQuestion | None:
        """Return the next question for the advisor, or ``None``."""
        coordinator = self._get_leading_coordinator()
        if coordinator is None:
            return None
        return coordinator.take_advisor_question(
            clocks.get_monotonic_time(), clocks.get_wall_time()
        )

    def apply_advisor_answer(
        self,
        question: advice.AdvisorQuestion,
        sent: float,
        tickets: dict[str, str] | None,
    ) -> None:
        """Record the advisor's answer to a question.

        :param sent: monotonic time of the question in seconds.
        :param tickets: ticket by worker id; ``None`` without an answer.
        """
        if self._coordinator is not None:
            self._coordinator.apply_advisor_answer(sent, question, tickets)

    def stop(self) -> None:
        """Stop the writers and discard the coordinator."""
        if self._writers is not None:
            self._writers.stop()
        self._writers = None
        if self._coordinator is not None:
            self._handover.end(self._coordinator)
        self._coordinator = None

    def set_installation(
        self, installation: installations.Installation
    ) -> None:
        """Pass a new version of the configuration to the coordinator."""
        if self._coordinator is not None:
            self._coordinator.set_installation(installation)

    def apply_change(self, change: transactions.Change, job_id: str) -> None:
        """Update the coordinator after a change of the store.

        The view must have applied the change already.

        :param job_id: id of the changed job; empty if the change is not
            about a job.
        """
        now = clocks.get_monotonic_time()
        self._silences.apply(now, change, self._mirror.listings)
        coordinator = self._coordinator
        if coordinator is None:
            return
        if change.key.startswith(layout.ENTRIES_PREFIX):
            coordinator.entries = tuple(self._view.entries.values())
        if not job_id:
            return
        known_job = self._view.get(job_id)
        if known_job is None:
            if isinstance(change, transactions.Removal):
                coordinator.forget_job(job_id)
            return
        if job_id not in coordinator.jobs:
            coordinator_factory.add_job(
                coordinator, known_job, is_loaded=False
            )
        elif known_job.cancelled:
            coordinator.cancel_job(clocks.get_wall_time(), job_id)
        asyncio.get_running_loop().call_soon(self.decide_and_send)

    def handle_report(
        self, frame: orders.Frame, report: orders.Report
    ) -> orders.Message:
        """Handle an agent's report.

        :returns: orders for the agent's worker, or a redirect to the
            coordinator if this entry has no orders to give.
        """
        self._watch.record_report(clocks.get_monotonic_time(), report)
        coordinator = self._coordinator
        if coordinator is not None and report.fence > coordinator.fence:
            self._step_down('an agent reported a higher fencing token')
        coordinator = self._get_leading_coordinator()
        if coordinator is None:
            leader = leaderships.parse_leader(self._view.leader)
            entries = tuple(self._view.entries.values())
            return orders.Redirect(leader[0], leader[1], entries)
        if coordinator.is_superseded(report):
            return orders.Superseded(report.process)
        coordinator.lease_renewed = self._leadership.renewed
        worker = coordinator.handle_report(
            clocks.get_monotonic_time(),
            clocks.get_wall_time(),
            report,
            frame.address,
        )
        asyncio.get_running_loop().call_soon(self.decide_and_send)
        answer = worker and coordinator.make_answer(worker)
        return answer or orders.Redirect(
            self._exchange.address, coordinator.fence, coordinator.entries
        )

    def answer_successor(
        self, question: orders.GrantQuestion
    ) -> orders.GrantAnswer | None:
        """Return the last grants of this entry, which gives no more."""
        if question.fence <= self._leadership.fence:
            return None
        if self._coordinator is not None:
            self._step_down('another coordinator asks for the last grants')
            self.stop()
        return self._handover.answer(clocks.get_monotonic_time(), question)

    def apply_last_grants(self, answer: orders.GrantAnswer) -> None:
        """Apply the last grants of the former coordinator."""
        if self._coordinator is not None:
            now = clocks.get_monotonic_time()
            self._handover.apply(now, self._coordinator, answer)

    def _get_leading_coordinator(self) -> coordinators.Coordinator | None:
        """Return the coordinator, unless its term or its lease has ended."""
        coordinator = self._coordinator
        if coordinator is None or not self._leadership.is_leader():
            return None
        # This entry may have been elected again since.
        is_current = coordinator.fence == self._leadership.fence
        return coordinator if is_current else None

    def _sync_with_leadership(self) -> None:
        fence = self._leadership.fence
        coordinator = self._coordinator
        if coordinator is not None and coordinator.fence != fence:
            self.stop()
        if not fence or self._coordinator is not None:
            return
        if self._mirror.revision < fence or not self._mirror.complete:
            return
        self._make_coordinator(fence)

    def _make_coordinator(self, fence: int) -> None:
        now = clocks.get_monotonic_time()
        coordinator = coordinator_factory.make_coordinator(
            now,
            self._settings,
            self._leadership,
            self._silences,
            self._config_watcher.installation,
        )
        coordinator.entries = tuple(self._view.entries.values())
        self._coordinator = coordinator
        for known_job in self._view.list_jobs():
            coordinator_factory.add_job(coordinator, known_job, is_loaded=True)
        self._handover.begin(now, coordinator)
        self._writers = coordinator_writers.CoordinatorWriters(
            self._store,
            coordinator,
            self._silences.revision,
            self.decide_and_send,
            self._step_down,
        )
        LOG.info(
            'coordinator started',
            extra={
                'fence': fence,
                'jobs': len(coordinator.jobs),
                **coordinator.describe_unheard_workers(now),
            },
        )

    def _step_down(self, reason: str) -> None:
        self._leadership.step_down(reason)
        # This entry's lease on the leader key lasts until it expires. Marking
        # the mirror incomplete forces a full reload of the store before this
        # entry coordinates again.
        self._mirror.complete = False

    def _post_orders(self, worker: worker_state.Worker) -> None:
        def build() -> orders.Message | None:
            coordinator = self._get_leading_coordinator()
            if coordinator is None:
                return None
            if worker.lifetime not in coordinator.workers:
                return None
            if not coordinator.may_answer(worker):
                return None
            coordinator.lease_renewed = self._leadership.renewed
            return coordinator.make_orders(worker)

        self._exchange.post(worker.address, 'orders', build)

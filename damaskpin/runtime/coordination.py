"""Coordination by the entry that holds the coordinator's key."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import book as books
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import job as jobs
from damaskpin.entry import view as views
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import leadership as leaderships
from damaskpin.runtime import pacing
from damaskpin.runtime import writer as writers
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.coordinator import advice
    from damaskpin.coordinator import fleet
    from damaskpin.model import installation as installations
    from damaskpin.peer import exchange as exchanges
    from damaskpin.runtime import configuration
    from damaskpin.runtime import options
    from damaskpin.store import mirror as mirrors
    from damaskpin.store import port

LOG = logging.getLogger(__name__)


class Coordination:
    """Has a coordinator decide for as long as the key is held.

    :param settings: addresses and bounds.
    :param store: access to the store.
    :param view: jobs and entries as the store has them.
    :param mirror: copy of the store behind the view.
    :param leadership: holds or seeks the key.
    :param exchange: carries orders to the agents.
    :param config: configuration in force.
    """

    __slots__ = (
        '_config',
        '_coordinator',
        '_exchange',
        '_leadership',
        '_mirror',
        '_pacer',
        '_settings',
        '_store',
        '_view',
        '_writer',
        '_writer_task',
    )

    def __init__(
        self,
        settings: options.Options,
        store: port.Store,
        view: views.View,
        mirror: mirrors.Mirror,
        leadership: leaderships.Leadership,
        exchange: exchanges.Exchange,
        config: configuration.Configuration,
    ) -> None:
        self._settings = settings
        self._store = store
        self._view = view
        self._mirror = mirror
        self._leadership = leadership
        self._exchange = exchange
        self._config = config
        self._pacer = pacing.Pacer()
        self._coordinator: coordinators.Coordinator | None = None
        self._writer: writers.Writer | None = None
        self._writer_task: asyncio.Task[None] | None = None

    @property
    def counts(self) -> collections.Counter[str]:
        """Return the events of runs since this entry coordinates."""
        if self._coordinator is None:
            return collections.Counter()
        return self._coordinator.counts

    def pump(self) -> None:
        """Make the decisions that are due and send what follows."""
        self._follow_leadership()
        coordinator = self._coordinator
        if coordinator is None or not self._leadership.is_valid():
            return
        now = clocks.get_steady()
        if self._pacer.is_due(now):
            coordinator.decide(now, clocks.get_wall())
            self._pacer.note_pass(now, clocks.get_steady())
        if self._writer is not None and coordinator.collect_dirty():
            self._writer.wake()
        for worker in coordinator.pop_due():
            self._post_orders(worker)

    def needs_advice(self) -> bool:
        """Return whether this entry may have questions for an advisor."""
        installation = self._config.installation
        if self._coordinator is None or installation is None:
            return False
        return any(queue.advice is not None for queue in installation.queues)

    def take_question(self) -> advice.Question | None:
        """Return what the advisor is to be asked now."""
        if self._coordinator is None or not self._leadership.is_valid():
            return None
        return self._coordinator.take_question(
            clocks.get_steady(), clocks.get_wall()
        )

    def note_advice(
        self,
        question: advice.Question,
        sent: float,
        rows: dict[str, str] | None,
    ) -> None:
        """Take over the advisor's answer; ``None`` if there was none."""
        if self._coordinator is not None:
            self._coordinator.note_advice(sent, question, rows)

    def drop(self) -> None:
        """Stop to coordinate."""
        if self._writer_task is not None:
            self._writer_task.cancel()
        self._writer_task = None
        self._writer = None
        self._coordinator = None

    def set_installation(
        self, installation: installations.Installation
    ) -> None:
        """Take over a version of the configuration."""
        if self._coordinator is not None:
            self._coordinator.set_installation(installation)

    def apply_change(self, change: transactions.Change, job_id: str) -> None:
        """Take over a change of the store that the view has applied.

        :param job_id: job concerned; empty for other keys.
        """
        coordinator = self._coordinator
        if coordinator is None:
            return
        if change.key.startswith(layout.ENTRIES):
            coordinator.entries = tuple(self._view.entries.values())
        if not job_id:
            return
        known = self._view.get(job_id)
        if known is None:
            if isinstance(change, transactions.Removal):
                coordinator.forget_job(job_id)
            return
        if job_id not in coordinator.jobs:
            self._add_job(known)
        elif known.cancelled:
            coordinator.cancel_job(clocks.get_wall(), job_id)
        asyncio.get_running_loop().call_soon(self.pump)

    def handle_report(
        self, frame: orders.Frame, report: orders.Report
    ) -> orders.Message:
        """Answer an agent's report."""
        coordinator = self._coordinator
        if coordinator is not None and report.fence > coordinator.fence:
            self._depose('an agent knows a higher fencing token')
            coordinator = None
        if coordinator is None or not self._leadership.is_valid():
            leader = leaderships.parse_leader(self._view.leader)
            entries = tuple(self._view.entries.values())
            return orders.Redirect(leader[0], leader[1], entries)
        worker = coordinator.handle_report(
            clocks.get_steady(), clocks.get_wall(), report, frame.address
        )
        asyncio.get_running_loop().call_soon(self.pump)
        if worker is None:
            return orders.Redirect(
                self._exchange.address, coordinator.fence, coordinator.entries
            )
        return coordinator.make_orders(worker)

    def _follow_leadership(self) -> None:
        fence = self._leadership.fence
        coordinator = self._coordinator
        if coordinator is not None and coordinator.fence != fence:
            self.drop()
        if not fence or self._coordinator is not None:
            return
        if self._mirror.revision < fence or not self._mirror.complete:
            return
        self._make_coordinator(fence)

    def _make_coordinator(self, fence: int) -> None:
        now = clocks.get_steady()
        book = books.Book(now, self._settings.grant, self._settings.stop_time)
        coordinator = coordinators.Coordinator(
            self._settings.instance, fence, book, self._config.installation
        )
        coordinator.entries = tuple(self._view.entries.values())
        self._coordinator = coordinator
        for known in self._view.list_jobs():
            self._add_job(known)
        self._writer = writers.Writer(
            self._store, coordinator, self.pump, self._depose
        )
        self._writer_task = asyncio.ensure_future(self._write(self._writer))
        LOG.info(
            'coordination begins',
            extra={'fence': fence, 'jobs': len(coordinator.jobs)},
        )

    async def _write(self, writer: writers.Writer) -> None:
        try:
            await writer.run()
        except Exception:
            # Decisions that can't be stored are not carried out; the next
            # holder of the key begins with what the store has.
            LOG.exception('the writer failed')
            self._depose('the writer failed')

    def _depose(self, reason: str) -> None:
        self._leadership.step_down(reason)
        # The key is still ours until its lease ends; the next holder reads
        # everything anew.
        self._mirror.complete = False

    def _add_job(self, known: views.KnownJob) -> None:
        coordinator = self._coordinator
        if coordinator is None or known.submission is None:
            return
        now = clocks.get_steady()
        progress = known.progress
        if progress.state.is_final() and not progress.occurrences:
            return
        # The coordinator changes its own copy.
        copied = views.copy_progress(progress)
        job = jobs.Job(known.submission, copied)
        job.revision = known.revision
        coordinator.add_job(now, job)
        if known.cancelled:
            coordinator.cancel_job(clocks.get_wall(), job.id)

    def _post_orders(self, worker: fleet.Worker) -> None:
        def build() -> orders.Message | None:
            coordinator = self._coordinator
            if coordinator is None or not self._leadership.is_valid():
                return None
            if worker.lifetime not in coordinator.workers:
                return None
            return coordinator.make_orders(worker)

        self._exchange.post(worker.address, 'orders', build)

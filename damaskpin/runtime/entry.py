"""An entry: admission, the view of all jobs, and at times coordination."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING

from damaskpin import telemetry
from damaskpin.coordinator import book as books
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import job as jobs
from damaskpin.entry import view as views
from damaskpin.peer import exchange as exchanges
from damaskpin.peer import orders
from damaskpin.runtime import background
from damaskpin.runtime import clocks
from damaskpin.runtime import configuration
from damaskpin.runtime import following
from damaskpin.runtime import leadership as leaderships
from damaskpin.runtime import registration
from damaskpin.runtime import relay
from damaskpin.runtime import requests
from damaskpin.runtime import writer as writers
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin import transport
    from damaskpin.coordinator import fleet
    from damaskpin.model import installation as installations
    from damaskpin.runtime import options
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

TICK_S = 0.05

# An entry that has not heard of the store for this time can't take jobs.
QUIET_STORE_S = 2.5


class Entry:
    """Everything of an entry but the interface to callers.

    :param settings: addresses, secrets and bounds.
    :param direct: makes calls to the store.
    :param make_store: makes the store's client of a caller.
    :param decode: decodes the operators' configuration.
    :param config_key: key of the configuration in the store.
    """

    __slots__ = (
        '_background',
        '_configuration',
        '_follower',
        '_mirror',
        '_relay',
        '_settings',
        '_store',
        '_writer_task',
        'coordinator',
        'exchange',
        'in_flight',
        'leadership',
        'registration',
        'requests',
        'stopping',
        'telemetry',
        'view',
        'writer',
    )

    def __init__(
        self,
        settings: options.Options,
        direct: transport.Caller,
        make_store: Callable[[transport.Caller], port.Store],
        decode: Callable[[bytes], installations.Installation],
        config_key: str,
    ) -> None:
        self._settings = settings
        self._background = background.Background()
        self._relay = relay.RelayingCaller(direct, self._list_peers)
        self._store = make_store(self._relay)
        self.view = views.View()
        self._mirror = mirrors.Mirror(layout.ROOT, self._apply_change)
        self._follower = following.Follower(self._store, self._mirror)
        self._configuration = configuration.Configuration(
            self._store, config_key, decode, self._take_installation
        )
        self.exchange = exchanges.Exchange(
            settings.instance,
            secrets.token_hex(6),
            settings.listen,
            settings.fleet_key,
            self._receive,
            self._note_silent,
        )
        self._relay.set_exchange(self.exchange)
        self.leadership = leaderships.Leadership(
            self._store,
            self.view,
            settings.instance,
            settings.listen,
            lambda: self._mirror.complete,
            settings.cores,
        )
        self.registration = registration.Registration(
            self._store,
            layout.ENTRIES + settings.instance,
            settings.listen.encode(),
        )
        self.requests = requests.Requests(
            self._store, self.view, self._relay.is_reachable
        )
        self.coordinator: coordinators.Coordinator | None = None
        self.writer: writers.Writer | None = None
        self._writer_task: asyncio.Task[None] | None = None
        self.stopping = False
        self.in_flight = 0
        self.telemetry = telemetry.Telemetry(settings.instance)
        self._observe()

    @property
    def installation(self) -> installations.Installation | None:
        """Return the configuration in force."""
        return self._configuration.installation

    def start(self) -> None:
        """Start all loops."""
        self._background.spawn(self._follower.run())
        self._background.spawn(self._configuration.run())
        self._background.spawn(self.leadership.run())
        self._background.spawn(self.registration.run())
        self._background.spawn(self._run_ticks())

    async def resign(self) -> None:
        """Let other entries take over; requests are still answered."""
        self.stopping = True
        self._drop_coordinator()
        await self.leadership.resign()
        await self.registration.end()

    async def close(self) -> None:
        """Stop all loops."""
        self._background.cancel()
        await self.exchange.close()

    def is_ready(self) -> bool:
        """Return whether the entry can take jobs."""
        if self.stopping or self.installation is None:
            return False
        if not self._mirror.complete:
            return False
        quiet = clocks.get_steady() - self._follower.heard
        return quiet <= QUIET_STORE_S

    def pump(self) -> None:
        """Make the decisions that are due and send what follows."""
        self._follow_leadership()
        coordinator = self.coordinator
        if coordinator is None or not self.leadership.is_valid():
            return
        coordinator.decide(clocks.get_steady(), clocks.get_wall())
        if self.writer is not None and coordinator.collect_dirty():
            self.writer.wake()
        for worker in coordinator.pop_due():
            self._post_orders(worker)

    def _observe(self) -> None:
        observe = self.telemetry.observe_counts
        observe(
            'damaskpin.runs',
            'runs placed, stopped, lost or ended, as coordinator',
            lambda: self.coordinator.counts if self.coordinator else {},
        )
        observe(
            'damaskpin.store.ways',
            'calls of the store, by the way that they took',
            lambda: self._relay.counts,
        )
        self.telemetry.observe_gauge(
            'damaskpin.coordinating',
            '1 while this entry coordinates',
            lambda: float(self.leadership.is_valid()),
        )
        self.telemetry.observe_gauge(
            'damaskpin.configuration.version',
            'version of the configuration in force',
            lambda: self.installation.version if self.installation else 0,
        )

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.pump()
            except Exception:
                LOG.exception('a decision failed')

    def _follow_leadership(self) -> None:
        fence = self.leadership.fence
        coordinator = self.coordinator
        if coordinator is not None and coordinator.fence != fence:
            self._drop_coordinator()
        if not fence or self.coordinator is not None:
            return
        if self._mirror.revision < fence or not self._mirror.complete:
            return
        self._make_coordinator(fence)

    def _make_coordinator(self, fence: int) -> None:
        now = clocks.get_steady()
        book = books.Book(now, self._settings.grant, self._settings.stop_time)
        coordinator = coordinators.Coordinator(
            self._settings.instance, fence, book, self.installation
        )
        coordinator.entries = tuple(self.view.entries.values())
        self.coordinator = coordinator
        for known in self.view.list_jobs():
            self._add_job(known)
        self.writer = writers.Writer(
            self._store, coordinator, self.pump, self._depose
        )
        self._writer_task = asyncio.ensure_future(self.writer.run())
        LOG.info(
            'coordination begins',
            extra={'fence': fence, 'jobs': len(coordinator.jobs)},
        )

    def _depose(self, reason: str) -> None:
        self.leadership.step_down(reason)
        # The key is still ours until its lease ends; the next holder reads
        # everything anew.
        self._mirror.complete = False

    def _drop_coordinator(self) -> None:
        if self._writer_task is not None:
            self._writer_task.cancel()
        self._writer_task = None
        self.writer = None
        self.coordinator = None

    def _add_job(self, known: views.KnownJob) -> None:
        coordinator = self.coordinator
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

    def _apply_change(self, change: transactions.Change) -> None:
        job_id = self.view.apply(change)
        coordinator = self.coordinator
        if coordinator is None:
            return
        if change.key.startswith(layout.ENTRIES):
            coordinator.entries = tuple(self.view.entries.values())
        if not job_id:
            return
        known = self.view.get(job_id)
        if known is None:
            if isinstance(change, transactions.Removal):
                coordinator.forget_job(job_id)
            return
        if job_id not in coordinator.jobs:
            self._add_job(known)
        elif known.cancelled:
            coordinator.cancel_job(clocks.get_wall(), job_id)
        asyncio.get_running_loop().call_soon(self.pump)

    def _take_installation(
        self, installation: installations.Installation
    ) -> None:
        if self.coordinator is not None:
            self.coordinator.set_installation(installation)

    def _receive(
        self, frame: orders.Frame, message: orders.Message
    ) -> orders.Message | None:
        match message:
            case orders.Report():
                return self._handle_report(frame, message)
            case orders.StoreCall():
                self._background.spawn(self._serve(frame.address, message))
            case orders.StoreAnswer():
                self._relay.handle_answer(message)
        return None

    def _handle_report(
        self, frame: orders.Frame, report: orders.Report
    ) -> orders.Message:
        coordinator = self.coordinator
        if coordinator is not None and report.fence > coordinator.fence:
            self._depose('an agent knows a higher fencing token')
            coordinator = None
        if coordinator is None or not self.leadership.is_valid():
            leader = leaderships.parse_leader(self.view.leader)
            entries = tuple(self.view.entries.values())
            return orders.Redirect(leader[0], leader[1], entries)
        worker = coordinator.handle_report(
            clocks.get_steady(), clocks.get_wall(), report, frame.address
        )
        asyncio.get_running_loop().call_soon(self.pump)
        if worker is None:
            return orders.Redirect(
                self.exchange.address, coordinator.fence, coordinator.entries
            )
        return coordinator.make_orders(worker)

    async def _serve(self, address: str, call: orders.StoreCall) -> None:
        answer = await self._relay.serve(call)
        self.exchange.post(address, ('answer', call.id), lambda: answer)

    def _post_orders(self, worker: fleet.Worker) -> None:
        def build() -> orders.Message | None:
            coordinator = self.coordinator
            if coordinator is None or not self.leadership.is_valid():
                return None
            if worker.lifetime not in coordinator.workers:
                return None
            return coordinator.make_orders(worker)

        self.exchange.post(worker.address, 'orders', build)

    def _note_silent(self, address: str) -> None:
        LOG.info('peer silent', extra={'peer': address})
        self._relay.note_silent(address)

    def _list_peers(self) -> list[str]:
        own = self._settings.listen
        found = [a for a in self.view.entries.values() if a != own]
        for seed in self._settings.seeds:
            if seed != own and seed not in found:
                found.append(seed)
        return found

"""An entry: admission, the view of all jobs, and at times coordination."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import telemetry
from damaskpin.entry import view as views
from damaskpin.peer import orders
from damaskpin.runtime import advising
from damaskpin.runtime import background
from damaskpin.runtime import clocks
from damaskpin.runtime import configuration
from damaskpin.runtime import coordination
from damaskpin.runtime import following
from damaskpin.runtime import leadership as leaderships
from damaskpin.runtime import links
from damaskpin.runtime import registration
from damaskpin.runtime import relay
from damaskpin.runtime import requests
from damaskpin.runtime import retention
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin import transport
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
    :param advisor: access to the advisor, if the installation has one.
    """

    __slots__ = (
        '_advising',
        '_background',
        '_configuration',
        '_coordination',
        '_follower',
        '_mirror',
        '_relay',
        '_retention',
        '_settings',
        '_store',
        'exchange',
        'in_flight',
        'leadership',
        'registration',
        'requests',
        'stopping',
        'telemetry',
        'view',
    )

    def __init__(
        self,
        settings: options.Options,
        direct: transport.Caller,
        make_store: Callable[[transport.Caller], port.Store],
        decode: Callable[[bytes], installations.Installation],
        config_key: str,
        advisor: advising.Advisor | None = None,
    ) -> None:
        self._settings = settings
        self._background = background.Background()
        self._relay = relay.RelayingCaller(direct, self._list_peers)
        self._store = make_store(self._relay)
        self.view = views.View()
        self._mirror = mirrors.Mirror(layout.ROOT, self._apply_change)
        self._follower = following.Follower(
            self._store, self._mirror, self._needs_changes
        )
        self._configuration = configuration.Configuration(
            self._store, config_key, decode, self._take_installation
        )
        self.exchange = links.make_exchange(
            settings, self._receive, self._note_silent
        )
        self._relay.set_exchange(self.exchange)
        self.leadership = leaderships.Leadership(
            self._store,
            self.view,
            settings.instance,
            settings.address,
            lambda: self._mirror.complete,
            settings.cores,
        )
        self.registration = registration.Registration(
            self._store,
            layout.ENTRIES + settings.instance,
            settings.address.encode(),
        )
        self.requests = requests.Requests(
            self._store, self.view, self._relay.is_reachable
        )
        self._coordination = coordination.Coordination(
            settings,
            self._store,
            self.view,
            self._mirror,
            self.leadership,
            self.exchange,
            self._configuration,
        )
        self._retention = retention.Retention(
            self._store, self.view, settings.show_time, self._get_fence
        )
        self._advising: advising.Advising | None = None
        if advisor is not None:
            self._advising = advising.Advising(self._coordination, advisor)
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
        self._background.keep(self._follower.run)
        self._background.keep(self._configuration.run)
        self._background.keep(self.leadership.run)
        self._background.keep(self.registration.run)
        self._background.keep(self._retention.run)
        if self._advising is not None:
            self._background.keep(self._advising.run)
        self._background.keep(self._run_ticks)

    async def resign(self) -> None:
        """Let other entries take over; requests are still answered."""
        self.stopping = True
        self._coordination.drop()
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

    def _get_fence(self) -> int:
        return self.leadership.fence if self.leadership.is_valid() else 0

    def _needs_changes(self) -> bool:
        """Return whether changes are awaited: this entry decides, or may."""
        return bool(self.leadership.fence) or self.view.leader is None

    def _observe(self) -> None:
        observe = self.telemetry.observe_counts
        observe(
            'damaskpin.runs',
            'runs placed, stopped, lost or ended, as coordinator',
            lambda: self._coordination.counts,
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
                self._coordination.pump()
            except Exception:
                LOG.exception('a decision failed')

    def _apply_change(self, change: transactions.Change) -> None:
        job_id = self.view.apply(change)
        self._coordination.apply_change(change, job_id)

    def _take_installation(
        self, installation: installations.Installation
    ) -> None:
        self._coordination.set_installation(installation)

    def _receive(
        self, frame: orders.Frame, message: orders.Message
    ) -> orders.Message | None:
        match message:
            case orders.Report():
                return self._coordination.handle_report(frame, message)
            case orders.StoreCall():
                self._background.spawn(self._serve(frame.address, message))
            case orders.StoreAnswer():
                self._relay.handle_answer(message)
        return None

    async def _serve(self, address: str, call: orders.StoreCall) -> None:
        answer = await self._relay.serve(call)
        self.exchange.post(address, ('answer', call.id), lambda: answer)

    def _note_silent(self, address: str) -> None:
        LOG.info('peer silent', extra={'peer': address})
        self._relay.note_silent(address)

    def _list_peers(self) -> list[str]:
        own = self._settings.address
        found = [a for a in self.view.entries.values() if a != own]
        for seed in self._settings.seeds:
            if seed != own and seed not in found:
                found.append(seed)
        return found

"""Entry process: admits jobs, reports their state, may coordinate."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import telemetry
from damaskpin.entry import view as views
from damaskpin.peer import orders
from damaskpin.runtime import advice_loop
from damaskpin.runtime import background
from damaskpin.runtime import clocks
from damaskpin.runtime import configuration
from damaskpin.runtime import coordination
from damaskpin.runtime import event_loop
from damaskpin.runtime import exchange_factory
from damaskpin.runtime import leadership as leaderships
from damaskpin.runtime import mirror_follower
from damaskpin.runtime import registration
from damaskpin.runtime import relay
from damaskpin.runtime import relay_peers
from damaskpin.runtime import requests
from damaskpin.runtime import retention
from damaskpin.runtime import store_probe
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin import transport
    from damaskpin.model import installation as installations
    from damaskpin.runtime import options
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05

# An entry without an answer from the store for this time, in seconds, reports
# that it is not ready to accept jobs.
MAX_STORE_SILENCE_S = 2.5


class Entry:
    """Components and loops of an entry, without its HTTP interface.

    :param settings: addresses, secrets and time limits of this process.
    :param direct_caller: makes HTTP calls to the store from this instance.
    :param make_store: returns a store client that makes its calls through
        the given caller.
    :param decode_configuration: decodes the operator's configuration.
    :param config_key: key of the configuration in the store.
    :param advisor: client of the advisor; ``None`` if there is none.
    :ivar in_flight: number of client requests in progress.
    :ivar stopping: whether the entry is shutting down.
    """

    __slots__ = (
        '_advice_loop',
        '_background',
        '_configuration',
        '_coordination',
        '_follower',
        '_loop_monitor',
        '_mirror',
        '_relay',
        '_relay_peers',
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
        direct_caller: transport.Caller,
        make_store: Callable[[transport.Caller], interface.Store],
        decode_configuration: Callable[[bytes], installations.Installation],
        config_key: str,
        advisor: advice_loop.Advisor | None = None,
    ) -> None:
        self._settings = settings
        self._background = background.BackgroundTasks()
        self._loop_monitor = event_loop.LoopMonitor()
        self._relay_peers = relay_peers.RelayPeers(self._list_peers)
        self._relay = relay.RelayingCaller(direct_caller, self._relay_peers)
        self._store = make_store(self._relay)
        self.view = views.JobView()
        self._mirror = mirrors.Mirror(layout.ROOT_PREFIX, self._apply_change)
        self._follower = mirror_follower.MirrorFollower(
            self._store, self._mirror, self._needs_prompt_changes
        )
        self._configuration = configuration.ConfigurationWatcher(
            self._store,
            config_key,
            decode_configuration,
            self._apply_installation,
        )
        self.exchange = exchange_factory.make_exchange(
            settings, self._handle_message, self._handle_peer_failure
        )
        self._relay_peers.set_exchange(self.exchange)
        self._relay.on_return = self._restart_watches
        self.leadership = leaderships.Leadership(
            self._store,
            self.view,
            settings.instance,
            settings.address,
            self._may_campaign,
            settings.cores,
        )
        self.registration = registration.Registration(
            self._store,
            layout.ENTRIES_PREFIX + settings.instance,
            settings.address.encode(),
        )
        self.requests = requests.Requests(
            self._store,
            self.view,
            store_probe.StoreProbe(self._store, self._relay),
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
            self._store, self.view, settings.retention_time, self._get_fence
        )
        self._advice_loop: advice_loop.AdviceLoop | None = None
        if advisor is not None:
            self._advice_loop = advice_loop.AdviceLoop(
                self._coordination, advisor
            )
        self.stopping = False
        self.in_flight = 0
        self.telemetry = telemetry.Telemetry(settings.instance)
        self._register_metrics()

    @property
    def installation(self) -> installations.Installation | None:
        """Return the configuration in force."""
        return self._configuration.installation

    def get_configuration_age(self) -> float:
        """Return the seconds since the configuration was known as newest."""
        return self._configuration.get_confirmation_age()

    def start(self) -> None:
        """Start all background loops of the entry."""
        self._background.supervise(self._loop_monitor.run)
        self._background.supervise(self._follower.run)
        self._background.supervise(self._configuration.run)
        self._background.supervise(self.leadership.run)
        self._background.supervise(self.registration.run)
        self._background.supervise(self._retention.run)
        if self._advice_loop is not None:
            self._background.supervise(self._advice_loop.run)
        self._background.supervise(self._run_periodically)

    async def resign(self) -> None:
        """Stop coordinating and end the registration; still serve clients."""
        self.stopping = True
        self._coordination.stop()
        await self.leadership.resign()
        await self.registration.end()

    async def close(self) -> None:
        """Cancel all background loops and close the peer connections."""
        self._background.cancel()
        await self.exchange.close()

    def is_ready(self) -> bool:
        """Return whether the entry can accept jobs."""
        if self.stopping or self.installation is None:
            return False
        if not self._mirror.complete:
            return False
        silence = (
            clocks.get_monotonic_time() - self._follower.last_contact_time
        )
        return silence <= MAX_STORE_SILENCE_S

    def _restart_watches(self) -> None:
        self._follower.restart_watch()
        self._configuration.restart_watch()

    def _may_campaign(self) -> bool:
        """Return whether the view shows all keys and the latest term."""
        return self._mirror.complete and self.view.leader_term.is_current(
            self._mirror.revision
        )

    def _get_fence(self) -> int:
        return self.leadership.fence if self.leadership.is_leader() else 0

    def _needs_prompt_changes(self) -> bool:
        """Return whether this entry coordinates or may be elected soon."""
        return bool(self.leadership.fence) or self.view.leader is None

    def _register_metrics(self) -> None:
        observe = self.telemetry.register_counters
        observe(
            'damaskpin.runs',
            'runs placed, stopped, lost or ended, as coordinator',
            lambda: self._coordination.counts,
        )
        observe(
            'damaskpin.lost.runs',
            'runs that ended without success by cause, as coordinator',
            lambda: self._coordination.lost_work.runs,
        )
        observe(
            'damaskpin.lost.core.seconds',
            'core-seconds of work that was lost by cause, as coordinator',
            lambda: self._coordination.lost_work.core_seconds,
        )
        observe(
            'damaskpin.job.waits',
            'jobs that waited beside room by reason, as coordinator',
            lambda: self._coordination.wait_counts,
        )
        observe(
            'damaskpin.store.ways',
            'calls of the store, by the way that they took',
            lambda: self._relay.counts,
        )
        observe(
            'damaskpin.peer.traffic',
            'frames and bytes sent to peers, and frames too large to send',
            lambda: self.exchange.counts,
        )
        self.telemetry.register_gauge(
            'damaskpin.coordinating',
            '1 while this entry coordinates',
            lambda: float(self.leadership.is_leader()),
        )
        self.telemetry.register_gauge(
            'damaskpin.configuration.version',
            'version of the configuration in force',
            lambda: self.installation.version if self.installation else 0,
        )
        self.telemetry.register_gauge(
            'damaskpin.configuration.confirmation_age',
            'seconds since the store last showed the newest version',
            self.get_configuration_age,
        )
        self.telemetry.register_gauge(
            'damaskpin.event_loop.longest_delay',
            'longest delay of a timer since the start, in seconds',
            lambda: self._loop_monitor.longest_delay,
        )

    async def _run_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self._coordination.decide_and_send()
            except Exception:
                LOG.exception('scheduling decision failed')
            try:
                self._coordination.watch_waits()
            except Exception:
                LOG.exception('check for waiting jobs failed')

    def _apply_change(self, change: transactions.Change) -> None:
        job_id = self.view.apply(change, clocks.get_monotonic_time())
        self._coordination.apply_change(change, job_id)

    def _apply_installation(
        self, installation: installations.Installation
    ) -> None:
        self._coordination.set_installation(installation)

    def _handle_message(
        self, frame: orders.Frame, message: orders.Message
    ) -> orders.Message | None:
        match message:
            case orders.Report():
                return self._coordination.handle_report(frame, message)
            case orders.GrantQuestion():
                return self._coordination.answer_successor(message)
            case orders.GrantAnswer():
                self._coordination.apply_last_grants(message)
            case orders.StoreCall():
                self._background.spawn(
                    self._serve_store_call(frame.address, message)
                )
            case orders.StoreAnswer():
                self._relay_peers.handle_answer(message)
        return None

    async def _serve_store_call(
        self, address: str, call: orders.StoreCall
    ) -> None:
        answer = await self._relay.serve_call(call)
        self.exchange.post(address, ('answer', call.id), lambda: answer)

    def _handle_peer_failure(self, address: str) -> None:
        LOG.info('peer did not answer', extra={'peer': address})
        self._relay_peers.handle_peer_failure(address)

    def _list_peers(self) -> list[str]:
        own_address = self._settings.address
        peers = [a for a in self.view.entries.values() if a != own_address]
        for seed in self._settings.seeds:
            if seed != own_address and seed not in peers:
                peers.append(seed)
        return peers

"""Agent process: passes the coordinator's orders to its worker."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import Protocol
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin import telemetry
from damaskpin.agent import agent as agents
from damaskpin.agent import calls
from damaskpin.peer import addresses
from damaskpin.peer import orders
from damaskpin.runtime import background
from damaskpin.runtime import clocks
from damaskpin.runtime import event_loop
from damaskpin.runtime import exchange_factory
from damaskpin.store import layout

if TYPE_CHECKING:
    from damaskpin.runtime import options
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05

# An agent without orders for MAX_ORDERS_SILENCE_S seconds asks the entries for
# the coordinator, one entry every QUERY_INTERVAL_S seconds.
MAX_ORDERS_SILENCE_S = 1.2
QUERY_INTERVAL_S = 0.2

# Minimum time between two reads of the entries' addresses from the store, in
# seconds.
ENTRIES_READ_INTERVAL_S = 1.0

# Pause in seconds after a lease renewal that the worker refused, after one
# that asked it to answer without waiting for a run to end, and after a refused
# connection. The first call voids earlier ones, so it should reach a new
# process of the worker as soon as that listens.
RENEWAL_PAUSE_S = 0.05

# Pause after a lease renewal that was sent and not answered, in seconds.
UNANSWERED_PAUSE_S = 0.25


class WorkerPort(Protocol):
    """Interface to the worker beside the agent."""

    async def renew_lease(self, call: calls.PollCall) -> calls.Result:
        """Renew the worker's lease and list its running and ended runs."""

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run on the worker."""

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run on the worker."""


class AgentRuntime:
    """Background loops and message handling of an agent.

    :param settings: addresses, secrets and time limits of this process.
    :param worker: client of the worker.
    :param store: client of the store, used to list the entries.
    """

    __slots__ = (
        '_background',
        '_last_contact_time',
        '_last_entries_read_time',
        '_last_query_time',
        '_next_peer',
        '_settings',
        '_store',
        '_worker',
        'agent',
        'counts',
        'exchange',
        'telemetry',
    )

    def __init__(
        self,
        settings: options.Options,
        worker: WorkerPort,
        store: interface.Store,
    ) -> None:
        self._settings = settings
        self._worker = worker
        self._store = store
        self.agent = agents.Agent(
            settings.instance,
            settings.grant_duration,
            settings.lease_duration,
            settings.stop_time,
            settings.longest_lease,
        )
        self._background = background.BackgroundTasks()
        self._last_contact_time = 0.0
        self._last_query_time = 0.0
        self._last_entries_read_time = 0.0
        self._next_peer = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.telemetry = telemetry.Telemetry(settings.instance)
        self.telemetry.register_counters(
            'damaskpin.worker.calls',
            'calls of the worker, by kind and result',
            lambda: self.counts,
        )
        self.exchange = exchange_factory.make_exchange(
            settings, self._handle_message, self._handle_peer_failure
        )
        self.telemetry.register_counters(
            'damaskpin.peer.traffic',
            'frames and bytes sent to peers, and frames too large to send',
            lambda: self.exchange.counts,
        )

    def start(self) -> None:
        """Start the periodic loop and the lease renewal loop."""
        self.agent.start(clocks.get_monotonic_time())
        self._background.supervise(event_loop.LoopMonitor().run)
        self._background.supervise(self._run_periodically)
        self._background.supervise(self._run_lease_renewals)

    async def close(self) -> None:
        """Cancel all loops; the worker's lease is left to expire."""
        self._background.cancel()
        await self.exchange.close()

    def send_due(self) -> None:
        """Send the calls due to the worker and the report due to an entry."""
        now = clocks.get_monotonic_time()
        for call in self.agent.collect_due_calls(now):
            self._background.spawn(self._perform_call(call))
        if self.agent.is_report_due(now) and self.agent.coordinator:
            self._post_report(self.agent.coordinator)
        if now - self._last_contact_time > MAX_ORDERS_SILENCE_S:
            self._query_entries(now)

    async def _run_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.send_due()
            except Exception:
                LOG.exception('periodic agent step failed')

    async def _run_lease_renewals(self) -> None:
        while True:
            call = self.agent.make_poll(clocks.get_monotonic_time())
            if call is None:
                await asyncio.sleep(TICK_INTERVAL_S)
                continue
            send_time = clocks.get_monotonic_time()
            result = await self._worker.renew_lease(call)
            now = clocks.get_monotonic_time()
            self.counts[f'hold {type(result).__name__.lower()}'] += 1
            self.agent.handle_poll_result(now, send_time, call, result)
            self.send_due()
            pause = get_renewal_pause(
                call, result, self.agent.is_worker_leaving()
            )
            await asyncio.sleep(pause)

    async def _perform_call(
        self, call: calls.StartCall | calls.StopCall
    ) -> None:
        match call:
            case calls.StartCall():
                result = await self._worker.start(call)
                self.counts[f'start {type(result).__name__.lower()}'] += 1
                self.agent.handle_start_result(
                    clocks.get_monotonic_time(), call, result
                )
            case calls.StopCall():
                result = await self._worker.stop(call)
                self.counts[f'stop {type(result).__name__.lower()}'] += 1
                self.agent.handle_stop_result(
                    clocks.get_monotonic_time(), call, result
                )
        self.send_due()

    def _handle_message(
        self, frame: orders.Frame, message: orders.Message
    ) -> orders.Message | None:
        now = clocks.get_monotonic_time()
        match message:
            case orders.Orders():
                if not self.agent.handle_orders(now, message):
                    LOG.info(
                        'orders of a former coordinator refused',
                        extra={
                            'fence': message.fence,
                            'current': self.agent.fence,
                        },
                    )
                    return self.agent.make_report(now)
                self.agent.coordinator = frame.address
                self._last_contact_time = now
                asyncio.get_running_loop().call_soon(self.send_due)
            case orders.Redirect():
                self._handle_redirect(frame, message)
            case orders.Superseded(process=process):
                self.agent.handle_superseded(process)
        return None

    def _handle_redirect(
        self, frame: orders.Frame, message: orders.Redirect
    ) -> None:
        if message.entries:
            self.agent.entries = message.entries
        if not message.coordinator or message.fence < self.agent.fence:
            return
        if message.coordinator == frame.address:
            # A coordinator that does not know this agent's worker yet answers
            # the agent's report with a redirect to itself. The answer counts
            # as contact with the coordinator.
            self._last_contact_time = clocks.get_monotonic_time()
        if message.coordinator != self.agent.coordinator:
            LOG.info(
                'coordinator found',
                extra={'address': message.coordinator, 'fence': message.fence},
            )
            self.agent.coordinator = message.coordinator
            self.agent.report_requested = True

    def _post_report(self, address: str) -> None:
        def build() -> orders.Message:
            return self.agent.make_report(clocks.get_monotonic_time())

        self.agent.last_report_time = clocks.get_monotonic_time()
        self.agent.report_requested = False
        self.exchange.post(address, 'report', build)

    def _query_entries(self, now: float) -> None:
        """Send a report to the next known entry.

        An entry that does not coordinate answers with the coordinator's
        address.
        """
        if now - self._last_query_time < QUERY_INTERVAL_S:
            return
        self._last_query_time = now
        peers = list(self.agent.entries)
        for seed in self._settings.seeds:
            if seed not in peers:
                peers.append(seed)
        if now - self._last_entries_read_time > ENTRIES_READ_INTERVAL_S:
            self._last_entries_read_time = now
            self._background.spawn(self._fetch_entries())
        if not peers:
            return
        self._next_peer = (self._next_peer + 1) % len(peers)
        peer = peers[self._next_peer]
        if not self.exchange.is_busy(peer):
            self._post_report(peer)

    async def _fetch_entries(self) -> None:
        try:
            page = await self._store.list_page(
                layout.ENTRIES_PREFIX, stale=True
            )
        except errors.StoreError as error:
            LOG.info('list of entries not read', extra={'error': str(error)})
            return
        entries = []
        for item in page.items:
            address = addresses.decode_address(item.key, item.value)
            if address:
                entries.append(address)
        if entries:
            self.agent.entries = tuple(entries)

    def _handle_peer_failure(self, address: str) -> None:
        LOG.info('peer did not answer', extra={'peer': address})
        self.agent.report_requested = True


def get_renewal_pause(
    call: calls.PollCall, result: calls.Result, is_leaving: bool
) -> float:
    """Return the pause before the next lease renewal, in seconds.

    :param is_leaving: whether the worker has given notice. Its runs are free
        once a connection to it is refused.
    """
    match result:
        case calls.Unanswered(sent=True) if not is_leaving:
            return UNANSWERED_PAUSE_S
        case calls.Lists() if call.wait:
            return 0.0
    return RENEWAL_PAUSE_S

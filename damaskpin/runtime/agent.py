"""An agent: carries the coordinator's orders to the worker beside it."""

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
from damaskpin.peer import orders
from damaskpin.runtime import background
from damaskpin.runtime import clocks
from damaskpin.runtime import links
from damaskpin.store import layout

if TYPE_CHECKING:
    from damaskpin.runtime import options
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

TICK_S = 0.05

# Without orders for this time the agent asks the other entries, in seconds.
QUIET_S = 1.2
ASK_INTERVAL_S = 0.2

# The store is asked for entries at most this often, in seconds.
LOOKUP_INTERVAL_S = 1.0

# Pause after a look at the worker that did not wait, in seconds.
HOLD_RETRY_S = 0.05

# The same after a look without an answer: a dead worker refuses at once.
SILENT_RETRY_S = 0.25


class WorkerPort(Protocol):
    """Calls to the worker."""

    async def hold(self, call: calls.HoldCall) -> calls.Result:
        """Renew the lease and read the lists."""

    async def start(self, call: calls.StartCall) -> calls.Result:
        """Start a run."""

    async def stop(self, call: calls.StopCall) -> calls.Result:
        """Stop a run."""


class AgentRuntime:
    """Loops of an agent.

    :param settings: addresses, secrets and bounds.
    :param worker: access to the worker.
    :param store: access to the store, to find entries.
    """

    __slots__ = (
        '_asked',
        '_background',
        '_heard',
        '_looked_up',
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
        store: port.Store,
    ) -> None:
        self._settings = settings
        self._worker = worker
        self._store = store
        self.agent = agents.Agent(
            settings.instance,
            settings.grant,
            settings.lease,
            settings.stop_time,
        )
        self._background = background.Background()
        self._heard = 0.0
        self._asked = 0.0
        self._looked_up = 0.0
        self._next_peer = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.telemetry = telemetry.Telemetry(settings.instance)
        self.telemetry.observe_counts(
            'damaskpin.worker.calls',
            'calls of the worker, by kind and result',
            lambda: self.counts,
        )
        self.exchange = links.make_exchange(
            settings, self._receive, self._note_silent
        )

    def start(self) -> None:
        """Start all loops."""
        self.agent.begin(clocks.get_steady())
        self._background.keep(self._run_ticks)
        self._background.keep(self._run_holds)

    async def close(self) -> None:
        """Stop all loops; the worker keeps its lease for a while."""
        self._background.cancel()
        await self.exchange.close()

    def pump(self) -> None:
        """Send what is due to the worker and to the coordinator."""
        now = clocks.get_steady()
        for call in self.agent.take_calls(now):
            self._background.spawn(self._carry(call))
        if self.agent.is_report_due(now) and self.agent.coordinator:
            self._post_report(self.agent.coordinator)
        if now - self._heard > QUIET_S:
            self._ask(now)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.pump()
            except Exception:
                LOG.exception('a periodic step failed')

    async def _run_holds(self) -> None:
        while True:
            call = self.agent.make_hold(clocks.get_steady())
            if call is None:
                await asyncio.sleep(TICK_S)
                continue
            sent = clocks.get_steady()
            result = await self._worker.hold(call)
            now = clocks.get_steady()
            self.counts[f'hold {type(result).__name__.lower()}'] += 1
            self.agent.note_held(now, sent, call, result)
            self.pump()
            if isinstance(result, calls.Unanswered):
                await asyncio.sleep(SILENT_RETRY_S)
            elif not isinstance(result, calls.Lists) or not call.wait:
                await asyncio.sleep(HOLD_RETRY_S)

    async def _carry(self, call: calls.StartCall | calls.StopCall) -> None:
        match call:
            case calls.StartCall():
                result = await self._worker.start(call)
                self.counts[f'start {type(result).__name__.lower()}'] += 1
                self.agent.note_start(clocks.get_steady(), call, result)
            case calls.StopCall():
                result = await self._worker.stop(call)
                self.counts[f'stop {type(result).__name__.lower()}'] += 1
                self.agent.note_stop(clocks.get_steady(), call, result)
        self.pump()

    def _receive(
        self, frame: orders.Frame, message: orders.Message
    ) -> orders.Message | None:
        now = clocks.get_steady()
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
                self._heard = now
                asyncio.get_running_loop().call_soon(self.pump)
            case orders.Redirect():
                self._follow(frame, message)
        return None

    def _follow(self, frame: orders.Frame, message: orders.Redirect) -> None:
        if message.entries:
            self.agent.entries = message.entries
        if not message.coordinator or message.fence < self.agent.fence:
            return
        if message.coordinator == frame.address:
            # The coordinator answers but has no orders before the worker is
            # known.
            self._heard = clocks.get_steady()
        if message.coordinator != self.agent.coordinator:
            LOG.info(
                'coordinator found',
                extra={'address': message.coordinator, 'fence': message.fence},
            )
            self.agent.coordinator = message.coordinator
            self.agent.urgent = True

    def _post_report(self, address: str) -> None:
        def build() -> orders.Message:
            return self.agent.make_report(clocks.get_steady())

        self.agent.reported = clocks.get_steady()
        self.agent.urgent = False
        self.exchange.post(address, 'report', build)

    def _ask(self, now: float) -> None:
        """Ask an entry for the coordinator."""
        if now - self._asked < ASK_INTERVAL_S:
            return
        self._asked = now
        peers = list(self.agent.entries)
        for seed in self._settings.seeds:
            if seed not in peers:
                peers.append(seed)
        if now - self._looked_up > LOOKUP_INTERVAL_S:
            self._looked_up = now
            self._background.spawn(self._look_up())
        if not peers:
            return
        self._next_peer = (self._next_peer + 1) % len(peers)
        peer = peers[self._next_peer]
        if not self.exchange.is_busy(peer):
            self._post_report(peer)

    async def _look_up(self) -> None:
        try:
            page = await self._store.list_page(layout.ENTRIES, stale=True)
        except errors.StoreError as error:
            LOG.info('entries not read', extra={'error': str(error)})
            return
        found = [item.value.decode('utf-8', 'replace') for item in page.items]
        if found:
            self.agent.entries = tuple(found)

    def _note_silent(self, address: str) -> None:
        LOG.info('peer silent', extra={'peer': address})
        self.agent.urgent = True

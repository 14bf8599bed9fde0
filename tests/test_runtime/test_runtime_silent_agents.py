"""Tests of entries that record silent agents and take over from each other."""

from __future__ import annotations

import asyncio
import math

import pytest

from damaskpin.coordinator import records
from damaskpin.coordinator import silent_agents
from damaskpin.entry import view as views
from damaskpin.model import leases
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.runtime import clocks
from damaskpin.runtime import coordination
from damaskpin.runtime import options
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions
from tests.test_coordinator import builders
from tests.test_runtime import versioned_store

AGENT = 'agent-1'
AGENT_ADDRESS = 'tcp://agent'
LIFETIME = work.Lifetime('w1', 7)
RUN = work.Run(work.Item('job', 0, 0, 0), 1)
FENCE = 3
NEXT_FENCE = 50
GRANT_S = 13.5
STOP_S = 0.4


class _Leadership:
    renewed = math.inf
    former_term = None
    nonce = ''

    def __init__(self, fence):
        self.fence = fence

    def is_leader(self):
        return bool(self.fence)

    def step_down(self, _reason):
        self.fence = 0


class _Exchange:
    """Keeps the orders that are sent."""

    address = 'tcp://entry'

    def __init__(self):
        self.sent = []

    def post(self, _address, _kind, build):
        self.sent.append(build())


class _Configuration:
    installation = None


class _Entry:
    """An entry that follows the store and may coordinate."""

    def __init__(self, store):
        self.exchange = _Exchange()
        self.leadership = _Leadership(0)
        self._view = views.JobView()
        self._store = store
        self.mirror = mirrors.Mirror(layout.ROOT_PREFIX, self._apply)
        settings = options.Options(
            instance='e',
            listen='',
            address=self.exchange.address,
            fleet_key=b'',
            seeds=(),
            grant_duration=GRANT_S,
            lease_duration=7.0,
            stop_time=STOP_S,
        )
        self.coordination = coordination.Coordination(
            settings,
            store,
            self._view,
            self.mirror,
            self.leadership,
            self.exchange,
            _Configuration(),
        )

    def list_store(self):
        self.mirror.replace(self._store.items.values(), self._store.revision)

    def watch_store(self):
        changes = tuple(self._store.items.values())
        self.mirror.apply_changes(
            transactions.Changes(changes, self._store.revision)
        )

    def report(self, sequence, fence=None):
        """Report for the worker and return the entry's answer.

        :param fence: fencing token that the agent knows; that of the entry's
            leader key by default.
        """
        if fence is None:
            fence = self.leadership.fence
        running = (work.RunningRun(RUN, '', 0.0),)
        message = orders.Report(
            AGENT,
            float(sequence),
            sequence,
            _make_profile(),
            None,
            fence,
            fence,
            running,
            (),
            (),
            (),
        )
        frame = orders.Frame('', '', AGENT_ADDRESS, ())
        return self.coordination.handle_report(frame, message)

    def _apply(self, change):
        now = clocks.get_monotonic_time()
        job_id = self._view.apply(change, now)
        self.coordination.apply_change(change, job_id)


class _Clock:
    def __init__(self):
        self.now = 1000.0

    async def advance(self, entry, seconds):
        """Let time pass while an entry coordinates."""
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            entry.coordination.decide_and_send()
            for _ in range(5):
                await asyncio.sleep(0)


def _make_profile():
    return orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), builders.CAPACITY, False, 0.0
    )


def _put(store, key, value):
    store.carry_out(
        transactions.Transaction({}, (transactions.Put(key, value),))
    )


def _make_store():
    """Return a store with a job whose work item runs on the worker."""
    store = versioned_store.VersionedStore()
    ledger = builders.make_ledger(workers=1)
    job = builders.submit(ledger, 'job', builders.make_step())
    step = job.get_step_progress(0, 0)
    step.active.append(records.ActiveRun(0, 1, LIFETIME, AGENT))
    step.numbers[0] = 1
    _put(
        store,
        layout.make_job_key('job'),
        records.encode_submission(job.submission),
    )
    _put(
        store,
        layout.make_progress_key('job'),
        records.encode_progress(job.progress),
    )
    return store


def _elect(store, entry, fence):
    """Make an entry the leader."""
    store.items[layout.LEADER_KEY] = transactions.StoredItem(
        layout.LEADER_KEY, b'tcp://entry e n', fence, fence
    )
    store.revision = fence
    entry.leadership.fence = fence


def _get_ages(store):
    item = store.items.get(layout.SILENCES_KEY)
    if item is None:
        return {}
    return silent_agents.decode_record(item.value).ages


@pytest.fixture
def clock(monkeypatch):
    clock = _Clock()
    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: clock.now)
    return clock


async def _record_silence(clock, store):
    """Return an entry that has recorded the agent as silent."""
    entry = _Entry(store)
    _elect(store, entry, FENCE + 10)
    entry.list_store()
    entry.coordination.decide_and_send()
    assert isinstance(entry.report(1), orders.Orders)
    await clock.advance(entry, 3.0)
    assert _get_ages(store).keys() == {AGENT}
    return entry


def test_recorded_agent_gets_orders_once_the_record_is_gone(clock):
    """Guards against a grant that a successor doesn't know of."""

    async def run():
        store = _make_store()
        entry = await _record_silence(clock, store)
        entry.exchange.sent.clear()
        store.late = True
        assert isinstance(entry.report(2), orders.Redirect)
        await clock.advance(entry, 1.0)
        assert isinstance(entry.report(3), orders.Redirect)
        assert not any(entry.exchange.sent)
        store.late = False
        async with asyncio.timeout(5.0):
            while not any(entry.exchange.sent):
                await asyncio.sleep(0.01)
        assert _get_ages(store) == {}
        assert entry.exchange.sent[-1].echo == 3.0
        assert isinstance(entry.report(4), orders.Orders)
        entry.coordination.stop()

    asyncio.run(run())


def test_successor_counts_the_grant_from_the_recorded_answer(clock):
    """Guards against a takeover that adds the time since the loss."""

    async def run():
        store = _make_store()
        answered = clock.now
        successor = _Entry(store)
        entry = await _record_silence(clock, store)
        successor.list_store()
        clock.now += 2.0
        entry.coordination.stop()
        _elect(store, successor, NEXT_FENCE)
        successor.watch_store()
        successor.coordination.decide_and_send()
        counts = successor.coordination.counts
        bound = answered + GRANT_S * 1.02 + STOP_S + 0.5
        bound += leases.MAX_SUSPENSION_S
        await clock.advance(successor, bound - 1.0 - clock.now)
        assert not counts['lost']
        # The successor saw the record up to half a second after it was made.
        await clock.advance(successor, 2.0)
        assert counts['lost'] == 1
        successor.coordination.stop()

    asyncio.run(run())

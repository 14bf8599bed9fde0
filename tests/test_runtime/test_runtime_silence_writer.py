"""Tests of the writes of the record of silent agents."""

from __future__ import annotations

import asyncio

from damaskpin.coordinator import silent_agents
from damaskpin.runtime import silence_writer
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_runtime import versioned_store

FENCE = 3


class _Coordinator:
    """Makes the records that a test gives it, one after the other."""

    def __init__(self, records):
        self.fence = FENCE
        self.records = list(records)
        self.stored = 0
        self.stepped_down = ''

    def make_due_record(self, _now):
        return self.records.pop(0) if self.records else None

    def record_stored(self):
        self.stored += 1

    def step_down(self, reason):
        self.stepped_down = reason


def _make_records(*ages):
    return [
        silent_agents.SilenceRecord(FENCE, number, each)
        for number, each in enumerate(ages, start=1)
    ]


def _make_store():
    store = versioned_store.VersionedStore()
    store.items[layout.LEADER_KEY] = transactions.StoredItem(
        layout.LEADER_KEY, b'', FENCE, FENCE
    )
    store.revision = FENCE
    return store


def _get_ages(store):
    item = store.items[layout.SILENCES_KEY]
    return silent_agents.decode_record(item.value).ages


def _write(store, coordinator, act, is_done):
    """Run the writer until a condition holds.

    :param act: called in each step of the event loop.
    """
    writer = silence_writer.SilenceWriter(
        store, coordinator, 0, lambda: None, coordinator.step_down
    )

    async def run():
        task = asyncio.ensure_future(writer.run())
        while not is_done():
            writer.wake()
            act()
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_late_write_does_not_bring_back_an_earlier_record():
    """Guards against a record of an agent that was answered meanwhile.

    The first attempt is carried out after the record was replaced.
    """
    store = _make_store()
    coordinator = _Coordinator(_make_records({'a': 2.0}, {}))
    store.late = True

    def act():
        if store.delayed:
            store.late = False

    _write(store, coordinator, act, lambda: coordinator.stored == 2)
    assert _get_ages(store) == {}
    assert store.delayed
    store.carry_out_delayed()
    assert _get_ages(store) == {}


def test_record_counts_as_stored_only_with_an_answer():
    """Guards against an answer to an agent that is still recorded."""
    store = _make_store()
    coordinator = _Coordinator(_make_records({'a': 2.0}, {}))
    store.lost = True

    def act():
        if store.writes == 2:
            assert coordinator.stored == 0
            store.lost = False

    _write(store, coordinator, act, lambda: coordinator.stored == 2)
    assert _get_ages(store) == {}
    assert not coordinator.stepped_down


def test_deposed_coordinator_writes_no_record():
    """Guards against a record of agents that another coordinator answers."""
    store = _make_store()
    store.items[layout.LEADER_KEY] = transactions.StoredItem(
        layout.LEADER_KEY, b'', FENCE + 1, FENCE + 1
    )
    coordinator = _Coordinator(_make_records({'a': 2.0}))
    _write(
        store,
        coordinator,
        lambda: None,
        lambda: bool(coordinator.stepped_down),
    )
    assert layout.SILENCES_KEY not in store.items
    assert coordinator.stored == 0

"""An entry, its link to the store and outages of the link, for tests."""

from __future__ import annotations

import asyncio

from damaskpin import errors
from damaskpin import transport
from damaskpin.model import work
from damaskpin.runtime import clocks
from damaskpin.runtime import entry as entries
from damaskpin.runtime import options
from damaskpin.store import transactions

JOB = work.Submission(
    'a' * 16,
    'account',
    'content',
    (work.Step(count=1, demand=work.Resources(1, 1, 0)),),
    work.Terms('q', 's', 1, 2),
    5.0,
)
WATCH = transport.HttpRequest('GET', '/watch', None, 0.2)
READ = transport.HttpRequest('GET', '/read', None, 0.2)
WRITE = transport.HttpRequest('POST', '/write', b'', 0.2)


class Link:
    """Plays the connection to the store during an outage and after it.

    :ivar away: whether the store is away.
    :ivar sent: whether calls in the outage may still take effect.
    :ivar delay: seconds until a call is answered.
    """

    def __init__(self):
        self.away = False
        self.sent = False
        self.delay = 0.001
        self.calls = []

    def has_progress(self, _request):
        """Return that no part of an answer has arrived."""
        return False

    async def call(self, request):
        self.calls.append(request)
        await asyncio.sleep(self.delay)
        if self.away:
            raise errors.CallError('the store is away', self.sent)
        return transport.HttpAnswer(200, b'')


class Store:
    """Keeps jobs in memory; each access is a call over the link."""

    def __init__(self, caller):
        self._caller = caller
        self.items = {}

    async def get(self, key):
        await self._call(READ)
        return self.items.get(key)

    async def commit(self, transaction):
        await self._call(WRITE)
        key = next(iter(transaction.expected))
        if key in self.items:
            return transactions.Conflict({key: self.items[key]})
        value = transaction.puts[0].value
        self.items[key] = transactions.StoredItem(key, value, 7, 7)
        return transactions.Committed(7)

    async def list_page(self, prefix, after='', stale=False):
        await self._call(READ)
        return transactions.Page((), 1, False)

    async def watch(self, prefix, after, wait):
        await self._call(WATCH)
        await asyncio.sleep(wait)
        return transactions.Changes((), after)

    async def _call(self, request):
        try:
            await self._caller.call(request)
        except errors.CallError as error:
            if error.sent:
                raise errors.StoreUncertainError(str(error)) from error
            raise errors.StoreUnavailableError(str(error)) from error


def _make_entry(link):
    settings = options.Options(
        instance='entry',
        listen='tcp://127.0.0.1:0',
        address='tcp://127.0.0.1:0',
        fleet_key=b'key',
        seeds=(),
        grant_duration=1.0,
        lease_duration=1.0,
        stop_time=1.0,
    )
    return entries.Entry(settings, link, Store, lambda value: None, 'config')


async def _reach_store(entry):
    """Let the store answer, as the entry may have taken long to start."""
    await entry.requests.get_state(
        JOB.id, 'account', clocks.get_monotonic_time() + 2.5
    )


def play_scenario(scenario):
    """Run a scenario with an entry and its link to the store."""

    async def run():
        link = Link()
        entry = _make_entry(link)
        try:
            await _reach_store(entry)
            link.calls.clear()
            return await scenario(entry, link)
        finally:
            await entry.close()

    return asyncio.run(run())


async def lose_store(entry, link):
    """Start an outage and let a call of the entry fail in it."""
    link.away = True
    await asyncio.sleep(0.06)
    link.sent, sent = False, link.sent
    await entry.requests.get_state(
        JOB.id, 'account', clocks.get_monotonic_time() + 2.5
    )
    link.sent = sent


async def submit(entry, seconds):
    """Submit the job; return the outcome and how long it took."""
    started = clocks.get_monotonic_time()
    outcome = await entry.requests.submit(JOB, started + seconds)
    return outcome, clocks.get_monotonic_time() - started


def end_outage_after(link, seconds):
    def end():
        link.away = False
        link.delay = 0.001

    asyncio.get_running_loop().call_later(seconds, end)

"""Tests of submissions around the end of an outage of the store."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.coordinator import records
from damaskpin.entry import outcomes
from damaskpin.model import work
from damaskpin.platform import front
from damaskpin.runtime import clocks
from damaskpin.runtime import entry as entries
from damaskpin.runtime import mirror_follower
from damaskpin.runtime import options
from damaskpin.runtime import relay
from damaskpin.runtime import store_probe
from damaskpin.store import layout
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


class _Link:
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

    async def call(self, request):
        self.calls.append(request)
        await asyncio.sleep(self.delay)
        if self.away:
            raise errors.CallError('the store is away', self.sent)
        return transport.HttpAnswer(200, b'')


class _Store:
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


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    """Let the store count as unreachable soon, to keep the tests short."""
    monkeypatch.setattr(relay, 'MAX_STORE_SILENCE_S', 0.05)


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
    return entries.Entry(settings, link, _Store, lambda value: None, 'config')


def _play(scenario):
    """Run a scenario with an entry and its link to the store."""

    async def run():
        link = _Link()
        entry = _make_entry(link)
        try:
            return await scenario(entry, link)
        finally:
            await entry.close()

    return asyncio.run(run())


async def _lose_store(entry, link):
    """Start an outage and let a call of the entry fail in it."""
    link.away = True
    await asyncio.sleep(0.06)
    link.sent, sent = False, link.sent
    await entry.requests.get_state(
        JOB.id, 'account', clocks.get_monotonic_time() + 2.5
    )
    link.sent = sent


async def _submit(entry, seconds):
    """Submit the job; return the outcome and how long it took."""
    started = clocks.get_monotonic_time()
    outcome = await entry.requests.submit(JOB, started + seconds)
    return outcome, clocks.get_monotonic_time() - started


def _end_outage_after(link, seconds):
    def end():
        link.away = False

    asyncio.get_running_loop().call_later(seconds, end)


def test_job_is_not_refused_after_the_store_has_returned():
    """Guards against refusals on an old belief that the store is away.

    The entry's own loops had not called the store since its return.
    """

    async def play(entry, link):
        await _lose_store(entry, link)
        link.away = False
        return await _submit(entry, 2.5)

    outcome, _ = _play(play)
    assert outcome == outcomes.Accepted()


def test_client_that_cannot_return_in_time_is_not_refused_early():
    """Guards against a refusal with a Retry-After beyond the time limit.

    The store returns while the client would still have waited.
    """

    async def play(entry, link):
        await _lose_store(entry, link)
        _end_outage_after(link, 0.2)
        return await _submit(entry, 0.8)

    outcome, _ = _play(play)
    assert outcome == outcomes.Accepted()


def test_repeat_of_an_undecided_job_waits_for_the_store():
    """Guards against answers 504 that use up a client's attempts at once.

    Such an answer can't tell when to come back, and clients repeat their
    request within milliseconds.
    """

    async def play(entry, link):
        link.away = link.sent = True
        first, _ = await _submit(entry, 2.5)
        await _lose_store(entry, link)
        _end_outage_after(link, 0.1)
        return first, await _submit(entry, 2.0)

    first, (outcome, _) = _play(play)
    assert isinstance(first, outcomes.Undecided)
    assert outcome == outcomes.Accepted()


def test_client_that_can_return_in_time_is_refused_at_once():
    """Guards against requests that are held in an outage.

    With time left the client may reach another entry or come back later.
    """

    async def play(entry, link):
        await _lose_store(entry, link)
        return await _submit(entry, 2.5)

    outcome, seconds = _play(play)
    assert isinstance(outcome, outcomes.Unavailable)
    assert seconds < 0.2


def test_wait_for_the_store_leaves_time_for_another_attempt():
    """Guards against requests that are held to their client's time limit.

    Another entry may reach the store.
    """

    async def play(entry, link):
        await _lose_store(entry, link)
        return await _submit(entry, 0.8)

    outcome, seconds = _play(play)
    assert isinstance(outcome, outcomes.Unavailable)
    assert 0.2 < seconds < 0.45


def test_silent_store_does_not_hold_a_request_past_its_time_limit(monkeypatch):
    """Guards against a probe that outlasts the client's last milliseconds."""
    monkeypatch.setattr(store_probe, 'PROBE_TIMEOUT_S', 5.0)

    async def play(entry, link):
        await _lose_store(entry, link)
        link.delay = 5.0
        return await _submit(entry, -front.ANSWER_MARGIN_S + 0.1)

    outcome, seconds = _play(play)
    assert isinstance(outcome, outcomes.Unavailable)
    assert seconds < 0.1


@pytest.mark.parametrize('seconds', [0.5, 3.0])
def test_submission_is_answered_within_the_time_of_its_client(seconds):
    """Guards against calls through peers that outlast the client's limit.

    Each of them has its own timeout, and together they took over 3 s.
    """

    async def play(entry, link):
        link.delay = 5.0
        return await _submit(entry, seconds)

    outcome, elapsed = _play(play)
    assert isinstance(outcome, outcomes.Undecided)
    assert elapsed < min(seconds, 1.0) + 0.1


def test_state_is_answered_within_the_time_of_its_client():
    """Guards against a status request that waits for a silent store."""

    async def play(entry, link):
        link.delay = 5.0
        started = clocks.get_monotonic_time()
        outcome = await entry.requests.get_state(
            JOB.id, 'account', started + 0.5
        )
        return outcome, clocks.get_monotonic_time() - started

    outcome, elapsed = _play(play)
    assert isinstance(outcome, outcomes.Unavailable)
    assert elapsed < 0.6


def test_wait_of_an_undecided_job_is_bounded():
    """Guards against holding a request that another entry could serve."""

    async def play(entry, link):
        link.away = link.sent = True
        await _submit(entry, 2.5)
        await _lose_store(entry, link)
        return await _submit(entry, 2.5)

    outcome, seconds = _play(play)
    assert isinstance(outcome, outcomes.Undecided)
    assert 0.1 < seconds < 0.4


def test_no_job_is_written_while_the_store_is_away():
    """Guards against writes in an outage, which leave the result unknown."""

    async def play(entry, link):
        await _lose_store(entry, link)
        await _submit(entry, 0.6)
        return link.calls

    calls = _play(play)
    assert WRITE not in calls


def test_requests_share_one_question_whether_the_store_is_back():
    """Guards against a call to the store for each refused request."""

    async def play(entry, link):
        await _lose_store(entry, link)
        link.calls.clear()
        await asyncio.gather(*(_submit(entry, 2.5) for _ in range(20)))
        await _submit(entry, 2.5)
        return link.calls

    assert len(_play(play)) == 1


def test_stored_job_survives_a_repeat_after_the_outage():
    """Guards against a second job when the first write did take effect."""

    async def play(entry, link):
        link.away = link.sent = True
        await _submit(entry, 2.5)
        key = layout.make_job_key(JOB.id)
        value = records.encode_submission(JOB)
        item = transactions.StoredItem(key, value, 5, 5)
        entry._store.items[key] = item
        link.away = False
        await asyncio.sleep(relay.DIRECT_RETRY_S)
        outcome, _ = await _submit(entry, 2.0)
        return outcome, entry._store.items[key]

    outcome, item = _play(play)
    assert outcome == outcomes.Accepted()
    assert item.revision == 5


def test_hanging_watches_are_replaced_once_the_store_is_back():
    """Guards against changes that are seen a second after an outage.

    A watch that was sent in a silent outage hangs until its timeout. Until
    then a coordinator learns of no new job.
    """

    async def play(entry, link):
        entry.start()
        await asyncio.sleep(0.1)
        link.away, link.delay = True, 5.0
        await asyncio.sleep(mirror_follower.WATCH_WAIT_S + 0.2)
        link.away, link.delay = False, 0.001
        link.calls.clear()
        await _submit(entry, 2.5)
        await asyncio.sleep(0.1)
        return link.calls.count(WATCH)

    assert _play(play) == 2

"""Watch of a key or prefix that survives outages of the store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient

from damaskpin import errors
from damaskpin.store import failures
from damaskpin.store import values
from damaskpin.store import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from damaskpin.store import client as clients

LOG = logging.getLogger(__name__)

# A connection that went silent is noticed only when it is replaced. With the
# longest back-off this stays well inside the 9 s of a configuration change.
CONNECTION_S = 4.0
# The gateway confirms a watch at once.
CONFIRM_TIMEOUT_S = 1.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Old connections end by their own timeout while new ones are open.
MAX_CONNECTIONS = 16
MAX_LINE_BYTES = 8 * 1024 * 1024


class Change(msgspec.Struct, frozen=True):
    """A key was written or deleted.

    :ivar revision: revision of the write; for a key that was found missing
        after an outage, revision of the reading.
    :ivar item: the key as written; ``None`` when it was deleted.
    """

    key: str
    revision: int
    item: values.KeyValue | None


class Watch:
    """Reports the present value and each later change of keys.

    Changes come in the order of their revisions. Intermediate changes are
    left out when the store has compacted them.

    :param client: client of the store.
    :param key: key, or prefix, to watch.
    :param on_change: called with each change; must not raise.
    :param rng: source of the jitter.
    :param prefix: whether all keys that begin with ``key`` are watched.
    :ivar revision: newest revision that was reported or read.
    :ivar connected: whether the store has confirmed the current watch.
    :ivar connections: number of watches that were opened.
    """

    __slots__ = (
        '_client',
        '_http',
        '_key',
        '_known',
        '_must_read',
        '_on_change',
        '_range_end',
        '_rng',
        '_task',
        'connected',
        'connections',
        'revision',
    )

    def __init__(
        self,
        client: clients.StoreClient,
        key: str,
        on_change: Callable[[Change], None],
        rng: random.Random,
        prefix: bool = False,
    ) -> None:
        self.revision = 0
        self.connected = False
        self.connections = 0
        self._client = client
        self._key = key
        self._range_end = values.compute_range_end(key) if prefix else b''
        self._on_change = on_change
        self._rng = rng
        self._must_read = True
        self._known: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    def start(self) -> None:
        """Begin to watch, in the running event loop."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._http.close()

    async def _run(self) -> None:
        failed = 0
        while True:
            try:
                if self._must_read:
                    await self._read()
                await self._follow()
                failed = 0
            except errors.StoreError as error:
                failed += 1
                delay = compute_backoff(failed, self._rng)
                LOG.info(
                    'watch of %s failed, next attempt in %.2f s: %s',
                    self._key,
                    delay,
                    error,
                )
                await asyncio.sleep(delay)

    async def _read(self) -> None:
        listing = await self._client.list_range(self._key, self._range_end)
        if listing.revision < self.revision:
            raise errors.StoreUnavailableError(
                f'answer at revision {listing.revision} is older than '
                f'{self.revision}'
            )
        missing = self._known - {item.key for item in listing.items}
        floor = self.revision
        self.revision = listing.revision
        self._must_read = False
        for key in sorted(missing):
            self._report(Change(key, listing.revision, None))
        for item in sorted(listing.items, key=lambda item: item.mod_revision):
            if item.mod_revision > floor:
                self._report(Change(item.key, item.mod_revision, item))

    async def _follow(self) -> None:
        """Follow one connection until its time is over."""
        self.connections += 1
        stream = _Stream(self)
        fetch = asyncio.ensure_future(self._fetch(stream))
        try:
            await asyncio.wait(
                (fetch, stream.confirmed, stream.failed),
                timeout=CONFIRM_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.connected = stream.confirmed.done()
            if not (self.connected or fetch.done() or stream.failed.done()):
                raise errors.StoreUnavailableError(
                    f'watch was not confirmed within {CONFIRM_TIMEOUT_S} s'
                )
            await asyncio.wait(
                (fetch, stream.failed), return_when=asyncio.FIRST_COMPLETED
            )
            if stream.failed.done():
                raise stream.failed.result()
            await fetch
        finally:
            stream.active = False
            self.connected = False
            # Its result no longer matters, also when it has failed by now.
            fetch.cancel()
            await asyncio.gather(fetch, return_exceptions=True)

    async def _fetch(self, stream: _Stream) -> None:
        request = wire.Watch(
            wire.WatchCreate(
                self._key.encode(), self._range_end, str(self.revision + 1)
            )
        )
        path = '/v3/watch'
        try:
            response = await self._http.fetch(
                self._client.url + path,
                method='POST',
                body=msgspec.json.encode(request),
                headers={'Content-Type': 'application/json'},
                connect_timeout=CONFIRM_TIMEOUT_S,
                request_timeout=CONNECTION_S,
                streaming_callback=stream.receive,
                follow_redirects=False,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as error:
            if _is_timeout(error) and stream.confirmed.done():
                # The time of the connection is over; the next one follows.
                return
            raise failures.make_call_error(path, error) from error
        if response.code == 200:
            raise errors.StoreUnavailableError(f'{path}: the stream ended')
        if response.code != 599:
            body = bytes(stream.buffer)
            raise failures.make_answer_error(path, response.code, body)
        if not _is_timeout(response.error) or not stream.confirmed.done():
            error = response.error or OSError('no answer')
            raise failures.make_call_error(path, error)

    def _receive(self, answer: wire.WatchAnswer) -> None:
        if answer.canceled:
            # The events after the last revision were compacted.
            self._must_read = True
            raise errors.StoreUnavailableError(
                f'watch was cancelled, store is compacted at revision '
                f'{answer.compact_revision}'
            )
        floor = self.revision
        for event in answer.events:
            revision = event.kv.mod_revision
            if revision <= floor:
                continue
            self.revision = max(self.revision, revision)
            item = values.make_key_value(event.kv)
            deleted = event.type == 'DELETE'
            self._report(Change(item.key, revision, None if deleted else item))

    def _report(self, change: Change) -> None:
        if change.item is None:
            self._known.discard(change.key)
        else:
            self._known.add(change.key)
        self._on_change(change)


class _Stream:
    """Lines of one watch connection.

    :ivar active: whether its lines still count.
    :ivar confirmed: done once the store has confirmed the watch.
    :ivar failed: done with the first error, which ends the connection.
    """

    __slots__ = ('_watch', 'active', 'buffer', 'confirmed', 'failed')

    def __init__(self, watch: Watch) -> None:
        self.active = True
        self.buffer = bytearray()
        self.confirmed = asyncio.get_running_loop().create_future()
        self.failed = asyncio.get_running_loop().create_future()
        self._watch = watch

    def receive(self, data: bytes) -> None:
        """Handle the next bytes of the connection."""
        if not self.active or self.failed.done():
            return
        self.buffer += data
        *lines, rest = self.buffer.split(b'\n')
        self.buffer = bytearray(rest)
        try:
            for line in lines:
                self._receive_line(bytes(line))
            if len(self.buffer) > MAX_LINE_BYTES:
                raise errors.StoreUnavailableError('line is too long')
        except errors.StoreError as error:
            self.failed.set_result(error)

    def _receive_line(self, line: bytes) -> None:
        if not line:
            return
        try:
            answer = msgspec.json.decode(
                line, type=wire.StreamedWatch, strict=False
            ).result
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.StoreUnavailableError(
                f'line of the watch can not be read: {line[:200]!r}'
            ) from error
        if answer.created and not self.confirmed.done():
            self.confirmed.set_result(None)
        self._watch._receive(answer)


def _is_timeout(error: BaseException | None) -> bool:
    return (
        isinstance(error, TimeoutError)
        or str(error).startswith('HTTP 599: Timeout during request')
        or str(error).startswith('Timeout during request')
    )


def compute_backoff(failed: int, rng: random.Random) -> float:
    """Return the seconds to wait before the next attempt.

    :param failed: attempts in a row that failed.
    :param rng: source of the jitter, which spreads the clients of a store
        that comes back.
    """
    limit = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failed, 10))
    return rng.uniform(limit / 2, limit)

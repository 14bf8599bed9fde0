"""Watch of a key or prefix that reconnects after store outages."""

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

# Seconds after which a watch connection is replaced, so that a connection that
# no longer delivers changes is not used for longer. Together with the longest
# back-off this stays well within the 9 s in which a configuration change must
# be applied.
CONNECTION_LIFETIME_S = 4.0
# Seconds within which the store must confirm a watch; it normally does so at
# once.
CONFIRM_TIMEOUT_S = 1.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Watch connections that may be open at once: an abandoned connection stays
# open until its timeout, beside the connection that replaced it.
MAX_CONNECTIONS = 16
MAX_LINE_BYTES = 8 * 1024 * 1024


class Change(msgspec.Struct, frozen=True):
    """A key was written or deleted.

    :ivar revision: revision of the write; for a key that was found missing
        after an outage, the store revision of the listing that lacked it.
    :ivar item: the key with its new value; ``None`` if it was deleted.
    """

    key: str
    revision: int
    item: values.KeyValue | None


class Watch:
    """Reports the current value and later changes of the watched keys.

    Changes are reported in the order of their revisions. Changes that the
    store has compacted are skipped.

    :param client: client of the store.
    :param key: key, or prefix, to watch.
    :param on_change: called with each change; must not raise.
    :param rng: source of the back-off jitter.
    :param prefix: whether all keys that begin with ``key`` are watched.
    :ivar revision: newest store revision that was reported or read.
    :ivar connected: whether the store has confirmed the current watch.
    :ivar connections: number of watches that were opened.
    """

    __slots__ = (
        '_client',
        '_http',
        '_key',
        '_must_read',
        '_on_change',
        '_present_keys',
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
        self._present_keys: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    def start(self) -> None:
        """Start the watch as a task of the running event loop."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop the watch and close its connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._http.close()

    async def _run(self) -> None:
        failed_attempts = 0
        while True:
            try:
                if self._must_read:
                    await self._read_current_values()
                await self._follow_connection()
                failed_attempts = 0
            except errors.StoreError as error:
                failed_attempts += 1
                delay = compute_backoff(failed_attempts, self._rng)
                LOG.info(
                    'watch of %s failed, next attempt in %.2f s: %s',
                    self._key,
                    delay,
                    error,
                )
                await asyncio.sleep(delay)

    async def _read_current_values(self) -> None:
        listing = await self._client.list_range(self._key, self._range_end)
        if listing.revision < self.revision:
            raise errors.StoreUnavailableError(
                f'stale answer at revision {listing.revision}: revision '
                f'{self.revision} was already reported'
            )
        missing_keys = self._present_keys - {
            item.key for item in listing.items
        }
        reported_revision = self.revision
        self.revision = listing.revision
        self._must_read = False
        for key in sorted(missing_keys):
            self._report_change(Change(key, listing.revision, None))
        for item in sorted(listing.items, key=lambda item: item.mod_revision):
            if item.mod_revision > reported_revision:
                self._report_change(Change(item.key, item.mod_revision, item))

    async def _follow_connection(self) -> None:
        """Receive changes over one connection until it times out or fails."""
        self.connections += 1
        stream = _StreamDecoder(self)
        fetch_task = asyncio.ensure_future(self._stream_changes(stream))
        try:
            await asyncio.wait(
                (fetch_task, stream.confirmed, stream.failed),
                timeout=CONFIRM_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.connected = stream.confirmed.done()
            if not (
                self.connected or fetch_task.done() or stream.failed.done()
            ):
                raise errors.StoreUnavailableError(
                    f'watch was not confirmed within {CONFIRM_TIMEOUT_S} s'
                )
            await asyncio.wait(
                (fetch_task, stream.failed),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if stream.failed.done():
                raise stream.failed.result()
            await fetch_task
        finally:
            stream.active = False
            self.connected = False
            # Wait until the cancelled HTTP request has ended; its result or
            # error is ignored.
            fetch_task.cancel()
            await asyncio.gather(fetch_task, return_exceptions=True)

    async def _stream_changes(self, stream: _StreamDecoder) -> None:
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
                request_timeout=CONNECTION_LIFETIME_S,
                streaming_callback=stream.receive,
                follow_redirects=False,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError) as error:
            if _is_timeout(error) and stream.confirmed.done():
                # A timeout is the regular end of a watch connection; the next
                # connection is opened then.
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

    def _handle_answer(self, answer: wire.WatchAnswer) -> None:
        if answer.canceled:
            # The store has compacted changes after the last reported revision,
            # so the current values must be read again.
            self._must_read = True
            raise errors.StoreUnavailableError(
                f'watch was cancelled: the store is compacted at revision '
                f'{answer.compact_revision}'
            )
        reported_revision = self.revision
        for event in answer.events:
            revision = event.kv.mod_revision
            if revision <= reported_revision:
                continue
            self.revision = max(self.revision, revision)
            item = values.make_key_value(event.kv)
            deleted = event.type == 'DELETE'
            self._report_change(
                Change(item.key, revision, None if deleted else item)
            )

    def _report_change(self, change: Change) -> None:
        if change.item is None:
            self._present_keys.discard(change.key)
        else:
            self._present_keys.add(change.key)
        self._on_change(change)


class _StreamDecoder:
    """Decodes the lines of JSON that one watch connection receives.

    :ivar active: whether received data is still handled.
    :ivar buffer: received bytes that do not form a whole line yet.
    :ivar confirmed: future that is done once the store confirmed the watch.
    :ivar failed: future with the first error, which ends the connection.
    """

    __slots__ = ('_watch', 'active', 'buffer', 'confirmed', 'failed')

    def __init__(self, watch: Watch) -> None:
        self.active = True
        self.buffer = bytearray()
        self.confirmed = asyncio.get_running_loop().create_future()
        self.failed = asyncio.get_running_loop().create_future()
        self._watch = watch

    def receive(self, data: bytes) -> None:
        """Handle bytes received over the watch connection."""
        if not self.active or self.failed.done():
            return
        self.buffer += data
        *lines, incomplete_line = self.buffer.split(b'\n')
        self.buffer = bytearray(incomplete_line)
        try:
            for line in lines:
                self._receive_line(bytes(line))
            if len(self.buffer) > MAX_LINE_BYTES:
                raise errors.StoreUnavailableError(
                    'line of the watch is too long'
                )
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
                f'malformed line of the watch: {line[:200]!r}'
            ) from error
        if answer.created and not self.confirmed.done():
            self.confirmed.set_result(None)
        self._watch._handle_answer(answer)


def _is_timeout(error: BaseException | None) -> bool:
    return (
        isinstance(error, TimeoutError)
        or str(error).startswith('HTTP 599: Timeout during request')
        or str(error).startswith('Timeout during request')
    )


def compute_backoff(failed_attempts: int, rng: random.Random) -> float:
    """Return the seconds to wait before the next attempt.

    :param failed_attempts: number of consecutive failed attempts.
    :param rng: source of the jitter, which keeps clients from reconnecting to
        a recovered store all at once.
    """
    max_delay = min(
        MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failed_attempts, 10)
    )
    return rng.uniform(max_delay / 2, max_delay)

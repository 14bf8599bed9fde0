"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from tornado import httpserver
from tornado import web

# A page of a listing holds at most about this many items or bytes.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000

# Longest value in bytes, as `valueBytes` in the settings states it.
VALUE_BYTES = 1_048_576

MAX_TRANSACTION_ENTRIES = 32


class Store:
    """Keys, leases and history; nothing that was acknowledged is lost.

    :ivar refused_values: sizes in bytes of the values that were too long.
    :ivar late_keys: keys whose writes get no answer and are carried out late,
        each with the delay in seconds.
    :ivar writes: number of transactions, and of those carried out late.
    """

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.last_lease = 0
        self.refused_values = []
        self.late_keys = {}
        self.writes = [0, 0]

    def put(self, key, value):
        """Write a key, as the operator does."""
        text = base64.b64encode(value).decode()
        self.revision += 1
        self._put({'key': key, 'value': text})
        self._notify()

    def commit(self, body):
        """Apply a transaction; return the HTTP status and the answer."""
        entries = [*body['expectedRev'], *body['puts'], *body['remove']]
        if len(entries) > MAX_TRANSACTION_ENTRIES:
            return 400, {'error': 'too many entries'}
        for put in body['puts']:
            size = len(base64.b64decode(put['value']))
            if size > VALUE_BYTES:
                self.refused_values.append(size)
                return 400, {'error': 'the value is too long'}
        for row in body['expectedRev']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [row['key'] for row in body['expectedRev']]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {'items': found}
        for put in body['puts']:
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body['puts']:
            self._put(put)
        for key in body['remove']:
            self._remove(key)
        self._notify()
        return 200, {'revision': self.revision}

    def get_delay(self, body):
        """Return the delay of a late transaction; ``None`` for another."""
        self.writes[0] += 1
        for put in body['puts']:
            if put['key'] in self.late_keys:
                self.writes[1] += 1
                return self.late_keys[put['key']]
        return None

    def open_lease(self, ttl):
        """Return the id of a new lease; `ttl` is in milliseconds."""
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
        return self.last_lease

    def keep_lease(self, lease):
        """Renew a lease; return whether it exists."""
        if lease not in self.leases:
            return False
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return True

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.revision += 1
                self._remove(key)
        self._notify()
        return True

    def expire_leases(self):
        """End the leases whose time is up."""
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)

    def list_page(self, prefix, after):
        """Return a page of the items whose keys follow `after`."""
        keys = [k for k in self.items if k.startswith(prefix) and k > after]
        keys.sort()
        items = []
        size = 0
        for key in keys:
            item = self.items[key]
            size += len(item['value'])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                return items, True
            items.append(item)
        return items, False

    def list_events(self, prefix, after):
        """Return the changes below a prefix after a revision."""
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _put(self, put):
        former = self.items.get(put['key'])
        item = {
            'key': put['key'],
            'value': put['value'],
            'revision': self.revision,
            'created': former['created'] if former else self.revision,
            'lease': put.get('lease', 0),
        }
        self.items[put['key']] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            event = {'key': key, 'revision': self.revision, 'removed': True}
            self.history.append(event)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Handler(web.RequestHandler):
    """Answers all calls of the store."""

    def initialize(self, store):
        """Set the store."""
        self.store = store

    def prepare(self):
        """End the leases that are over."""
        self.store.expire_leases()

    def answer(self, status, body):
        """Answer with a JSON body."""
        self.set_status(status)
        self.finish(json.dumps(body))

    async def get(self, call):
        """Answer reads and watches."""
        prefix = self.get_query_argument('prefix', '')
        match call:
            case 'kv-key':
                item = self.store.items.get(self.get_query_argument('key'))
                body = dict(item or {}, storeRevision=self.store.revision)
                self.answer(200 if item else 404, body)
            case 'kv-range':
                revision = self.store.revision
                after = self.get_query_argument('after', '')
                items, more = self.store.list_page(prefix, after)
                body = {'items': items, 'hasMore': more}
                self.answer(200, dict(body, storeRevision=revision))
            case 'kv-watch':
                await self._watch(prefix)

    async def post(self, call):
        """Answer transactions and calls about leases."""
        match call.split('/'):
            case ['kv-txn']:
                await self._commit(json.loads(self.request.body))
            case ['kv-lease']:
                ttl = json.loads(self.request.body)['ttlMs']
                lease = self.store.open_lease(ttl)
                self.answer(200, {'lease': lease, 'ttlMs': ttl})
            case ['kv-keep', lease]:
                kept = self.store.keep_lease(int(lease))
                self.answer(200 if kept else 404, {})

    def delete(self, call):
        """End a lease."""
        ended = self.store.end_lease(int(call.split('/')[1]))
        self.answer(200 if ended else 404, {})

    async def _commit(self, body):
        delay = self.store.get_delay(body)
        if delay is None:
            self.answer(*self.store.commit(body))
            return
        # Nothing further comes on this connection.
        asyncio.get_running_loop().call_later(delay, self.store.commit, body)
        await asyncio.sleep(delay + 30)

    async def _watch(self, prefix):
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('waitMs')) / 1000
        deadline = time.monotonic() + wait
        while True:
            revision = self.store.revision
            events = self.store.list_events(prefix, after)
            left = deadline - time.monotonic()
            if events or left <= 0:
                body = {'events': events, 'storeRevision': revision}
                self.answer(200, body)
                return
            # Leases are looked at now and then, so that their ends are seen.
            pause = min(left, 0.2)
            try:
                await asyncio.wait_for(self.store.changed.wait(), pause)
            except TimeoutError:
                self.store.expire_leases()


def serve(store, address, port):
    """Serve a store at an address."""
    handlers = [('/damaskpin/(.*)', Handler, {'store': store})]
    server = httpserver.HTTPServer(
        web.Application(handlers), max_body_size=1 << 28
    )
    server.listen(port, address)
    return server

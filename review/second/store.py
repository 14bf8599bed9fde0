"""Stand-in of the platform's metadata store, without faults of its own."""

import asyncio
import json
import time

from tornado import httpserver
from tornado import web

LEASE_CHECK_INTERVAL_S = 0.02
MAX_PAGE_ITEMS = 500


class Store:
    """Keys, leases and history of the store.

    :ivar items: present item of each key, as the store answers it.
    :ivar history: all changes, oldest first.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def expire_leases(self):
        """Remove ended leases with their keys until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (end, _) in list(self._leases.items()):
                if end <= now:
                    self.end_lease(lease)
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    def open_lease(self, ttl):
        """Open a lease of some seconds and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return lease

    def keep_lease(self, lease):
        """Renew a lease and return whether it exists."""
        if lease not in self._leases:
            return False
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return True

    def end_lease(self, lease):
        """Remove a lease with its keys and return whether it existed."""
        if self._leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i['lease'] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)
        self._notify()
        return True

    def put(self, key, value):
        """Write a key as the operator does; the value is base64 text."""
        self.revision += 1
        self._put(key, value, 0)
        self._notify()

    def commit(self, body):
        """Apply a transaction; return the status and the answer."""
        expected = body.get('expectedRev', [])
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [other['key'] for other in expected]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
        self.revision += 1
        for put in body.get('puts', []):
            self._put(put['key'], put['value'], put.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        self._notify()
        return 200, {'revision': self.revision}

    def list_events(self, prefix, after):
        """Return the changes below a prefix after a revision."""
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def wait_for_change(self, seconds):
        """Wait until a key changes, for some seconds at most."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            pass

    def _put(self, key, value, lease):
        former = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': former['created'] if former else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


class _Handler(web.RequestHandler):
    def initialize(self, store):
        self.store = store

    def send(self, status, body):
        self.set_status(status)
        self.finish(json.dumps(body))


class _KeyHandler(_Handler):
    def get(self):
        item = self.store.items.get(self.get_query_argument('key'))
        body = {**(item or {}), 'storeRevision': self.store.revision}
        self.send(200 if item else 404, body)


class _RangeHandler(_Handler):
    def get(self):
        prefix = self.get_query_argument('prefix')
        after = self.get_query_argument('after', '')
        keys = sorted(
            key
            for key in self.store.items
            if key.startswith(prefix) and key > after
        )
        items = [self.store.items[key] for key in keys[:MAX_PAGE_ITEMS]]
        body = {'items': items, 'hasMore': len(keys) > MAX_PAGE_ITEMS}
        self.send(200, {**body, 'storeRevision': self.store.revision})


class _WatchHandler(_Handler):
    async def get(self):
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('waitMs')) / 1000
        deadline = time.monotonic() + wait
        while True:
            revision = self.store.revision
            events = self.store.list_events(prefix, after)
            left = deadline - time.monotonic()
            if events or left <= 0:
                self.send(200, {'events': events, 'storeRevision': revision})
                return
            await self.store.wait_for_change(left)


class _TransactionHandler(_Handler):
    def post(self):
        self.send(*self.store.commit(json.loads(self.request.body)))


class _LeaseHandler(_Handler):
    def post(self):
        ttl_ms = json.loads(self.request.body)['ttlMs']
        lease = self.store.open_lease(ttl_ms / 1000)
        self.send(200, {'lease': lease, 'ttlMs': ttl_ms})


class _KeepHandler(_Handler):
    def post(self, lease):
        self.send(200 if self.store.keep_lease(int(lease)) else 404, {})


class _EndHandler(_Handler):
    def delete(self, lease):
        self.send(200 if self.store.end_lease(int(lease)) else 404, {})


def serve(store, address, port):
    """Serve a store and return the HTTP server."""
    arguments = {'store': store}
    application = web.Application(
        [
            ('/damaskpin/kv-key', _KeyHandler, arguments),
            ('/damaskpin/kv-range', _RangeHandler, arguments),
            ('/damaskpin/kv-watch', _WatchHandler, arguments),
            ('/damaskpin/kv-txn', _TransactionHandler, arguments),
            ('/damaskpin/kv-lease', _LeaseHandler, arguments),
            ('/damaskpin/kv-keep/([0-9]+)', _KeepHandler, arguments),
            ('/damaskpin/kv-lease-end/([0-9]+)', _EndHandler, arguments),
        ]
    )
    server = httpserver.HTTPServer(application)
    server.listen(port, address)
    return server

"""Stand-in of the platform's store over HTTP."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpserver
from tornado import web

HISTORY = 2000


class State:
    """Keys, leases and history.

    :ivar outage: ``''``, ``busy`` (503) or ``silent``.
    :ivar lost: share of the writes whose answer is lost.
    """

    def __init__(self, rng):
        self.rng = rng
        self.items = {}
        self.leases = {}
        self.revision = 1
        self.history = []
        self.floor = 1
        self.outage = ''
        self.lost = 0.0
        self.changed = asyncio.Event()
        self.next_lease = 1

    def expire(self):
        """Remove the keys of ended leases."""
        now = time.monotonic()
        for lease, (ends, _) in list(self.leases.items()):
            if ends <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease; returns whether it was there."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.revision += 1
                self._remove(key)
        self._wake()
        return True

    def compact(self):
        """Drop the history."""
        self.history.clear()
        self.floor = self.revision

    def put(self, key, value, lease=0):
        """Write a key outside of a transaction, as the operator does."""
        self.revision += 1
        self._put({'key': key, 'value': value, 'lease': lease})
        self._wake()

    def commit(self, body):
        """Carry a transaction out; returns status and answer."""
        for row in body['expectedRev']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [r['key'] for r in body['expectedRev']]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found}
        for put in body['puts']:
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body['puts']:
            self._put(put)
        for key in body['remove']:
            self._remove(key)
        self._wake()
        return 200, {'revision': self.revision}

    def _put(self, put):
        known = self.items.get(put['key'])
        item = {
            'key': put['key'],
            'value': put['value'],
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': put.get('lease', 0),
        }
        self.items[put['key']] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.history.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def _wake(self):
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()


class Handler(web.RequestHandler):
    """All calls of the store."""

    def initialize(self, state):
        self.state = state

    async def prepare(self):
        self.state.expire()
        if self.state.outage == 'silent':
            await asyncio.sleep(30)
        if self.state.outage:
            self.set_status(503)
            self.finish(b'{}')

    def answer(self, status, body):
        self.set_status(status)
        self.finish(json.dumps(body))


class KeyHandler(Handler):
    """One key."""

    def get(self):
        item = self.state.items.get(self.get_query_argument('key'))
        self.answer(200 if item else 404, item or {})


class RangeHandler(Handler):
    """Keys below a prefix."""

    def get(self):
        prefix = self.get_query_argument('prefix')
        items = [
            i for k, i in self.state.items.items() if k.startswith(prefix)
        ]
        body = {'items': items, 'hasMore': False}
        self.answer(200, {**body, 'storeRevision': self.state.revision})


class WatchHandler(Handler):
    """Changes below a prefix."""

    async def get(self):
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('waitMs')) / 1000
        ends = time.monotonic() + wait
        while True:
            if after < self.state.floor:
                self.answer(410, {})
                return
            events = [
                event
                for event in self.state.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                revision = self.state.revision
                body = {'events': events, 'storeRevision': revision}
                self.answer(200, body)
                return
            try:
                await asyncio.wait_for(self.state.changed.wait(), left)
            except TimeoutError:
                continue


class TxnHandler(Handler):
    """A transaction, whose answer may be lost."""

    async def post(self):
        body = json.loads(self.request.body)
        status, answer = self.state.commit(body)
        if self.state.rng.random() < self.state.lost:
            self.request.connection.stream.close()
            return
        self.answer(status, answer)


class LeaseHandler(Handler):
    """A new lease."""

    def post(self):
        ttl = json.loads(self.request.body)['ttlMs'] / 1000
        lease = self.state.next_lease
        self.state.next_lease += 1
        self.state.leases[lease] = (time.monotonic() + ttl, ttl)
        self.answer(200, {'lease': lease, 'ttlMs': int(ttl * 1000)})


class KeepHandler(Handler):
    """Renewal of a lease."""

    def post(self, lease):
        known = self.state.leases.get(int(lease))
        if known is None:
            self.answer(404, {})
            return
        ends = time.monotonic() + known[1]
        self.state.leases[int(lease)] = (ends, known[1])
        self.answer(200, {})


class EndHandler(Handler):
    """End of a lease."""

    def delete(self, lease):
        ended = self.state.end_lease(int(lease))
        self.answer(200 if ended else 404, {})


def serve(state, port):
    """Serve a store on loopback."""
    known = {'state': state}
    application = web.Application(
        [
            ('/damaskpin/kv-key', KeyHandler, known),
            ('/damaskpin/kv-range', RangeHandler, known),
            ('/damaskpin/kv-watch', WatchHandler, known),
            ('/damaskpin/kv-txn', TxnHandler, known),
            ('/damaskpin/kv-lease', LeaseHandler, known),
            ('/damaskpin/kv-keep/([0-9]+)', KeepHandler, known),
            ('/damaskpin/kv-lease-end/([0-9]+)', EndHandler, known),
        ]
    )
    server = httpserver.HTTPServer(application)
    server.listen(port, '127.0.0.1')
    return server

"""Simulated platform store: HTTP server with keys, leases and watches."""

from __future__ import annotations

import asyncio
import json
import time

from tornado import httpserver
from tornado import web

MAX_HISTORY_EVENTS = 2000


# Shortest and longest time in seconds after which a late write is applied.
LATE_WRITE_S = (0.5, 5.0)


class StoreState:
    """Keys, leases and history of the store, and the faults in force.

    :ivar items: present value of each key, as the store answers it.
    :ivar leases: end (monotonic seconds) and duration (s), by lease id.
    :ivar history: changes since the last compaction, oldest first.
    :ivar compacted_revision: watches must start at this revision or later.
    :ivar outage: ``busy`` answers all calls with 503, ``silent`` delays them
        by 30 s first; empty for none.
    :ivar lost_answer_share: share of the transactions whose answer is lost.
    :ivar changed: set, and then replaced, at each change of the keys.
    """

    def __init__(self, rng):
        self.rng = rng
        self.items = {}
        self.leases = {}
        self.revision = 1
        self.history = []
        self.compacted_revision = 1
        self.outage = ''
        self.lost_answer_share = 0.0
        self.changed = asyncio.Event()
        self.next_lease = 1

    def expire_leases(self):
        """Remove the leases that have expired, with their keys."""
        now = time.monotonic()
        for lease, (expires, _) in list(self.leases.items()):
            if expires <= now:
                self.remove_lease(lease)

    def remove_lease(self, lease):
        """Remove a lease with its keys and return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.revision += 1
                self._remove(key)
        self._notify_watches()
        return True

    def compact(self):
        """Drop the history up to the present revision."""
        self.history.clear()
        self.compacted_revision = self.revision

    def put(self, key, value, lease=0):
        """Write a key outside of a transaction, as an operator's tool does."""
        self.revision += 1
        self._put({'key': key, 'value': value, 'lease': lease})
        self._notify_watches()

    def commit(self, body):
        """Apply a transaction and return the HTTP status and the answer."""
        for expected in body['expectedRev']:
            item = self.items.get(expected['key'])
            if (item['revision'] if item else 0) != expected['revision']:
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
        self._notify_watches()
        return 200, {'revision': self.revision}

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
        if self.items.pop(key, None) is None:
            return
        self.history.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def _notify_watches(self):
        del self.history[:-MAX_HISTORY_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()


class Handler(web.RequestHandler):
    """Base class of the handlers; expires leases and applies outages."""

    def initialize(self, state):
        self.state = state

    async def prepare(self):
        self.state.expire_leases()
        if self.state.outage == 'silent':
            await asyncio.sleep(30)
        if self.state.outage:
            self.set_status(503)
            self.finish(b'{}')

    def send_answer(self, status, body):
        self.set_status(status)
        self.finish(json.dumps(body))


class KeyHandler(Handler):
    """Answers with the value of one key."""

    def get(self):
        item = self.state.items.get(self.get_query_argument('key'))
        self.send_answer(200 if item else 404, item or {})


class RangeHandler(Handler):
    """Answers with the keys below a prefix and their values."""

    def get(self):
        prefix = self.get_query_argument('prefix')
        items = [
            item
            for key, item in self.state.items.items()
            if key.startswith(prefix)
        ]
        body = {'items': items, 'hasMore': False}
        self.send_answer(200, {**body, 'storeRevision': self.state.revision})


class WatchHandler(Handler):
    """Waits for changes of the keys below a prefix and answers with them."""

    async def get(self):
        prefix = self.get_query_argument('prefix')
        after = int(self.get_query_argument('after'))
        wait = int(self.get_query_argument('waitMs')) / 1000
        deadline = time.monotonic() + wait
        while True:
            if after < self.state.compacted_revision:
                self.send_answer(410, {})
                return
            events = [
                event
                for event in self.state.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                revision = self.state.revision
                body = {'events': events, 'storeRevision': revision}
                self.send_answer(200, body)
                return
            try:
                await asyncio.wait_for(self.state.changed.wait(), remaining)
            except TimeoutError:
                continue


class TransactionHandler(Handler):
    """Applies a transaction; the connection may close without an answer.

    Half of the transactions without an answer are applied late.
    """

    async def post(self):
        body = json.loads(self.request.body)
        rng = self.state.rng
        if rng.random() >= self.state.lost_answer_share:
            self.send_answer(*self.state.commit(body))
            return
        if rng.random() < 0.5:
            delay = rng.uniform(*LATE_WRITE_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.state.commit, body)
        else:
            self.state.commit(body)
        self.request.connection.stream.close()


class LeaseHandler(Handler):
    """Creates a lease."""

    def post(self):
        ttl = json.loads(self.request.body)['ttlMs'] / 1000
        lease = self.state.next_lease
        self.state.next_lease += 1
        self.state.leases[lease] = (time.monotonic() + ttl, ttl)
        self.send_answer(200, {'lease': lease, 'ttlMs': int(ttl * 1000)})


class LeaseRenewalHandler(Handler):
    """Renews a lease."""

    def post(self, lease):
        known_lease = self.state.leases.get(int(lease))
        if known_lease is None:
            self.send_answer(404, {})
            return
        expires = time.monotonic() + known_lease[1]
        self.state.leases[int(lease)] = (expires, known_lease[1])
        self.send_answer(200, {})


class LeaseRevocationHandler(Handler):
    """Revokes a lease."""

    def delete(self, lease):
        ended = self.state.remove_lease(int(lease))
        self.send_answer(200 if ended else 404, {})


def serve(state, port):
    """Serve a simulated store on a port on loopback and return the server."""
    arguments = {'state': state}
    application = web.Application(
        [
            ('/damaskpin/kv-key', KeyHandler, arguments),
            ('/damaskpin/kv-range', RangeHandler, arguments),
            ('/damaskpin/kv-watch', WatchHandler, arguments),
            ('/damaskpin/kv-txn', TransactionHandler, arguments),
            ('/damaskpin/kv-lease', LeaseHandler, arguments),
            ('/damaskpin/kv-keep/([0-9]+)', LeaseRenewalHandler, arguments),
            (
                '/damaskpin/kv-lease-end/([0-9]+)',
                LeaseRevocationHandler,
                arguments,
            ),
        ]
    )
    server = httpserver.HTTPServer(application)
    server.listen(port, '127.0.0.1')
    return server

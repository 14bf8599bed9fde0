"""A store whose direct calls may hang and that peers reach, for tests."""

from __future__ import annotations

import asyncio
import json
from urllib import parse

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.model import installation as installations
from damaskpin.peer import orders
from damaskpin.platform import store as store_client
from damaskpin.platform import store_wire
from damaskpin.runtime import clocks
from damaskpin.runtime import configuration
from damaskpin.runtime import mirror_follower
from damaskpin.runtime import relay
from damaskpin.runtime import relay_peers
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors

CONFIG_KEY = 'op/config'
STORE_DELAY_S = 0.01
PEERS = ('one', 'two', 'three', 'four', 'five', 'six', 'seven')


class Store:
    """Answers listings and watches of the configuration key.

    :ivar direct_silent: whether direct calls hang until their timeout.
    :ivar silent_peers: peers that give no answer to relayed calls.
    :ivar refused_peers: peers whose own calls are refused.
    """

    def __init__(self):
        self.direct_silent = False
        self.silent_peers = set()
        self.refused_peers = set()
        self.revision = 1
        self.version = 1
        self._changed = asyncio.Event()

    def write_version(self):
        """Write the next version; return it."""
        self.revision += 1
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def has_progress(self, _request):
        """Return that no part of an answer has arrived."""
        return False

    async def call(self, request):
        """Make a direct call."""
        if self.direct_silent:
            await asyncio.sleep(request.timeout)
            raise errors.CallError('timed out', True)
        return await self.answer(request)

    async def answer(self, request):
        """Answer a call that has reached the store."""
        await asyncio.sleep(STORE_DELAY_S)
        url = parse.urlsplit(request.path)
        query = dict(parse.parse_qsl(url.query))
        is_config = query['prefix'] == CONFIG_KEY
        body = {'storeRevision': self.revision}
        if url.path.endswith('/kv-range'):
            body['items'] = [self._make_item()] if is_config else []
            return _make_answer(body)
        after = int(query['after'])
        if self.revision <= after or not is_config:
            wait = int(query['waitMs']) / 1000
            changed = self._changed.wait() if is_config else asyncio.sleep(9)
            try:
                await asyncio.wait_for(changed, wait)
            except TimeoutError:
                pass
        body['storeRevision'] = self.revision
        has_changed = is_config and self.revision > after
        body['events'] = [self._make_item()] if has_changed else []
        return _make_answer(body)

    def _make_item(self):
        return {
            'key': CONFIG_KEY,
            'value': store_wire.encode_value(str(self.version).encode()),
            'revision': self.revision,
            'created': 1,
        }


class Exchange:
    """Carries relayed calls to a peer that reaches the store."""

    def __init__(self, store, peers):
        self._store = store
        self._peers = peers
        self._tasks = set()

    def post(self, address, kind, build):
        """Answer a relayed call unless the peer is silent."""
        if address in self._store.silent_peers:
            return
        refused = address in self._store.refused_peers
        task = asyncio.ensure_future(self._answer(build(), refused))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, call, refused):
        if refused:
            await asyncio.sleep(STORE_DELAY_S)
            self._peers.handle_answer(
                orders.StoreAnswer(call.id, 0, False, b'')
            )
            return
        request = msgspec.msgpack.decode(
            call.request, type=transport.HttpRequest
        )
        answer = await self._store.answer(request)
        self._peers.handle_answer(
            orders.StoreAnswer(call.id, answer.status, True, answer.body)
        )


class Followers:
    """Follows the configuration and the jobs, as an entry does.

    :ivar store: the store that is followed.
    """

    def __init__(self, store):
        self.store = store
        peers = relay_peers.RelayPeers(lambda: list(PEERS))
        peers.set_exchange(Exchange(store, peers))
        self._caller = relay.RelayingCaller(store, peers)
        client = store_client.StoreClient(self._caller)
        self._in_force = {}
        self._config = configuration.ConfigurationWatcher(
            client, CONFIG_KEY, _decode, self._record
        )
        mirror = mirrors.Mirror(layout.ROOT_PREFIX, lambda change: None)
        self._jobs = mirror_follower.MirrorFollower(
            client, mirror, lambda: False
        )
        self._caller.on_return = self._restart_watches
        self._tasks = [
            asyncio.ensure_future(self._config.run()),
            asyncio.ensure_future(self._jobs.run()),
        ]

    async def wait_for_version(self, version, timeout):
        """Return the seconds until a version is in force.

        :raises TimeoutError: it is not in force in time.
        """
        started = clocks.get_monotonic_time()
        async with asyncio.timeout(timeout):
            while max(self._in_force, default=0) < version:
                await asyncio.sleep(0.01)
        return clocks.get_monotonic_time() - started

    def close(self):
        """Stop following."""
        for task in self._tasks:
            task.cancel()

    def _record(self, installation):
        self._in_force[installation.version] = clocks.get_monotonic_time()

    def _restart_watches(self):
        self._jobs.restart_watch()
        self._config.restart_watch()


def _decode(data):
    return installations.Installation(int(data), (), (), (), 1)


def _make_answer(body):
    return transport.HttpAnswer(200, json.dumps(body).encode())


def play_scenario(scenario):
    """Run a scenario with followers that have the first version in force."""

    async def run():
        followers = Followers(Store())
        try:
            await followers.wait_for_version(1, 1.0)
            await scenario(followers, followers.store)
        finally:
            followers.close()

    asyncio.run(run())

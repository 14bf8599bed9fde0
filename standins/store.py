"""Stand-in of the platform's store: the JSON gateway of etcd v3 over HTTP."""

from __future__ import annotations

import asyncio

import fire
import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from standins import store_calls
from standins import store_wire as wire

# A value of the largest size grows by a third in base64.
MAX_REQUEST_BYTES = 2 * store_calls.MAX_VALUE_BYTES
LEASE_CHECK_S = 0.05

_WRITES = {'put', 'deleterange', 'txn', 'grant', 'keepalive', 'revoke'}


class _Handler(web.RequestHandler):
    def initialize(self, store: store_calls.Store) -> None:
        self.store = store

    def write_json(self, answer: msgspec.Struct) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(answer) + b'\n')

    def write_failure(self, code: int, message: str) -> None:
        self.set_status(store_calls.HTTP_STATUS[code])
        self.write_json(wire.Failure(message, code, message))

    def refuse_when_down(self) -> bool:
        """Answer as a store that is down; return whether it is."""
        match self.store.faults.down:
            case '503':
                self.write_failure(14, 'etcdserver: no leader')
                return True
            case 'closed':
                self.detach().close()
                return True
        return False


class CallHandler(_Handler):
    """Calls with one answer."""

    async def post(self, kind: str) -> None:
        self.store.calls[kind] += 1
        if self.refuse_when_down():
            return
        if self.store.faults.slow:
            # The effect comes after the delay, so a client that stops waiting
            # may see it later.
            await asyncio.sleep(self.store.faults.slow)
        try:
            answer = self.store.call(kind, self.request.body)
        except store_calls.GatewayError as error:
            self.write_failure(error.code, error.message)
            return
        if kind in _WRITES and self.store.faults.lose_answers:
            self.store.faults.lose_answers -= 1
            self.detach().close()
            return
        self.write_json(answer)


class WatchHandler(_Handler):
    """Streams events, one JSON document a line."""

    async def post(self) -> None:
        self.store.calls['watch'] += 1
        if self.refuse_when_down():
            return
        try:
            request = store_calls.decode(self.request.body, wire.WatchRequest)
        except store_calls.GatewayError as error:
            self.write_failure(error.code, error.message)
            return
        self.store.waiting += 1
        try:
            await self._stream(request.create_request)
        except iostream.StreamClosedError:
            pass
        finally:
            self.store.waiting -= 1

    async def _stream(self, request: wire.WatchCreateRequest) -> None:
        store = self.store
        silences = store.silences
        await self._send(wire.WatchResponse(store.make_header(), created=True))
        next_revision = request.start_revision or store.state.revision + 1
        while not store.faults.down:
            if store.silences != silences:
                await self._wait_for_change()
                continue
            if next_revision < store.state.compacted:
                compacted = wire.format_int64(store.state.compacted)
                await self._send(
                    wire.WatchResponse(
                        store.make_header(),
                        canceled=True,
                        compact_revision=compacted,
                    )
                )
                return
            newest = store.state.revision
            events = self._collect(request, next_revision)
            next_revision = max(next_revision, newest + 1)
            if events:
                header = store.make_header(newest)
                await self._send(wire.WatchResponse(header, events=events))
                continue
            await self._wait_for_change()
        self.detach().close()

    async def _wait_for_change(self) -> None:
        # A closed connection is noticed by the request, not by the wait.
        change = asyncio.ensure_future(self.store.wait())
        closed = asyncio.ensure_future(self.closed.wait())
        try:
            await asyncio.wait(
                (change, closed), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            change.cancel()
            closed.cancel()
        if self.closed.is_set():
            raise iostream.StreamClosedError

    def prepare(self) -> None:
        self.closed = asyncio.Event()

    def on_connection_close(self) -> None:
        self.closed.set()

    def _collect(
        self, request: wire.WatchCreateRequest, first: int
    ) -> list[wire.Event]:
        events = []
        for event in self.store.state.events:
            if event.mod_revision < first:
                continue
            if not _covers(request, event.key):
                continue
            kind = 'PUT' if event.version else 'DELETE'
            events.append(wire.Event(store_calls.make_key_value(event), kind))
        return events

    async def _send(self, answer: wire.WatchResponse) -> None:
        self.write_json(wire.Streamed(answer))
        await self.flush()


def _covers(request: wire.WatchCreateRequest, key: bytes) -> bool:
    if not request.range_end:
        return key == request.key
    if key < request.key:
        return False
    return request.range_end == b'\0' or key < request.range_end


class FaultsHandler(_Handler):
    """Shows and sets the faults; fields that are left out keep their value."""

    def get(self) -> None:
        self.write_json(self.store.faults)

    def post(self) -> None:
        try:
            changes = msgspec.json.decode(
                self.request.body, type=dict[str, object]
            )
            faults = msgspec.convert(
                {**msgspec.to_builtins(self.store.faults), **changes},
                store_calls.Faults,
            )
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self.write_failure(3, str(error))
            return
        self.store.set_faults(faults)
        self.write_json(faults)


class StatsHandler(_Handler):
    """Shows the number of calls of each kind and of waiting watches."""

    def get(self) -> None:
        self.write(
            {
                'calls': dict(self.store.calls),
                'waiting_watches': self.store.waiting,
                'revision': self.store.state.revision,
            }
        )


class Server:
    """The stand-in on one port; a test may run it in its own event loop.

    :ivar store: the store, for direct access to faults and counts.
    """

    def __init__(self, host: str = '127.0.0.1', port: int = 0) -> None:
        self.store = store_calls.Store()
        arguments = {'store': self.store}
        application = web.Application(
            [
                (
                    r'/v3/kv/(range|put|deleterange|txn|compaction)',
                    CallHandler,
                    arguments,
                ),
                (
                    r'/v3/lease/(grant|keepalive|revoke)',
                    CallHandler,
                    arguments,
                ),
                (r'/v3/watch', WatchHandler, arguments),
                (r'/standin/faults', FaultsHandler, arguments),
                (r'/standin/stats', StatsHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        self._http = httpserver.HTTPServer(
            application, max_body_size=MAX_REQUEST_BYTES
        )
        sockets = netutil.bind_sockets(port, host)
        self.port = sockets[0].getsockname()[1]
        self.url = f'http://{host}:{self.port}'
        self._http.add_sockets(sockets)
        self._expiry = asyncio.ensure_future(self._expire_leases())

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._expiry.cancel()
        self._http.stop()
        self.store.set_faults(store_calls.Faults(down='closed'))
        await self._http.close_all_connections()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.store.expire_leases()


def main(port: int = 2379, host: str = '127.0.0.1') -> None:
    """Serve the stand-in until the process is ended.

    :param port: port to listen on; 0 takes a free one and prints it.
    :param host: address to listen on.
    """

    async def run() -> None:
        server = Server(host, port)
        print(f'listening on {server.url}', flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        pass


if __name__ == '__main__':
    fire.Fire(main)

"""Simulated store: HTTP server with the JSON gateway API of etcd v3."""

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

# Base64 makes a value of the largest size longer by a third.
MAX_REQUEST_BYTES = 2 * store_calls.MAX_VALUE_BYTES
LEASE_CHECK_INTERVAL_S = 0.05

_WRITE_CALLS = {'put', 'deleterange', 'txn', 'grant', 'keepalive', 'revoke'}


class _Handler(web.RequestHandler):
    def initialize(self, store: store_calls.Store) -> None:
        self.store = store

    def write_json(self, answer: msgspec.Struct) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(answer) + b'\n')

    def write_failure(self, code: int, message: str) -> None:
        self.set_status(store_calls.HTTP_STATUS[code])
        self.write_json(wire.Failure(message, code, message))

    def refuse_if_down(self) -> bool:
        """Answer with an error, or not at all, if the store is down.

        :returns: whether the store is down.
        """
        match self.store.faults.down:
            case '503':
                self.write_failure(14, 'etcdserver: no leader')
                return True
            case 'closed':
                self.detach().close()
                return True
        return False


class CallHandler(_Handler):
    """Handles the calls that have one answer: all but watch."""

    async def post(self, kind: str) -> None:
        self.store.calls[kind] += 1
        if self.refuse_if_down():
            return
        if self.store.faults.slow:
            # The delay precedes the effect, so the write of a client that has
            # timed out may still take effect.
            await asyncio.sleep(self.store.faults.slow)
        try:
            answer = self.store.execute(kind, self.request.body)
        except store_calls.GatewayError as error:
            self.write_failure(error.code, error.message)
            return
        if kind in _WRITE_CALLS and self.store.faults.lose_answers:
            self.store.faults.lose_answers -= 1
            self.detach().close()
            return
        self.write_json(answer)


class WatchHandler(_Handler):
    """Streams the events of a watch, one JSON document a line."""

    async def post(self) -> None:
        self.store.calls['watch'] += 1
        if self.refuse_if_down():
            return
        try:
            request = store_calls.decode(self.request.body, wire.WatchRequest)
        except store_calls.GatewayError as error:
            self.write_failure(error.code, error.message)
            return
        self.store.waiting_watches += 1
        try:
            await self._stream(request.create_request)
        except iostream.StreamClosedError:
            pass
        finally:
            self.store.waiting_watches -= 1

    async def _stream(self, request: wire.WatchCreateRequest) -> None:
        store = self.store
        silence_count = store.silence_count
        await self._send_response(
            wire.WatchResponse(store.make_header(), created=True)
        )
        next_revision = request.start_revision or store.state.revision + 1
        while not store.faults.down:
            if store.silence_count != silence_count:
                await self._wait_for_change()
                continue
            if next_revision < store.state.compacted_revision:
                compacted = wire.format_int64(store.state.compacted_revision)
                await self._send_response(
                    wire.WatchResponse(
                        store.make_header(),
                        canceled=True,
                        compact_revision=compacted,
                    )
                )
                return
            newest = store.state.revision
            events = self._collect_events(request, next_revision)
            next_revision = max(next_revision, newest + 1)
            if events:
                header = store.make_header(newest)
                await self._send_response(
                    wire.WatchResponse(header, events=events)
                )
                continue
            await self._wait_for_change()
        self.detach().close()

    async def _wait_for_change(self) -> None:
        # Waiting for a change does not notice that the client has closed the
        # connection; on_connection_close does.
        change = asyncio.ensure_future(self.store.wait_for_change())
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

    def _collect_events(
        self, request: wire.WatchCreateRequest, first_revision: int
    ) -> list[wire.Event]:
        events = []
        for event in self.store.state.events:
            if event.mod_revision < first_revision:
                continue
            if not _matches_watch(request, event.key):
                continue
            event_type = 'PUT' if event.version else 'DELETE'
            events.append(
                wire.Event(store_calls.make_key_value(event), event_type)
            )
        return events

    async def _send_response(self, answer: wire.WatchResponse) -> None:
        self.write_json(wire.Streamed(answer))
        await self.flush()


def _matches_watch(request: wire.WatchCreateRequest, key: bytes) -> bool:
    if not request.range_end:
        return key == request.key
    if key < request.key:
        return False
    return request.range_end == b'\0' or key < request.range_end


class FaultsHandler(_Handler):
    """Returns the faults, or sets those that the JSON body names."""

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
    """Returns the revision and the numbers of calls and open watches."""

    def get(self) -> None:
        self.write(
            {
                'calls': dict(self.store.calls),
                'waiting_watches': self.store.waiting_watches,
                'revision': self.store.state.revision,
            }
        )


class Server:
    """HTTP server of the simulated store, run by the current event loop.

    :param host: address to listen on.
    :param port: port to listen on; 0 takes a free one.
    :ivar store: simulated store, whose faults and counters tests access.
    :ivar port: port that the server listens on.
    :ivar url: base URL of the server.
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
        self._expiry_task = asyncio.ensure_future(self._expire_leases())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._expiry_task.cancel()
        self._http.stop()
        self.store.set_faults(store_calls.Faults(down='closed'))
        await self._http.close_all_connections()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire_leases()


def main(port: int = 2379, host: str = '127.0.0.1') -> None:
    """Serve the simulated store until the process is ended.

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

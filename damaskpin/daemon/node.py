"""Message exchange of a process with its peers, ticks and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import signal
import time
from typing import TYPE_CHECKING

from tornado import ioloop

from damaskpin import errors
from damaskpin import telemetry
from damaskpin.peer import codec as codecs
from damaskpin.peer import link
from damaskpin.peer import messages
from damaskpin.runtime import background

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence

    from tornado import httpserver

    from damaskpin import settings as settings_module

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
INCARNATION_BYTES = 6
IDLE_CHECK_INTERVAL_S = 10.0
# Minimum interval between lookups of the address of the same process.
ADDRESS_LOOKUP_INTERVAL_S = 0.5
# Messages to a process are queued while its address is looked up. This only
# saves the first round trip, because senders repeat important messages.
MAX_QUEUED_MESSAGES = 16
MAX_UNKNOWN_PEERS = 1000


class Node:
    """Sends and receives peer messages for one process.

    :param settings: settings of the process.
    :param role: ``entry`` or ``agent``.
    :param receive: called with the sender and each received message.
    :param on_call_failure: called with the instance id of a peer that did not
        answer.
    :param look_up_address: called with the instance id of a process whose
        address is needed.
    :ivar peer: identity and addresses of this process.
    """

    __slots__ = (
        '_addresses',
        '_background',
        '_instances_by_address',
        '_listener',
        '_look_up_address',
        '_lookup_times',
        '_on_call_failure',
        '_outbox',
        '_queued_messages',
        '_receive',
        '_reply_batch',
        'peer',
        'telemetry',
    )

    def __init__(
        self,
        settings: settings_module.CommonSettings,
        role: str,
        receive: Callable[[str, messages.Message], None],
        on_call_failure: Callable[[str], None],
        look_up_address: Callable[[str], None],
    ) -> None:
        self._look_up_address = look_up_address
        self._queued_messages: dict[str, list[messages.Message]] = {}
        self._lookup_times: dict[str, float] = {}
        self._receive = receive
        self._on_call_failure = on_call_failure
        self.peer = messages.Peer(
            settings.instance,
            secrets.token_hex(INCARNATION_BYTES),
            role,
            settings.listen,
            settings.region,
            settings.data_centre,
            f'http://{settings.http_host}:{settings.http_port}',
        )
        self.telemetry = telemetry.Telemetry(
            settings.instance, settings.otlp_endpoint
        )
        self._addresses: dict[str, str] = {}
        self._instances_by_address: dict[str, str] = {}
        self._reply_batch: tuple[str, list[messages.Message]] | None = None
        self._background = background.BackgroundTasks()
        codec = codecs.Codec(settings.fleet_key.get_secret_value().encode())
        self._outbox = link.Outbox(
            codec,
            self._make_frame,
            self._handle_reply,
            self._handle_call_failure,
        )
        self._listener = link.Listener(
            settings.listen, codec, self._handle_frame
        )

    @staticmethod
    def get_time() -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def store_address(self, peer: messages.Peer) -> None:
        """Store the address of a process for messages to it."""
        self._set_address(peer.instance, peer.address)

    def send(self, instance: str, message: messages.Message) -> None:
        """Send a message; it may be lost.

        :param instance: instance id of the receiver, may be this process.
        """
        if instance == self.peer.instance:
            asyncio.get_running_loop().call_soon(
                self._dispatch_message, instance, message
            )
            return
        if self._reply_batch is not None and self._reply_batch[0] == instance:
            self._reply_batch[1].append(message)
            return
        address = self._addresses.get(instance)
        if address is None:
            self._queue_message(instance, message)
            return
        self._outbox.send(address, message)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background; log its exception."""
        self._background.spawn(coroutine)

    def start_ticks(self, tick: Callable[[], None]) -> None:
        """Start calling ``tick`` every ``TICK_INTERVAL_S`` seconds."""
        self.spawn(self._run_ticks(tick))
        self.spawn(self._close_idle_links())

    async def close(self) -> None:
        """Send queued messages, then close all connections."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._outbox.close(), 2.0)
        self._background.cancel()
        await self._listener.close()
        self.telemetry.close()

    def _queue_message(self, instance: str, message: messages.Message) -> None:
        """Keep a message until the address of its receiver is known."""
        queued = self._queued_messages.setdefault(instance, [])
        if len(queued) < MAX_QUEUED_MESSAGES:
            queued.append(message)
        self._request_address(instance)

    def _request_address(self, instance: str) -> None:
        now = self.get_time()
        if (
            now - self._lookup_times.get(instance, -ADDRESS_LOOKUP_INTERVAL_S)
            < ADDRESS_LOOKUP_INTERVAL_S
        ):
            return
        if len(self._lookup_times) >= MAX_UNKNOWN_PEERS:
            self._lookup_times.clear()
            self._queued_messages.clear()
        self._lookup_times[instance] = now
        self._look_up_address(instance)

    async def _run_ticks(self, tick: Callable[[], None]) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                tick()
            except Exception:
                LOG.exception('periodic tick failed')

    async def _close_idle_links(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self._outbox.close_idle(asyncio.get_running_loop().time())

    def _make_frame(self, batch: Sequence[messages.Message]) -> messages.Frame:
        return messages.Frame(
            self.peer.instance,
            self.peer.incarnation,
            self.peer.address,
            tuple(batch),
        )

    def _handle_frame(self, frame: messages.Frame) -> messages.Frame:
        self._set_address(frame.sender, frame.address)
        self._reply_batch = (frame.sender, [])
        try:
            for message in frame.messages:
                self._dispatch_message(frame.sender, message)
            return self._make_frame(self._reply_batch[1])
        finally:
            self._reply_batch = None

    def _handle_reply(self, frame: messages.Frame) -> None:
        for message in frame.messages:
            self._dispatch_message(frame.sender, message)

    def _dispatch_message(
        self, sender: str, message: messages.Message
    ) -> None:
        self.telemetry.messages.add(1, {'type': type(message).__name__})
        try:
            self._receive(sender, message)
        except Exception:
            LOG.exception('handling %s failed', type(message).__name__)

    def _handle_call_failure(
        self, address: str, error: errors.PeerError
    ) -> None:
        instance = self._instances_by_address.get(address, '')
        self.telemetry.peer_failures.add(1, {'peer': instance})
        LOG.info('call of %s failed: %s', instance or address, error)
        if instance:
            # The process may have been restarted on another address.
            self._request_address(instance)
            self._on_call_failure(instance)

    def _set_address(self, instance: str, address: str) -> None:
        previous = self._addresses.get(instance)
        if previous == address:
            return
        if previous is not None:
            self._instances_by_address.pop(previous, None)
        self._addresses[instance] = address
        self._instances_by_address[address] = instance
        self._lookup_times.pop(instance, None)
        for message in self._queued_messages.pop(instance, []):
            self._outbox.send(address, message)


def listen_http(
    server: httpserver.HTTPServer, settings: settings_module.CommonSettings
) -> None:
    """Listen on the HTTP address from the settings.

    :raises damaskpin.errors.SettingsError: if the address can't be used.
    """
    try:
        server.listen(settings.http_port, settings.http_host)
    except OSError as error:
        raise errors.SettingsError(
            f'--http-port (DAMASKPIN_HTTP_PORT): cannot listen on '
            f'{settings.http_host}:{settings.http_port}: {error.strerror}'
        ) from error


def run_until_stopped(
    start: Callable[[], Awaitable[None]],
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    :param start: starts the daemon.
    :param stop: finishes the work in progress and closes the daemon.
    """
    loop = ioloop.IOLoop.current()

    async def run() -> None:
        stopping = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                signal_number, stopping.set
            )
        await start()
        await stopping.wait()
        LOG.info('stopping')
        await stop()
        LOG.info('stopped')

    loop.run_sync(run)

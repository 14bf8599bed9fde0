"""Counts traffic of TCP sockets and of a relay to the store."""

from __future__ import annotations

import asyncio
import contextlib
import re
import threading

import msgspec

LOOPBACK_ADDRESS = '127.0.0.1'
# Bytes of the IPv4 header, the TCP header and the TCP timestamp option that
# Linux sends.
SEGMENT_HEADER_BYTES = 52
# Segments that open a connection (3) and close it (4).
CONNECTION_SEGMENTS = 7
START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 10.0
_COUNTER_PATTERN = re.compile(
    r'\b(bytes_sent|bytes_received|segs_out|segs_in|data_segs_out):(\d+)'
)
_PROCESS_ID_PATTERN = re.compile(r'pid=(\d+)')


class SocketCounters(msgspec.Struct):
    """Traffic of the sockets between one process and other daemons.

    :ivar payload: bytes sent and received, without headers.
    :ivar segments: TCP segments sent and received.
    :ivar frames: TCP segments with data that were sent.
    """

    payload: int = 0
    segments: int = 0
    frames: int = 0

    @property
    def wire(self) -> int:
        """Bytes sent and received, with the headers of all segments."""
        return self.payload + self.segments * SEGMENT_HEADER_BYTES


def parse_sockets(
    text: str, peer_ports: set[int]
) -> dict[int, SocketCounters]:
    """Add up the socket counters that ``ss -tinpHO`` prints, by process.

    :param text: output of the command, one line for each socket.
    :param peer_ports: ports on which daemons listen for other daemons;
        sockets without one of these ports are ignored.
    :returns: counters by process id.
    """
    found: dict[int, SocketCounters] = {}
    for line in text.splitlines():
        process = _PROCESS_ID_PATTERN.search(line)
        if process is None:
            continue
        fields = line.split()
        ports = {int(field.rpartition(':')[2]) for field in fields[3:5]}
        if not ports & peer_ports:
            continue
        counters = {
            key: int(value) for key, value in _COUNTER_PATTERN.findall(line)
        }
        sockets = found.setdefault(int(process[1]), SocketCounters())
        sockets.payload += counters.get('bytes_sent', 0)
        sockets.payload += counters.get('bytes_received', 0)
        sockets.segments += counters.get('segs_out', 0)
        sockets.segments += counters.get('segs_in', 0)
        sockets.frames += counters.get('data_segs_out', 0)
    return found


class StoreRelay:
    """Relays connections to the store and counts their traffic.

    An entry opens a connection for each call to the store, so the kernel's
    counters are gone with the connection before they can be read. Each chunk
    of data counts as one segment and one acknowledgement.

    :param store_port: port on which the store listens.
    :ivar port: port on which the relay listens.
    :ivar connections: number of relayed connections.
    :ivar chunks: number of relayed chunks of data.
    :ivar payload: relayed bytes, without headers.
    """

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self.port = 0
        self.connections = 0
        self.chunks = 0
        self.payload = 0
        self._loop = asyncio.new_event_loop()
        self._listening = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._listening.wait(START_TIMEOUT_SECONDS)

    @property
    def wire(self) -> int:
        """Relayed bytes, with estimated headers of all segments."""
        segments = 2 * self.chunks + CONNECTION_SEGMENTS * self.connections
        return self.payload + segments * SEGMENT_HEADER_BYTES

    def close(self) -> None:
        """Stop the relay and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_SECONDS)

    def _run(self) -> None:
        server = self._loop.run_until_complete(
            asyncio.start_server(self._relay_connection, LOOPBACK_ADDRESS, 0)
        )
        self.port = server.sockets[0].getsockname()[1]
        self._listening.set()
        self._loop.run_forever()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        store_reader, store_writer = await asyncio.open_connection(
            LOOPBACK_ADDRESS, self._store_port
        )
        await asyncio.gather(
            self._copy(reader, store_writer), self._copy(store_reader, writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.chunks += 1
                self.payload += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

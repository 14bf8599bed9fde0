"""Control over how libcurl uses the connections that it keeps."""

from __future__ import annotations

import errno
import select
import socket

import pycurl


class Connections:
    """Sockets of a client's connections, found by their local port."""

    __slots__ = ('_descriptors', '_new_descriptors')

    def __init__(self) -> None:
        self._descriptors: dict[int, int] = {}
        self._new_descriptors: list[int] = []

    def add(self, descriptor: int, _purpose: int) -> int:
        """Add the socket of a connection that libcurl opens (SOCKOPTFUNCTION).

        An earlier socket with the same file descriptor has been closed.
        """
        self._descriptors = {
            port: other
            for port, other in self._descriptors.items()
            if other != descriptor
        }
        self._new_descriptors.append(descriptor)
        return pycurl.SOCKOPT_OK

    def has_ended(self, port: int) -> bool:
        """Return whether the server has ended a connection without requests.

        :param port: local port of the connection.
        """
        self._resolve_ports()
        descriptor = self._descriptors.get(port)
        if descriptor is None:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def _resolve_ports(self) -> None:
        """Find the ports of new sockets, which have one once they connect."""
        for descriptor in self._new_descriptors:
            try:
                connection = socket.socket(fileno=descriptor)
            except OSError:
                continue  # closed before it was used
            if connection.family in (socket.AF_INET, socket.AF_INET6):
                port = connection.getsockname()[1]
                self._descriptors[port] = descriptor
            connection.detach()
        self._new_descriptors.clear()


class SingleSocket:
    """The only socket that libcurl may open for a connection.

    :ivar is_open: whether it has been opened, even if it has ended since.
    """

    __slots__ = ('_connections', 'is_open')

    def __init__(self) -> None:
        self._connections = Connections()
        self.is_open = False

    def add(self, descriptor: int, purpose: int) -> int:
        """Accept the first socket, and no other (SOCKOPTFUNCTION)."""
        if self.is_open:
            return pycurl.SOCKOPT_ERROR
        self.is_open = True
        return self._connections.add(descriptor, purpose)

    def has_ended(self, port: int) -> bool:
        """Return whether the server has ended the connection.

        :param port: local port of the connection.
        """
        return self._connections.has_ended(port)


class Sending:
    """Lets libcurl send a request only once, over a connection that works.

    When a kept connection ends without an answer, libcurl sends the request
    again over another one, though the server may have carried out the first.
    Connections used within the last second are not checked by libcurl before
    it sends, so that this is done here.

    :param connections: connections of the client.
    :param is_fresh: whether to open a new connection.
    :ivar has_begun: whether a connection was ready and sending has begun.
    :ivar has_found_end: whether the connection had ended before.
    :ivar curl: libcurl's handle of the request; ``None`` before it has one.
    :ivar received: bytes of the answer's body that have arrived; counted only
        if :meth:`watch_body` is in use.
    """

    __slots__ = (
        '_connections',
        '_seen',
        'curl',
        'has_begun',
        'has_found_end',
        'is_fresh',
        'received',
    )

    def __init__(
        self,
        connections: Connections | SingleSocket,
        is_fresh: bool = False,
    ) -> None:
        self._connections = connections
        self.is_fresh = is_fresh
        self.has_begun = False
        self.has_found_end = False
        self.curl: pycurl.Curl | None = None
        self.received = 0
        self._seen = 0

    def watch_body(
        self, _total: int, received: int, _to_send: int, _sent: int
    ) -> None:
        """Count the bytes of the answer's body (XFERINFOFUNCTION)."""
        self.received = received

    def has_progress(self) -> bool:
        """Return whether more has arrived since this was last asked."""
        has_grown = self.received > self._seen
        self._seen = self.received
        return has_grown

    def was_refused(self) -> bool:
        """Return whether the last attempt to connect was refused.

        libcurl's error for a failed connection also stands for a network that
        can't be reached, which says nothing about the server.
        """
        if self.curl is None:
            return False
        return self.curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED

    def begin(
        self,
        _server_address: str,
        _local_address: str,
        _server_port: int,
        local_port: int,
    ) -> int:
        """Begin to send the request; refuse to begin again (PREREQFUNCTION).

        libcurl calls this each time that a connection is ready, before it
        sends any part of the request.
        """
        if self.has_begun:
            return pycurl.PREREQFUNC_ABORT
        self.has_found_end = self._connections.has_ended(local_port)
        if self.has_found_end:
            return pycurl.PREREQFUNC_ABORT
        self.has_begun = True
        return pycurl.PREREQFUNC_OK

"""Selection of the peer from which a newer configuration is fetched."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Timeouts of a configuration request to a neighbour and to any other peer, in
# seconds. The neighbours of an entry are the entries of its data centre, or
# those of its region if it is the only entry there. A document of 1 MB
# occupies the whole link between regions for 0.6 s.
NEAR_TIMEOUT_S = 1.0
REMOTE_TIMEOUT_S = 2.0
# Delay before a configuration is fetched from a peer that is no neighbour.
# Normally the store watch or a neighbour delivers it earlier, which saves
# traffic on the link between regions.
REMOTE_FETCH_DELAY_S = 1.0
# Maximum number of configuration requests that are sent after a peer reported
# a newer revision. Each heartbeat of a peer with a newer revision allows this
# number again.
MAX_REQUESTS_PER_REPORT = 3
# Every third configuration request may go to a peer that is no neighbour, in
# case the neighbours do not answer.
ANY_PEER_REQUEST_INTERVAL = 3


class Fetcher:
    """Keeps at most one request for a newer configuration in flight.

    :ivar neighbours: instance ids of the entries of the same data centre, or
        of the same region, which are asked first.
    """

    __slots__ = (
        '_next_request_at',
        '_requests_sent',
        '_requests_since_report',
        '_revisions',
        '_source',
        'neighbours',
    )

    def __init__(self) -> None:
        self.neighbours: tuple[str, ...] = ()
        self._revisions: dict[str, int] = {}
        # Peer to which the request in flight was sent; empty during the delay
        # before a fetch from a peer that is no neighbour.
        self._source = ''
        self._next_request_at: float | None = None
        self._requests_since_report = 0
        self._requests_sent = 0

    def get_revision(self, name: str) -> int:
        """Return the configuration revision last reported by a peer, or 0."""
        return self._revisions.get(name, 0)

    def record_revision(
        self, name: str, revision: int, handled_revision: int
    ) -> None:
        """Record the configuration revision that a peer reported.

        :param handled_revision: newest revision that this process applied or
            refused.
        """
        self._revisions[name] = revision
        if revision > handled_revision:
            self._requests_since_report = 0

    def end_request(self, name: str) -> None:
        """End the configuration request in flight if it went to this peer."""
        if name == self._source:
            self._next_request_at = None

    def remove_peer(self, name: str) -> None:
        """Remove a dead peer and end a configuration request to it."""
        self._revisions.pop(name, None)
        if name == self._source:
            self._next_request_at = 0.0

    def choose_source(
        self, now: float, handled_revision: int, ask_any: bool
    ) -> str | None:
        """Return the peer to ask for a configuration now, or ``None``.

        :param now: monotonic time in seconds.
        :param handled_revision: newest revision that this process applied or
            refused.
        :param ask_any: ask neighbours even if no peer has reported a newer
            revision.
        """
        newer_peers = [
            peer
            for peer, reported_revision in self._revisions.items()
            if reported_revision > handled_revision
        ]
        if not newer_peers and not (ask_any and self.neighbours):
            self._next_request_at = None
            return None
        preferred_peers = [
            name for name in newer_peers if name in self.neighbours
        ]
        if (
            self._next_request_at is None
            and not preferred_peers
            and not ask_any
        ):
            self._source = ''
            self._next_request_at = now + REMOTE_FETCH_DELAY_S
            return None
        if self._must_wait(now, newer_peers, preferred_peers):
            return None
        if (
            self._requests_since_report >= MAX_REQUESTS_PER_REPORT
            and not ask_any
        ):
            return None
        self._requests_since_report += 1
        self._requests_sent += 1
        if (
            not preferred_peers
            or self._requests_sent % ANY_PEER_REQUEST_INTERVAL == 0
        ):
            preferred_peers = newer_peers
        self._source = _choose_next(
            preferred_peers or self.neighbours, self._source
        )
        is_near = self._source in self.neighbours
        self._next_request_at = now + (
            NEAR_TIMEOUT_S if is_near else REMOTE_TIMEOUT_S
        )
        return self._source

    def _must_wait(
        self, now: float, newer_peers: list[str], preferred_peers: list[str]
    ) -> bool:
        if self._next_request_at is None or now >= self._next_request_at:
            return False
        if not self._source:
            return not preferred_peers
        # A request to a peer without a reported newer revision is abandoned
        # once another peer reports one.
        return self._source in newer_peers or not newer_peers


def _choose_next(names: Iterable[str], after: str) -> str:
    ordered = sorted(names)
    return next((name for name in ordered if name > after), ordered[0])

"""Choice of the peer that is asked for a newer configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A document of 1 MB takes 0.6 s of the whole link between regions.
NEAR_TIMEOUT_S = 1.0
FAR_TIMEOUT_S = 2.0
# The watch or a neighbour brings a new revision in less; only after this time
# is it fetched across a link between regions.
GRACE_S = 1.0
# Questions without new evidence that somebody has a newer revision. Each
# heartbeat of a peer with a newer one is new evidence.
MAX_ATTEMPTS = 3
# Each third question goes to any peer, in case that those nearby are silent.
FAR_EVERY = 3


class Fetcher:
    """Keeps one question for a newer document under way.

    :ivar neighbours: peers nearby, which are asked first.
    """

    __slots__ = (
        '_attempts',
        '_due',
        '_questions',
        '_revisions',
        '_source',
        'neighbours',
    )

    def __init__(self) -> None:
        self.neighbours: tuple[str, ...] = ()
        self._revisions: dict[str, int] = {}
        # Peer that was asked; empty during the time of grace.
        self._source = ''
        self._due: float | None = None
        self._attempts = 0
        self._questions = 0

    def get_revision(self, name: str) -> int:
        """Return the last revision that a peer said it has."""
        return self._revisions.get(name, 0)

    def note_revision(self, name: str, revision: int, floor: int) -> None:
        """Record the revision of a peer.

        :param floor: revision that this process needs no more.
        """
        self._revisions[name] = revision
        if revision > floor:
            self._attempts = 0

    def note_answer(self, name: str) -> None:
        """Allow the next question if this peer was asked."""
        if name == self._source:
            self._due = None

    def forget(self, name: str) -> None:
        """Drop a peer that is dead."""
        self._revisions.pop(name, None)
        if name == self._source:
            self._due = 0.0

    def choose(self, now: float, floor: int, blind: bool) -> str | None:
        """Return the peer to ask now, if any.

        :param now: monotonic time in seconds.
        :param floor: revision that this process needs no more.
        :param blind: ask neighbours also when none is known to be ahead.
        """
        ahead = [n for n, known in self._revisions.items() if known > floor]
        if not ahead and not (blind and self.neighbours):
            self._due = None
            return None
        near = [name for name in ahead if name in self.neighbours]
        if self._due is None and not near and not blind:
            self._source = ''
            self._due = now + GRACE_S
            return None
        if self._must_wait(now, ahead, near):
            return None
        if self._attempts >= MAX_ATTEMPTS and not blind:
            return None
        self._attempts += 1
        self._questions += 1
        if not near or self._questions % FAR_EVERY == 0:
            near = ahead
        self._source = _choose_next(near or self.neighbours, self._source)
        is_near = self._source in self.neighbours
        self._due = now + (NEAR_TIMEOUT_S if is_near else FAR_TIMEOUT_S)
        return self._source

    def _must_wait(
        self, now: float, ahead: list[str], near: list[str]
    ) -> bool:
        if self._due is None or now >= self._due:
            return False
        if not self._source:
            return not near
        # A peer that was asked blindly gives way to one that is ahead.
        return self._source in ahead or not ahead


def _choose_next(names: Iterable[str], after: str) -> str:
    ordered = sorted(names)
    return next((name for name in ordered if name > after), ordered[0])

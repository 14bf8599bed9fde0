"""Announced ends of a worker process, and what proves them.

A worker sends a notice that it leaves, and ends once the notice is
acknowledged. Without an answer it ends seconds later, and its runs go on
meanwhile. The notice is therefore no proof that the process has ended.
"""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


class Proof(enum.StrEnum):
    """Proof that a process of the worker has ended, or has no runs left."""

    REFUSED = 'refused connection'
    REPLACED = 'other process'
    LEASE_ENDED = 'lease ended'


class Departure:
    """Notices of leaving, and the latest processes that have ended.

    :ivar left: latest process that gave notice and has ended, as the agent
        reports it; ``None`` for none.
    :ivar replaced: latest process that another has replaced; ``None`` for
        none.
    """

    __slots__ = ('_leaving', '_noticed_at', '_unproved', 'left', 'replaced')

    def __init__(self) -> None:
        self._leaving: work.Lifetime | None = None
        self._noticed_at = 0.0
        self._unproved: work.Lifetime | None = None
        self.left: work.Lifetime | None = None
        self.replaced: work.Lifetime | None = None

    def record_notice(self, now: float, profile: orders.WorkerProfile) -> None:
        """Record that the worker has announced its end.

        The notice names no process. A worker that leaves has said before that
        it drains, so without that the notice may be about a former process:
        then an end that follows is no crash, but the worker stays in use.
        """
        extra = {'worker': profile.lifetime.worker}
        if not profile.draining:
            LOG.info('notice of leaving without a drain', extra=extra)
            self._unproved = profile.lifetime
            return
        if self._leaving == profile.lifetime:
            return
        LOG.info('notice of leaving', extra=extra)
        self._leaving = profile.lifetime
        self._noticed_at = now

    def is_leaving(self, profile: orders.WorkerProfile | None) -> bool:
        """Return whether a process has given notice and may still run."""
        return profile is not None and profile.lifetime == self._leaving

    def is_announced(self, lifetime: work.Lifetime) -> bool:
        """Return whether a notice may announce the end of a process."""
        return lifetime in (self._leaving, self._unproved)

    def has_ended(self, lifetime: work.Lifetime) -> bool:
        """Return whether a process is known to have ended."""
        return lifetime in (self.left, self.replaced)

    def record_end(
        self, now: float, proof: Proof, keeps_id: bool = False
    ) -> None:
        """Record that the process that gave notice has ended, if any.

        :param keeps_id: whether the next process has the same id. Calls to
            the former one may reach it, so the coordinator must stop the runs
            there before it frees them.
        """
        if self._leaving is None:
            return
        LOG.info(
            'worker left',
            extra={
                'worker': self._leaving.worker,
                'proof': str(proof),
                'seconds': round(now - self._noticed_at, 3),
            },
        )
        if not keeps_id:
            self.left = self._leaving
        self._leaving = None

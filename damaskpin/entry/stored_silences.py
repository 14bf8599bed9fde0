"""Record of silent agents as an entry has read it from the store."""

from __future__ import annotations

import logging

from damaskpin import errors
from damaskpin.coordinator import silent_agents
from damaskpin.store import layout
from damaskpin.store import transactions

LOG = logging.getLogger(__name__)


class StoredSilences:
    """Record of silent agents, with the time at which this entry has seen it.

    The coordinator that made the record has answered none of the agents since.
    Their latest answers are therefore at least as old as the record says, also
    when counted from the time at which this entry has seen it.

    A coordinator of an earlier build may answer recorded agents. The record
    therefore counts only if the latest coordinator before this entry's has
    made it, and if the store has not been listed since this entry first saw
    that one: another may have come and gone between two listings.

    :ivar revision: store revision of the record; 0 without one.
    """

    __slots__ = (
        '_former_leader',
        '_leader',
        '_record',
        '_seen',
        'revision',
    )

    def __init__(self) -> None:
        self.revision = 0
        self._record: silent_agents.SilenceRecord | None = None
        self._seen = 0.0
        # Fencing token and number of listings when it was first seen.
        self._leader = (0, 0)
        self._former_leader = (0, 0)

    def apply(
        self, now: float, change: transactions.Change, listings: int
    ) -> None:
        """Apply a change of the store, if it is about the record or leader.

        :param now: time in seconds by this entry's steady clock.
        :param listings: number of times that the store was listed.
        """
        match change:
            case transactions.StoredItem(key=layout.LEADER_KEY):
                if change.created != self._leader[0]:
                    self._former_leader = self._leader
                    self._leader = (change.created, listings)
            case transactions.StoredItem(key=layout.SILENCES_KEY):
                self._set_record(now, change)
            case transactions.Removal(key=layout.SILENCES_KEY):
                self.revision = 0
                self._record = None

    def get_answers(self, fence: int) -> dict[str, float]:
        """Return the latest time of an answered report in seconds, by agent.

        :param fence: fencing token of this entry as leader.
        """
        record = self._record
        former = self._former_leader
        if record is None or self._leader != (fence, former[1]):
            return {}
        if record.fence != former[0]:
            return {}
        return {agent: self._seen - age for agent, age in record.ages.items()}

    def _set_record(self, now: float, item: transactions.StoredItem) -> None:
        self.revision = item.revision
        self._seen = now
        try:
            self._record = silent_agents.decode_record(item.value)
        except errors.MalformedError as error:
            self._record = None
            LOG.error(
                'stored record could not be decoded',
                extra={'key': item.key, 'error': str(error)},
            )

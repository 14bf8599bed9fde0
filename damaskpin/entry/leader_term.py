"""Record of a leader's term, which outlives the leader's key in the store.

A grant that a coordinator gives counts from the latest renewal of its lease on
the leader key at the latest. The key ends with the lease, so that the end of
the key tells the next leader how long ago the last such renewal was.
"""

from __future__ import annotations

import logging

import msgspec

from damaskpin import decoding
from damaskpin import errors
from damaskpin.model import leases
from damaskpin.store import layout
from damaskpin.store import transactions

LOG = logging.getLogger(__name__)


class TermRecord(msgspec.Struct, frozen=True):
    """Stored record of the latest term, written with the leader key.

    :ivar nonce: nonce in the value of the term's leader key.
    :ivar address: pynng URL of the leader.
    :ivar ttl: seconds without renewal after which the lease on the leader key
        ends.
    :ivar resigned: whether the leader has ended its lease earlier.
    """

    nonce: str
    address: str
    ttl: float
    resigned: bool = False


class FormerTerm(msgspec.Struct, frozen=True):
    """What the next leader knows of the term before its own.

    :ivar nonce: nonce in the value of the term's leader key.
    :ivar address: pynng URL of the leader.
    :ivar last_grant: latest time in seconds from which a grant of that term
        counts, by the steady clock of this entry.
    """

    nonce: str
    address: str
    last_grant: float


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(TermRecord)


def encode_record(record: TermRecord) -> bytes:
    """Return the stored form of a record as JSON."""
    return _ENCODER.encode(record)


def encode_leader(address: str, instance: str, nonce: str) -> bytes:
    """Return the value of the leader key."""
    return f'{address} {instance} {nonce}'.encode()


def parse_nonce(item: transactions.StoredItem) -> str:
    """Return the nonce in the value of a leader key."""
    return item.value.decode('utf-8', 'replace').rpartition(' ')[2]


class LeaderTerm:
    """Latest term of a leader, as one entry has seen it in the store.

    A leader of an earlier build writes no record, so that the record counts
    only if it is that of the latest leader key that this entry has seen.

    :ivar revision: store revision of the record; 0 without one.
    """

    __slots__ = ('_ended', '_nonce', '_record', 'revision')

    def __init__(self) -> None:
        self.revision = 0
        self._record: TermRecord | None = None
        # Nonce of the latest leader key, and the time at which this entry has
        # seen the end of that key; unknown to an entry that has just started.
        self._nonce = ''
        self._ended: float | None = None

    def apply(self, now: float, change: transactions.Change) -> None:
        """Apply a change of the store, if it is about the leader or the term.

        :param now: time in seconds by this entry's steady clock.
        """
        match change:
            case transactions.StoredItem(key=layout.LEADER_KEY):
                self._nonce = parse_nonce(change)
                self._ended = None
            case transactions.Removal(key=layout.LEADER_KEY):
                self._ended = now
            case transactions.StoredItem(key=layout.TERM_KEY):
                self._set_record(change)
            case transactions.Removal(key=layout.TERM_KEY):
                self.revision = 0
                self._record = None

    def is_current(self, revision: int) -> bool:
        """Return whether the leader key of the last term is known, if any.

        The pages of a listing are no snapshot: a later one may have the record
        of a term that began after the page with the leader key was read.

        :param revision: store revision up to which all changes are known.
        """
        return self.revision <= revision

    def find_former(self, now: float) -> FormerTerm | None:
        """Return the last term, which must have ended.

        :param now: time in seconds at which there is no leader key.
        :returns: ``None`` if the last term is not known.
        """
        record = self._record
        if record is None or self._nonce not in ('', record.nonce):
            return None
        last_grant = now if self._ended is None else min(self._ended, now)
        if not record.resigned:
            last_grant -= record.ttl * (1 - leases.MAX_CLOCK_SLOWDOWN)
        return FormerTerm(record.nonce, record.address, last_grant)

    def _set_record(self, item: transactions.StoredItem) -> None:
        self.revision = item.revision
        try:
            self._record = decoding.decode(_DECODER.decode, item.value)
        except errors.MalformedError as error:
            self._record = None
            LOG.error(
                'stored record could not be decoded',
                extra={'key': item.key, 'error': str(error)},
            )

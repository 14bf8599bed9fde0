"""Bounded table of the attempts that an agent has received."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import heapq
import logging
from typing import TYPE_CHECKING

from damaskpin import effects
from damaskpin.peer import messages

if TYPE_CHECKING:
    from damaskpin import verdict

LOG = logging.getLogger(__name__)

# Seconds for which the record of an attempt is kept after both its end and its
# expiry.
RECORD_RETENTION_S = 120.0
# A full table with answers of 200 bytes takes 25 MB of the agent's 128 MB. It
# holds the attempts of three minutes at 220 requests per second.
MAX_RECORDS = 40_000
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class State(enum.Enum):
    """State of an attempt on its agent."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """Record of one attempt, that is, of one try to run a request here.

    :ivar digest: digest of the request; empty if a cancellation arrived
        without a request.
    :ivar expires_uptime: uptime of the agent in seconds after which the
        attempt must not start.
    :ivar deadline: monotonic time until which the attempt may wait or run.
    :ivar senders: entries that wait for the outcome.
    :ivar request: the request while it waits for a slot, else ``None``.
    :ivar answer: answer of the target; ``None`` if there is none, or if it
        was dropped.
    :ivar reason: why the attempt was refused or its outcome is uncertain.
    """

    attempt: str
    service: str
    digest: bytes
    expires_uptime: float
    state: State
    deadline: float = 0.0
    senders: dict[str, None] = dataclasses.field(default_factory=dict)
    request: messages.RunRequest | None = None
    answer: verdict.Answer | None = None
    reason: str = ''


class AttemptTable:
    """Records of attempts, which ensure that no attempt runs twice.

    A record is kept for ``RECORD_RETENTION_S`` after both the end and the
    expiry of its attempt. An attempt without a record has therefore never
    started on this agent, unless it expired longer ago than that.

    :param max_records: maximum number of records.
    :param max_answer_bytes: maximum total size of the stored answer bodies.
    """

    __slots__ = (
        '_answer_bytes',
        '_answers',
        '_max_answer_bytes',
        '_max_records',
        '_records',
        '_refused_until_uptime',
        '_removals',
    )

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._records: dict[str, AttemptRecord] = {}
        self._removals: list[tuple[float, str]] = []
        # Ids of the attempts whose answer is stored, oldest first.
        self._answers: dict[str, None] = {}
        self._answer_bytes = 0
        self._refused_until_uptime = 0.0
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: str) -> AttemptRecord | None:
        """Return the record of an attempt, or ``None``."""
        return self._records.get(attempt)

    def is_full(self) -> bool:
        """Return whether the maximum number of records is reached."""
        return len(self._records) >= self._max_records

    def refuse_new_until(self, expires_uptime: float) -> None:
        """Refuse new attempts that expire at or before a given uptime.

        A full table uses this to refuse an attempt permanently without adding
        a record for it.

        :param expires_uptime: uptime of the agent in seconds.
        """
        if expires_uptime <= self._refused_until_uptime:
            return
        LOG.warning(
            'attempt table full with %d records; refusing all new attempts '
            'that expire before uptime %.1f s',
            len(self._records),
            expires_uptime,
        )
        self._refused_until_uptime = expires_uptime

    def add(
        self,
        sender: str,
        message: messages.RunRequest | messages.CancelRequest,
        service: str = '',
        digest: bytes = b'',
    ) -> AttemptRecord:
        """Add the record of an attempt that has none."""
        record = AttemptRecord(
            attempt=message.attempt,
            service=service,
            digest=digest,
            expires_uptime=message.expires_uptime,
            state=State.WAITING,
            senders={sender: None},
        )
        self._records[record.attempt] = record
        return record

    def record_end(
        self,
        record: AttemptRecord,
        uptime: float,
        state: State,
        reason: str = '',
        answer: verdict.Answer | None = None,
    ) -> list[effects.Send]:
        """Record the end of an attempt and schedule its record's removal.

        :param uptime: uptime of the agent in seconds.
        :returns: messages with the outcome for all senders.
        """
        record.state = state
        record.reason = reason
        record.request = None
        if answer is not None:
            self._store_answer(record, answer)
        removal_uptime = (
            max(uptime, record.expires_uptime) + RECORD_RETENTION_S
        )
        heapq.heappush(self._removals, (removal_uptime, record.attempt))
        message = make_outcome_message(record)
        return [effects.Send(sender, message) for sender in record.senders]

    def subscribe(
        self, sender: str, record: AttemptRecord
    ) -> list[effects.Send]:
        """Send the outcome of an attempt, or add a sender that waits for it.

        :param sender: instance id of the entry to notify.
        """
        if record.state in (State.WAITING, State.RUNNING):
            record.senders[sender] = None
            return []
        return [effects.Send(sender, make_outcome_message(record))]

    def remove_expired(self, uptime: float) -> None:
        """Remove the records whose retention period has passed.

        :param uptime: uptime of the agent in seconds.
        """
        while self._removals and self._removals[0][0] < uptime:
            _, attempt = heapq.heappop(self._removals)
            record = self._records.pop(attempt)
            if record.answer is not None:
                self._drop_answer(record)

    def reply_without_record(
        self,
        uptime: float,
        incarnation: str,
        message: messages.RunRequest
        | messages.CancelRequest
        | messages.QueryRun,
    ) -> messages.RunRefused | messages.RunUncertain | None:
        """Return the reply to a message about an attempt without a record.

        :param uptime: uptime of the agent in seconds.
        :param incarnation: id of this run of the agent's process.
        :returns: the reply, or ``None`` if the attempt may still start.
        """
        attempt = message.attempt
        if message.incarnation != incarnation:
            # The attempt may have run before the agent was restarted.
            return messages.RunUncertain(attempt, 'unknown-incarnation')
        if uptime > message.expires_uptime + RECORD_RETENTION_S:
            return messages.RunUncertain(attempt, 'record-dropped')
        if uptime > message.expires_uptime:
            return messages.RunRefused(attempt, 'expired')
        if message.expires_uptime <= self._refused_until_uptime:
            return messages.RunRefused(attempt, 'busy')
        return None

    def _store_answer(
        self, record: AttemptRecord, answer: verdict.Answer
    ) -> None:
        """Store an answer, and drop the oldest ones beyond the size limit."""
        record.answer = answer
        self._answers[record.attempt] = None
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._max_answer_bytes:
            oldest = next(iter(self._answers))
            if oldest == record.attempt:
                return
            self._drop_answer(self._records[oldest])

    def _drop_answer(self, record: AttemptRecord) -> None:
        del self._answers[record.attempt]
        self._answer_bytes -= len(record.answer.body)
        record.answer = None
        record.reason = 'the agent has dropped the answer'


def compute_request_digest(
    service: str, content_type: str, body: bytes
) -> bytes:
    """Return a digest of the service, content type and body of a request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def make_outcome_message(record: AttemptRecord) -> messages.Message:
    """Return the message to a sender with the outcome of an attempt."""
    match record.state:
        case State.ANSWERED if record.answer is not None:
            return messages.RunAnswer(record.attempt, record.answer)
        case State.REFUSED:
            return messages.RunRefused(record.attempt, record.reason)
    return messages.RunUncertain(record.attempt, record.reason)

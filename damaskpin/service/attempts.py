"""Attempts that an agent has seen, in bounded memory."""

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

KEEP_S = 120.0
# A full table with answers of 200 B took 25 MB of the agent's 128 MB. It holds
# the attempts of three minutes at 220 requests per second.
MAX_RECORDS = 40_000
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class State(enum.Enum):
    """Where an attempt is."""

    WAITING = 'waiting'
    RUNNING = 'running'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(slots=True)
class Record:
    """One attempt.

    :ivar digest: digest of the request; empty when only a cancellation came.
    :ivar expires_uptime: no start after this uptime of the agent.
    :ivar senders: entries that wait for the outcome.
    :ivar deadline: when a waiting or running attempt is given up.
    :ivar request: the request while it waits.
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
    """Records of attempts, kept while a message could still start them.

    A record stays until ``KEEP_S`` after both its end and its expiry. An
    attempt without a record has therefore never started here if its expiry is
    at most ``KEEP_S`` ago.

    :param max_records: bound on the number of records.
    :param max_answer_bytes: bound on the kept bodies of answers.
    """

    __slots__ = (
        '_answer_bytes',
        '_answers',
        '_drops',
        '_floor_uptime',
        '_max_answer_bytes',
        '_max_records',
        '_records',
    )

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._records: dict[str, Record] = {}
        self._drops: list[tuple[float, str]] = []
        # Attempts that hold an answer, oldest first.
        self._answers: dict[str, None] = {}
        self._answer_bytes = 0
        self._floor_uptime = 0.0
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: str) -> Record | None:
        """Return the record of an attempt."""
        return self._records.get(attempt)

    def is_full(self) -> bool:
        """Return whether no further record may be added."""
        return len(self._records) >= self._max_records

    def close_until(self, expires_uptime: float) -> None:
        """Refuse every unseen attempt that expires until then.

        This refuses an attempt for good without a record of its own.
        """
        if expires_uptime <= self._floor_uptime:
            return
        LOG.warning(
            'the attempt table is full with %d records: unseen attempts that '
            'expire before uptime %.1f s are refused',
            len(self._records),
            expires_uptime,
        )
        self._floor_uptime = expires_uptime

    def add(
        self,
        sender: str,
        message: messages.RunRequest | messages.CancelRequest,
        service: str = '',
        digest: bytes = b'',
    ) -> Record:
        """Add an attempt that was not seen before."""
        record = Record(
            attempt=message.attempt,
            service=service,
            digest=digest,
            expires_uptime=message.expires_uptime,
            state=State.WAITING,
            senders={sender: None},
        )
        self._records[record.attempt] = record
        return record

    def end(
        self,
        record: Record,
        uptime: float,
        state: State,
        reason: str = '',
        answer: verdict.Answer | None = None,
    ) -> list[effects.Send]:
        """Record the end of an attempt and plan the removal of its record.

        :param uptime: uptime of the agent in seconds.
        :returns: the outcome for every sender that asked.
        """
        record.state = state
        record.reason = reason
        record.request = None
        if answer is not None:
            self._keep_answer(record, answer)
        drop = max(uptime, record.expires_uptime) + KEEP_S
        heapq.heappush(self._drops, (drop, record.attempt))
        message = describe_end(record)
        return [effects.Send(sender, message) for sender in record.senders]

    def join(self, sender: str, record: Record) -> list[effects.Send]:
        """Return the outcome, or remember the sender until there is one."""
        if record.state in (State.WAITING, State.RUNNING):
            record.senders[sender] = None
            return []
        return [effects.Send(sender, describe_end(record))]

    def drop_old(self, uptime: float) -> None:
        """Drop records that no message can need any more.

        :param uptime: uptime of the agent in seconds.
        """
        while self._drops and self._drops[0][0] < uptime:
            _, attempt = heapq.heappop(self._drops)
            record = self._records.pop(attempt)
            if record.answer is not None:
                self._drop_answer(record)

    def answer_unseen(
        self,
        uptime: float,
        incarnation: str,
        message: messages.RunRequest
        | messages.CancelRequest
        | messages.QueryRun,
    ) -> messages.RunRefused | messages.RunUncertain | None:
        """Return the answer for an attempt without a record.

        :param uptime: uptime of the agent in seconds.
        :param incarnation: incarnation of the agent.
        :returns: the answer, or ``None`` when the attempt may still start.
        """
        attempt = message.attempt
        if message.incarnation != incarnation:
            # It may have run under the earlier incarnation.
            return messages.RunUncertain(attempt, 'unknown-incarnation')
        if uptime > message.expires_uptime + KEEP_S:
            return messages.RunUncertain(attempt, 'record-dropped')
        if uptime > message.expires_uptime:
            return messages.RunRefused(attempt, 'expired')
        if message.expires_uptime <= self._floor_uptime:
            return messages.RunRefused(attempt, 'busy')
        return None

    def _keep_answer(self, record: Record, answer: verdict.Answer) -> None:
        """Keep the answer of an ended attempt, and drop the oldest ones."""
        record.answer = answer
        self._answers[record.attempt] = None
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._max_answer_bytes:
            oldest = next(iter(self._answers))
            if oldest == record.attempt:
                return
            self._drop_answer(self._records[oldest])

    def _drop_answer(self, record: Record) -> None:
        del self._answers[record.attempt]
        self._answer_bytes -= len(record.answer.body)
        record.answer = None
        record.reason = 'the answer is no longer kept'


def compute_digest(service: str, content_type: str, body: bytes) -> bytes:
    """Return a digest that tells different requests apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def describe_end(record: Record) -> messages.Message:
    """Return the message that tells a sender how an attempt ended."""
    match record.state:
        case State.ANSWERED if record.answer is not None:
            return messages.RunAnswer(record.attempt, record.answer)
        case State.REFUSED:
            return messages.RunRefused(record.attempt, record.reason)
    return messages.RunUncertain(record.attempt, record.reason)

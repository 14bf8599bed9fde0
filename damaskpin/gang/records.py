"""What an agent knows about the attempts on its worker."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

import msgspec

from damaskpin.gang import timing
from damaskpin.peer import gang_messages

MAX_TOMBSTONES = 4096


class Phase(enum.Enum):
    """Phase of an attempt on this worker."""

    RESERVED = 'reserved'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True)
class Holding:
    """An attempt that holds accelerators of this worker.

    :ivar members: the whole gang when this agent is the lead.
    :ivar coordinator: instance that sent the reservation.
    :ivar reserved: when the reservation was made.
    :ivar expires: when an undecided reservation ends.
    :ivar right_until: when a member stops unless it hears from the lead.
    :ivar confirmed: false for adopted tasks until the lead has answered this
        incarnation; they are not renewed before that.
    :ivar lease_limit: longest lease that the worker may still grant.
    :ivar revoke_at: when the leases of stopping tasks are revoked.
    :ivar gone_at: when stopping tasks have ended without an answer.
    """

    attempt: str
    job: str
    account: str
    owner: str
    accelerators: tuple[int, ...]
    lead: str
    members: tuple[gang_messages.Member, ...]
    coordinator: str
    guaranteed: bool
    command: tuple[str, ...]
    token: str
    phase: Phase
    reserved: float = -math.inf
    expires: float = 0.0
    right_until: float = 0.0
    confirmed: bool = True
    lease_limit: float = timing.LEASE_SECONDS
    start_by: float = 0.0
    next_query: float = 0.0
    revoke_at: float = 0.0
    gone_at: float = 0.0


class Fate(enum.Enum):
    """How an attempt ended on this worker."""

    # Nothing is known of an earlier start; it can't start any more.
    CLOSED = 'closed'
    # The lead decided that the gang does not start.
    ABORTED = 'aborted'
    RELEASED = 'released'
    STOPPED = 'stopped'
    FINISHED = 'finished'


@dataclasses.dataclass(slots=True)
class Tombstone:
    """An attempt that can't start here any more.

    :ivar token: token of the reservation that ended.
    """

    attempt: str
    job: str
    fate: Fate
    until: float
    reason: str = ''
    exit_code: int = 0
    token: str = ''


class Tombstones:
    """Closed attempts, kept for a time and bounded in number."""

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, Tombstone] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        now: float,
        attempt: str,
        job: str,
        fate: Fate,
        reason: str = '',
        exit_code: int = 0,
        token: str = '',
    ) -> None:
        """Close an attempt; an attempt that is closed keeps its fate."""
        if attempt in self._entries:
            return
        until = now + timing.TOMBSTONE_SECONDS
        self._entries[attempt] = Tombstone(
            attempt, job, fate, until, reason, exit_code, token
        )
        if len(self._entries) > MAX_TOMBSTONES:
            self._entries.popitem(last=False)

    def get(self, attempt: str) -> Tombstone | None:
        """Return the tombstone of an attempt, if it is kept."""
        return self._entries.get(attempt)

    def expire(self, now: float) -> None:
        """Drop tombstones that are old enough."""
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.until > now:
                return
            self._entries.popitem(last=False)


def make_labels(
    holding: Holding, tokens: tuple[str, ...] = ()
) -> dict[str, str]:
    """Return labels from which a successor can adopt the tasks.

    :param holding: attempt that starts.
    :param tokens: tokens of all members, when this agent is the lead.
    """
    labels = {
        'attempt': holding.attempt,
        'job': holding.job,
        'account': holding.account,
        'owner': holding.owner,
        'lead': holding.lead,
        'coordinator': holding.coordinator,
        'guaranteed': 'true' if holding.guaranteed else 'false',
        'token': holding.token,
    }
    if tokens:
        labels['members'] = msgspec.json.encode(holding.members).decode()
        labels['tokens'] = msgspec.json.encode(tokens).decode()
    return labels


def parse_labels(
    attempt: str, labels: dict[str, str], accelerators: tuple[int, ...]
) -> tuple[Holding, tuple[str, ...]] | None:
    """Rebuild an attempt from the labels of its tasks.

    :returns: the holding and the members' tokens, which are empty unless this
        agent is the lead; ``None`` when the labels are incomplete.
    """
    try:
        members = msgspec.json.decode(
            labels.get('members', '[]'), type=tuple[gang_messages.Member, ...]
        )
        tokens = msgspec.json.decode(
            labels.get('tokens', '[]'), type=tuple[str, ...]
        )
        holding = Holding(
            attempt=attempt,
            job=labels['job'],
            account=labels['account'],
            owner=labels['owner'],
            accelerators=accelerators,
            lead=labels['lead'],
            members=members,
            coordinator=labels['coordinator'],
            guaranteed=labels['guaranteed'] == 'true',
            command=(),
            token=labels['token'],
            phase=Phase.RUNNING,
        )
    except (KeyError, msgspec.DecodeError):
        return None
    if len(members) != len(tokens):
        return None
    return holding, tokens

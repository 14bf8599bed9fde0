"""Records of the running and the ended attempts on an agent's worker."""

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
    """Phase of an attempt on the agent's worker."""

    RESERVED = 'reserved'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True)
class Allocation:
    """Accelerators of the agent's worker that an attempt reserves or uses.

    :ivar owner: instance id of the entry that grants the job's attempts.
    :ivar accelerators: indexes of the accelerators.
    :ivar lead: instance id of the agent that leads the gang.
    :ivar token: random text that identifies this reservation. A commit and a
        start message must name it, so that messages for a reservation of an
        earlier process of the agent are recognized.
    :ivar members: all members of the gang if this agent is the lead,
        otherwise empty.
    :ivar coordinator: instance that sent the reservation.
    :ivar reserved_at: time of the reservation, monotonic seconds.
    :ivar expires_at: when the reservation expires if the gang is not
        committed.
    :ivar lead_deadline: when the tasks are stopped unless the lead sends
        another heartbeat.
    :ivar lead_confirmed: whether the lead has answered the present process of
        the agent. It is false for adopted tasks at first; their leases are not
        renewed before the lead has answered.
    :ivar max_lease: upper bound of the remaining lease on the worker,
        seconds.
    :ivar start_deadline: when starting tasks are stopped unless the worker
        has started them.
    :ivar next_query_at: when the lead is queried next.
    :ivar revoke_at: when the lease of stopping tasks is revoked next.
    :ivar assume_ended_at: when stopping tasks count as ended although the
        worker has not reported it, because their lease has expired.
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
    reserved_at: float = -math.inf
    expires_at: float = 0.0
    lead_deadline: float = 0.0
    lead_confirmed: bool = True
    max_lease: float = timing.LEASE_SECONDS
    start_deadline: float = 0.0
    next_query_at: float = 0.0
    revoke_at: float = 0.0
    assume_ended_at: float = 0.0


class Outcome(enum.Enum):
    """How an attempt ended on the agent's worker."""

    # The agent knew no task or reservation of the attempt when it was asked,
    # and refuses the attempt from then on.
    CLOSED = 'closed'
    # This agent, as the lead, decided that the gang does not start.
    ABORTED = 'aborted'
    RELEASED = 'released'
    STOPPED = 'stopped'
    FINISHED = 'finished'


@dataclasses.dataclass(slots=True)
class Tombstone:
    """Record of an attempt that can't start on the agent's worker any more.

    :ivar expires_at: when the record is dropped, monotonic seconds.
    :ivar token: token of the reservation that ended.
    """

    attempt: str
    job: str
    outcome: Outcome
    expires_at: float
    reason: str = ''
    exit_code: int = 0
    token: str = ''


class Tombstones:
    """Tombstones of closed attempts, limited in age and number."""

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
        outcome: Outcome,
        reason: str = '',
        exit_code: int = 0,
        token: str = '',
    ) -> None:
        """Add the tombstone of an attempt, unless the attempt has one."""
        if attempt in self._entries:
            return
        expires_at = now + timing.TOMBSTONE_RETENTION_SECONDS
        self._entries[attempt] = Tombstone(
            attempt, job, outcome, expires_at, reason, exit_code, token
        )
        if len(self._entries) > MAX_TOMBSTONES:
            self._entries.popitem(last=False)

    def get(self, attempt: str) -> Tombstone | None:
        """Return the tombstone of an attempt, or ``None``."""
        return self._entries.get(attempt)

    def expire(self, now: float) -> None:
        """Drop the tombstones whose retention time has passed."""
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.expires_at > now:
                return
            self._entries.popitem(last=False)


def make_labels(
    allocation: Allocation, tokens: tuple[str, ...] = ()
) -> dict[str, str]:
    """Return task labels from which a restarted agent can adopt the tasks.

    :param allocation: accelerators on which the tasks start.
    :param tokens: reservation tokens of all members if this agent is the
        lead, otherwise empty.
    """
    labels = {
        'attempt': allocation.attempt,
        'job': allocation.job,
        'account': allocation.account,
        'owner': allocation.owner,
        'lead': allocation.lead,
        'coordinator': allocation.coordinator,
        'guaranteed': 'true' if allocation.guaranteed else 'false',
        'token': allocation.token,
    }
    if tokens:
        labels['members'] = msgspec.json.encode(allocation.members).decode()
        labels['tokens'] = msgspec.json.encode(tokens).decode()
    return labels


def parse_labels(
    attempt: str, labels: dict[str, str], accelerators: tuple[int, ...]
) -> tuple[Allocation, tuple[str, ...]] | None:
    """Rebuild the allocation of an attempt from the labels of its tasks.

    :returns: the allocation and the members' reservation tokens, which are
        empty unless this agent is the lead; ``None`` when the labels are
        incomplete.
    """
    try:
        members = msgspec.json.decode(
            labels.get('members', '[]'), type=tuple[gang_messages.Member, ...]
        )
        tokens = msgspec.json.decode(
            labels.get('tokens', '[]'), type=tuple[str, ...]
        )
        allocation = Allocation(
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
    return allocation, tokens

"""Messages about jobs and gangs."""

from __future__ import annotations

from damaskpin.model import job as jobs
from damaskpin.peer import bases


class SubmitJob(bases.Message):
    """Queue a job at the coordinator; repeated until it ends.

    :ivar owner: instance id of the entry that grants attempts.
    :ivar attempt: attempt that is granted and may run, if any.
    """

    job: jobs.Job
    owner: str
    attempt: str = ''


class JobUpdate(bases.Message):
    """What the coordinator decided about a queued job.

    :ivar state: ``queued``, ``placing``, ``running``, ``refused`` or
        ``reclaimed``.
    """

    job: str
    state: str
    reason: str = ''


class CancelJob(bases.Message):
    """Remove a job, and stop its gang if it runs."""

    job: str
    reason: str


class RequestGrant(bases.Message):
    """Ask the owner whether an attempt of a job may commit.

    :ivar token: token of the lead's reservation.
    """

    job: str
    attempt: str
    lead: str
    members: tuple[str, ...] = ()
    token: str = ''


class Granted(bases.Message):
    """The attempt may commit; no other attempt of the job may."""

    job: str
    attempt: str


class Denied(bases.Message):
    """The attempt may not commit."""

    job: str
    attempt: str
    reason: str


# Gangs


class Member(bases.Value):
    """One member of a gang.

    :ivar agent: instance id of the agent.
    :ivar accelerators: indexes of the accelerators, one task on each.
    """

    agent: str
    accelerators: tuple[int, ...]


class Reserve(bases.Message):
    """Reserve the accelerators of one gang member.

    :ivar members: the whole gang for the lead; empty for other members.
    :ivar ttl: seconds that the reservation holds before the decision.
    :ivar revision: configuration revision the placement was decided under.
    """

    attempt: str
    job: str
    account: str
    owner: str
    accelerators: tuple[int, ...]
    lead: str
    members: tuple[Member, ...]
    revision: int
    ttl: float
    guaranteed: bool
    command: tuple[str, ...] = ()
    trace: str = ''


class Reserved(bases.Message):
    """The accelerators are held.

    :ivar token: random name of this reservation. A start must carry it, so
        that a late message can't start a reservation of a later incarnation.
    """

    attempt: str
    token: str = ''


class ReserveRefused(bases.Message):
    """The accelerators are not held, and the attempt can't start here.

    :ivar reason: ``taken``, ``stale-revision``, ``draining``,
        ``closed`` (the attempt ended here) or ``unhealthy``.
    """

    attempt: str
    reason: str
    revision: int = 0


class Commit(bases.Message):
    """Ask the lead to decide that the gang starts.

    :ivar tokens: token of each member's reservation, in the members' order.
    """

    attempt: str
    tokens: tuple[str, ...] = ()


class Committed(bases.Message):
    """The lead decided that the gang starts."""

    attempt: str


class CommitRefused(bases.Message):
    """The lead decided, for good, that the gang does not start."""

    attempt: str
    reason: str


class StartMember(bases.Message):
    """The gang is committed: start the tasks of this member.

    :ivar token: token of the member's reservation.
    :ivar interval: seconds between beats of the lead.
    """

    attempt: str
    token: str = ''
    interval: float = 0.0


class MemberStarted(bases.Message):
    """The tasks of this member run.

    :ivar uptime: clock of the member, see ``GangBeat``.
    """

    attempt: str
    uptime: float = 0.0


class MemberRefused(bases.Message):
    """Nothing of the attempt runs on this member or can start there."""

    attempt: str
    reason: str


class QueryGang(bases.Message):
    """Ask the lead for its decision.

    A process that is no member is also told the end of the gang.

    :ivar token: token of the reservation of a member that asks.
    """

    attempt: str
    token: str = ''


class GangStatus(bases.Message):
    """Decision of the lead.

    :ivar state: ``undecided``, ``committed``, ``ended`` or ``unknown``.
    :ivar token: token of the query that this answers.
    """

    attempt: str
    state: str
    token: str = ''


class GangBeat(bases.Message):
    """Heartbeat between the lead and a member.

    :ivar interval: seconds until the lead sends the next one.
    :ivar reply: true on a member's answer.
    :ivar uptime: clock of the member when it answered; the lead sends the
        last one back, so that a member can tell how old a late beat is. 0
        before the first answer.
    """

    attempt: str
    interval: float
    reply: bool = False
    uptime: float = 0.0


class StopGang(bases.Message):
    """End the attempt on this member, or on all when sent to the lead.

    :ivar grace: seconds for a checkpoint; 0 stops without one.
    """

    attempt: str
    reason: str
    grace: float = 0.0


class MemberStopped(bases.Message):
    """The tasks of this member do not run and can't start any more."""

    attempt: str


class MemberFinished(bases.Message):
    """The tasks of a member ended by themselves.

    :ivar exit_code: largest exit code of the member's tasks.
    """

    attempt: str
    exit_code: int


class GangFinished(bases.Message):
    """End of an attempt, from the lead to the owner and the coordinator.

    :ivar committed: whether the lead had decided to start.
    :ivar exit_code: largest exit code, or ``None`` when it was stopped.
    :ivar stopped: whether every member has answered that nothing runs. It is
        sent without these answers when the leases of the silent members have
        ended.
    :ivar token: token of the lead's reservation that was not committed; a
        lead that restarted may have committed an earlier one.
    """

    attempt: str
    job: str
    committed: bool
    exit_code: int | None
    reason: str
    stopped: bool = True
    token: str = ''


class GangFinishedAck(bases.Message):
    """The owner has recorded the end of the attempt."""

    attempt: str

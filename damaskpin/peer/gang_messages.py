"""Messages between processes about jobs and gangs.

A gang is the set of members, each on one worker, that run an attempt of a job
together. The members are the agents of these workers. One of them, the lead,
decides whether the gang starts.

The owner of a job is the entry that is responsible for it. The coordinator
reserves accelerators at each member, requests the owner's grant for the
attempt, and then requests the lead to decide that the gang starts. The owner
grants only one attempt of a job at a time.
"""

from __future__ import annotations

from damaskpin.model import job as jobs
from damaskpin.peer import bases


class SubmitJob(bases.Message):
    """Request of a job's owner to the coordinator to queue the job.

    The owner repeats the request until the job ends.

    :ivar owner: instance id of the entry that owns the job.
    :ivar attempt: attempt that was granted and may run; empty for none.
    """

    job: jobs.Job
    owner: str
    attempt: str = ''


class JobUpdate(bases.Message):
    """Decision of the coordinator on a job, sent to the job's owner.

    :ivar state: ``queued``, ``placing``, ``running``, ``refused`` or
        ``reclaimed``.
    """

    job: str
    state: str
    reason: str = ''


class CancelJob(bases.Message):
    """Request to remove a job and to stop its gang if one runs."""

    job: str
    reason: str


class RequestGrant(bases.Message):
    """Request to the owner of a job to grant an attempt.

    :ivar lead: instance id of the lead's agent.
    :ivar members: instance ids of the members' agents.
    :ivar token: token of the lead's reservation.
    """

    job: str
    attempt: str
    lead: str
    members: tuple[str, ...] = ()
    token: str = ''


class Granted(bases.Message):
    """Answer of the job's owner: it granted this attempt, and no other.

    The coordinator may now request the lead to start the attempt's gang.
    """

    job: str
    attempt: str


class Denied(bases.Message):
    """Answer of the job's owner: it does not grant the attempt.

    The attempt's gang must not start.
    """

    job: str
    attempt: str
    reason: str


# Messages between the coordinator and the members of a gang


class Member(bases.Value):
    """One member of a gang.

    :ivar agent: instance id of the agent.
    :ivar accelerators: indexes of the accelerators, one task on each.
    """

    agent: str
    accelerators: tuple[int, ...]


class Reserve(bases.Message):
    """Request to reserve the accelerators of one gang member.

    :ivar owner: instance id of the entry that owns the job.
    :ivar lead: instance id of the lead's agent.
    :ivar members: all members of the gang if sent to the lead; otherwise
        empty.
    :ivar ttl: seconds for which the reservation holds without a decision.
    :ivar revision: configuration revision under which the gang was placed.
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
    """Answer of a gang member: it reserved the accelerators.

    :ivar token: random name of the reservation. A start must name it, so that
        a late message cannot start a reservation of a later incarnation.
    """

    attempt: str
    token: str = ''


class ReserveRefused(bases.Message):
    """Answer of a gang member: it reserved nothing, the gang cannot start.

    :ivar reason: ``taken``, ``stale-revision``, ``draining``,
        ``closed`` (the attempt has already ended there) or ``unhealthy``.
    """

    attempt: str
    reason: str
    revision: int = 0


class Commit(bases.Message):
    """Request to the gang's lead to decide that the gang starts.

    :ivar tokens: token of each member's reservation, in the members' order.
    """

    attempt: str
    tokens: tuple[str, ...] = ()


class Committed(bases.Message):
    """Answer of the gang's lead: it decided that the gang starts."""

    attempt: str


class CommitRefused(bases.Message):
    """Answer of the gang's lead: it decided that the gang never starts."""

    attempt: str
    reason: str


class StartMember(bases.Message):
    """Request of the gang's lead to a member to start its tasks.

    The lead has decided that the gang starts.

    :ivar token: token of the member's reservation.
    :ivar interval: seconds between heartbeats of the lead.
    """

    attempt: str
    token: str = ''
    interval: float = 0.0


class MemberStarted(bases.Message):
    """Answer of a gang member to ``StartMember``: its tasks run.

    :ivar uptime: uptime of the member, as in ``GangBeat``.
    """

    attempt: str
    uptime: float = 0.0


class MemberRefused(bases.Message):
    """Answer of a gang member: it runs no task of the attempt, nor ever will.

    It answers a ``StartMember``.
    """

    attempt: str
    reason: str


class QueryGang(bases.Message):
    """Request to a gang's lead for its decision whether the gang starts.

    A sender that is no member of the gang is also told the end of the gang.

    :ivar token: token of the sender's reservation if it is a member.
    """

    attempt: str
    token: str = ''


class GangStatus(bases.Message):
    """Answer of a gang's lead: its decision whether the gang starts.

    :ivar state: ``undecided``, ``committed``, ``ended`` or ``unknown``.
    :ivar token: token of the ``QueryGang`` that this answers.
    """

    attempt: str
    state: str
    token: str = ''


class GangBeat(bases.Message):
    """Heartbeat between the lead and a member of a gang.

    :ivar interval: seconds until the lead sends its next heartbeat.
    :ivar reply: true on the answer of a member.
    :ivar uptime: uptime of the member, in seconds, when it answered. The lead
        returns the last one, from which the member computes the age of a late
        heartbeat; 0 before the first answer.
    """

    attempt: str
    interval: float
    reply: bool = False
    uptime: float = 0.0


class StopGang(bases.Message):
    """Request to stop a member's tasks, or the gang's if sent to its lead.

    :ivar grace: seconds allowed for a checkpoint; 0 for no checkpoint.
    """

    attempt: str
    reason: str
    grace: float = 0.0


class MemberStopped(bases.Message):
    """Answer of a gang member: its tasks do not run and never will again."""

    attempt: str


class MemberFinished(bases.Message):
    """Report of a gang member: its tasks ended without a request to stop.

    :ivar exit_code: largest exit code of the member's tasks.
    """

    attempt: str
    exit_code: int


class GangFinished(bases.Message):
    """Report of the lead to the job's owner and the coordinator: a gang ended.

    :ivar committed: whether the lead had decided that the gang starts.
    :ivar exit_code: largest exit code, or ``None`` if the gang was stopped.
    :ivar stopped: whether every member confirmed that none of its tasks runs.
        False if members did not answer and only their leases have ended.
    :ivar token: token of the lead's reservation that was not committed. The
        lead may have committed an earlier reservation before it restarted.
    """

    attempt: str
    job: str
    committed: bool
    exit_code: int | None
    reason: str
    stopped: bool = True
    token: str = ''


class GangFinishedAck(bases.Message):
    """Answer of the job's owner: it recorded the end of the attempt."""

    attempt: str

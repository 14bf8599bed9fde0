"""Messages between damaskpin processes.

Every message may be lost, duplicated, delayed or reordered.
"""

from __future__ import annotations

import msgspec

from damaskpin import verdict
from damaskpin.model import job as jobs


class _Value(msgspec.Struct, frozen=True, array_like=True):
    """Base class of values inside messages."""


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of messages; the class name is the tag."""


class Peer(_Value):
    """A process of ours.

    :ivar instance: name that a restarted process keeps.
    :ivar incarnation: random token of this run of the process.
    :ivar role: ``entry`` or ``agent``.
    :ivar address: URL of its listening socket.
    """

    instance: str
    incarnation: str
    role: str
    address: str
    region: str
    data_centre: str
    http: str = ''


class TargetState(_Value):
    """An announced target.

    :ivar slots: requests that it serves at the same time.
    :ivar busy: slots in use.
    """

    service: str
    slots: int
    busy: int
    leaving: bool = False


class GangState(_Value):
    """A gang member on a worker.

    :ivar accelerators: indexes of the accelerators in use.
    :ivar lead: instance id of the lead's agent.
    :ivar running: false while it is only reserved.
    """

    attempt: str
    job: str
    account: str
    accelerators: tuple[int, ...]
    lead: str
    running: bool
    guaranteed: bool
    owner: str = ''


class AgentState(_Value):
    """What an agent reports about its worker.

    :ivar uptime: seconds since the agent started, on its monotonic clock.
    :ivar sequence: grows with each change of the state.
    """

    peer: Peer
    rack: str
    worker: str
    accelerators: int
    uptime: float
    sequence: int
    revision: int
    targets: tuple[TargetState, ...] = ()
    gangs: tuple[GangState, ...] = ()
    draining: bool = False
    healthy: bool = True


# Membership


class AgentReport(_Message):
    """Heartbeat of an agent to its home entry.

    :ivar state: full state when it changed or was asked for.
    :ivar entries_version: version of the entry list that the agent holds.
    """

    instance: str
    incarnation: str
    sequence: int
    revision: int
    uptime: float
    state: AgentState | None = None
    entries_version: str = ''


class ReportAck(_Message):
    """Answer of the home entry.

    :ivar interval: seconds until the next report is due.
    :ivar revision: configuration revision that the entry has applied.
    :ivar need_full: the entry does not hold the state of this sequence.
    :ivar entries: live entries; empty when ``entries_version`` is unchanged.
    """

    interval: float
    revision: int
    need_full: bool
    entries_version: str = ''
    entries: tuple[Peer, ...] = ()


class EntryBeat(_Message):
    """Heartbeat between entries.

    :ivar interval: seconds until the sender's next heartbeat.
    :ivar reply: true on the answer, which is not answered again.
    :ivar digest: checksum over the agents that the sender is home of, so
        that a lost ``RegionUpdate`` is noticed.
    """

    peer: Peer
    revision: int
    interval: float = 1.0
    draining: bool = False
    reply: bool = False
    leaving: bool = False
    digest: int = 0


class RegionUpdate(_Message):
    """Changed agent states, from their home to the entries of the region.

    :ivar agents: changed states.
    :ivar lost: agents that are dead, as (instance, incarnation).
    :ivar full: the agents are all that the sender is home of.
    """

    agents: tuple[AgentState, ...]
    lost: tuple[tuple[str, str], ...] = ()
    full: bool = False


class FindPeer(_Message):
    """Ask an entry for the address of a process.

    :ivar instance: instance id of the process.
    """

    instance: str


class PeerFound(_Message):
    """Where a process listens now."""

    peer: Peer


class SyncRequest(_Message):
    """Ask an entry for all agent states that it is home of."""


# Configuration


class RevisionNotice(_Message):
    """A revision that the sender has applied."""

    revision: int


class FetchConfig(_Message):
    """Ask for a configuration newer than the given revision."""

    revision: int


class ConfigBody(_Message):
    """A configuration document and its revision."""

    revision: int
    body: bytes


# Requests to services


class RunRequest(_Message):
    """Run one request on the target beside the agent.

    :ivar incarnation: incarnation of the agent that may run it.
    :ivar expires_uptime: uptime of the agent after which it must refuse.
    :ivar timeout: seconds that the target may take.
    """

    attempt: str
    incarnation: str
    service: str
    account: str
    expires_uptime: float
    timeout: float
    body: bytes
    content_type: str = 'application/octet-stream'
    trace: str = ''


class RunAnswer(_Message):
    """The whole answer of an attempt."""

    attempt: str
    answer: verdict.Answer


class RunRefused(_Message):
    """The attempt did not run here and never will.

    :ivar reason: ``busy``, ``leaving``, ``no-target``, ``expired``,
        ``unreachable``, ``conflict``, ``cancelled`` or ``draining``.
    """

    attempt: str
    reason: str


class RunUncertain(_Message):
    """The attempt may have run, and no whole answer can be given.

    The target was called without a whole answer, or the agent can't know: the
    attempt is bound to another incarnation, or its record was dropped.
    """

    attempt: str
    reason: str


class CancelRequest(_Message):
    """Stop an attempt: a waiting one is refused, a running one is ended.

    An agent that has not seen the attempt needs the other fields to know
    whether it may promise that the attempt never starts.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: as in the attempt's ``RunRequest``.
    """

    attempt: str
    incarnation: str = ''
    expires_uptime: float = 0.0


class QueryRun(_Message):
    """Ask for the state of an attempt without sending its body again.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: as in the attempt's ``RunRequest``.
    """

    attempt: str
    incarnation: str
    expires_uptime: float


class RunState(_Message):
    """State of an attempt that has not ended.

    :ivar state: ``waiting``, ``running`` or ``unknown``; unknown asks for the
        ``RunRequest`` again.
    """

    attempt: str
    state: str


# Jobs


class SubmitJob(_Message):
    """Queue a job at the coordinator; repeated until it ends.

    :ivar owner: instance id of the entry that grants attempts.
    :ivar attempt: attempt that is granted and may run, if any.
    """

    job: jobs.Job
    owner: str
    attempt: str = ''


class JobUpdate(_Message):
    """What the coordinator decided about a queued job.

    :ivar state: ``queued``, ``placing``, ``running``, ``refused`` or
        ``reclaimed``.
    """

    job: str
    state: str
    reason: str = ''


class CancelJob(_Message):
    """Remove a job, and stop its gang if it runs."""

    job: str
    reason: str


class RequestGrant(_Message):
    """Ask the owner whether an attempt of a job may commit.

    :ivar token: token of the lead's reservation.
    """

    job: str
    attempt: str
    lead: str
    members: tuple[str, ...] = ()
    token: str = ''


class Granted(_Message):
    """The attempt may commit; no other attempt of the job may."""

    job: str
    attempt: str


class Denied(_Message):
    """The attempt may not commit."""

    job: str
    attempt: str
    reason: str


# Gangs


class Member(_Value):
    """One member of a gang.

    :ivar agent: instance id of the agent.
    :ivar accelerators: indexes of the accelerators, one task on each.
    """

    agent: str
    accelerators: tuple[int, ...]


class Reserve(_Message):
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


class Reserved(_Message):
    """The accelerators are held.

    :ivar token: random name of this reservation. A start must carry it, so
        that a late message can't start a reservation of a later incarnation.
    """

    attempt: str
    token: str = ''


class ReserveRefused(_Message):
    """The accelerators are not held, and the attempt can't start here.

    :ivar reason: ``taken``, ``stale-revision``, ``draining``,
        ``closed`` (the attempt ended here) or ``unhealthy``.
    """

    attempt: str
    reason: str
    revision: int = 0


class Commit(_Message):
    """Ask the lead to decide that the gang starts.

    :ivar tokens: token of each member's reservation, in the members' order.
    """

    attempt: str
    tokens: tuple[str, ...] = ()


class Committed(_Message):
    """The lead decided that the gang starts."""

    attempt: str


class CommitRefused(_Message):
    """The lead decided, for good, that the gang does not start."""

    attempt: str
    reason: str


class StartMember(_Message):
    """The gang is committed: start the tasks of this member.

    :ivar token: token of the member's reservation.
    :ivar interval: seconds between beats of the lead.
    """

    attempt: str
    token: str = ''
    interval: float = 0.0


class MemberStarted(_Message):
    """The tasks of this member run.

    :ivar uptime: clock of the member, see ``GangBeat``.
    """

    attempt: str
    uptime: float = 0.0


class MemberRefused(_Message):
    """Nothing of the attempt runs on this member or can start there."""

    attempt: str
    reason: str


class QueryGang(_Message):
    """Ask the lead for its decision.

    A process that is no member is also told the end of the gang.

    :ivar token: token of the reservation of a member that asks.
    """

    attempt: str
    token: str = ''


class GangStatus(_Message):
    """Decision of the lead.

    :ivar state: ``undecided``, ``committed``, ``ended`` or ``unknown``.
    :ivar token: token of the query that this answers.
    """

    attempt: str
    state: str
    token: str = ''


class GangBeat(_Message):
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


class StopGang(_Message):
    """End the attempt on this member, or on all when sent to the lead.

    :ivar grace: seconds for a checkpoint; 0 stops without one.
    """

    attempt: str
    reason: str
    grace: float = 0.0


class MemberStopped(_Message):
    """The tasks of this member do not run and can't start any more."""

    attempt: str


class MemberFinished(_Message):
    """The tasks of a member ended by themselves.

    :ivar exit_code: largest exit code of the member's tasks.
    """

    attempt: str
    exit_code: int


class GangFinished(_Message):
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


class GangFinishedAck(_Message):
    """The owner has recorded the end of the attempt."""

    attempt: str


Message = (
    AgentReport
    | ReportAck
    | EntryBeat
    | RegionUpdate
    | FindPeer
    | PeerFound
    | SyncRequest
    | RevisionNotice
    | FetchConfig
    | ConfigBody
    | RunRequest
    | RunAnswer
    | RunRefused
    | RunUncertain
    | CancelRequest
    | QueryRun
    | RunState
    | SubmitJob
    | JobUpdate
    | CancelJob
    | RequestGrant
    | Granted
    | Denied
    | Reserve
    | Reserved
    | ReserveRefused
    | Commit
    | Committed
    | CommitRefused
    | StartMember
    | MemberStarted
    | MemberRefused
    | QueryGang
    | GangStatus
    | GangBeat
    | StopGang
    | MemberStopped
    | MemberFinished
    | GangFinished
    | GangFinishedAck
)


class Frame(_Value):
    """What one call or reply carries.

    :ivar sender: instance id of the sender.
    :ivar incarnation: incarnation of the sender.
    :ivar address: address where the sender listens.
    """

    sender: str
    incarnation: str
    address: str
    messages: tuple[Message, ...]

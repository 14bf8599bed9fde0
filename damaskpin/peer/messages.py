"""Messages between damaskpin processes.

Every message may be lost, duplicated, delayed or reordered.
"""

from __future__ import annotations

from damaskpin import verdict
from damaskpin.peer import bases
from damaskpin.peer import gang_messages


class Peer(bases.Value):
    """Identity and address of a damaskpin process.

    :ivar instance: id that the process keeps when it restarts.
    :ivar incarnation: random token of this run of the process.
    :ivar role: ``entry`` or ``agent``.
    :ivar address: URL on which the process listens for messages.
    """

    instance: str
    incarnation: str
    role: str
    address: str
    region: str
    data_centre: str
    http: str = ''


class TargetState(bases.Value):
    """State of a target that was announced to its agent.

    :ivar slots: number of requests that the target serves concurrently.
    :ivar busy: number of slots in use.
    """

    service: str
    slots: int
    busy: int
    leaving: bool = False


class GangState(bases.Value):
    """State of a gang member on a worker.

    :ivar accelerators: indexes of the accelerators that the member uses.
    :ivar lead: instance id of the lead's agent.
    :ivar running: false while the accelerators are only reserved.
    :ivar owner: instance id of the entry that owns the job.
    """

    attempt: str
    job: str
    account: str
    accelerators: tuple[int, ...]
    lead: str
    running: bool
    guaranteed: bool
    owner: str = ''


class AgentState(bases.Value):
    """State that an agent reports about itself and its worker.

    :ivar uptime: seconds since the agent started, on its monotonic clock.
    :ivar sequence: number that increases with each change of the state.
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


# Messages on membership


class AgentReport(bases.Message):
    """Heartbeat of an agent to its home entry.

    The home entry of an agent is the entry to which it reports and which
    tracks its liveness.

    :ivar sequence: sequence number of the agent's current state.
    :ivar state: full state if it changed or was requested, otherwise ``None``.
    :ivar entries_version: version of the list of entries that the agent has.
    """

    instance: str
    incarnation: str
    sequence: int
    revision: int
    uptime: float
    state: AgentState | None = None
    entries_version: str = ''


class ReportAck(bases.Message):
    """Answer of the home entry to an ``AgentReport``.

    :ivar interval: seconds until the next report is due.
    :ivar revision: configuration revision that the entry has applied.
    :ivar need_full: whether the entry lacks the reported state, so that the
        next report must include it.
    :ivar entries_version: version of the entry's list of entries.
    :ivar entries: live entries that are not draining; empty if the agent has
        this version of the list.
    """

    interval: float
    revision: int
    need_full: bool
    entries_version: str = ''
    entries: tuple[Peer, ...] = ()


class EntryBeat(bases.Message):
    """Heartbeat between entries.

    :ivar interval: seconds until the sender's next heartbeat.
    :ivar reply: true on the answer to a heartbeat, which needs no answer.
    :ivar leaving: true on the last heartbeat of an entry that shuts down.
    :ivar digest: checksum over the agents whose home entry is the sender,
        which shows whether a ``RegionUpdate`` was lost.
    """

    peer: Peer
    revision: int
    interval: float = 1.0
    draining: bool = False
    reply: bool = False
    leaving: bool = False
    digest: int = 0


class RegionUpdate(bases.Message):
    """Changes of agents, sent by their home entry to the region's entries.

    :ivar agents: changed agent states.
    :ivar lost: dead agents, as pairs of instance id and incarnation.
    :ivar full: whether ``agents`` has all agents whose home entry is the
        sender.
    """

    agents: tuple[AgentState, ...]
    lost: tuple[tuple[str, str], ...] = ()
    full: bool = False


class FindPeer(bases.Message):
    """Request to an entry for the address of a process.

    :ivar instance: instance id of the process.
    """

    instance: str


class PeerFound(bases.Message):
    """Answer to a ``FindPeer``: the identity and address of a process."""

    peer: Peer


class SyncRequest(bases.Message):
    """Request to an entry for the states of all agents that report to it."""


# Messages on configuration


class RevisionNotice(bases.Message):
    """Notice of the configuration revision that the sender has applied."""

    revision: int


class FetchConfig(bases.Message):
    """Request for a configuration newer than the given revision."""

    revision: int


class ConfigBody(bases.Message):
    """A configuration document and its revision."""

    revision: int
    body: bytes


# Messages on requests to services


class RunRequest(bases.Message):
    """Command to an agent to run one request on its target.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: uptime of the agent, in seconds, after which it must
        refuse the attempt.
    :ivar timeout: seconds that the target may take to answer.
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


class RunAnswer(bases.Message):
    """Answer of an agent: the target's complete answer to an attempt."""

    attempt: str
    answer: verdict.Answer


class RunRefused(bases.Message):
    """Answer of an agent: it did not run the attempt and never will.

    :ivar reason: ``busy``, ``leaving``, ``no-target``, ``expired``,
        ``unreachable``, ``conflict``, ``cancelled`` or ``draining``.
    """

    attempt: str
    reason: str


class RunUncertain(bases.Message):
    """Answer of an agent: the attempt may have run, its result is unknown.

    Either the target was called but gave no complete answer, or the agent has
    no record of the attempt: the attempt is bound to another incarnation of
    the agent, or the agent has dropped the record.
    """

    attempt: str
    reason: str


class CancelRequest(bases.Message):
    """Command to an agent to refuse a waiting or end a running attempt.

    An agent that does not know the attempt needs the incarnation and the
    expiry to decide whether it can promise that the attempt never starts.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: uptime of the agent, in seconds, after which it must
        refuse the attempt.
    """

    attempt: str
    incarnation: str = ''
    expires_uptime: float = 0.0


class QueryRun(bases.Message):
    """Request for the state of an attempt, without the request's body.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: uptime of the agent, in seconds, after which it must
        refuse the attempt.
    """

    attempt: str
    incarnation: str
    expires_uptime: float


class RunState(bases.Message):
    """Answer of an agent: the state of an attempt that has not ended.

    :ivar state: ``waiting``, ``running`` or ``unknown``; the last asks the
        receiver to send the ``RunRequest`` again.
    """

    attempt: str
    state: str


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
    | gang_messages.SubmitJob
    | gang_messages.JobUpdate
    | gang_messages.CancelJob
    | gang_messages.RequestGrant
    | gang_messages.Granted
    | gang_messages.Denied
    | gang_messages.Reserve
    | gang_messages.Reserved
    | gang_messages.ReserveRefused
    | gang_messages.Commit
    | gang_messages.Committed
    | gang_messages.CommitRefused
    | gang_messages.StartMember
    | gang_messages.MemberStarted
    | gang_messages.MemberRefused
    | gang_messages.QueryGang
    | gang_messages.GangStatus
    | gang_messages.GangBeat
    | gang_messages.StopGang
    | gang_messages.MemberStopped
    | gang_messages.MemberFinished
    | gang_messages.GangFinished
    | gang_messages.GangFinishedAck
)


class Frame(bases.Frame):
    """Content of one call or reply between daemons."""

    messages: tuple[Message, ...]

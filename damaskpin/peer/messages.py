"""Messages between damaskpin processes.

Every message may be lost, duplicated, delayed or reordered.
"""

from __future__ import annotations

from damaskpin import verdict
from damaskpin.peer import bases
from damaskpin.peer import gang_messages


class Peer(bases.Value):
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


class TargetState(bases.Value):
    """An announced target.

    :ivar slots: requests that it serves at the same time.
    :ivar busy: slots in use.
    """

    service: str
    slots: int
    busy: int
    leaving: bool = False


class GangState(bases.Value):
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


class AgentState(bases.Value):
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


class AgentReport(bases.Message):
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


class ReportAck(bases.Message):
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


class EntryBeat(bases.Message):
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


class RegionUpdate(bases.Message):
    """Changed agent states, from their home to the entries of the region.

    :ivar agents: changed states.
    :ivar lost: agents that are dead, as (instance, incarnation).
    :ivar full: the agents are all that the sender is home of.
    """

    agents: tuple[AgentState, ...]
    lost: tuple[tuple[str, str], ...] = ()
    full: bool = False


class FindPeer(bases.Message):
    """Ask an entry for the address of a process.

    :ivar instance: instance id of the process.
    """

    instance: str


class PeerFound(bases.Message):
    """Where a process listens now."""

    peer: Peer


class SyncRequest(bases.Message):
    """Ask an entry for all agent states that it is home of."""


# Configuration


class RevisionNotice(bases.Message):
    """A revision that the sender has applied."""

    revision: int


class FetchConfig(bases.Message):
    """Ask for a configuration newer than the given revision."""

    revision: int


class ConfigBody(bases.Message):
    """A configuration document and its revision."""

    revision: int
    body: bytes


# Requests to services


class RunRequest(bases.Message):
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


class RunAnswer(bases.Message):
    """The whole answer of an attempt."""

    attempt: str
    answer: verdict.Answer


class RunRefused(bases.Message):
    """The attempt did not run here and never will.

    :ivar reason: ``busy``, ``leaving``, ``no-target``, ``expired``,
        ``unreachable``, ``conflict``, ``cancelled`` or ``draining``.
    """

    attempt: str
    reason: str


class RunUncertain(bases.Message):
    """The attempt may have run, and no whole answer can be given.

    The target was called without a whole answer, or the agent can't know: the
    attempt is bound to another incarnation, or its record was dropped.
    """

    attempt: str
    reason: str


class CancelRequest(bases.Message):
    """Stop an attempt: a waiting one is refused, a running one is ended.

    An agent that has not seen the attempt needs the other fields to know
    whether it may promise that the attempt never starts.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: as in the attempt's ``RunRequest``.
    """

    attempt: str
    incarnation: str = ''
    expires_uptime: float = 0.0


class QueryRun(bases.Message):
    """Ask for the state of an attempt without sending its body again.

    :ivar incarnation: incarnation of the agent that may run the attempt.
    :ivar expires_uptime: as in the attempt's ``RunRequest``.
    """

    attempt: str
    incarnation: str
    expires_uptime: float


class RunState(bases.Message):
    """State of an attempt that has not ended.

    :ivar state: ``waiting``, ``running`` or ``unknown``; unknown asks for the
        ``RunRequest`` again.
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
    """What one call or reply carries."""

    messages: tuple[Message, ...]

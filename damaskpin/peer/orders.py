"""Messages between entries and the agents beside the workers.

The lifetime of a worker is the identity of its process: a restarted worker has
another lifetime, even if it keeps its id. The echo in orders is the time from
which the grant in them counts.

Every message may be lost, duplicated, delayed or reordered. Orders and
reports always contain the complete current state, so that a later message
replaces an earlier one. A start becomes part of that state when it is first
ordered, which waits until the message has room for it.
"""

from __future__ import annotations

import msgspec

from damaskpin.model import work
from damaskpin.peer import bases


class WorkerProfile(bases.Value):
    """Properties that a worker reports about itself in its heartbeats.

    :ivar lifetime: identity of the worker process.
    :ivar service: pool to which the worker belongs.
    :ivar labels: kind and rack of the worker.
    :ivar remaining: least seconds that a draining worker still stays.
    """

    lifetime: work.Lifetime
    service: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    capacity: work.Resources
    draining: bool
    remaining: float


class StartOrder(bases.Value):
    """Order to start a run of a work item.

    :ivar content: input text that is passed to the work item; empty if the
        message has it among its ``contents``.
    :ivar checkpoint: progress to resume from; empty for none.
    :ivar ticket: permission that the advisor issued; empty for none.
    :ivar repeated: whether the run was ordered to a former process of the
        agent, which may have called the worker.
    """

    run: work.Run
    content: str
    checkpoint: str
    ticket: str = ''
    repeated: bool = False


class RefusedRun(bases.Value):
    """A run that is not on the worker and can never start there.

    The worker refused the start, the start order was withdrawn, or the
    worker's lease has expired.

    :ivar reason: explanation for the coordinator.
    """

    run: work.Run
    reason: str


class Crash(bases.Value):
    """A worker process that ended without notice while its agent lived.

    :ivar lifetime: identity of the worker process.
    :ivar runs: runs that the worker had, or may have had, when it crashed.
    :ivar recent: those of them that had been started shortly before.
    :ivar begun: those of them that the worker had accepted or listed. A start
        call without an answer may not have been carried out.
    """

    lifetime: work.Lifetime
    runs: tuple[work.Run, ...]
    recent: tuple[work.Run, ...]
    begun: tuple[work.Run, ...] = ()


class Orders(bases.Message):
    """Orders of the coordinator for one worker.

    :ivar fence: fencing token of the coordinator; never decreases.
    :ivar sequence: number that increases with each message of this
        coordinator.
    :ivar lifetime: identity of the worker process that the orders are for.
    :ivar echo: time from which the grant counts, by the agent's clock: the
        ``time`` of its latest report that the coordinator has handled or, if
        that is earlier, the latest renewal of the coordinator's own lease. The
        agent may renew the worker's lease for a fixed time after it.
    :ivar observed: serial number of the last ended run that the coordinator
        has recorded.
    :ivar starts: runs to start whose start was not confirmed yet.
    :ivar stops: runs to stop.
    :ivar entries: addresses of all entry processes.
    :ivar process: process of the agent that the orders are for; empty from a
        coordinator that does not tell.
    :ivar session: number of that process among those of the agent that this
        coordinator has heard of, from 1.
    :ivar restarted: whether the worker process has followed another one of the
        same worker id and has listed no end yet.
    :ivar contents: input texts of the starts by the id of their job, for an
        agent that reads them here; empty for others.
    """

    fence: int
    sequence: int
    coordinator: str
    lifetime: work.Lifetime
    echo: float
    observed: int
    starts: tuple[StartOrder, ...]
    stops: tuple[work.Run, ...]
    entries: tuple[str, ...]
    process: str = ''
    session: int = 0
    restarted: bool = False
    contents: dict[str, str] = msgspec.field(default_factory=dict)

    def get_start(self, start: StartOrder) -> StartOrder:
        """Return one of the starts with its input text."""
        content = self.contents.get(start.run.item.job)
        if content is None:
            return start
        return msgspec.structs.replace(start, content=content)


def make_grant(
    fence: int,
    sequence: int,
    coordinator: str,
    echo: float,
    entries: tuple[str, ...],
    process: str,
    session: int,
) -> Orders:
    """Return orders for no worker, which only renew the agent's grant."""
    return Orders(
        fence,
        sequence,
        coordinator,
        work.Lifetime('', 0),
        echo,
        0,
        (),
        (),
        entries,
        process,
        session,
    )


class Report(bases.Message):
    """State of a worker, reported by its agent to the coordinator.

    :ivar agent: instance id of the agent.
    :ivar time: when the report was made, in seconds on the agent's clock; the
        ``echo`` of the orders that answer it is not later.
    :ivar sequence: number that increases with each report of this agent.
    :ivar profile: properties of the worker; ``None`` before the worker's
        first heartbeat.
    :ivar left: identity of the last worker process that announced its
        shutdown and has certainly ended since, or ``None``.
    :ivar fence: highest fencing token that the agent knows.
    :ivar list_fence: fencing token under which the lists of runs were read
        from the worker; 0 if the report has no lists.
    :ivar running: runs on the worker.
    :ivar ended: ended runs that the coordinator has not recorded yet.
    :ivar accepted: runs whose start the worker has accepted.
    :ivar refused: runs that did not start and never will.
    :ivar silence: seconds since the last answer of an unresponsive worker; 0
        while the worker responds.
    :ivar lapse: seconds until the lease of an unresponsive worker has
        certainly ended, or 0 while the worker responds. From then on the agent
        renews the lease only after orders with a later ``echo``.
    :ivar crashes: latest crashes of workers; they are repeated, as a cut or a
        new coordinator may hide a report.
    :ivar process: random id of the agent's process; empty from an agent that
        does not tell.
    :ivar lists_complete: whether the worker returned all its unacknowledged
        ends; see :meth:`has_all_runs`. An older agent does not tell.
    :ivar reads_contents: whether the agent reads the ``contents`` of orders.
    :ivar undecided: runs with a start call, under way or without an answer,
        that may still be carried out; ``None`` from an agent that does not
        tell.
    :ivar knows_all_calls: whether ``undecided`` has all such runs. Otherwise
        calls of a former process of the agent may be missing.
    :ivar decided: runs of former processes of the worker that certainly have
        no such call; empty if ``knows_all_calls`` tells it of all others.
    :ivar former_calls_void: whether the worker refuses all calls that were
        made for its former processes, since before it gave these lists.
    """

    agent: str
    time: float
    sequence: int
    profile: WorkerProfile | None
    left: work.Lifetime | None
    fence: int
    list_fence: int
    running: tuple[work.RunningRun, ...]
    ended: tuple[work.EndedRun, ...]
    accepted: tuple[work.Run, ...]
    refused: tuple[RefusedRun, ...]
    silence: float = 0.0
    lapse: float = 0.0
    crashes: tuple[Crash, ...] = ()
    process: str = ''
    lists_complete: bool = True
    reads_contents: bool = False
    undecided: tuple[work.Run, ...] | None = None
    knows_all_calls: bool = False
    decided: tuple[work.Run, ...] = ()
    former_calls_void: bool = False

    def has_all_runs(self) -> bool:
        """Return whether a run that the lists lack is absent from the worker.

        An agent that does not tell whether its lists are complete has passed
        on as many ends as a worker returns at a time, if there are more.
        """
        is_full = len(self.ended) >= work.MAX_LISTED_ENDS
        return self.lists_complete and not is_full


class Superseded(bases.Message):
    """Answer to a report of a process that another one has replaced.

    A living process that gets it reports under a new id from then on.

    :ivar process: process of the agent that made the report.
    """

    process: str


class Redirect(bases.Message):
    """Answer of an entry to a report: the address of the coordinator.

    :ivar coordinator: address of the coordinator; empty if unknown.
    :ivar fence: fencing token of the coordinator; 0 if unknown.
    :ivar entries: addresses of all entry processes.
    """

    coordinator: str
    fence: int
    entries: tuple[str, ...]


class GrantQuestion(bases.Message):
    """Question of a new coordinator for the last grants of the former one.

    :ivar fence: fencing token of the new coordinator.
    """

    fence: int


class GrantAnswer(bases.Message):
    """Last grants of a coordinator that gives no more of them.

    :ivar fence: fencing token of the coordinator that has asked.
    :ivar nonce: nonce of the term that has ended.
    :ivar age: seconds since the time from which the latest grant counts.
    :ivar ages: the same of agents whose last grant is older, by instance id.
    """

    fence: int
    nonce: str
    age: float
    ages: dict[str, float]


class StoreCall(bases.Message):
    """Request to the receiver to make a store call for the sender.

    :ivar request: encoded HTTP request of the sender's store client.
    """

    id: int
    request: bytes


class StoreAnswer(bases.Message):
    """Answer to a relayed store call.

    :ivar status: HTTP status; 0 if the store gave no answer.
    :ivar sent: whether the store may have received the call.
    """

    id: int
    status: int
    sent: bool
    body: bytes


Message = (
    Orders
    | Report
    | Redirect
    | Superseded
    | GrantQuestion
    | GrantAnswer
    | StoreCall
    | StoreAnswer
)


class Frame(bases.Frame):
    """Content of one call or reply between entries and agents."""

    messages: tuple[Message, ...]

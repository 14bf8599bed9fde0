"""Messages between entries and the agents beside the workers.

Every message may be lost, duplicated, delayed or reordered. Orders and
reports hold the whole state that matters, so a later one replaces an
earlier one.
"""

from __future__ import annotations

from damaskpin.model import work
from damaskpin.peer import bases


class WorkerProfile(bases.Value):
    """What a worker says of itself.

    :ivar labels: kind and rack of the worker.
    :ivar remaining: seconds that a draining worker stays at least.
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
    """A run to start.

    :ivar content: text handed to the work item.
    :ivar checkpoint: progress to resume from; empty for none.
    :ivar ticket: permission of the advisor; empty for none.
    """

    run: work.Run
    content: str
    checkpoint: str
    ticket: str = ''


class RefusedRun(bases.Value):
    """A run that does not exist and never will: refused, or lapsed."""

    run: work.Run
    reason: str


class Orders(bases.Message):
    """What the coordinator wants of one worker.

    :ivar fence: fencing token of the coordinator; only rises.
    :ivar sequence: grows with each message of this coordinator.
    :ivar echo: time of the latest report that the coordinator has handled,
        on the agent's clock; the agent may keep the worker's lease for a
        fixed time from then on.
    :ivar observed: serial of the last end that is recorded.
    :ivar starts: runs to start that were not yet confirmed.
    :ivar stops: runs to stop.
    :ivar entries: addresses of all entries.
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


class Report(bases.Message):
    """What an agent knows of its worker.

    :ivar time: agent's clock in seconds.
    :ivar sequence: grows with each report of this agent.
    :ivar profile: ``None`` before the worker's first heartbeat.
    :ivar left: lifetime that has announced its end, if there is one.
    :ivar fence: highest fencing token that the agent knows.
    :ivar list_fence: token under which the lists were read; 0 for no lists.
    :ivar running: runs on the worker.
    :ivar ended: ends that are not yet observed.
    :ivar accepted: runs whose start the worker has accepted.
    :ivar refused: runs that did not start and never will.
    :ivar silence: seconds since a silent worker's last answer; 0 while it is
        in contact.
    :ivar lapse: seconds until a silent worker's lease has certainly ended;
        the agent renews it only after orders that echo a report in contact.
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


class Redirect(bases.Message):
    """Where the coordinator is, as an entry knows it.

    :ivar coordinator: address; empty if none is known.
    """

    coordinator: str
    fence: int
    entries: tuple[str, ...]


class StoreCall(bases.Message):
    """A call to the store that the receiver makes for the sender.

    :ivar request: encoded request of the store's client.
    """

    id: int
    request: bytes


class StoreAnswer(bases.Message):
    """Answer of a relayed call.

    :ivar status: HTTP status; 0 when the store gave no answer.
    :ivar sent: whether the store may have received the call.
    """

    id: int
    status: int
    sent: bool
    body: bytes


Message = Orders | Report | Redirect | StoreCall | StoreAnswer


class Frame(bases.Frame):
    """What one call or reply carries."""

    messages: tuple[Message, ...]

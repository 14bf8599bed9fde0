"""Times from which the grants of a coordinator count.

A grant permits an agent to renew its worker's lease for a fixed time. It
counts from the report that it answers or, if that is earlier, from the latest
renewal of the coordinator's own lease on the leader key. The next coordinator
therefore knows from the end of that lease from when on no grant of this one
counts.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import worker_state


@dataclasses.dataclass(frozen=True, slots=True)
class GrantStart:
    """Time from which a grant counts, by two clocks.

    :ivar answered: time in seconds by the coordinator's clock.
    :ivar echo: time in seconds by the agent's clock.
    """

    answered: float
    echo: float


@dataclasses.dataclass(frozen=True, slots=True)
class LastGrants:
    """Times from which the last grants of a former coordinator count.

    :ivar latest: latest such time in seconds.
    :ivar earlier: time in seconds by agent, for agents whose last grant counts
        from an earlier time.
    """

    latest: float
    earlier: dict[str, float]


def find_grant_start(
    worker: worker_state.Worker, lease_renewed: float
) -> GrantStart:
    """Return the time from which a grant for a worker's agent counts now.

    :param lease_renewed: time in seconds of the latest confirmed renewal of
        the coordinator's lease.
    """
    excess = max(worker.last_report_time - lease_renewed, 0.0)
    return GrantStart(
        worker.last_report_time - excess, worker.report_time - excess
    )

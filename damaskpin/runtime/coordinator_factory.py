"""Makes the coordinator of an entry that was elected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import ledger as ledgers

if TYPE_CHECKING:
    from damaskpin.entry import stored_silences
    from damaskpin.model import installation as installations
    from damaskpin.runtime import leadership as leaderships
    from damaskpin.runtime import options


def make_coordinator(
    now: float,
    settings: options.Options,
    leadership: leaderships.Leadership,
    silences: stored_silences.StoredSilences,
    installation: installations.Installation | None,
) -> coordinators.Coordinator:
    """Return a coordinator without jobs for the present term of the leader.

    :param now: time in seconds at which the coordinator begins.
    :param silences: record of silent agents of the former coordinator.
    """
    former = leadership.former_term
    ledger = ledgers.RunLedger(
        now,
        settings.grant_duration,
        settings.stop_time,
        silences.get_answers(leadership.fence),
        settings.longest_lease,
        None if former is None else former.last_grant,
    )
    coordinator = coordinators.Coordinator(
        settings.instance, leadership.fence, ledger, installation
    )
    coordinator.lease_renewed = leadership.renewed
    return coordinator

"""Makes the coordinator of an entry that was elected, and adds its jobs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import ledger as ledgers
from damaskpin.entry import view as views
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from damaskpin.entry import stored_silences
    from damaskpin.model import installation as installations
    from damaskpin.runtime import leadership as leaderships
    from damaskpin.runtime import options

LOG = logging.getLogger(__name__)


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


def add_job(
    coordinator: coordinators.Coordinator,
    known_job: views.CachedJob,
    is_loaded: bool,
) -> None:
    """Add a stored job to a coordinator.

    :param is_loaded: whether the coordinator begins with the job, which has
        not arrived just now then.
    """
    now = clocks.get_monotonic_time()
    wall = clocks.get_wall_time()
    job = views.make_job(now, wall, known_job, is_loaded)
    if job is None:
        return
    coordinator.add_job(now, job)
    LOG.info(
        'job added',
        extra={
            'job': job.id,
            'age': round(wall - job.submission.accepted, 3),
            'cancelled': known_job.cancelled,
        },
    )
    if known_job.cancelled:
        coordinator.cancel_job(wall, job.id)

"""Stages of the runs that the books have and no worker lists, for logs."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state


class Stage(enum.StrEnum):
    """How far a run has come that no worker lists as running."""

    NO_WORKER = 'run on no known worker'
    NO_RECORD = 'run in no record'
    SILENT_WORKER = 'run on a silent worker'
    SILENT_AGENT = 'run on a worker with a silent agent'
    STOPPING = 'run is stopping'
    NOT_STORED = 'start not stored'
    NOT_ORDERED = 'start not ordered'
    NOT_ANSWERED = 'start not answered'
    NOT_LISTED = 'run accepted but not listed'


def find_stage(
    now: float, worker: worker_state.Worker, placed: placed_run.PlacedRun
) -> Stage:
    """Return the stage of a run that the books have on a worker.

    :param now: steady time in seconds.
    """
    if placed.run in placed.job.unrecorded:
        return Stage.NO_RECORD
    if worker.silence:
        return Stage.SILENT_WORKER
    if not worker.is_reporting(now):
        return Stage.SILENT_AGENT
    if placed.stop_reason:
        return Stage.STOPPING
    if placed.confirmed:
        return Stage.NOT_LISTED
    if placed.version > placed.job.stored_version:
        return Stage.NOT_STORED
    if placed.ordered_to is None:
        return Stage.NOT_ORDERED
    return Stage.NOT_ANSWERED


def describe_run(
    now: float, worker: worker_state.Worker, placed: placed_run.PlacedRun
) -> dict[str, object]:
    """Return a run of the books with its stage, for the log.

    :param now: steady time in seconds.
    :returns: ``age`` since its placement, ``listed`` since it was last in a
        list and ``until`` its latest possible end are in seconds; the first
        two are ``None`` if this coordinator has not seen that. ``evidence``
        tells what the latest end follows from.
    """
    item = placed.run.item
    described: dict[str, object] = {
        'item': f'{item.occurrence}.{item.step}.{item.index}',
        'number': placed.run.number,
        'worker': worker.lifetime.worker,
        'stage': find_stage(now, worker, placed).value,
        'age': None,
        'listed': None,
        'until': round(
            worker.latest_run_end + worker.lease_extension - now, 3
        ),
        'evidence': worker.run_end_evidence.value,
    }
    if placed.placed_at > 0:
        described['age'] = round(now - placed.placed_at, 3)
    if placed.last_listed:
        described['listed'] = round(now - placed.last_listed, 3)
    if placed.stop_reason:
        described['stop'] = placed.stop_reason
    return described

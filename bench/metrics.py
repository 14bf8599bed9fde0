"""Computes the figures of a replayed trace."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import msgspec

from bench import records
from damaskpin.model import job as jobs

if TYPE_CHECKING:
    from collections.abc import Iterable

LARGE_GANG_ACCELERATORS = 16
# Urgent and guaranteed work must start within this time (invariant 1).
START_LIMIT_SECONDS = 7.6


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run; ``None`` where a figure applies to no job.

    Times are in seconds since the submission of a job. Cancelled, refused and
    unfinished jobs are left out of the means and percentiles of times.

    :ivar urgent_start_p99: time to the first start of urgent jobs.
    :ivar urgent_late: share of the urgent jobs that started after 7.6 s or
        never.
    :ivar guaranteed_start_p99: time to the first start of the jobs whose
        guarantee was not in use when they arrived.
    :ivar guaranteed_late: share of the jobs with an unused guarantee that
        started after 7.6 s or never.
    :ivar large_wait_p95: time in the queue, over all attempts, of gangs with
        16 or more accelerators.
    :ivar fragmentation: share of the free accelerators that no waiting gang
        can use, averaged over the time with a waiting job.
    :ivar unusable: free accelerators that no waiting gang can use as a share
        of all accelerators, averaged over the time with a waiting job.
    :ivar idle: share of all accelerators that are free, averaged over the
        time with a waiting job.
    :ivar lost_work: accelerator-seconds that interruptions cost, as a share
        of the work of the trace.
    :ivar makespan_ratio: end of the last job divided by a lower bound, which
        is the larger of work divided by capacity and the latest end of a job
        that never waits.
    :ivar slowdown: mean completion time divided by the mean true run time.
    :ivar unfinished: number of jobs that could run and did not finish.
    :ivar wrongly_refused: number of jobs that could run and were refused.
    """

    completion_mean: float | None
    completion_p95: float | None
    urgent_start_p99: float | None
    urgent_late: float | None
    guaranteed_start_p99: float | None
    guaranteed_late: float | None
    large_wait_p95: float | None
    fragmentation: float
    unusable: float
    idle: float
    lost_work: float
    makespan_ratio: float
    slowdown: float | None
    reclaims: int
    unfinished: int
    wrongly_refused: int


def compute_figures(result: records.ReplayResult) -> Figures:
    """Compute the figures of a replayed trace."""
    done_records = [
        record
        for record in result.records.values()
        if record.state == records.JobState.DONE
    ]
    valid_records = [
        record
        for record in result.records.values()
        if record.trace_job.runnable
        and record.state != records.JobState.CANCELLED
    ]
    completions = [
        record.end - record.trace_job.submit_time for record in done_records
    ]
    work = sum(
        record.trace_job.run_seconds * record.trace_job.job.spec.accelerators
        for record in valid_records
    )
    run_mean = _mean(record.trace_job.run_seconds for record in done_records)
    completion_mean = _mean(completions)
    urgent = [
        record
        for record in valid_records
        if record.trace_job.job.spec.priority == jobs.Priority.URGENT
    ]
    entitled = [record for record in valid_records if record.entitled]
    waiting_seconds = result.waiting_time or 1.0
    return Figures(
        completion_mean=completion_mean,
        completion_p95=_percentile(completions, 95),
        urgent_start_p99=_get_start_p99(urgent),
        urgent_late=_get_late_share(urgent),
        guaranteed_start_p99=_get_start_p99(entitled),
        guaranteed_late=_get_late_share(entitled),
        large_wait_p95=_percentile(
            [
                record.wait_seconds
                for record in done_records
                if record.trace_job.job.spec.accelerators
                >= LARGE_GANG_ACCELERATORS
            ],
            95,
        ),
        fragmentation=result.fragmentation_time / waiting_seconds,
        unusable=result.unusable_time / waiting_seconds,
        idle=result.idle_time / waiting_seconds,
        lost_work=sum(
            record.lost_accelerator_seconds
            for record in result.records.values()
        )
        / work,
        makespan_ratio=max(
            (record.end for record in done_records), default=0.0
        )
        / _get_makespan_bound(result, valid_records, work),
        slowdown=None if run_mean is None else completion_mean / run_mean,
        reclaims=sum(record.reclaims for record in result.records.values()),
        unfinished=sum(
            record.state
            not in (records.JobState.DONE, records.JobState.REFUSED)
            for record in valid_records
        ),
        wrongly_refused=sum(
            record.state == records.JobState.REFUSED
            for record in valid_records
        ),
    )


def _get_start(record: records.JobRecord) -> float:
    if record.first_start is None:
        return float('inf')
    return record.first_start - record.trace_job.submit_time


def _get_start_p99(selected_records: list[records.JobRecord]) -> float | None:
    done_records = [
        rec for rec in selected_records if rec.state == records.JobState.DONE
    ]
    return _percentile([_get_start(record) for record in done_records], 99)


def _get_late_share(selected_records: list[records.JobRecord]) -> float | None:
    return _mean(
        _get_start(rec) > START_LIMIT_SECONDS for rec in selected_records
    )


def _get_makespan_bound(
    result: records.ReplayResult,
    valid_records: list[records.JobRecord],
    work: float,
) -> float:
    capacity = sum(worker.accelerators for worker in result.trace.workers)
    latest_end = max(
        record.trace_job.submit_time + record.trace_job.run_seconds
        for record in valid_records
    )
    return max(work / capacity, latest_end)


def _mean(values: Iterable[float]) -> float | None:
    values = list(values)
    return statistics.fmean(values) if values else None


def _percentile(values: list[float], percent: int) -> float | None:
    if len(values) < 2:
        return values[0] if values else None
    percentiles = statistics.quantiles(values, n=100, method='inclusive')
    return percentiles[percent - 1]

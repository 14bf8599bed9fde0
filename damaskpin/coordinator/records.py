"""Stored form of the progress of a job, and its encoding."""

from __future__ import annotations

import msgspec

from damaskpin import decoding
from damaskpin import errors
from damaskpin.model import work


class ActiveRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that may exist on a worker.

    :ivar index: index of the work item within its step.
    :ivar number: run number, which grows with each run of a work item.
    :ivar lifetime: the worker process that the run was assigned to, as id of
        the worker and start time of the process; a lifetime is one process of
        a worker.
    :ivar agent: instance id of the agent beside the worker.
    """

    index: int
    number: int
    lifetime: work.Lifetime
    agent: str


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Progress of one step in one occurrence of a job.

    An occurrence is one scheduled execution of all steps of a job, counted
    from 0; a job without a schedule has only occurrence 0. A slot is the key
    under which the entries of a work item or gang are kept here: all members
    of a gang share slot 0, and any other work item uses its index as slot.

    :ivar done: indexes of the work items that have ended successfully.
    :ivar failures: number of failed runs by slot. Those that an earlier build
        has recorded are not in ``failed_runs``.
    :ivar failed_runs: numbers of the failed runs by slot. A run of a gang
        counts once, however many of its members fail.
    :ivar numbers: latest run number by slot.
    :ivar checkpoints: latest checkpoint by slot.
    :ivar active: runs that may exist on workers.
    :ivar removed: numbers of the latest runs that were removed although no
        worker has listed their end, by the index of the work item.
    :ivar crashes: numbers of the runs under which a worker has crashed by
        slot, and whether the run had been started shortly before. Those of
        gangs were counted together here; they are in ``member_crashes`` now.
    :ivar member_crashes: the same for the members of gangs, by their indexes.
    :ivar unanswered: numbers of the runs whose start call had no answer when
        its worker crashed, by the index of the work item.
    """

    done: set[int] = msgspec.field(default_factory=set)
    failures: dict[int, int] = msgspec.field(default_factory=dict)
    failed_runs: dict[int, set[int]] = msgspec.field(default_factory=dict)
    numbers: dict[int, int] = msgspec.field(default_factory=dict)
    checkpoints: dict[int, str] = msgspec.field(default_factory=dict)
    active: list[ActiveRun] = msgspec.field(default_factory=list)
    crashes: dict[int, dict[int, bool]] = msgspec.field(default_factory=dict)
    member_crashes: dict[int, dict[int, bool]] = msgspec.field(
        default_factory=dict
    )
    unanswered: dict[int, set[int]] = msgspec.field(default_factory=dict)
    removed: dict[int, list[int]] = msgspec.field(default_factory=dict)


class Progress(msgspec.Struct, omit_defaults=True):
    """Progress of a job.

    :ivar version: number that grows with each change of the progress.
    :ivar begun: whether any work item was ever placed.
    :ivar occurrences: progress of the steps by occurrence, for those that
        have begun and are not finished.
    :ivar finished: occurrences whose work items are all done.
    :ivar ended: Unix time of the final state in seconds; 0 before.
    :ivar reason: why the job failed; empty otherwise.
    """

    state: work.JobState = work.JobState.QUEUED
    version: int = 0
    begun: bool = False
    occurrences: dict[int, list[StepProgress]] = msgspec.field(
        default_factory=dict
    )
    finished: set[int] = msgspec.field(default_factory=set)
    ended: float = 0.0
    reason: str = ''


class Tombstone(msgspec.Struct, frozen=True):
    """Record of a cancellation of a job that the store does not have.

    It is stored under the key of the job, so that a write of the job that is
    carried out late fails.

    :ivar cancelled_by: client accounts that have cancelled the job; an empty
        name stands for callers without an account.
    :ivar cancelled: Unix time of the latest cancellation in seconds.
    """

    cancelled_by: tuple[str, ...]
    cancelled: float


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Progress)
_SUBMISSIONS = msgspec.json.Decoder(work.Submission)
_TOMBSTONES = msgspec.json.Decoder(Tombstone)


def encode_progress(progress: Progress) -> bytes:
    """Return the stored form of a job's progress as JSON."""
    return _ENCODER.encode(progress)


def decode_progress(data: bytes) -> Progress:
    """Return the progress of a job from its stored form.

    :raises damaskpin.errors.MalformedError: the data is malformed.
    """
    return decoding.decode(_DECODER.decode, data)


def encode_submission(submission: work.Submission) -> bytes:
    """Return the stored form of a submission as JSON."""
    return _ENCODER.encode(submission)


def encode_tombstone(tombstone: Tombstone) -> bytes:
    """Return the stored form of a tombstone as JSON."""
    return _ENCODER.encode(tombstone)


def decode_job_record(data: bytes) -> work.Submission | Tombstone:
    """Return what the store has under the key of a job.

    :raises damaskpin.errors.MalformedError: the data is malformed.
    """
    try:
        return decoding.decode(_SUBMISSIONS.decode, data)
    except errors.MalformedError as error:
        try:
            return decoding.decode(_TOMBSTONES.decode, data)
        except errors.MalformedError:
            # The data is neither, and most likely a submission.
            raise error from None


def has_active_run(progress: Progress) -> bool:
    """Return whether a run of a job is recorded that may exist."""
    for steps in progress.occurrences.values():
        if any(step.active for step in steps):
            return True
    return False

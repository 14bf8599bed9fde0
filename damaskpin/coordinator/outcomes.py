"""Outcomes of runs in the progress of their job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import records

# Number of removed runs that are kept for each work item. A worker that
# refuses starts may add dozens, each of which would be stored.
MAX_REMOVED_RUNS = 8


def record_removal(job: jobs.Job, run: work.Run) -> None:
    """Record that a run is taken for gone without a listed end.

    Its number is kept, so that its failure counts once if its end is listed
    nevertheless.
    """
    if not job.remove_run(run) or job.is_done(run.item):
        return
    item = run.item
    progress = job.get_step_progress(item.occurrence, item.step)
    numbers = progress.removed.setdefault(item.index, [])
    numbers.append(run.number)
    del numbers[:-MAX_REMOVED_RUNS]


def apply_end(
    job: jobs.Job,
    run: work.Run,
    ending: work.Ending,
    checkpoint: str,
    wall: float,
) -> bool:
    """Apply the end of a run that a worker has listed to its job.

    The end of a run that was removed counts too, because the proof of its
    removal may have been wrong: the worker forgets an end that is
    acknowledged, and the work item must not start after it has ended well.

    :param checkpoint: last checkpoint of the run; empty if there is none.
    :param wall: Unix time in seconds.
    :returns: whether the end counts. An end that is listed again after it was
        recorded does not.
    """
    item = run.item
    progress = find_progress(job, run)
    if progress is None:
        return False
    step = job.submission.steps[item.step]
    slot = step.get_slot(item.index)
    is_active = job.remove_run(run)
    if not is_active:
        was_removed = _discard_removed(progress, run)
        if job.is_done(item):
            return False
        if (
            ending is not work.Ending.DONE
            and not was_removed
            and run not in job.unrecorded
        ):
            return False
        job.mark_changed()
    if checkpoint and (is_active or run.number == progress.numbers[slot]):
        progress.checkpoints[slot] = checkpoint
    if job.is_done(item) or step.lasting:
        return True
    match ending:
        case work.Ending.DONE:
            _record_done(job, item, step, progress, wall)
        case work.Ending.FAILED:
            _record_failure(job, run, step, progress, wall)
    return True


def limit_failures(job: jobs.Job) -> None:
    """Limit the counts of failed runs to the runs that there were.

    An earlier build has counted each failed member of a gang.
    """
    for steps in job.progress.occurrences.values():
        for progress in steps:
            for slot, failures in progress.failures.items():
                latest_number = progress.numbers.get(slot, 0)
                progress.failures[slot] = min(failures, latest_number)


def find_progress(job: jobs.Job, run: work.Run) -> records.StepProgress | None:
    """Return the progress of a run's step.

    :returns: ``None`` if the job has never assigned such a run.
    """
    item = run.item
    steps = job.progress.occurrences.get(item.occurrence)
    if steps is None or item.step >= len(steps):
        return None
    step = job.submission.steps[item.step]
    progress = steps[item.step]
    latest_number = progress.numbers.get(step.get_slot(item.index), 0)
    if item.index >= step.count or run.number > latest_number:
        return None
    return progress


def count_failures(job: jobs.Job, run: work.Run) -> int:
    """Return how often the work item or gang of a run has failed so far."""
    progress = find_progress(job, run)
    if progress is None:
        return 0
    slot = job.submission.steps[run.item.step].get_slot(run.item.index)
    return progress.failures.get(slot, 0)


def list_other_runs(
    job: jobs.Job, run: work.Run
) -> list[tuple[work.Run, records.ActiveRun]]:
    """Return the active runs of a work item or gang but for one start of it.

    :param run: run of that start.
    """
    item = run.item
    step = job.submission.steps[item.step]
    slot = step.get_slot(item.index)
    other_runs = []
    progress = job.get_step_progress(item.occurrence, item.step)
    for active in progress.active:
        if active.number == run.number:
            continue
        if step.get_slot(active.index) != slot:
            continue
        other = work.Item(job.id, item.occurrence, item.step, active.index)
        other_runs.append((work.Run(other, active.number), active))
    return other_runs


def _discard_removed(progress: records.StepProgress, run: work.Run) -> bool:
    """Forget a removed run; return whether it was known."""
    numbers = progress.removed.get(run.item.index, [])
    if run.number not in numbers:
        return False
    numbers.remove(run.number)
    if not numbers:
        del progress.removed[run.item.index]
    return True


def _record_done(
    job: jobs.Job,
    item: work.Item,
    step: work.Step,
    progress: records.StepProgress,
    wall: float,
) -> None:
    if step.gang:
        progress.done.update(range(step.count))
        progress.removed.clear()
    else:
        progress.done.add(item.index)
        progress.removed.pop(item.index, None)
    steps = job.progress.occurrences[item.occurrence]
    for submitted_step, step_progress in zip(
        job.submission.steps, steps, strict=True
    ):
        if len(step_progress.done) < submitted_step.count:
            return
    finished = job.progress.finished
    finished.add(item.occurrence)
    if len(finished) >= job.submission.count_occurrences():
        job.finish(work.JobState.COMPLETED, wall)


def _record_failure(
    job: jobs.Job,
    run: work.Run,
    step: work.Step,
    progress: records.StepProgress,
    wall: float,
) -> None:
    """Count a failed run once, whichever and however many members failed."""
    slot = step.get_slot(run.item.index)
    failed_runs = progress.failed_runs.setdefault(slot, set())
    if run.number in failed_runs:
        return
    failed_runs.add(run.number)
    # An earlier build has counted each failed member of a gang, so that its
    # count may exceed the number of runs.
    failures = min(progress.failures.get(slot, 0) + 1, progress.numbers[slot])
    progress.failures[slot] = failures
    if failures >= job.submission.terms.attempts:
        unit = 'gang' if step.gang else 'work item'
        reason = f'a {unit} failed {failures} times'
        job.finish(work.JobState.FAILED, wall, reason)

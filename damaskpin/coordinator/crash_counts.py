"""Crashes of workers under the runs of one work item."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import crash_limits

if TYPE_CHECKING:
    from damaskpin.coordinator import records
    from damaskpin.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCounts:
    """Numbers of the runs of a work item under which a worker has crashed.

    :ivar recent: runs that had begun, shortly before the crash.
    :ivar older: runs that had begun earlier.
    :ivar unanswered: runs whose start call had no answer, so that they may
        not have begun.
    """

    recent: tuple[int, ...] = ()
    older: tuple[int, ...] = ()
    unanswered: tuple[int, ...] = ()

    def is_suspect(self) -> bool:
        """Return whether the work item may crash its worker."""
        return bool(self.recent or self.unanswered)

    def needs_shelter(self) -> bool:
        """Return whether its next start waits until chance is unlikely.

        That is so if another crash could end the job.
        """
        possible = len(self.recent) + len(self.unanswered)
        return (
            len(self.recent) >= crash_limits.MAX_SUSPECTED_CRASHES - 1
            or possible >= crash_limits.MAX_POSSIBLE_CRASHES - 1
            or possible + len(self.older) >= crash_limits.MAX_CRASHES - 1
        )

    def explain_blame(self) -> str:
        """Return why the work item is the likely cause, empty if it is not.

        It is given up for that unless workers crash for other reasons, too.
        """
        recent = len(self.recent)
        if recent < crash_limits.MAX_SUSPECTED_CRASHES:
            return ''
        return f'{recent} workers crashed soon after they had started it'

    def explain_limit(self) -> str:
        """Return why the work item is given up in any case, or empty."""
        recent = len(self.recent)
        possible = recent + len(self.unanswered)
        if possible + len(self.older) >= crash_limits.MAX_CRASHES:
            return (
                f'{possible + len(self.older)} workers crashed while they ran '
                'it or were called to'
            )
        proved = recent + len(self.older) >= crash_limits.MIN_PROVED_CRASHES
        if proved and possible >= crash_limits.MAX_POSSIBLE_CRASHES:
            return (
                f'{possible} workers crashed when they had started it or '
                'were called to'
            )
        return ''


NO_CRASHES = CrashCounts()


def get_counts(
    progress: records.StepProgress, step: work.Step, index: int
) -> CrashCounts:
    """Return the crashes under a work item.

    :param index: index of the work item within its step.
    """
    crashes = _get_begun(progress, step).get(index)
    unanswered = progress.unanswered.get(index)
    if not crashes and not unanswered:
        return NO_CRASHES
    begun = sorted((crashes or {}).items())
    return CrashCounts(
        tuple(number for number, recent in begun if recent),
        tuple(number for number, recent in begun if not recent),
        tuple(sorted(unanswered or ())),
    )


def record(
    progress: records.StepProgress,
    step: work.Step,
    run: work.Run,
    recent: bool,
    begun: bool,
) -> CrashCounts | None:
    """Record that a worker has crashed under a run.

    :param progress: progress of the step; changed in place.
    :param recent: whether the run had been started shortly before.
    :param begun: whether the worker had accepted or listed the run.
    :returns: the crashes under the work item; ``None`` if this one was known,
        the run has failed before the crash or the work item is done.
    """
    item = run.item
    slot = step.get_slot(item.index)
    latest = progress.numbers.get(slot, 0)
    if item.index in progress.done or not 0 < run.number <= latest:
        return None
    if run.number in progress.failed_runs.get(slot, ()):
        return None
    crashes = _get_begun(progress, step).setdefault(item.index, {})
    unanswered = progress.unanswered.setdefault(item.index, set())
    if begun:
        changed = _record_begun(crashes, unanswered, run.number, recent)
    else:
        changed = _record_unanswered(crashes, unanswered, run.number)
    if not changed:
        return None
    return get_counts(progress, step, item.index)


def _get_begun(
    progress: records.StepProgress, step: work.Step
) -> dict[int, dict[int, bool]]:
    """Return the crashes under runs that had begun, by work item.

    The members of a gang share a slot, and crashes under different members
    are not those of one work item.
    """
    return progress.member_crashes if step.gang else progress.crashes


def _record_begun(
    crashes: dict[int, bool], unanswered: set[int], number: int, recent: bool
) -> bool:
    """Record a crash under a run that had begun.

    :returns: whether it was not known.
    """
    known = crashes.get(number)
    if known is not None and known >= recent:
        return False
    crashes[number] = recent
    unanswered.discard(number)
    return True


def _record_unanswered(
    crashes: dict[int, bool], unanswered: set[int], number: int
) -> bool:
    """Record a crash under a run that may not have begun.

    :returns: whether it was not known.
    """
    if number in unanswered or number in crashes:
        return False
    unanswered.add(number)
    return True

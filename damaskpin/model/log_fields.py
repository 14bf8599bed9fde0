"""Fields with which log records name work items and runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.model import work


def describe_item(item: work.Item) -> dict[str, object]:
    """Return the log fields that name a work item."""
    return {
        'job': item.job,
        'occurrence': item.occurrence,
        'step': item.step,
        'index': item.index,
    }


def describe_run(run: work.Run) -> dict[str, object]:
    """Return the log fields that name a run."""
    return {**describe_item(run.item), 'number': run.number}

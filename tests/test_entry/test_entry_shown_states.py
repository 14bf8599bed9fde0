"""Tests of the record of job states that callers were told."""

from __future__ import annotations

from damaskpin.entry import shown_states


def test_only_a_changed_state_counts_as_new():
    """Guards against a log line for each poll of a job's state."""
    shown = shown_states.ShownStates()
    assert shown.record('a', 'running')
    assert not shown.record('a', 'running')
    assert shown.record('b', 'running')
    assert shown.record('a', 'completed')


def test_number_of_remembered_jobs_is_bounded():
    """Guards against memory that grows with the number of jobs."""
    shown = shown_states.ShownStates()
    for number in range(shown_states.MAX_JOBS + 1):
        shown.record(str(number), 'running')
    assert shown.record('0', 'running')
    assert not shown.record(str(shown_states.MAX_JOBS), 'running')

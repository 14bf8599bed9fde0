"""Tests of work items that must not run twice while calls overlap."""

from __future__ import annotations

import pytest

from tests.test_coordinator import random_plays

# Faults that do not replace the workers' processes.
FAULTS_OF_AGENTS = (
    'agent restarts',
    'busy workers',
    'drains',
    'late calls',
    'late heartbeats',
    'standstills',
    random_plays.OVERLAPPING_CALLS,
    random_plays.OUTLIVING_CALLS,
)

# Faults without those that make births fall, for which a test is listed in
# KNOWN-RED.txt.
FAULTS_OF_WORKERS = (
    *random_plays.FAULTS,
    'late heartbeats',
    'leaves',
    'smaller workers',
    'standstills',
    random_plays.OUTLIVING_CALLS,
)


@pytest.mark.parametrize('seed', range(8))
def test_random_plays_with_overlapping_calls_of_restarted_agents(seed):
    """Guards against lists and answers that are older than a later call."""
    random_plays.play(seed, FAULTS_OF_AGENTS)


@pytest.mark.parametrize('seed', range(8))
def test_random_plays_with_overlapping_calls(seed):
    """Guards against calls that act while a later one is under way."""
    random_plays.play(
        seed,
        (
            *random_plays.FAULTS,
            random_plays.OVERLAPPING_CALLS,
            random_plays.OUTLIVING_CALLS,
        ),
    )


@pytest.mark.parametrize('seed', range(8))
def test_random_plays_with_workers_that_leave_or_shrink(seed):
    """Guards against overcommitted workers, and proofs of ends that are wrong.

    Agents stand still, and workers leave, come back at once with less
    capacity, or send their heartbeats late.
    """
    random_plays.play(seed, FAULTS_OF_WORKERS)

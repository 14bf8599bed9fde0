"""Times of the gang protocol, in seconds."""

from __future__ import annotations

# The worker ends tasks whose lease was not renewed for this long.
LEASE_SECONDS = 15.0
# Longest lease that an agent leaves behind for its successor.
MAX_LEASE_SECONDS = 30.0
RESERVATION_SECONDS = 5.0
# A lead commits only while its reservation holds for this much longer, so
# that the members' reservations outlive the way of the start messages.
COMMIT_MARGIN_SECONDS = 1.0
# Time for a worker to start tasks and for the answer to reach the lead.
START_SECONDS = 10.0
# After a checkpoint's grace, tasks have this long before their lease is
# revoked.
STOP_SECONDS = 1.0
TOMBSTONE_SECONDS = 180.0
# Covers timers that fire late and a round trip between regions.
SLACK_SECONDS = 2.0

MISSED_BEATS = 3
MIN_BEAT_SECONDS = 5.0
# Beats may use half of the 3 KB/s that a daemon may use for control.
BEAT_BYTES_PER_SECOND = 1500.0
# A beat and its answer with their frames, rounded up; bench/gang_messages.py
# measures them.
BEAT_BYTES = 300.0


def compute_beat_interval(members: int) -> float:
    """Return the seconds between beats of a lead to one member.

    :param members: number of members of the gang.
    """
    return max(MIN_BEAT_SECONDS, members * BEAT_BYTES / BEAT_BYTES_PER_SECOND)


def compute_lead_patience(interval: float) -> float:
    """Return the seconds of a member's silence after which a gang ends.

    :param interval: seconds between beats.
    """
    return MISSED_BEATS * interval + SLACK_SECONDS


def compute_member_patience(interval: float) -> float:
    """Return how long a member runs after it sent an answer.

    The answer comes back with the next beat, hence the extra interval.

    :param interval: seconds between beats.
    """
    return (MISSED_BEATS + 1) * interval + SLACK_SECONDS


def compute_settle_seconds(members: int) -> float:
    """Return the time after which nothing runs of a gang whose lead is gone.

    The members stop by themselves, or their leases end when they can't.

    :param members: number of members of the gang.
    """
    patience = compute_member_patience(compute_beat_interval(members))
    return patience + LEASE_SECONDS + SLACK_SECONDS

"""Time-outs and intervals of the gang protocol, in seconds."""

from __future__ import annotations

# Lease length of tasks: the worker stops tasks whose lease is not renewed
# within this time.
LEASE_SECONDS = 15.0
# Longest lease that a stopping agent may leave on its tasks, so that they
# keep running until its successor adopts them.
MAX_LEASE_SECONDS = 30.0
# Time after which an agent drops a reservation that was not committed.
RESERVATION_SECONDS = 5.0
# Least remaining time of the lead's reservation at a commit, so that the
# members' reservations don't expire before the start messages arrive.
COMMIT_MARGIN_SECONDS = 1.0
# Time limit for a worker to start tasks and for its answer to reach the lead.
START_TIMEOUT_SECONDS = 10.0
# Time between the end of the checkpoint grace period and the revocation of
# the lease of tasks that have not stopped.
STOP_TIMEOUT_SECONDS = 1.0
# Time for which an agent remembers an attempt that can't start any more.
TOMBSTONE_RETENTION_SECONDS = 180.0
# Margin of time-outs for timers that fire late and for a network round trip
# between regions.
TIMEOUT_MARGIN_SECONDS = 2.0

MISSED_HEARTBEATS = 3
MIN_HEARTBEAT_SECONDS = 5.0
# Heartbeats may use half of the 3 KB/s that a daemon may use for control
# messages.
HEARTBEAT_BYTES_PER_SECOND = 1500.0
# Size of a heartbeat and its reply, frames included, rounded up from what
# bench/gang_messages.py measures.
HEARTBEAT_BYTES = 300.0


def compute_heartbeat_interval(members: int) -> float:
    """Return the interval of heartbeats from the lead to one member.

    :param members: number of members of the gang.
    """
    return max(
        MIN_HEARTBEAT_SECONDS,
        members * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND,
    )


def compute_member_timeout(interval: float) -> float:
    """Return how long a member may be silent before the lead ends the gang.

    :param interval: seconds between heartbeats.
    """
    return MISSED_HEARTBEATS * interval + TIMEOUT_MARGIN_SECONDS


def compute_lead_timeout(interval: float) -> float:
    """Return how long a member keeps running without news from the lead.

    The time counts from the member's last heartbeat reply that the lead has
    confirmed. The lead confirms a reply in its next heartbeat, which adds one
    interval to the missed heartbeats.

    :param interval: seconds between heartbeats.
    """
    return (MISSED_HEARTBEATS + 1) * interval + TIMEOUT_MARGIN_SECONDS


def compute_orphan_timeout(members: int) -> float:
    """Return how long members may run after they lost contact with the lead.

    A member stops its tasks when the lead is silent for too long; if the
    member's agent is dead too, the leases of the tasks expire.

    :param members: number of members of the gang.
    """
    timeout = compute_lead_timeout(compute_heartbeat_interval(members))
    return timeout + LEASE_SECONDS + TIMEOUT_MARGIN_SECONDS

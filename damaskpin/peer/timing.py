"""Intervals of heartbeats and reports."""

# Heartbeat intervals grow with the number of peers, so that heartbeats of one
# process take less than 3 KB/s: half of it for agents, the rest for entries of
# the region and of other regions. A heartbeat and its reply together take
# about AGENT_HEARTBEAT_BYTES or ENTRY_HEARTBEAT_BYTES on the wire, including
# packet headers and acknowledgements.
AGENT_HEARTBEAT_BYTES = 400
ENTRY_HEARTBEAT_BYTES = 550
AGENT_BYTES_PER_S = 1500
REGION_BYTES_PER_S = 800
REMOTE_BYTES_PER_S = 400
MIN_INTERVAL_S = 1.0
MAX_AGENT_INTERVAL_S = 12.0
MAX_ENTRY_INTERVAL_S = 12.0
MISSED_HEARTBEATS = 3
FORWARD_INTERVAL_S = 0.2
# Consecutive digest mismatches before a full update is requested; a single
# mismatch may be due to an update in flight.
MAX_DIGEST_MISMATCHES = 2


def compute_interval(
    total_bytes: float, bytes_per_second: float, max_interval: float
) -> float:
    """Return the heartbeat interval that keeps within a traffic budget.

    :param total_bytes: bytes of one heartbeat exchange with each peer.
    :param bytes_per_second: traffic budget.
    :param max_interval: longest interval, in seconds.
    :returns: interval in seconds.
    """
    return min(
        max(total_bytes / bytes_per_second, MIN_INTERVAL_S), max_interval
    )

"""Intervals of heartbeats and reports."""

# Heartbeats are paced by bytes, so that a daemon of a large fleet stays below
# 3 KB/s: agents take half of it, entries of the region and of other regions
# share the rest. A heartbeat with its reply costs about this many bytes on
# the wire, headers and acknowledgements included.
HEARTBEAT_BYTES = 300
AGENT_BYTES_PER_S = 1500
REGION_BYTES_PER_S = 800
REMOTE_BYTES_PER_S = 400
MIN_INTERVAL_S = 1.0
MAX_AGENT_INTERVAL_S = 12.0
MAX_ENTRY_INTERVAL_S = 12.0
MISSED_HEARTBEATS = 3
FORWARD_INTERVAL_S = 0.2
# Two mismatches in a row, because an update may be on its way.
DIGEST_MISMATCHES = 2


def pace(
    count: int, bytes_per_second: float, low: float, high: float
) -> float:
    """Return the interval at which all heartbeats fit into a budget."""
    return min(max(count * HEARTBEAT_BYTES / bytes_per_second, low), high)

"""Intervals of heartbeats and reports."""

# Heartbeats are paced by bytes, so that a daemon of a large fleet stays below
# 3 KB/s: agents take half of it, entries of the region and of other regions
# share the rest. A heartbeat with its reply costs about this many bytes on
# the wire, headers and acknowledgements included.
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
# Two mismatches in a row, because an update may be on its way.
DIGEST_MISMATCHES = 2


def pace(total_bytes: float, bytes_per_second: float, high: float) -> float:
    """Return the interval at which all heartbeats fit into a budget.

    :param total_bytes: bytes of one heartbeat with each peer.
    :param high: longest interval, in seconds.
    """
    return min(max(total_bytes / bytes_per_second, MIN_INTERVAL_S), high)

"""Tests that gang messages stay within the bandwidth for control."""

import pytest

from bench import gang_messages

# Half of the 3 KB/s that a daemon may use for control messages.
HEARTBEAT_BUDGET_BYTES_PER_SECOND = 1500.0


@pytest.mark.parametrize('size', [1, 16, 64, 128])
def test_running_gang_stays_within_the_budget(size):
    """Guards against heartbeats that overload the links between regions."""
    result = gang_messages.measure_gang_traffic(size, 1)
    assert 0 < result['start_seconds'] < 0.2
    assert result['lead_bytes_per_second'] <= HEARTBEAT_BUDGET_BYTES_PER_SECOND

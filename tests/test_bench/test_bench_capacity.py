"""Tests of the capacity measurements."""

import pytest

from bench import capacity
from bench import capacity_machines
from bench import capacity_sockets
from damaskpin.peer import timing


def test_fitted_line_has_base_and_slope():
    # A constant cost that is taken for a cost per agent would be multiplied by
    # the design size.
    line = capacity.fit_line([(10, 130.0), (60, 180.0), (500, 620.0)])
    assert line.base == pytest.approx(120.0)
    assert line.slope == pytest.approx(1.0)
    assert line.predict(1500) == pytest.approx(1620.0)


def test_fitting_a_line_needs_two_sizes():
    # Measurements at a single size cannot be extrapolated.
    with pytest.raises(ValueError, match='two different sizes'):
        capacity.fit_line([(10, 1.0), (10, 2.0)])


def test_headers_of_small_exchanges_are_counted():
    # Headers are most of the traffic of heartbeats; without them, heartbeats
    # would seem to stay within their budget.
    assert capacity_machines.get_wire_bytes(200) == 200 + 24 + 3 * 52


def test_counters_of_peer_sockets_are_added_by_process():
    # Sockets to the store, of HTTP and of other programs must not be counted
    # as traffic between daemons.
    text = (
        'ESTAB 0 0 127.0.0.1:7001 127.0.0.1:50001 '
        'users:(("python",pid=11,fd=9)) bytes_sent:100 bytes_acked:100 '
        'bytes_received:50 segs_out:3 segs_in:4 data_segs_out:2\n'
        'ESTAB 0 0 127.0.0.1:50002 127.0.0.1:7002 '
        'users:(("python",pid=11,fd=8)) bytes_received:7 segs_out:1 '
        'segs_in:1\n'
        'ESTAB 0 0 127.0.0.1:50003 127.0.0.1:2379 '
        'users:(("python",pid=11,fd=7)) bytes_sent:999 segs_out:9\n'
        'ESTAB 0 0 127.0.0.1:7001 127.0.0.1:50004 bytes_sent:999\n'
    )
    found = capacity_sockets.parse_sockets(text, {7001, 7002})
    assert set(found) == {11}
    assert found[11].payload == 157
    assert found[11].segments == 9
    assert found[11].frames == 2
    assert found[11].wire == 157 + 9 * 52


def test_configuration_traffic_on_link_and_entries():
    # The link between regions carries one copy of the document for each data
    # centre outside the region of the store.
    rates = capacity.compute_config_rates(90_000)
    assert rates['other entry'] == pytest.approx(90_000 * 560 / 86_400)
    assert rates['between regions'] == pytest.approx(
        8 * 120_000 * 560 / 86_400
    )
    assert rates['seconds of the link'] == pytest.approx(0.512)


@pytest.mark.parametrize('agents', [5, 60])
def test_membership_traffic_stays_within_budget(agents):
    # Figures would be wrong if agents reported to another entry or did not
    # limit their rate. The budgets of agents, of the region and of other
    # regions allow 9 exchanges per second, 5 of them with agents.
    seconds = 24.0
    traffic = capacity_machines.measure_membership(agents, 4, seconds)
    budget = (
        timing.AGENT_BYTES_PER_S
        + timing.REGION_BYTES_PER_S
        + timing.REMOTE_BYTES_PER_S
    )
    assert 5 * seconds <= traffic.exchanges
    assert traffic.exchanges <= budget / timing.AGENT_HEARTBEAT_BYTES * seconds
    assert traffic.wire > traffic.encoded > 0

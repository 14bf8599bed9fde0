"""Tests of how an agent chooses its home entry and reports to it."""

import msgspec

from damaskpin import effects
from damaskpin.peer import home as homes
from damaskpin.peer import messages


def make_peer(name, data_centre='d1', region='r'):
    return messages.Peer(
        name, f'{name}-1', 'entry', f'tcp://{name}', region, data_centre
    )


NEAR_ENTRY = make_peer('near')
FAR_ENTRY = make_peer('far', 'd2')


def make_home(now=0.0, *entries):
    peer = messages.Peer('a', 'a-1', 'agent', 'tcp://a', 'r', 'd1')
    state = messages.AgentState(peer, 'k', 'w', 8, 0.0, 1, 0)
    home = homes.AgentHome(state, now)
    home.learn_entries(now, entries or [NEAR_ENTRY, FAR_ENTRY])
    return home


def list_sent(outputs, kind):
    return [
        (output.to, output.message)
        for output in outputs
        if isinstance(output, effects.Send)
        and isinstance(output.message, kind)
    ]


def run_ticks(home, start, seconds):
    outputs = []
    for step in range(int(seconds * 10)):
        outputs += home.tick(start + step / 10)
    return outputs


def test_home_is_in_the_data_centre_of_the_agent():
    """Guards against reports sent needlessly to another data centre."""
    foreign = make_peer('foreign', 'd1', 'other')
    assert make_home(0.0, FAR_ENTRY, foreign, NEAR_ENTRY).home == 'near'
    assert make_home(0.0, FAR_ENTRY, foreign).home == 'far'
    assert make_home(0.0, foreign).home == ''


def test_agent_leaves_a_silent_home_entry():
    """Guards against an agent that keeps reporting to a dead entry."""
    home = make_home()
    run_ticks(home, 0.0, 3.0)
    assert home.home == 'near'
    run_ticks(home, 3.0, 0.3)
    assert home.home == 'far'


def test_failed_home_is_used_again_when_it_answers():
    """Guards against an agent that avoids an entry after one failed call.

    The other entries do not declare the entry dead then, so the agent gets no
    new list of entries.
    """
    home = make_home()
    home.handle_call_failure(1.0, 'near')
    assert home.home == 'far'
    outputs = []
    for step in range(60):
        now = 1.0 + step / 10
        home.receive(now, 'far', messages.ReportAck(1.0, 0, False))
        outputs += home.tick(now)
    assert ('near', messages.FindPeer('near')) in list_sent(
        outputs, messages.FindPeer
    )
    home.receive(7.0, 'near', messages.PeerFound(NEAR_ENTRY))
    assert home.home == 'near'
    [(to, report)] = list_sent(home.tick(8.0), messages.AgentReport)
    assert to == 'near'
    assert report.state is not None


def test_failed_home_is_not_used_before_it_answers():
    """Guards against an agent that reports to a dead entry every 5 s."""
    home = make_home()
    home.handle_call_failure(1.0, 'near')
    for step in range(200):
        now = 1.0 + step / 10
        home.receive(now, 'far', messages.ReportAck(1.0, 0, False))
        home.tick(now)
        assert home.home == 'far'


def test_change_of_busy_slots_waits_for_the_regular_report():
    """Guards against an agent under load that sends ten reports a second."""
    home = make_home()
    home.tick(10.0)
    targets = (messages.TargetState('shortlist', 8, 1),)
    home.set_state(10.0, msgspec.structs.replace(home.state, targets=targets))
    home.tick(10.2)
    sequence = home.state.sequence
    reports = []
    for step in range(8):
        now = 10.3 + 0.1 * step
        busy = (messages.TargetState('shortlist', 8, step % 3),)
        home.set_state(now, msgspec.structs.replace(home.state, targets=busy))
        reports += home.tick(now)
    assert reports == []
    assert home.state.sequence == sequence
    (send,) = home.tick(11.3)
    assert send.message.state.targets == busy


def test_entry_list_of_a_seed_resets_the_known_version():
    """Guards against a seed's list of entries that is never updated.

    The home entry sends its list only if the agent reports another version.
    """
    home = make_home()
    home.receive(
        0.5,
        'near',
        messages.ReportAck(1.0, 0, False, 'v1', (NEAR_ENTRY, FAR_ENTRY)),
    )
    home.learn_entries(1.0, [FAR_ENTRY])
    [(_, report)] = list_sent(home.tick(2.0), messages.AgentReport)
    assert report.entries_version != 'v1'


def test_late_answer_of_a_former_home_is_ignored():
    """Guards against use of the interval or list of a former home entry."""
    home = make_home()
    home.handle_call_failure(1.0, 'near')
    late_ack = messages.ReportAck(9.0, 5, True, 'v1', (NEAR_ENTRY,))
    assert home.receive(1.1, 'near', late_ack) == []
    assert home.home == 'far'


def test_state_is_sent_once_and_again_when_requested():
    """Guards against an agent state that is never or always reported."""
    home = make_home()
    [(_, first)] = list_sent(home.tick(0.0), messages.AgentReport)
    assert first.state is not None
    home.receive(0.1, 'near', messages.ReportAck(1.0, 0, False))
    [(_, second)] = list_sent(home.tick(1.0), messages.AgentReport)
    assert second.state is None
    home.receive(1.1, 'near', messages.ReportAck(1.0, 0, True))
    [(_, third)] = list_sent(home.tick(1.2), messages.AgentReport)
    assert third.state is not None
    assert third.state.sequence == first.sequence

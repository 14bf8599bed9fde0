"""Tests of the configuration holder with single messages."""

import pytest

from damaskpin import effects
from damaskpin.model import config as configs
from damaskpin.peer import messages
from damaskpin.store import configuration


def make_body(number):
    return configs.format_config(configs.Config(failed_workers=number))


def make_entry(revision=0, name='e1', neighbours=('e2', 'e3')):
    holder = configuration.ConfigHolder(name, 'entry')
    if revision:
        holder.handle_store_value(0.0, revision, make_body(revision))
    holder.set_neighbours(0.0, neighbours)
    return holder


def list_sends(outputs):
    return [
        (effect.to, effect.message)
        for effect in outputs
        if isinstance(effect, effects.Send)
    ]


def test_older_answer_of_the_store_is_ignored():
    """Guards against a stale read that reverts the configuration."""
    holder = make_entry(5)
    assert holder.handle_store_value(1.0, 4, make_body(4)) == []
    assert (holder.revision, holder.body) == (5, make_body(5))
    assert holder.applied_at == 0.0
    assert holder.ignored == 1


@pytest.mark.parametrize(
    'body',
    [
        b'{"racks": 1}',
        b'\xff',
        b'{"racks": ['
        b'{"name":"r","data_centre":"d","region":"g","workers":1,'
        b'"accelerators":8},{"name":"r","data_centre":"d","region":"g",'
        b'"workers":1,"accelerators":8}]}',
    ],
)
def test_invalid_document_leaves_the_former_one_in_force(body):
    holder = make_entry(5)
    outputs = holder.handle_store_value(1.0, 6, body)
    assert [effect.event for effect in outputs] == ['refused']
    assert (holder.revision, holder.refused) == (5, 1)
    assert holder.handle_store_value(2.0, 6, body) == []
    # The refused configuration revision is not fetched from a neighbour that
    # reports it.
    assert holder.handle_peer_revision(2.0, 'e2', 6) == []
    holder.handle_store_value(3.0, 7, make_body(7))
    assert (holder.revision, holder.applied_at) == (7, 3.0)


def test_new_revision_reaches_neighbour_and_agent_by_notice():
    watcher = make_entry(5, 'e1', ['e2'])
    watcher.set_agents(['a1'])
    neighbour = make_entry(5, 'e2', ['e1'])
    agent = configuration.ConfigHolder('a1', 'agent')
    sends = list_sends(watcher.handle_store_value(1.0, 6, make_body(6)))
    notice = messages.RevisionNotice(6)
    assert sends == [('e2', notice), ('a1', notice)]
    assert list_sends(agent.receive(1.1, 'e1', notice)) == [('e1', notice)]
    assert (agent.revision, agent.applied_at) == (6, 1.1)
    [(_, fetch)] = list_sends(neighbour.receive(1.1, 'e1', notice))
    [(_, body)] = list_sends(watcher.receive(1.2, 'e2', fetch))
    assert list_sends(neighbour.receive(1.3, 'e1', body)) == [('e1', notice)]
    assert neighbour.config == watcher.config
    watcher.receive(1.4, 'e2', notice)
    watcher.receive(1.4, 'a1', notice)
    assert watcher.tick(60.0) == []


def test_notice_is_repeated_until_it_is_confirmed():
    """Guards against a lost notice that delays an agent to its next report."""
    holder = make_entry(5, neighbours=[])
    holder.set_agents(['a1'])
    holder.handle_store_value(0.0, 6, make_body(6))
    sent = [now / 4 for now in range(80) if list_sends(holder.tick(now / 4))]
    assert sent == [1.0, 2.0, 3.0, 5.0, 7.0, 11.0, 15.0, 19.0]
    holder.set_agents([])
    assert holder.tick(60.0) == []


def test_fetch_goes_to_another_peer_and_ends_after_its_bound():
    """Guards against endless requests to peers that do not answer."""
    holder = make_entry(5)
    sends = list_sends(holder.handle_peer_revision(0.0, 'e2', 7))
    assert sends == [('e2', messages.FetchConfig(5))]
    assert holder.handle_peer_revision(0.0, 'e3', 8) == []
    asked = []
    for now in range(1, 60):
        asked += [to for to, _ in list_sends(holder.tick(float(now)))]
    # The newer revision that the second peer reports allows three more
    # requests.
    assert asked == ['e3', 'e2', 'e3']
    assert list_sends(holder.handle_peer_revision(60.0, 'e3', 8))


def test_process_without_configuration_asks_at_a_bounded_rate():
    """Guards against a message storm between unconfigured entries."""
    first = make_entry(0, 'e1', ['e2'])
    second = make_entry(0, 'e2', ['e1'])
    sent = 0
    for step in range(100):
        now = step / 10
        queue = [('e1', *send) for send in list_sends(first.tick(now))] + [
            ('e2', *send) for send in list_sends(second.tick(now))
        ]
        while queue:
            sender, to, message = queue.pop()
            sent += 1
            assert sent < 100
            holder = first if to == 'e1' else second
            outputs = holder.receive(now, sender, message)
            queue += [(to, *send) for send in list_sends(outputs)]
    second.handle_store_value(10.0, 3, make_body(3))
    for effect in second.receive(10.0, 'e1', messages.FetchConfig(0)):
        first.receive(10.0, 'e2', effect.message)
    assert first.revision == 3


def test_agent_without_documents_is_asked_only_once():
    agent = configuration.ConfigHolder('a1', 'agent')
    agent.handle_peer_revision(0.0, 'e2', 9)
    [(_, answer)] = list_sends(
        agent.receive(0.0, 'e1', messages.FetchConfig(5))
    )
    entry = make_entry(5)
    assert entry.handle_peer_revision(0.0, 'a1', 9) == []
    assert [to for to, _ in list_sends(entry.tick(1.0))] == ['a1']
    assert entry.receive(1.1, 'a1', answer) == []
    assert entry.tick(60.0) == []


def test_remote_fetch_waits_until_a_neighbour_could_deliver():
    """Guards against a document that crosses the billed link twice."""
    entry = make_entry(5, neighbours=['e2'])
    assert entry.handle_peer_revision(0.0, 'far', 6) == []
    assert entry.tick(0.9) == []
    assert list_sends(entry.handle_peer_revision(0.9, 'e2', 6)) == [
        ('e2', messages.FetchConfig(5))
    ]
    other = make_entry(5, neighbours=['e2'])
    other.handle_peer_revision(0.0, 'far', 6)
    assert [to for to, _ in list_sends(other.tick(1.0))] == ['far']


def test_live_entry_with_the_smallest_id_watches_the_store():
    assert configuration.is_watcher('e1', ['e2', 'e1'])
    assert not configuration.is_watcher('e2', ['e2', 'e1'])
    assert configuration.is_watcher('e2', [])

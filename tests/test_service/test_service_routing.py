"""Tests of the selection of agents."""

import collections
import random

from damaskpin.peer import messages
from damaskpin.service import breaker
from damaskpin.service import routing

ANSWERED = breaker.Outcome.ANSWERED
FAILED = breaker.Outcome.FAILED
SILENT = breaker.Outcome.SILENT


def make_state(name, data_centre='d1', region='r1', uptime=10.0, **changes):
    target = {'service': 'shortlist', 'slots': 8, 'busy': 0}
    target |= changes.pop('target', {})
    return messages.AgentState(
        peer=messages.Peer(
            name, f'{name}.1', 'agent', '', region, data_centre
        ),
        rack='k',
        worker=name,
        accelerators=8,
        uptime=uptime,
        sequence=int(uptime),
        revision=1,
        targets=(messages.TargetState(**target),),
        **changes,
    )


def make_router(*states):
    router = routing.Router('d1', 'r1', random.Random(7))
    for state in states:
        router.set_agent(0.0, state)
    return router


def choose(router, now=0.0, exclude=()):
    state = router.choose_agent(now, 'shortlist', exclude)
    return None if state is None else state.peer.instance


def run_attempts(router, name, outcome=None, now=0.0, times=1, seconds=None):
    for _ in range(times):
        router.record_attempt_start(now, name)
        if outcome is not None:
            router.record_attempt_end(now, name, outcome, seconds)


def test_near_agents_come_first_and_far_ones_take_the_overflow():
    router = make_router(
        make_state('far', 'd3', 'r2'),
        make_state('region', 'd2'),
        make_state('near'),
    )
    assert choose(router) == 'near'
    run_attempts(router, 'near', times=8)
    assert choose(router) == 'region'
    assert choose(router, exclude={'region'}) == 'far'
    run_attempts(router, 'region', times=8)
    run_attempts(router, 'far', times=8)
    assert choose(router) is None


def test_freed_slot_is_found_at_once_although_all_were_taken():
    router = make_router(*(make_state(f'a{n}') for n in range(100)))
    for number in range(100):
        run_attempts(router, f'a{number}', times=8)
    assert choose(router) is None
    router.record_attempt_end(0.0, 'a37', ANSWERED)
    assert choose(router) == 'a37'


def test_leaving_draining_and_unhealthy_agents_get_no_requests():
    router = make_router(
        make_state('a', target={'leaving': True}),
        make_state('b', draining=True),
        make_state('c', healthy=False),
    )
    assert choose(router) is None
    assert not router.has_accepting_target('shortlist')


def test_refusal_by_a_leaving_target_pauses_the_agent_until_its_report():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', breaker.Outcome.TARGET_LEAVING)
    assert choose(router, 5.0) is None
    router.set_agent(6.0, make_state('a', uptime=16.0))
    assert choose(router, 6.2) == 'a'


def test_outdated_report_does_not_replace_a_newer_one():
    router = make_router()
    router.set_agent(0.0, make_state('a', target={'leaving': True}))
    router.set_agent(0.0, make_state('a', uptime=9.0))
    assert choose(router) is None


def test_breaker_opens_after_five_failures_in_a_row():
    router = make_router(make_state('a'), make_state('b'))
    run_attempts(router, 'a', FAILED, times=4)
    run_attempts(router, 'a', ANSWERED)
    run_attempts(router, 'a', FAILED, times=4)
    assert choose(router, exclude={'b'}) == 'a'
    run_attempts(router, 'a', FAILED)
    assert choose(router, exclude={'b'}) is None


def test_half_open_breaker_lets_one_probe_through_and_then_ramps_up():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', SILENT)
    assert choose(router, 0.5) is None
    assert choose(router, 2.0) == 'a'
    run_attempts(router, 'a', now=2.0)
    assert choose(router, 2.1) is None
    router.record_attempt_end(2.2, 'a', ANSWERED)
    started = 0
    while choose(router, 3.2) == 'a':
        run_attempts(router, 'a', now=3.2)
        started += 1
    assert started == 1
    while choose(router, 7.3) == 'a':
        run_attempts(router, 'a', now=7.3)
        started += 1
    assert started == 8


def test_failed_probe_doubles_the_open_period():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', SILENT)
    run_attempts(router, 'a', SILENT, now=2.0)
    assert choose(router, 3.3) is None
    assert choose(router, 4.6) == 'a'


def test_probe_that_never_ends_does_not_block_the_agent():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', SILENT)
    run_attempts(router, 'a', now=2.0)
    assert choose(router, 11.0) is None
    assert choose(router, 12.1) == 'a'


def test_failures_take_at_most_half_of_the_targets_out_of_use():
    names = [f'a{number}' for number in range(4)]
    router = make_router(*(make_state(name) for name in names))
    for name in names:
        run_attempts(router, name, FAILED, times=10)
    assert len(router.list_breakers()) == 2


def test_load_of_a_new_incarnation_is_raised_gradually():
    router = make_router(make_state('a'))
    state = make_state('a')
    peer = messages.Peer('a', 'a.2', 'agent', '', 'r1', 'd1')
    state = messages.AgentState(peer, 'k', 'a', 8, 0.1, 0, 1, state.targets)
    router.set_agent(1.0, state)
    run_attempts(router, 'a', now=1.0)
    assert choose(router, 1.1) is None


def test_slots_of_other_entries_count_while_the_report_is_fresh():
    router = make_router(make_state('a', target={'busy': 8}))
    assert choose(router, 1.0) is None
    assert choose(router, 2.1) == 'a'


def test_own_requests_in_a_report_do_not_count_twice():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', times=4)
    router.set_agent(0.0, make_state('a', uptime=11.0, target={'busy': 4}))
    assert choose(router) == 'a'


def test_busy_refusal_pauses_the_agent_briefly():
    router = make_router(make_state('a'))
    run_attempts(router, 'a', breaker.Outcome.BUSY)
    assert choose(router, 0.04) is None
    assert choose(router, 0.16) == 'a'


def test_slow_agent_gets_a_small_share_and_is_tried_again():
    names = [f'a{number}' for number in range(5)]
    router = make_router(*(make_state(name) for name in names))
    for _ in range(50):
        for name in names:
            run_attempts(
                router, name, ANSWERED, seconds=2.0 if name == 'a0' else 0.1
            )
    counts = collections.Counter(choose(router) for _ in range(1000))
    assert counts['a0'] < 100
    counts = collections.Counter(choose(router, 200.0) for _ in range(1000))
    assert counts['a0'] > 100


def test_power_of_two_choices_prefers_the_less_loaded():
    router = make_router(*(make_state(f'a{n}') for n in range(10)))
    for _ in range(40):
        router.record_attempt_start(0.0, choose(router))
    loads = [agent.outstanding for agent in router._agents.values()]
    assert max(loads) <= 6

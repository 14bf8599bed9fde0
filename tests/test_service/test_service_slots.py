"""Tests of the slots and the attempt table of an agent."""

import pytest

from damaskpin import effects
from damaskpin import verdict
from damaskpin.peer import messages
from damaskpin.service import attempts
from damaskpin.service import slots

ANSWER = verdict.Answer(200, b'done')


def make_slots(**arguments):
    machine = slots.SlotManager('a1', 'i1', started=100.0, **arguments)
    machine.announce(100.0, 'shortlist', 2)
    return machine


def make_run(attempt='i1.x.1', expires=60.0, body=b'x', timeout=30.0):
    return messages.RunRequest(
        attempt=attempt,
        incarnation='i1',
        service='shortlist',
        account='naamkunde',
        expires_uptime=expires,
        timeout=timeout,
        body=body,
    )


def list_sent(produced):
    return [
        (effect.to, effect.message)
        for effect in produced
        if isinstance(effect, effects.Send)
    ]


def list_calls(produced):
    return [
        effect.attempt
        for effect in produced
        if isinstance(effect, effects.CallTarget)
    ]


def run_without_pause(machine, start, end):
    """Call ``tick`` as often as a daemon, so that no pause is detected."""
    now = start
    while now < end:
        machine.announce(now, 'shortlist', 2)
        machine.tick(now)
        now += 0.4


def test_duplicates_join_the_attempt_and_every_sender_gets_the_answer():
    machine = make_slots()
    assert list_calls(machine.receive(100.0, 'e1', make_run())) == ['i1.x.1']
    assert machine.receive(100.1, 'e2', make_run()) == []
    assert list_sent(
        machine.record_target_answer(100.2, 'i1.x.1', ANSWER)
    ) == [
        ('e1', messages.RunAnswer('i1.x.1', ANSWER)),
        ('e2', messages.RunAnswer('i1.x.1', ANSWER)),
    ]
    assert list_sent(machine.receive(100.3, 'e3', make_run())) == [
        ('e3', messages.RunAnswer('i1.x.1', ANSWER))
    ]


def test_refused_attempt_cannot_start_when_a_slot_becomes_free():
    machine = make_slots()
    for number in (1, 2):
        machine.receive(100.0, 'e1', make_run(f'i1.x.{number}'))
    refused = messages.RunRefused('i1.x.3', 'busy')
    produced = machine.receive(100.0, 'e1', make_run('i1.x.3'))
    assert produced == [effects.Send('e1', refused)]
    machine.record_target_answer(100.1, 'i1.x.1', ANSWER)
    produced = machine.receive(100.2, 'e1', make_run('i1.x.3'))
    assert produced == [effects.Send('e1', refused)]


def test_cancellation_that_overtakes_its_request_stops_it():
    machine = make_slots()
    cancel = messages.CancelRequest('i1.x.1', 'i1', 60.0)
    refused = messages.RunRefused('i1.x.1', 'cancelled')
    assert machine.receive(100.0, 'e1', cancel) == [
        effects.Send('e1', refused)
    ]
    assert machine.receive(100.1, 'e1', make_run()) == [
        effects.Send('e1', refused)
    ]


@pytest.mark.parametrize(
    'message',
    [
        messages.RunRequest('i0.x.1', 'i0', 'shortlist', 'n', 60.0, 9.0, b''),
        messages.CancelRequest('i0.x.1', 'i0', 60.0),
        messages.CancelRequest('i0.x.1'),
        messages.QueryRun('i0.x.1', 'i0', 60.0),
    ],
)
def test_attempt_of_an_earlier_incarnation_is_reported_as_uncertain(message):
    (effect,) = make_slots().receive(100.0, 'e1', message)
    assert effect.message == messages.RunUncertain(
        'i0.x.1', 'unknown-incarnation'
    )


def test_expired_attempt_is_refused_until_its_retention_period_ends():
    machine = make_slots()
    run_without_pause(machine, 100.0, 161.0)
    (effect,) = machine.receive(161.0, 'e1', make_run())
    assert effect.message == messages.RunRefused('i1.x.1', 'expired')
    run_without_pause(machine, 161.0, 281.0)
    (effect,) = machine.receive(281.0, 'e1', make_run())
    assert effect.message == messages.RunUncertain('i1.x.1', 'record-dropped')


def test_answer_is_kept_120_s_after_the_end_and_the_expiry():
    machine = make_slots()
    machine.receive(100.0, 'e1', make_run())
    machine.record_target_answer(101.0, 'i1.x.1', ANSWER)
    query = messages.QueryRun('i1.x.1', 'i1', 60.0)
    run_without_pause(machine, 101.0, 279.9)
    (effect,) = machine.receive(279.9, 'e1', query)
    assert effect.message == messages.RunAnswer('i1.x.1', ANSWER)
    run_without_pause(machine, 279.9, 281.0)
    (effect,) = machine.receive(281.0, 'e1', query)
    assert isinstance(effect.message, messages.RunUncertain)


def test_full_table_refuses_permanently_without_adding_records():
    table = attempts.AttemptTable(max_records=2)
    machine = make_slots(table=table)
    for number in (1, 2):
        machine.receive(100.0, 'e1', make_run(f'i1.x.{number}'))
        machine.record_target_answer(100.0, f'i1.x.{number}', ANSWER)
    (effect,) = machine.receive(100.0, 'e1', make_run('i1.x.3'))
    assert effect.message == messages.RunRefused('i1.x.3', 'busy')
    assert machine.receive(100.0, 'e1', make_run('i1.x.4', 400.0)) == []
    run_without_pause(machine, 100.0, 282.0)
    assert len(table) == 0
    (effect,) = machine.receive(282.0, 'e1', make_run('i1.x.3', 60.0))
    assert not isinstance(effect, effects.CallTarget)


def test_stored_answers_are_bounded_and_dropped_ones_are_uncertain():
    table = attempts.AttemptTable(max_answer_bytes=10)
    machine = make_slots(table=table)
    for number in (1, 2):
        machine.receive(100.0, 'e1', make_run(f'i1.x.{number}'))
        machine.record_target_answer(
            100.0, f'i1.x.{number}', verdict.Answer(200, b'8 bytes.')
        )
    (first,) = machine.receive(100.1, 'e1', make_run('i1.x.1'))
    (second,) = machine.receive(100.1, 'e1', make_run('i1.x.2'))
    assert isinstance(first.message, messages.RunUncertain)
    assert isinstance(second.message, messages.RunAnswer)


def test_leaving_target_refuses_new_and_waiting_requests():
    machine = make_slots(max_waiting=1)
    for number in (1, 2, 3):
        machine.receive(100.0, 'e1', make_run(f'i1.x.{number}'))
    produced = machine.announce(100.1, 'shortlist', 2, leaving=True)
    assert list_sent(produced) == [
        ('e1', messages.RunRefused('i1.x.3', 'leaving'))
    ]
    (effect,) = machine.receive(100.2, 'e1', make_run('i1.x.4'))
    assert effect.message.reason == 'leaving'
    produced = machine.record_target_answer(100.3, 'i1.x.1', ANSWER)
    assert list_calls(produced) == []


def test_waiting_request_starts_when_a_slot_becomes_free():
    machine = make_slots(max_waiting=1)
    for number in (1, 2, 3):
        machine.receive(100.0, 'e1', make_run(f'i1.x.{number}'))
    produced = machine.record_target_answer(100.3, 'i1.x.1', ANSWER)
    assert list_calls(produced) == ['i1.x.3']


def test_announcement_expires_after_at_most_three_seconds():
    machine = make_slots()
    machine.announce(100.1, 'shortlist', 2, ttl=60.0)
    for now in (100.5, 101.0, 101.5, 102.0, 102.5, 103.0):
        machine.tick(now)
    (effect,) = machine.receive(103.2, 'e1', make_run())
    assert effect.message.reason in ('leaving', 'no-target')


def test_announcement_received_after_a_pause_is_dated_to_its_start():
    machine = make_slots()
    machine.announce(110.0, 'shortlist', 2)
    (effect,) = machine.receive(110.0, 'e1', make_run())
    assert effect.message.reason == 'leaving'
    machine.tick(110.4)
    machine.announce(110.8, 'shortlist', 2)
    assert list_calls(machine.receive(110.8, 'e1', make_run('i1.x.2')))


def test_drain_finishes_requests_and_waits_for_answers_to_arrive():
    machine = make_slots()
    machine.receive(100.0, 'e1', make_run())
    machine.drain(100.1)
    (effect,) = machine.receive(100.2, 'e1', make_run('i1.x.2'))
    assert effect.message.reason == 'draining'
    assert machine.list_target_states()[0].leaving
    machine.tick(100.5)
    assert not machine.is_idle()
    machine.record_target_answer(101.0, 'i1.x.1', ANSWER)
    assert not machine.is_idle()
    machine.tick(104.1)
    assert machine.is_idle()


def test_attempt_that_did_not_reach_the_target_is_refused():
    machine = make_slots()
    machine.receive(100.0, 'e1', make_run())
    produced = machine.record_target_failure(
        100.1, 'i1.x.1', 'refused', reached=False
    )
    assert list_sent(produced) == [
        ('e1', messages.RunRefused('i1.x.1', 'unreachable'))
    ]


def test_call_whose_end_is_never_recorded_releases_its_slot():
    machine = make_slots()
    machine.receive(100.0, 'e1', make_run(timeout=2.0))
    assert machine.list_target_states()[0].busy == 1
    run_without_pause(machine, 100.4, 107.0)
    (effect,) = machine.tick(107.1)
    assert isinstance(effect.message, messages.RunUncertain)
    assert machine.list_target_states()[0].busy == 0


def test_other_body_for_the_same_attempt_is_refused():
    machine = make_slots()
    machine.receive(100.0, 'e1', make_run())
    (effect,) = machine.receive(100.1, 'e2', make_run(body=b'other'))
    assert effect.message == messages.RunRefused('i1.x.1', 'conflict')
    produced = machine.record_target_answer(100.2, 'i1.x.1', ANSWER)
    assert [to for to, _ in list_sent(produced)] == ['e1']


def test_announced_slots_are_limited_by_the_number_of_connections():
    machine = make_slots()
    machine.announce(100.0, 'shortlist', 1000)
    assert machine.list_target_states()[0].slots == 64

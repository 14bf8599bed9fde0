"""Tests of the dispatcher together with the slots of agents."""

import random

from damaskpin import effects
from damaskpin import verdict
from damaskpin.model import job as jobs
from damaskpin.peer import messages
from damaskpin.service import claims
from damaskpin.service import dispatch
from damaskpin.service import limits
from damaskpin.service import requests
from damaskpin.service import routing
from damaskpin.service import slots


def make_state(agent, incarnation, uptime, targets, data_centre='d1'):
    return messages.AgentState(
        peer=messages.Peer(
            agent, incarnation, 'agent', 'tcp://x', 'r1', data_centre
        ),
        rack='k1',
        worker=agent,
        accelerators=8,
        uptime=uptime,
        sequence=int(uptime * 10),
        revision=1,
        targets=targets,
    )


def make_request(name, **changes):
    fields = {
        'id': name,
        'account': 'naamkunde',
        'service': 'shortlist',
        'body': name.encode(),
        'deadline_seconds': 10.0,
    }
    return requests.Request(**(fields | changes))


class Site:
    """One entry and some agents over a network without faults."""

    def __init__(self, agents=2, slots_each=8):
        self.now = 100.0
        self.slots_each = slots_each
        self.router = routing.Router('d1', 'r1', random.Random(1))
        self.limits = limits.Limits()
        self.entry = dispatch.Dispatcher(
            'e1', 'x', self.router, self.limits, random.Random(2), b'secret'
        )
        self.agents = {}
        self.incarnations = {}
        self.calls = []
        self.verdicts = {}
        self.sent = []
        self.store = {}
        self.store_down = False
        self.silent = set()
        for index in range(agents):
            name = f'a{index}'
            self.agents[name] = slots.Slots(name, 'i' + name)
            self.incarnations[name] = 'i' + name
            self.agents[name].announce(self.now, 'shortlist', slots_each)
            self.report(name)

    def report(self, name):
        agent = self.agents[name]
        self.router.set_agent(
            self.now,
            make_state(
                name,
                self.incarnations[name],
                self.now,
                agent.list_targets(),
            ),
        )

    def run(self, produced, source='e1'):
        for effect in produced:
            match effect:
                case effects.Send('e1', message):
                    self.run(self.entry.receive(self.now, source, message))
                case effects.Send(to, message):
                    self.sent.append(message)
                    agent = self.agents.get(to)
                    if agent is not None and to not in self.silent:
                        self.run(agent.receive(self.now, 'e1', message), to)
                case effects.CallTarget():
                    self.calls.append((source, effect))
                case effects.DeliverVerdict(work, result):
                    assert work not in self.verdicts
                    self.verdicts[work] = result
                case effects.Record():
                    pass
                case claims.ReadClaim():
                    self.answer_store(effect)
                case claims.WriteClaim():
                    self.store.setdefault(effect.key, effect.claim)
                    self.answer_store(effect)
                case claims.MoveClaim():
                    if self.store.get(effect.key) == effect.before:
                        self.store[effect.key] = effect.after
                    self.answer_store(effect)

    def answer_store(self, call):
        result = claims.Holds(self.store.get(call.key))
        if self.store_down:
            result = claims.Refused()
        self.run(
            self.entry.store_result(self.now, call.request, call.step, result)
        )

    def submit(self, name, **changes):
        self.run(self.entry.submit(self.now, make_request(name, **changes)))

    def answer_all(self):
        calls, self.calls = self.calls, []
        for name, call in calls:
            self.run(
                self.agents[name].target_answered(
                    self.now, call.attempt, verdict.Answer(200, call.body)
                ),
                name,
            )

    def wait(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.run(self.entry.tick(self.now))
            for name, agent in self.agents.items():
                if name not in self.silent:
                    agent.announce(self.now, 'shortlist', self.slots_each)
                    self.run(agent.tick(self.now), name)

    def restart(self, name):
        self.agents[name] = slots.Slots(name, name + 'next', self.now)
        self.incarnations[name] = name + 'next'
        self.calls = [call for call in self.calls if call[0] != name]

    def fail_all(self, reached=True):
        calls, self.calls = self.calls, []
        for name, call in calls:
            self.run(
                self.agents[name].target_failed(
                    self.now, call.attempt, 'broken', reached
                ),
                name,
            )


def test_caller_gets_the_answer_of_its_own_request():
    site = Site()
    for index in range(6):
        site.submit(f'q{index}')
    site.answer_all()
    for index in range(6):
        assert site.verdicts[f'q{index}'] == verdict.Ran(
            verdict.Answer(200, f'q{index}'.encode())
        )


def test_request_waits_while_all_slots_are_busy():
    site = Site(agents=1, slots_each=2)
    for index in range(3):
        site.submit(f'q{index}')
    assert len(site.calls) == 2
    site.answer_all()
    assert len(site.calls) == 1
    site.answer_all()
    assert set(site.verdicts) == {'q0', 'q1', 'q2'}


def test_request_that_got_no_slot_by_its_deadline_did_not_run():
    site = Site(agents=1, slots_each=1)
    site.submit('q0', deadline_seconds=30)
    site.submit('q1', deadline_seconds=2)
    site.wait(2.2)
    assert isinstance(site.verdicts['q1'], verdict.NotRun)
    assert site.verdicts['q1'].retry_after is not None


def get_kind(site, name):
    return type(site.verdicts.get(name))


def test_refused_request_goes_to_another_agent():
    site = Site()
    site.agents['a0'].drain(site.now)
    site.agents['a1'].drain(site.now)
    site.submit('q0')
    assert not site.calls
    site.agents['a1'] = slots.Slots('a1', 'ia1')
    site.agents['a1'].announce(site.now, 'shortlist', 8)
    site.wait(0.1)
    site.now += 1
    site.report('a1')
    site.wait(4.0)
    assert [name for name, _ in site.calls] == ['a1']


def test_non_idempotent_request_is_not_repeated_after_a_broken_call():
    site = Site()
    site.submit('q0')
    site.fail_all()
    assert site.verdicts['q0'] == verdict.MayHaveRun('broken')
    site.wait(5)
    assert not site.calls


def test_request_that_did_not_reach_the_target_is_tried_elsewhere():
    site = Site()
    site.submit('q0')
    first = site.calls[0][0]
    site.fail_all(reached=False)
    assert site.calls[0][0] != first


def test_idempotent_request_is_repeated_elsewhere_within_the_budget():
    site = Site(agents=5)
    site.submit('q0', idempotent=True)
    first = site.calls[0][0]
    site.fail_all()
    site.wait(0.2)
    assert site.calls[0][0] != first
    for _ in range(3):
        site.fail_all()
        site.wait(1.0)
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_without_retry_budget_a_failing_fleet_gets_no_further_load():
    site = Site()
    while site.limits.take_retry(site.now):
        pass
    site.submit('q0', idempotent=True)
    site.fail_all()
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_late_repeated_and_foreign_answers_change_nothing():
    site = Site()
    site.submit('q0')
    site.submit('q1')
    attempt = site.calls[0][1].attempt
    sender = site.calls[0][0]
    answer = messages.RunAnswer(attempt, verdict.Answer(200, b'wrong'))
    assert site.entry.receive(site.now, 'a9', answer) == []
    site.answer_all()
    assert site.entry.receive(site.now, sender, answer) == []
    refused = messages.RunRefused(attempt, 'busy')
    assert site.entry.receive(site.now, sender, refused) == []
    assert site.verdicts['q0'].answer.body == b'q0'


def test_waiting_for_a_long_request_does_not_send_its_body_again():
    site = Site(agents=1)
    site.submit('q0', body=b'x' * 1000, deadline_seconds=60.0)
    site.wait(50.0)
    runs = [m for m in site.sent if isinstance(m, messages.RunRequest)]
    queries = [m for m in site.sent if isinstance(m, messages.QueryRun)]
    assert len(runs) == 1
    assert 5 < len(queries) < 20


def test_request_that_was_lost_on_the_way_is_sent_again():
    site = Site(agents=1)
    site.silent.add('a0')
    site.submit('q0')
    site.wait(0.5)
    site.silent.clear()
    site.wait(1.0)
    site.answer_all()
    assert get_kind(site, 'q0') is verdict.Ran


def test_lost_agent_is_asked_once_more_before_the_verdict():
    site = Site()
    site.submit('q0')
    name = site.calls[0][0]
    site.silent.add(name)
    site.run(site.entry.agent_lost(site.now, name, 'i' + name))
    site.wait(0.9)
    assert 'q0' not in site.verdicts
    site.wait(0.3)
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_agent_that_was_wrongly_reported_as_lost_still_answers():
    site = Site()
    site.submit('q0')
    name = site.calls[0][0]
    site.run(site.entry.agent_lost(site.now, name, 'i' + name))
    site.wait(2.0)
    site.answer_all()
    assert get_kind(site, 'q0') is verdict.Ran


def test_silent_agent_is_left_for_another_by_idempotent_requests_only():
    site = Site()
    site.submit('q0', idempotent=True, deadline_seconds=20)
    site.submit('q1', deadline_seconds=20)
    site.silent |= {name for name, _ in site.calls}
    site.agents['b'] = slots.Slots('b', 'ib')
    site.incarnations['b'] = 'ib'
    site.agents['b'].announce(site.now, 'shortlist', 8)
    site.report('b')
    site.calls.clear()
    site.wait(8)
    assert [call.body for _, call in site.calls] == [b'q0']
    site.wait(14)
    assert get_kind(site, 'q1') is verdict.MayHaveRun


def test_cancelled_request_reports_what_the_agent_knows():
    site = Site(agents=1, slots_each=1)
    site.submit('q0')
    site.submit('q1')
    site.run(site.entry.cancel(site.now, 'q1'))
    assert get_kind(site, 'q1') is verdict.NotRun
    site.run(site.entry.cancel(site.now, 'q0'))
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_deadline_of_an_agent_without_answer_is_kept():
    site = Site(agents=1)
    site.silent.add('a0')
    site.submit('q0', deadline_seconds=2.0)
    site.wait(3.2)
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_keyed_request_is_not_sent_while_the_store_is_down():
    site = Site()
    site.store_down = True
    site.submit('q0', idempotency_key='k')
    assert get_kind(site, 'q0') is verdict.NotRun
    assert site.verdicts['q0'].retry_after is not None
    assert not site.sent


def test_second_request_with_the_same_key_gets_the_same_answer():
    site = Site()
    site.submit('q0', idempotency_key='k')
    site.submit('q1', idempotency_key='k', body=b'q0')
    assert len(site.calls) == 1
    site.answer_all()
    site.submit('q2', idempotency_key='k', body=b'q0')
    assert site.verdicts['q0'] == site.verdicts['q1'] == site.verdicts['q2']


def test_key_used_again_long_after_its_record_was_dropped_never_runs_twice():
    site = Site()
    site.submit('q0', idempotency_key='k')
    site.answer_all()
    for _ in range(25):
        site.wait(10.0, step=0.25)
        for name in site.agents:
            site.report(name)
    site.submit('q1', idempotency_key='k', body=b'q0')
    site.wait(12.0)
    assert get_kind(site, 'q1') is verdict.MayHaveRun
    assert not site.calls


def test_claim_moves_to_another_agent_after_a_refusal():
    site = Site()
    for name in ('a0', 'a1'):
        site.agents[name].drain(site.now)
    site.submit('q0', idempotency_key='k')
    assert not site.calls
    for name in ('a0', 'a1'):
        site.agents[name] = slots.Slots(name, 'i' + name)
        site.agents[name].announce(site.now, 'shortlist', 8)
        site.now += 1
        site.report(name)
    site.wait(7.0)
    (claim,) = site.store.values()
    assert [call.attempt for _, call in site.calls] == [claim.attempt]


def test_request_that_found_a_claim_does_not_report_that_it_did_not_run():
    site = Site()
    site.submit('q0', idempotency_key='k')
    (key,) = site.store
    (name, _), *_ = site.calls
    # The earlier request belongs to another entry, whose agent refuses here.
    site.store[key] = claims.Claim(
        attempt='i' + name + '.y.1',
        agent=name,
        incarnation='i' + name,
        expires_uptime=1.0,
        digest=site.store[key].digest,
    )
    for agent in site.agents.values():
        agent.drain(site.now)
    site.submit('q1', idempotency_key='k', body=b'q0', deadline_seconds=3)
    site.wait(4.5)
    assert get_kind(site, 'q1') is verdict.MayHaveRun


def test_key_with_another_body_is_refused():
    site = Site()
    site.submit('q0', idempotency_key='k')
    site.submit('q1', idempotency_key='k', body=b'other')
    assert get_kind(site, 'q1') is verdict.NotRun
    assert len(site.calls) == 1


def test_issued_key_runs_once_without_the_store():
    site = Site()
    site.store_down = True
    key = site.entry.issue_key(site.now, 'naamkunde', 'shortlist')
    site.submit('q0', idempotency_key=key)
    site.submit('q1', idempotency_key=key, body=b'q0')
    assert len(site.calls) == 1
    site.answer_all()
    assert site.verdicts['q0'] == site.verdicts['q1']
    site.submit('q2', idempotency_key=key, body=b'other')
    site.submit('q3', idempotency_key=key, account='zhondeu')
    assert get_kind(site, 'q2') is verdict.NotRun
    assert get_kind(site, 'q3') is verdict.NotRun


def test_issued_key_of_a_restarted_agent_may_have_run():
    site = Site()
    key = site.entry.issue_key(site.now, 'naamkunde', 'shortlist')
    for name in site.agents:
        site.restart(name)
    site.submit('q0', idempotency_key=key)
    assert get_kind(site, 'q0') is verdict.MayHaveRun


def test_full_queue_sheds_the_least_important_request():
    site = Site(agents=1, slots_each=1)
    site.limits.max_queued = 2
    for index in range(3):
        site.submit(f'low{index}', priority=jobs.Priority.LOW)
    site.submit('low3', priority=jobs.Priority.LOW)
    assert site.verdicts['low3'].retry_after is not None
    site.submit('urgent', priority=jobs.Priority.URGENT)
    assert get_kind(site, 'low2') is verdict.NotRun
    site.answer_all()
    assert site.calls[0][1].body == b'urgent'


def test_burst_of_one_account_does_not_delay_the_requests_of_another():
    site = Site(agents=1, slots_each=1)
    for index in range(20):
        site.submit(f'q{index}')
    site.submit('other', account='zhondeu')
    for _ in range(3):
        site.answer_all()
    assert get_kind(site, 'other') is verdict.Ran


def test_service_without_targets_is_refused_before_a_distant_deadline():
    site = Site()
    site.submit('q0', service='unknown', deadline_seconds=600)
    site.wait(5.2)
    assert get_kind(site, 'q0') is verdict.NotRun


def test_stopping_entry_refuses_new_requests_and_finishes_the_others():
    site = Site()
    site.submit('q0')
    site.entry.drain()
    site.submit('q1')
    assert site.verdicts['q1'].retry_after == 1.0
    site.answer_all()
    assert get_kind(site, 'q0') is verdict.Ran

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


class Cluster:
    """One entry and several agents, connected by a network without faults."""

    def __init__(self, agents=2, slots_per_agent=8):
        self.now = 100.0
        self.slots_per_agent = slots_per_agent
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
            self.agents[name] = slots.SlotManager(name, 'i' + name)
            self.incarnations[name] = 'i' + name
            self.agents[name].announce(self.now, 'shortlist', slots_per_agent)
            self.report_agent(name)

    def report_agent(self, name):
        agent = self.agents[name]
        self.router.set_agent(
            self.now,
            make_state(
                name,
                self.incarnations[name],
                self.now,
                agent.list_target_states(),
            ),
        )

    def apply_effects(self, produced, source='e1'):
        for effect in produced:
            match effect:
                case effects.Send('e1', message):
                    self.apply_effects(
                        self.entry.receive(self.now, source, message)
                    )
                case effects.Send(to, message):
                    self.sent.append(message)
                    agent = self.agents.get(to)
                    if agent is not None and to not in self.silent:
                        self.apply_effects(
                            agent.receive(self.now, 'e1', message), to
                        )
                case effects.CallTarget():
                    self.calls.append((source, effect))
                case effects.DeliverVerdict(work, result):
                    assert work not in self.verdicts
                    self.verdicts[work] = result
                case effects.Record():
                    pass
                case claims.ReadClaim():
                    self.answer_store(effect)
                case claims.CreateClaim():
                    self.store.setdefault(effect.key, effect.claim)
                    self.answer_store(effect)
                case claims.ReplaceClaim():
                    if self.store.get(effect.key) == effect.before:
                        self.store[effect.key] = effect.after
                    self.answer_store(effect)

    def answer_store(self, call):
        result = claims.StoreAnswered(self.store.get(call.key))
        if self.store_down:
            result = claims.StoreUnreachable()
        self.apply_effects(
            self.entry.receive_store_result(
                self.now, call.request, call.step, result
            )
        )

    def submit(self, name, **changes):
        self.apply_effects(
            self.entry.submit(self.now, make_request(name, **changes))
        )

    def answer_all_calls(self):
        calls, self.calls = self.calls, []
        for name, call in calls:
            self.apply_effects(
                self.agents[name].record_target_answer(
                    self.now, call.attempt, verdict.Answer(200, call.body)
                ),
                name,
            )

    def advance(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            self.apply_effects(self.entry.tick(self.now))
            for name, agent in self.agents.items():
                if name not in self.silent:
                    agent.announce(self.now, 'shortlist', self.slots_per_agent)
                    self.apply_effects(agent.tick(self.now), name)

    def restart_agent(self, name):
        self.agents[name] = slots.SlotManager(name, name + 'next', self.now)
        self.incarnations[name] = name + 'next'
        self.calls = [call for call in self.calls if call[0] != name]

    def fail_all_calls(self, reached=True):
        calls, self.calls = self.calls, []
        for name, call in calls:
            self.apply_effects(
                self.agents[name].record_target_failure(
                    self.now, call.attempt, 'broken', reached
                ),
                name,
            )


def test_caller_gets_the_answer_of_its_own_request():
    cluster = Cluster()
    for index in range(6):
        cluster.submit(f'q{index}')
    cluster.answer_all_calls()
    for index in range(6):
        assert cluster.verdicts[f'q{index}'] == verdict.Ran(
            verdict.Answer(200, f'q{index}'.encode())
        )


def test_request_waits_while_all_slots_are_busy():
    cluster = Cluster(agents=1, slots_per_agent=2)
    for index in range(3):
        cluster.submit(f'q{index}')
    assert len(cluster.calls) == 2
    cluster.answer_all_calls()
    assert len(cluster.calls) == 1
    cluster.answer_all_calls()
    assert set(cluster.verdicts) == {'q0', 'q1', 'q2'}


def test_request_without_a_slot_by_its_deadline_is_reported_as_not_run():
    cluster = Cluster(agents=1, slots_per_agent=1)
    cluster.submit('q0', deadline_seconds=30)
    cluster.submit('q1', deadline_seconds=2)
    cluster.advance(2.2)
    assert isinstance(cluster.verdicts['q1'], verdict.NotRun)
    assert cluster.verdicts['q1'].retry_after is not None


def get_verdict_type(cluster, name):
    return type(cluster.verdicts.get(name))


def test_refused_request_goes_to_another_agent():
    cluster = Cluster()
    cluster.agents['a0'].drain(cluster.now)
    cluster.agents['a1'].drain(cluster.now)
    cluster.submit('q0')
    assert not cluster.calls
    cluster.agents['a1'] = slots.SlotManager('a1', 'ia1')
    cluster.agents['a1'].announce(cluster.now, 'shortlist', 8)
    cluster.advance(0.1)
    cluster.now += 1
    cluster.report_agent('a1')
    cluster.advance(4.0)
    assert [name for name, _ in cluster.calls] == ['a1']


def test_non_idempotent_request_is_not_retried_after_a_failed_call():
    cluster = Cluster()
    cluster.submit('q0')
    cluster.fail_all_calls()
    assert cluster.verdicts['q0'] == verdict.MayHaveRun('broken')
    cluster.advance(5)
    assert not cluster.calls


def test_request_that_did_not_reach_the_target_is_sent_to_another_agent():
    cluster = Cluster()
    cluster.submit('q0')
    first = cluster.calls[0][0]
    cluster.fail_all_calls(reached=False)
    assert cluster.calls[0][0] != first


def test_idempotent_request_is_retried_on_another_agent_within_the_budget():
    cluster = Cluster(agents=5)
    cluster.submit('q0', idempotent=True)
    first = cluster.calls[0][0]
    cluster.fail_all_calls()
    cluster.advance(0.2)
    assert cluster.calls[0][0] != first
    for _ in range(3):
        cluster.fail_all_calls()
        cluster.advance(1.0)
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_no_retry_is_sent_without_retry_budget():
    cluster = Cluster()
    while cluster.limits.take_retry_token(cluster.now):
        pass
    cluster.submit('q0', idempotent=True)
    cluster.fail_all_calls()
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_late_repeated_and_foreign_answers_are_ignored():
    cluster = Cluster()
    cluster.submit('q0')
    cluster.submit('q1')
    attempt = cluster.calls[0][1].attempt
    sender = cluster.calls[0][0]
    answer = messages.RunAnswer(attempt, verdict.Answer(200, b'wrong'))
    assert cluster.entry.receive(cluster.now, 'a9', answer) == []
    cluster.answer_all_calls()
    assert cluster.entry.receive(cluster.now, sender, answer) == []
    refused = messages.RunRefused(attempt, 'busy')
    assert cluster.entry.receive(cluster.now, sender, refused) == []
    assert cluster.verdicts['q0'].answer.body == b'q0'


def test_polling_a_long_request_does_not_resend_its_body():
    cluster = Cluster(agents=1)
    cluster.submit('q0', body=b'x' * 1000, deadline_seconds=60.0)
    cluster.advance(50.0)
    runs = [m for m in cluster.sent if isinstance(m, messages.RunRequest)]
    queries = [m for m in cluster.sent if isinstance(m, messages.QueryRun)]
    assert len(runs) == 1
    assert 5 < len(queries) < 20


def test_request_that_was_lost_in_the_network_is_resent():
    cluster = Cluster(agents=1)
    cluster.silent.add('a0')
    cluster.submit('q0')
    cluster.advance(0.5)
    cluster.silent.clear()
    cluster.advance(1.0)
    cluster.answer_all_calls()
    assert get_verdict_type(cluster, 'q0') is verdict.Ran


def test_lost_agent_is_queried_once_more_before_the_verdict():
    cluster = Cluster()
    cluster.submit('q0')
    name = cluster.calls[0][0]
    cluster.silent.add(name)
    cluster.apply_effects(
        cluster.entry.handle_agent_loss(cluster.now, name, 'i' + name)
    )
    cluster.advance(0.9)
    assert 'q0' not in cluster.verdicts
    cluster.advance(0.3)
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_agent_that_was_wrongly_reported_as_lost_still_answers():
    cluster = Cluster()
    cluster.submit('q0')
    name = cluster.calls[0][0]
    cluster.apply_effects(
        cluster.entry.handle_agent_loss(cluster.now, name, 'i' + name)
    )
    cluster.advance(2.0)
    cluster.answer_all_calls()
    assert get_verdict_type(cluster, 'q0') is verdict.Ran


def test_only_idempotent_requests_are_retried_after_a_silent_agent():
    cluster = Cluster()
    cluster.submit('q0', idempotent=True, deadline_seconds=20)
    cluster.submit('q1', deadline_seconds=20)
    cluster.silent |= {name for name, _ in cluster.calls}
    cluster.agents['b'] = slots.SlotManager('b', 'ib')
    cluster.incarnations['b'] = 'ib'
    cluster.agents['b'].announce(cluster.now, 'shortlist', 8)
    cluster.report_agent('b')
    cluster.calls.clear()
    cluster.advance(8)
    assert [call.body for _, call in cluster.calls] == [b'q0']
    cluster.advance(14)
    assert get_verdict_type(cluster, 'q1') is verdict.MayHaveRun


def test_cancelled_request_is_not_run_only_if_it_never_started():
    cluster = Cluster(agents=1, slots_per_agent=1)
    cluster.submit('q0')
    cluster.submit('q1')
    cluster.apply_effects(cluster.entry.cancel(cluster.now, 'q1'))
    assert get_verdict_type(cluster, 'q1') is verdict.NotRun
    cluster.apply_effects(cluster.entry.cancel(cluster.now, 'q0'))
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_request_to_a_silent_agent_concludes_after_its_deadline():
    cluster = Cluster(agents=1)
    cluster.silent.add('a0')
    cluster.submit('q0', deadline_seconds=2.0)
    cluster.advance(3.2)
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_keyed_request_is_not_sent_while_the_store_is_down():
    cluster = Cluster()
    cluster.store_down = True
    cluster.submit('q0', idempotency_key='k')
    assert get_verdict_type(cluster, 'q0') is verdict.NotRun
    assert cluster.verdicts['q0'].retry_after is not None
    assert not cluster.sent


def test_second_request_with_the_same_key_gets_the_same_answer():
    cluster = Cluster()
    cluster.submit('q0', idempotency_key='k')
    cluster.submit('q1', idempotency_key='k', body=b'q0')
    assert len(cluster.calls) == 1
    cluster.answer_all_calls()
    cluster.submit('q2', idempotency_key='k', body=b'q0')
    assert (
        cluster.verdicts['q0']
        == cluster.verdicts['q1']
        == cluster.verdicts['q2']
    )


def test_key_used_again_long_after_its_record_was_dropped_never_runs_twice():
    cluster = Cluster()
    cluster.submit('q0', idempotency_key='k')
    cluster.answer_all_calls()
    for _ in range(25):
        cluster.advance(10.0, step=0.25)
        for name in cluster.agents:
            cluster.report_agent(name)
    cluster.submit('q1', idempotency_key='k', body=b'q0')
    cluster.advance(12.0)
    assert get_verdict_type(cluster, 'q1') is verdict.MayHaveRun
    assert not cluster.calls


def test_claim_moves_to_another_agent_after_a_refusal():
    cluster = Cluster()
    for name in ('a0', 'a1'):
        cluster.agents[name].drain(cluster.now)
    cluster.submit('q0', idempotency_key='k')
    assert not cluster.calls
    for name in ('a0', 'a1'):
        cluster.agents[name] = slots.SlotManager(name, 'i' + name)
        cluster.agents[name].announce(cluster.now, 'shortlist', 8)
        cluster.now += 1
        cluster.report_agent(name)
    cluster.advance(7.0)
    (claim,) = cluster.store.values()
    assert [call.attempt for _, call in cluster.calls] == [claim.attempt]


def test_request_whose_key_had_a_claim_is_not_reported_as_not_run():
    cluster = Cluster()
    cluster.submit('q0', idempotency_key='k')
    (key,) = cluster.store
    (name, _), *_ = cluster.calls
    # The stored claim belongs to a request on another entry. All agents refuse
    # its attempt.
    cluster.store[key] = claims.Claim(
        attempt='i' + name + '.y.1',
        agent=name,
        incarnation='i' + name,
        expires_uptime=1.0,
        digest=cluster.store[key].digest,
    )
    for agent in cluster.agents.values():
        agent.drain(cluster.now)
    cluster.submit('q1', idempotency_key='k', body=b'q0', deadline_seconds=3)
    cluster.advance(4.5)
    assert get_verdict_type(cluster, 'q1') is verdict.MayHaveRun


def test_key_with_another_body_is_refused():
    cluster = Cluster()
    cluster.submit('q0', idempotency_key='k')
    cluster.submit('q1', idempotency_key='k', body=b'other')
    assert get_verdict_type(cluster, 'q1') is verdict.NotRun
    assert len(cluster.calls) == 1


def test_issued_key_runs_once_without_the_store():
    cluster = Cluster()
    cluster.store_down = True
    key = cluster.entry.issue_key(cluster.now, 'naamkunde', 'shortlist')
    cluster.submit('q0', idempotency_key=key)
    cluster.submit('q1', idempotency_key=key, body=b'q0')
    assert len(cluster.calls) == 1
    cluster.answer_all_calls()
    assert cluster.verdicts['q0'] == cluster.verdicts['q1']
    cluster.submit('q2', idempotency_key=key, body=b'other')
    cluster.submit('q3', idempotency_key=key, account='zhondeu')
    assert get_verdict_type(cluster, 'q2') is verdict.NotRun
    assert get_verdict_type(cluster, 'q3') is verdict.NotRun


def test_issued_key_of_a_restarted_agent_may_have_run():
    cluster = Cluster()
    key = cluster.entry.issue_key(cluster.now, 'naamkunde', 'shortlist')
    for name in cluster.agents:
        cluster.restart_agent(name)
    cluster.submit('q0', idempotency_key=key)
    assert get_verdict_type(cluster, 'q0') is verdict.MayHaveRun


def test_full_queue_sheds_the_least_important_request():
    cluster = Cluster(agents=1, slots_per_agent=1)
    cluster.limits.max_queued = 2
    for index in range(3):
        cluster.submit(f'low{index}', priority=jobs.Priority.LOW)
    cluster.submit('low3', priority=jobs.Priority.LOW)
    assert cluster.verdicts['low3'].retry_after is not None
    cluster.submit('urgent', priority=jobs.Priority.URGENT)
    assert get_verdict_type(cluster, 'low2') is verdict.NotRun
    cluster.answer_all_calls()
    assert cluster.calls[0][1].body == b'urgent'


def test_burst_of_one_account_does_not_delay_the_requests_of_another():
    cluster = Cluster(agents=1, slots_per_agent=1)
    for index in range(20):
        cluster.submit(f'q{index}')
    cluster.submit('other', account='zhondeu')
    for _ in range(3):
        cluster.answer_all_calls()
    assert get_verdict_type(cluster, 'other') is verdict.Ran


def test_service_without_targets_is_refused_before_a_distant_deadline():
    cluster = Cluster()
    cluster.submit('q0', service='unknown', deadline_seconds=600)
    cluster.advance(5.2)
    assert get_verdict_type(cluster, 'q0') is verdict.NotRun


def test_stopping_entry_refuses_new_requests_and_finishes_the_others():
    cluster = Cluster()
    cluster.submit('q0')
    cluster.entry.drain()
    cluster.submit('q1')
    assert cluster.verdicts['q1'].retry_after == 1.0
    cluster.answer_all_calls()
    assert get_verdict_type(cluster, 'q0') is verdict.Ran

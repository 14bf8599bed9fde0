"""Tests of the dispatcher together with the slots of agents."""

import random

from damaskpin import effects
from damaskpin import verdict
from damaskpin.peer import messages
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
        self.router = routing.Router('d1', 'r1', random.Random(1))
        self.limits = limits.Limits()
        self.entry = dispatch.Dispatcher(
            'e1', 'x', self.router, self.limits, random.Random(2), b'secret'
        )
        self.agents = {}
        self.calls = []
        self.verdicts = {}
        self.other = []
        for index in range(agents):
            name = f'a{index}'
            self.agents[name] = slots.Slots(name, 'i' + name)
            self.agents[name].announce(self.now, 'shortlist', slots_each)
            self.report(name)

    def report(self, name):
        agent = self.agents[name]
        self.router.set_agent(
            self.now,
            make_state(name, 'i' + name, self.now, agent.list_targets()),
        )

    def run(self, produced, source='e1'):
        for effect in produced:
            match effect:
                case effects.Send('e1', message):
                    self.run(self.entry.receive(self.now, source, message))
                case effects.Send(to, message):
                    agent = self.agents.get(to)
                    if agent is not None:
                        self.run(agent.receive(self.now, 'e1', message), to)
                case effects.CallTarget():
                    self.calls.append((source, effect))
                case effects.Conclude(work, result):
                    assert work not in self.verdicts
                    self.verdicts[work] = result
                case effects.Record():
                    pass
                case _:
                    self.other.append(effect)

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
                self.run(agent.tick(self.now), name)


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

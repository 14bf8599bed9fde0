"""Tests of an agent's slots, announcements and client with a real target."""

import asyncio
import signal

from damaskpin import effects
from damaskpin.peer import messages
from damaskpin.service import slots
from damaskpin.target import client as clients
from tests.test_target import test_target_standin as standin


class Agent(standin.Agent):
    """Agent that applies the effects of its slots to a target process."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.get_running_loop()
        self.slots = slots.SlotManager('a1', 'i1', self.loop.time())
        self.client = clients.TargetClient()
        self.calls = set()
        self.replies = {}
        self.tick_task = asyncio.ensure_future(self.tick())

    def on_announce(self, service, value):
        super().on_announce(service, value)
        now = self.loop.time()
        self.apply_effects(
            self.slots.announce(
                now, service, value.slots, value.ttl, value.leaving
            )
        )

    def on_withdraw(self, service):
        super().on_withdraw(service)
        self.apply_effects(self.slots.withdraw(self.loop.time(), service))

    async def tick(self):
        while True:
            self.apply_effects(self.slots.tick(self.loop.time()))
            await asyncio.sleep(0.1)

    def apply_effects(self, produced):
        for effect in produced:
            match effect:
                case effects.CallTarget():
                    task = asyncio.ensure_future(self.call_target(effect))
                    self.calls.add(task)
                case effects.Send(_, message):
                    self.replies.setdefault(message.attempt, message)

    async def call_target(self, call):
        url = self.announced[-1][1].url
        try:
            answer = await self.client.call(
                url, call.attempt, call.body, call.content_type, call.timeout
            )
        except clients.CallError as error:
            produced = self.slots.record_target_failure(
                self.loop.time(), call.attempt, error.reason, error.reached
            )
        else:
            produced = self.slots.record_target_answer(
                self.loop.time(), call.attempt, answer
            )
        self.apply_effects(produced)

    def send(self, number, body=b'{}'):
        attempt = f'i1.x.{number}'
        request = messages.RunRequest(
            attempt, 'i1', 'shortlist', 'n', 60.0, 10.0, body
        )
        self.apply_effects(self.slots.receive(self.loop.time(), 'e1', request))
        return attempt

    async def wait_announced(self):
        async with asyncio.timeout(10):
            while not self.announced:
                await asyncio.sleep(0.02)


def test_stopping_target_finishes_requests_and_gets_no_new_ones():
    async def run():
        agent = Agent()
        async with standin.run_target(agent.url, slots=2) as (process, url):
            await agent.wait_announced()
            first = agent.send(1, b'{"sleep": 1}')
            agent.send(1, b'{"sleep": 1}')
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(3):
                while not agent.announced[-1][1].leaving:
                    await asyncio.sleep(0.02)
            second = agent.send(2)
            stats = await standin.fetch_stats(url)
            await asyncio.wait_for(process.wait(), 10)
        await asyncio.gather(*agent.calls)
        assert agent.replies[first].answer.status == 200
        assert agent.replies[second].reason == 'leaving'
        assert stats['executions'] == {first: 1}

    asyncio.run(run())


def test_killed_target_leaves_attempts_uncertain_and_refuses_new_ones():
    async def run():
        agent = Agent()
        async with standin.run_target(agent.url, slots=2) as (process, _):
            await agent.wait_announced()
            first = agent.send(1, b'{"sleep": 5}')
            await asyncio.sleep(0.3)
            process.kill()
            await process.wait()
            second = agent.send(2)
            await asyncio.gather(*agent.calls)
        assert isinstance(agent.replies[first], messages.RunUncertain)
        assert agent.replies[second].reason == 'unreachable'

    asyncio.run(run())


def test_withdrawn_target_gets_no_new_requests():
    async def run():
        agent = Agent()
        async with standin.run_target(agent.url) as (process, _):
            await agent.wait_announced()
            process.send_signal(signal.SIGSTOP)
            await agent.call('DELETE', 'shortlist')
            attempt = agent.send(1)
        assert isinstance(agent.replies[attempt], messages.RunRefused)

    asyncio.run(run())

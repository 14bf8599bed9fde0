"""Tests of region takeover, refusal, cancellation and rival coordinators."""

import random

from damaskpin import effects
from damaskpin.daemon import coordination as coordinations
from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

WORKERS = 4
ACCELERATORS = 4
SETTLED = 1.0 + coordinations.SETTLE_S + 0.1


def make_config():
    account = configs.Account(
        name='acc', token_sha256='0' * 64, quota=100, guarantees=[]
    )
    rack = configs.Rack(
        name='k',
        data_centre='d',
        region='r',
        workers=WORKERS,
        accelerators=ACCELERATORS,
    )
    return configs.Config(accounts=[account], racks=[rack], failed_workers=0)


def make_peer(name, role='agent'):
    return messages.Peer(name, f'{name}-1', role, f'tcp://{name}', 'r', 'd')


def make_state(index, *gangs, sequence=1, **values):
    return messages.AgentState(
        make_peer(f'a{index}'),
        'k',
        f'k.{index}',
        ACCELERATORS,
        0.0,
        sequence,
        1,
        gangs=gangs,
        **values,
    )


def make_gang(job, attempt='t1', lead='a0', running=True):
    return messages.GangState(
        attempt, job, 'acc', (0, 1, 2, 3), lead, running, False, 'owner'
    )


def make_job(name, accelerators=4, adjacency=hardware.Adjacency.WORKER):
    spec = jobs.JobSpec(accelerators=accelerators, adjacency=adjacency)
    return jobs.Job(name, 'acc', spec)


def make_coordination(*states, name='e1'):
    made = coordinations.Coordination(
        make_peer(name, 'entry'), make_config(), random.Random(1)
    )
    made.set_config(0.0, make_config(), 1)
    states = {state.peer.instance: state for state in states}
    for index in range(WORKERS):
        made.set_agent(0.0, states.get(f'a{index}', make_state(index)))
    made.set_active(1.0, True)
    return made


def submit(made, now, job, attempt=''):
    message = gang_messages.SubmitJob(job, 'owner', attempt)
    return made.receive(now, 'owner', message)


def list_sent(outputs, kind):
    return [
        (output.to, output.message)
        for output in outputs
        if isinstance(output, effects.Send)
        and isinstance(output.message, kind)
    ]


def list_updates(outputs):
    return [
        (message.job, message.state)
        for _, message in list_sent(outputs, gang_messages.JobUpdate)
    ]


def run(made, start, seconds):
    outputs = []
    for step in range(int(seconds * 10)):
        outputs += made.tick(start + step / 10)
    return outputs


def list_placed(outputs):
    return {
        (message.job, to)
        for to, message in list_sent(outputs, gang_messages.Reserve)
    }


def list_attempts(outputs):
    return {
        message.attempt
        for _, message in list_sent(outputs, gang_messages.Reserve)
    }


def test_nothing_is_placed_before_the_owners_were_heard():
    """Guards against a placement on accelerators of an unreported gang."""
    made = make_coordination()
    submit(made, 1.0, make_job('j'))
    assert not list_placed(run(made, 1.0, coordinations.SETTLE_S - 0.1))
    assert list_placed(run(made, SETTLED, 1.0))


def test_takeover_restores_gangs_and_places_nothing_twice():
    """Guards against a second gang of a running job after a takeover."""
    made = make_coordination(
        make_state(0, make_gang('known')),
        make_state(1, make_gang('unknown', 't2', 'a1')),
    )
    submit(made, 1.0, make_job('known'), 't1')
    for number in range(4):
        submit(made, 1.1, make_job(f'new{number}'))
    outputs = run(made, SETTLED, 2.0)
    outputs += submit(made, SETTLED + 2, make_job('unknown'), 't2')
    outputs += run(made, SETTLED + 2, 2.0)
    placed = list_placed(outputs)
    assert {to for _, to in placed} == {'a2', 'a3'}
    assert {job for job, _ in placed} <= {f'new{n}' for n in range(4)}
    assert ('known', 'running') in list_updates(outputs)
    assert ('unknown', 'running') in list_updates(outputs)


def test_takeover_restores_a_gang_on_a_draining_worker():
    """Guards against a second placement of a job on a draining worker."""
    made = make_coordination(make_state(0, make_gang('j'), draining=True))
    submit(made, 1.0, make_job('j'), 't1')
    outputs = run(made, SETTLED, 2.0)
    assert not list_placed(outputs)
    assert ('j', 'running') in list_updates(outputs)


def test_gang_of_an_unknown_job_is_never_queued():
    """Guards against queueing a job of which only a running gang is known.

    The second gang can't be restored, because the agent reports two gangs on
    the same accelerators.
    """
    twice = make_state(0, make_gang('one', 't1'))
    gang = make_gang('two', 't2')
    made = make_coordination(
        messages.AgentState(
            twice.peer, 'k', 'k.0', 4, 0.0, 1, 1, gangs=(*twice.gangs, gang)
        )
    )
    assert not list_placed(run(made, SETTLED, 2.0))
    assert made.get_snapshot(SETTLED).accounts[0].queued_jobs == 0


def test_restored_job_is_finished_when_its_gang_is_gone():
    """Guards against accelerators that stay in use after their gang ended."""
    made = make_coordination(make_state(0, make_gang('j')))
    submit(made, 1.0, make_job('j'), 't1')
    run(made, SETTLED, 1.0)
    assert made.get_snapshot(SETTLED).used == 4
    made.set_agent(SETTLED + 1, make_state(0, sequence=2))
    run(made, SETTLED + 1, 1.0)
    assert made.get_snapshot(SETTLED + 2).used == 0


def test_restored_job_is_finished_when_its_agent_is_lost():
    """Guards against a job that stays running on a lost agent."""
    made = make_coordination(make_state(0, make_gang('j')))
    submit(made, 1.0, make_job('j'), 't1')
    run(made, SETTLED, 1.0)
    made.remove_agent(SETTLED + 1, 'a0')
    run(made, SETTLED + 1, 1.0)
    assert made.get_snapshot(SETTLED + 2).used == 0


def test_restored_gang_is_stopped_through_its_lead():
    """Guards against a gang of a former coordinator that can't be stopped.

    The gang state machine of the new coordinator does not know its attempt,
    so the stop request must go to the lead agent.
    """
    made = make_coordination(make_state(0, make_gang('j')))
    submit(made, 1.0, make_job('j'), 't1')
    run(made, SETTLED, 1.0)
    cancel = gang_messages.CancelJob('j', 'cancelled')
    outputs = made.receive(SETTLED + 1, 'owner', cancel)
    stop = ('a0', gang_messages.StopGang('t1', 'cancelled', 0.0))
    assert list_sent(outputs, gang_messages.StopGang) == [stop]
    repeated = run(made, SETTLED + 1.1, coordinations.STOP_REPEAT_S)
    assert list_sent(repeated, gang_messages.StopGang) == [stop]
    made.set_agent(SETTLED + 4, make_state(0, sequence=2))
    assert not list_sent(run(made, SETTLED + 4, 9.0), gang_messages.StopGang)


def test_job_that_can_never_run_is_refused():
    """Guards against queueing a job that can never run."""
    never = make_job('never', ACCELERATORS + 1)
    made = make_coordination()
    submit(made, 1.0, never)
    assert ('never', 'refused') in list_updates(run(made, SETTLED, 1.0))
    assert ('never', 'refused') in list_updates(
        submit(made, SETTLED + 1, never)
    )


def test_cancellation_while_placing_releases_everything():
    """Guards against accelerators that a cancelled placement keeps in use."""
    made = make_coordination()
    submit(made, 1.0, make_job('j'))
    outputs = run(made, SETTLED, 0.2)
    [(_, agent)] = list_placed(outputs)
    cancel = gang_messages.CancelJob('j', 'cancelled')
    outputs = made.receive(SETTLED + 0.2, 'owner', cancel)
    assert agent in [
        to for to, _ in list_sent(outputs, gang_messages.StopGang)
    ]
    assert made.get_snapshot(SETTLED + 0.2).used == 0
    assert not list_placed(run(made, SETTLED + 0.3, 5.0))


def test_cancellation_while_settling_is_kept():
    """Guards against placing a job cancelled before the first decision."""
    made = make_coordination()
    submit(made, 1.0, make_job('waiting'))
    submit(made, 1.0, make_job('granted'), 't9')
    for name in ('waiting', 'granted'):
        made.receive(1.5, 'owner', gang_messages.CancelJob(name, 'cancelled'))
    assert not list_placed(run(made, SETTLED, 3.0))


def test_two_coordinators_at_once_each_end_their_placement():
    """Guards against rival coordinators disturbing each other's placement.

    Both coordinators place the same job. The agents refuse the reservation of
    the second one; the placement of the first one must stay unchanged.
    """
    one, two = make_coordination(name='e1'), make_coordination(name='e2')
    attempts = []
    for made in (one, two):
        submit(made, 1.0, make_job('j'))
        outputs = run(made, SETTLED, 0.2)
        attempts.append(list_sent(outputs, gang_messages.Reserve)[0])
    (agent, first), (other, second) = attempts
    assert first.attempt != second.attempt
    refusal = gang_messages.ReserveRefused(second.attempt, 'taken', 1)
    two.receive(SETTLED + 0.3, other, refusal)
    outputs = run(two, SETTLED + 0.3, 1.0)
    begun = list_attempts(outputs)
    assert second.attempt not in begun
    two.set_active(SETTLED + 1.5, False)
    # An inactive coordinator completes its placement and begins no other one.
    outputs = run(two, SETTLED + 1.5, 10.0)
    assert list_attempts(outputs) <= begun
    assert not list_attempts(run(two, SETTLED + 11.5, 10.0))
    assert one.get_snapshot(SETTLED + 1).used == 4
    assert one.receive(SETTLED + 1, agent, refusal) == []
    assert one.get_snapshot(SETTLED + 1).used == 4

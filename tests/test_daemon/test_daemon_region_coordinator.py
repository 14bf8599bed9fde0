"""Tests of region takeover, refusal, cancellation and rival coordinators."""

import random

from damaskpin import effects
from damaskpin.daemon import region_coordinator as region_coordinators
from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.peer import gang_messages
from damaskpin.peer import messages

WORKERS = 4
ACCELERATORS = 4
FIRST_DECISION_S = 1.0 + region_coordinators.FIRST_DECISION_DELAY_S + 0.1


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


def make_coordinator(*states, name='e1'):
    coordinator = region_coordinators.RegionCoordinator(
        make_peer(name, 'entry'), make_config(), random.Random(1)
    )
    coordinator.set_config(0.0, make_config(), 1)
    states = {state.peer.instance: state for state in states}
    for index in range(WORKERS):
        coordinator.set_agent(0.0, states.get(f'a{index}', make_state(index)))
    coordinator.set_active(1.0, True)
    return coordinator


def submit(coordinator, now, job, attempt=''):
    message = gang_messages.SubmitJob(job, 'owner', attempt)
    return coordinator.receive(now, 'owner', message)


def list_sent_messages(outputs, kind):
    return [
        (output.to, output.message)
        for output in outputs
        if isinstance(output, effects.Send)
        and isinstance(output.message, kind)
    ]


def list_job_updates(outputs):
    return [
        (message.job, message.state)
        for _, message in list_sent_messages(outputs, gang_messages.JobUpdate)
    ]


def run_ticks(coordinator, start, seconds):
    outputs = []
    for step in range(int(seconds * 10)):
        outputs += coordinator.tick(start + step / 10)
    return outputs


def list_placements(outputs):
    return {
        (message.job, to)
        for to, message in list_sent_messages(outputs, gang_messages.Reserve)
    }


def list_attempts(outputs):
    return {
        message.attempt
        for _, message in list_sent_messages(outputs, gang_messages.Reserve)
    }


def test_nothing_is_placed_before_owners_resubmit_jobs():
    """Guards against placements before owners have resubmitted all jobs."""
    coordinator = make_coordinator()
    submit(coordinator, 1.0, make_job('j'))
    assert not list_placements(
        run_ticks(
            coordinator, 1.0, region_coordinators.FIRST_DECISION_DELAY_S - 0.1
        )
    )
    assert list_placements(run_ticks(coordinator, FIRST_DECISION_S, 1.0))


def test_takeover_restores_gangs_and_places_no_job_twice():
    """Guards against a second gang of a running job after a takeover."""
    coordinator = make_coordinator(
        make_state(0, make_gang('known')),
        make_state(1, make_gang('unknown', 't2', 'a1')),
    )
    submit(coordinator, 1.0, make_job('known'), 't1')
    for number in range(4):
        submit(coordinator, 1.1, make_job(f'new{number}'))
    outputs = run_ticks(coordinator, FIRST_DECISION_S, 2.0)
    outputs += submit(
        coordinator, FIRST_DECISION_S + 2, make_job('unknown'), 't2'
    )
    outputs += run_ticks(coordinator, FIRST_DECISION_S + 2, 2.0)
    placed = list_placements(outputs)
    assert {to for _, to in placed} == {'a2', 'a3'}
    assert {job for job, _ in placed} <= {f'new{n}' for n in range(4)}
    assert ('known', 'running') in list_job_updates(outputs)
    assert ('unknown', 'running') in list_job_updates(outputs)


def test_takeover_restores_a_gang_on_a_draining_worker():
    """Guards against queueing and placing a running job a second time."""
    coordinator = make_coordinator(
        make_state(0, make_gang('j'), draining=True)
    )
    submit(coordinator, 1.0, make_job('j'), 't1')
    outputs = run_ticks(coordinator, FIRST_DECISION_S, 2.0)
    assert not list_placements(outputs)
    assert ('j', 'running') in list_job_updates(outputs)


def test_gang_of_an_unknown_job_is_never_queued():
    """Guards against queueing a job of which only a running gang is known.

    The second gang can't be restored, because the agent reports two gangs on
    the same accelerators.
    """
    doubled_state = make_state(0, make_gang('one', 't1'))
    gang = make_gang('two', 't2')
    coordinator = make_coordinator(
        messages.AgentState(
            doubled_state.peer,
            'k',
            'k.0',
            4,
            0.0,
            1,
            1,
            gangs=(*doubled_state.gangs, gang),
        )
    )
    assert not list_placements(run_ticks(coordinator, FIRST_DECISION_S, 2.0))
    assert (
        coordinator.get_snapshot(FIRST_DECISION_S).accounts[0].queued_jobs == 0
    )


def test_restored_job_is_finished_when_its_gang_is_gone():
    """Guards against accelerators that stay in use after their gang ended."""
    coordinator = make_coordinator(make_state(0, make_gang('j')))
    submit(coordinator, 1.0, make_job('j'), 't1')
    run_ticks(coordinator, FIRST_DECISION_S, 1.0)
    assert coordinator.get_snapshot(FIRST_DECISION_S).used == 4
    coordinator.set_agent(FIRST_DECISION_S + 1, make_state(0, sequence=2))
    run_ticks(coordinator, FIRST_DECISION_S + 1, 1.0)
    assert coordinator.get_snapshot(FIRST_DECISION_S + 2).used == 0


def test_restored_job_is_finished_when_its_agent_is_lost():
    """Guards against a job that stays running on a lost agent."""
    coordinator = make_coordinator(make_state(0, make_gang('j')))
    submit(coordinator, 1.0, make_job('j'), 't1')
    run_ticks(coordinator, FIRST_DECISION_S, 1.0)
    coordinator.remove_agent(FIRST_DECISION_S + 1, 'a0')
    run_ticks(coordinator, FIRST_DECISION_S + 1, 1.0)
    assert coordinator.get_snapshot(FIRST_DECISION_S + 2).used == 0


def test_restored_gang_is_stopped_through_its_lead():
    """Guards against a gang of a former coordinator that can't be stopped.

    The gang state machine of the new coordinator does not know its attempt,
    so the stop request must go to the lead agent.
    """
    coordinator = make_coordinator(make_state(0, make_gang('j')))
    submit(coordinator, 1.0, make_job('j'), 't1')
    run_ticks(coordinator, FIRST_DECISION_S, 1.0)
    cancel = gang_messages.CancelJob('j', 'cancelled')
    outputs = coordinator.receive(FIRST_DECISION_S + 1, 'owner', cancel)
    stop = ('a0', gang_messages.StopGang('t1', 'cancelled', 0.0))
    assert list_sent_messages(outputs, gang_messages.StopGang) == [stop]
    repeated = run_ticks(
        coordinator,
        FIRST_DECISION_S + 1.1,
        region_coordinators.STOP_RESEND_INTERVAL_S,
    )
    assert list_sent_messages(repeated, gang_messages.StopGang) == [stop]
    coordinator.set_agent(FIRST_DECISION_S + 4, make_state(0, sequence=2))
    assert not list_sent_messages(
        run_ticks(coordinator, FIRST_DECISION_S + 4, 9.0),
        gang_messages.StopGang,
    )


def test_job_that_can_never_run_is_refused():
    """Guards against queueing a job forever that can never run.

    The owner of the job must also be notified of the refusal.
    """
    impossible_job = make_job('never', ACCELERATORS + 1)
    coordinator = make_coordinator()
    submit(coordinator, 1.0, impossible_job)
    assert ('never', 'refused') in list_job_updates(
        run_ticks(coordinator, FIRST_DECISION_S, 1.0)
    )
    assert ('never', 'refused') in list_job_updates(
        submit(coordinator, FIRST_DECISION_S + 1, impossible_job)
    )


def test_cancellation_while_placing_releases_everything():
    """Guards against accelerators that a cancelled placement keeps in use."""
    coordinator = make_coordinator()
    submit(coordinator, 1.0, make_job('j'))
    outputs = run_ticks(coordinator, FIRST_DECISION_S, 0.2)
    [(_, agent)] = list_placements(outputs)
    cancel = gang_messages.CancelJob('j', 'cancelled')
    outputs = coordinator.receive(FIRST_DECISION_S + 0.2, 'owner', cancel)
    assert agent in [
        to for to, _ in list_sent_messages(outputs, gang_messages.StopGang)
    ]
    assert coordinator.get_snapshot(FIRST_DECISION_S + 0.2).used == 0
    assert not list_placements(
        run_ticks(coordinator, FIRST_DECISION_S + 0.3, 5.0)
    )


def test_cancellation_before_the_first_decision_is_kept():
    """Guards against placing a job cancelled before the first decision."""
    coordinator = make_coordinator()
    submit(coordinator, 1.0, make_job('waiting'))
    submit(coordinator, 1.0, make_job('granted'), 't9')
    for name in ('waiting', 'granted'):
        coordinator.receive(
            1.5, 'owner', gang_messages.CancelJob(name, 'cancelled')
        )
    assert not list_placements(run_ticks(coordinator, FIRST_DECISION_S, 3.0))


def test_rival_coordinators_complete_their_placements():
    """Guards against rival coordinators disturbing each other's placement.

    Both coordinators place the same job. The agents refuse the reservation of
    the second one; the placement of the first one must stay unchanged.
    """
    one, two = make_coordinator(name='e1'), make_coordinator(name='e2')
    attempts = []
    for coordinator in (one, two):
        submit(coordinator, 1.0, make_job('j'))
        outputs = run_ticks(coordinator, FIRST_DECISION_S, 0.2)
        attempts.append(list_sent_messages(outputs, gang_messages.Reserve)[0])
    (agent, first), (other, second) = attempts
    assert first.attempt != second.attempt
    refusal = gang_messages.ReserveRefused(second.attempt, 'taken', 1)
    two.receive(FIRST_DECISION_S + 0.3, other, refusal)
    outputs = run_ticks(two, FIRST_DECISION_S + 0.3, 1.0)
    placed_attempts = list_attempts(outputs)
    assert second.attempt not in placed_attempts
    two.set_active(FIRST_DECISION_S + 1.5, False)
    # A coordinator that became inactive completes the placement in progress
    # and begins no other one.
    outputs = run_ticks(two, FIRST_DECISION_S + 1.5, 10.0)
    assert list_attempts(outputs) <= placed_attempts
    assert not list_attempts(run_ticks(two, FIRST_DECISION_S + 11.5, 10.0))
    assert one.get_snapshot(FIRST_DECISION_S + 1).used == 4
    assert one.receive(FIRST_DECISION_S + 1, agent, refusal) == []
    assert one.get_snapshot(FIRST_DECISION_S + 1).used == 4

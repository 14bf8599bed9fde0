"""Two members of a gang fail in one run of it, on two bad workers."""

from __future__ import annotations

import asyncio
import pathlib

from review import fleet as fleets

JOB = 'bbbbbbbbbbbbbbb2'
GANG_WORK = 'gang'
GANG_SIZE = 4
ATTEMPTS = 2

# Number of workers, of which two are bad for some seconds: an eighth.
WORKERS = 16


def get_work(spec):
    """Return how long the gang works once all its members are there."""
    return 4.0


async def play(fleet):
    """Hand a gang in while two workers fail all that they start."""
    fleet.write_configuration(attempts=ATTEMPTS)
    fleet.cluster.gangs[GANG_WORK] = GANG_SIZE
    profiles = [{} for _ in range(WORKERS - 4)]
    profiles += [{'labels': ['b', 'r1-9']} for _ in range(4)]
    await fleet.start(2, profiles)
    bad = [machine.worker for machine in fleet.machines[-4:]]
    if fleets.has_trouble():
        for worker in bad[:2]:
            worker.is_bad = True
            worker.note('fails all that it starts')
    step = {
        'count': GANG_SIZE,
        'cpu': 64000,
        'memMb': 65536,
        'gpu': 8,
        'estimateMs': 4000,
        'gang': True,
        'constraints': 'b',
    }
    body = {'spec': GANG_WORK, 'steps': [step]}
    if not await fleet.submit(JOB, body):
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(1.0)
    for worker in bad[:2]:
        worker.is_bad = False
    state = ''
    for _ in range(40):
        await asyncio.sleep(0.5)
        state = await fleet.show(JOB)
        if state in ('completed', 'failed', 'canceled'):
            break
    # A gang has failed as often as it had runs with a member that failed.
    failed_runs = {
        row['run']
        for row in fleet.record.events
        if row['event'] == 'end' and row['how'] == 'failed'
    }
    fleet.record.log('seen', state=state, failed_runs=sorted(failed_runs))
    if state == 'failed':
        return len(failed_runs) >= ATTEMPTS
    return state == 'completed'


fleets.run(pathlib.Path(__file__).parent, get_work, play)

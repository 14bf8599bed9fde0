"""A large job with a long spec comes beside ordinary ones."""

from __future__ import annotations

import asyncio
import pathlib

from review import fleet as fleets

# Work items of the large job and bytes of its spec; the pages allow 4,000.
ITEMS = 1500
SPEC_BYTES = 4000
SHORT_SPEC_BYTES = 40
LARGE_JOB = 'ddddddddddddddd4'

ORDINARY_JOBS = 20
LARGE_AT = 5
WORKERS = 4
ITEM_CPU = 80
ORDINARY_CPU = 1000
MAX_USED = 128000 * WORKERS / 2

# Time after the end of the traffic at which jobs are asked for, and time for
# which a job may have nothing running while there is room, in seconds.
FINISH_S = 14.0
IDLE_S = 3.0


def get_work(spec):
    """Return how long a work item works."""
    return 1.0


def count_used(fleet):
    """Return the processor capacity in use on all workers."""
    return sum(
        ORDINARY_CPU if run.spec == 'ordinary' else ITEM_CPU
        for machine in fleet.machines
        for run in machine.worker.runs.values()
    )


def list_running(fleet):
    """Return the jobs of which something runs."""
    return {
        task.split('.')[0]
        for machine in fleet.machines
        for task in machine.worker.runs
    }


async def play(fleet):
    """Hand the large job in beside ordinary ones."""
    fleet.write_configuration()
    await fleet.start(2, [{} for _ in range(WORKERS)])
    accepted = []
    for index in range(ORDINARY_JOBS):
        if index == LARGE_AT:
            size = SPEC_BYTES if fleets.has_trouble() else SHORT_SPEC_BYTES
            step = {
                'count': ITEMS,
                'cpu': ITEM_CPU,
                'memMb': 64,
                'estimateMs': 1000,
            }
            body = {'spec': 'x' * size, 'steps': [step]}
            if not await fleet.submit(LARGE_JOB, body):
                raise RuntimeError('the large job was not accepted')
            accepted.append(LARGE_JOB)
        job = f'{index:016x}'
        step = {
            'count': 1,
            'cpu': ORDINARY_CPU,
            'memMb': 512,
            'estimateMs': 1000,
        }
        body = {'spec': 'ordinary', 'steps': [step]}
        if await fleet.submit(job, body):
            accepted.append(job)
        await asyncio.sleep(1.0)
    await asyncio.sleep(FINISH_S)
    fleet.record.log('jobs are asked for')
    idle = set()
    for job in accepted:
        if await fleet.show(job) != 'completed':
            idle.add(job)
    since = fleet.record.get_time()
    most_used = 0
    while fleet.record.get_time() - since < IDLE_S:
        idle -= list_running(fleet)
        most_used = max(most_used, count_used(fleet))
        await asyncio.sleep(0.02)
    for job in list(idle):
        if await fleet.show(job) == 'completed':
            idle.discard(job)
    fleet.record.log('seen', idle=sorted(idle), most_used=most_used)
    return not (idle and most_used < MAX_USED)


fleets.run(pathlib.Path(__file__).parent, get_work, play)

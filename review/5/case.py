"""A late start reaches the next process of a worker that keeps its id."""

from __future__ import annotations

import asyncio
import pathlib

from review import fleet as fleets

JOB = '8888888888888888'
WORKERS = 6
ATTEMPTS = 4
WORK_S = 12.0

# Seconds after which the late start is carried out; of work after which the
# first run fails by its own fault; and for which the worker is down.
DELAY_S = 8.0
FAILS_AFTER_S = 1.5
DOWN_S = 3.0


def get_work(spec):
    """Return how long a work item works."""
    return WORK_S


def list_overlaps(events):
    """Return the times at which a run began beside another of its item."""
    running = {}
    overlaps = []
    for row in events:
        match row['event']:
            case 'start':
                if running:
                    overlaps.append(row['t'])
                running[row['worker'], row['run']] = row['t']
            case 'end':
                running.pop((row['worker'], row['run']), None)
            case 'worker crashed':
                for key in list(running):
                    if key[0] == row['worker']:
                        del running[key]
    return overlaps


async def play(fleet):
    """Delay the first start call, and crash its worker before it is due."""
    fleet.write_configuration(attempts=ATTEMPTS)
    fleet.cluster.fails_after = FAILS_AFTER_S
    fleet.cluster.faulty_runs.add(1)
    await fleet.start(2, [{} for _ in range(WORKERS)])
    if fleets.has_trouble():
        for machine in fleet.machines:
            machine.delay = DELAY_S
    step = {
        'count': 1,
        'cpu': 2000,
        'memMb': 1024,
        'gpu': 1,
        'estimateMs': int(1000 * WORK_S),
    }
    body = {'spec': 'scan', 'steps': [step]}
    if not await fleet.submit(JOB, body):
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(1.0)
    starts = [row for row in fleet.record.events if row['event'] == 'start']
    (first,) = starts
    for machine in fleet.machines:
        machine.delay = None
        if machine.name == first['machine']:
            chosen = machine
    await asyncio.sleep(DELAY_S - DOWN_S / 2 - 1.0)
    if fleets.has_trouble():
        former_id = chosen.worker.id
        await chosen.crash()
        await asyncio.sleep(DOWN_S)
        chosen.start(former_id)
    await asyncio.sleep(WORK_S)
    overlaps = list_overlaps(fleet.record.events)
    fleet.record.log('seen', overlaps=overlaps)
    return not overlaps


fleets.run(pathlib.Path(__file__).parent, get_work, play)

"""A client cancels a job whose submissions got no result."""

from __future__ import annotations

import asyncio
import pathlib

from review import fleet as fleets

JOB = 'eeeeeeeeeeeeeee5'
WORK_S = 30.0
LONG_WORK = 'long'

# Time after which writes without an answer are carried out, longest time for
# which answers are lost, in seconds, and largest share of the writes.
DELAY_S = 5.8
LONGEST_LOSS_S = 4.5
MAX_LOST_SHARE = 0.35

# Ordinary jobs handed in beside each try; their writes are answered.
ORDINARY_JOBS = 8
WORKERS = 4
TRIES = 2

# Time after an ack, with no disturbance near, after which nothing of a
# cancelled job may run, in seconds.
CONTACT_S = fleets.BOUNDS['contactMs'] / 1000
CANCEL_S = fleets.BOUNDS['cancel_ms'] / 1000
STOP_S = fleets.BOUNDS['stopMs'] / 1000


def get_work(spec):
    """Return how long a work item works."""
    return WORK_S if spec == LONG_WORK else 1.0


def make_body(spec):
    """Return the body of a job of one work item."""
    step = {
        'count': 1,
        'cpu': 1000,
        'memMb': 512,
        'estimateMs': int(1000 * get_work(spec)),
    }
    return {'spec': spec, 'steps': [step]}


async def play(fleet):
    """Hand a job in while answers are lost, and cancel it."""
    fleet.write_configuration()
    await fleet.start(2, [{} for _ in range(WORKERS)])
    fleet.store.writes = [0, 0]
    lost_since = fleet.record.get_time()
    if fleets.has_trouble():
        fleet.store.late_keys[f'damaskpin/jobs/{JOB}'] = DELAY_S
        fleet.record.log('answers of the store are lost')
    await hand_in(fleet)
    fleet.store.late_keys.clear()
    lost_until = fleet.record.get_time()
    writes, lost = fleet.store.writes
    fleet.record.log('answers arrive again', writes=writes, lost=lost)
    if lost_until - lost_since > LONGEST_LOSS_S:
        raise RuntimeError('answers were lost for too long')
    if lost > MAX_LOST_SHARE * writes:
        raise RuntimeError('too many answers were lost')
    acked_at = await cancel(fleet)
    # The last late write is carried out by then.
    calm_since = max(acked_at, lost_until)
    if fleets.has_trouble():
        calm_since = max(calm_since, lost_until + DELAY_S)
    gone_by = calm_since + CONTACT_S + CANCEL_S + STOP_S
    fleet.record.log('cancelled', acked_at=acked_at, gone_by=gone_by)
    await asyncio.sleep(gone_by + 0.5 - fleet.record.get_time())
    running = [
        task
        for machine in fleet.machines
        for task in machine.worker.runs
        if task.startswith(JOB)
    ]
    state = await fleet.show(JOB)
    fleet.record.log('seen', running=running, state=state)
    return not running


async def hand_in(fleet):
    """Hand the job in, and again after a 504, beside ordinary jobs."""
    others = []
    for number in range(TRIES):
        for index in range(ORDINARY_JOBS):
            job = f'{number:08x}{index:08x}'
            others.append(
                asyncio.ensure_future(fleet.submit(job, make_body('short')))
            )
        status, _ = await fleet.call('POST', JOB, make_body(LONG_WORK))
        if status not in (0, 502, 504):
            break
        await asyncio.sleep(0.3)
    await asyncio.gather(*others)


async def cancel(fleet):
    """Cancel the job until that is acknowledged; return the time."""
    for _ in range(10):
        status, _ = await fleet.call('DELETE', JOB)
        if status in (200, 410):
            return fleet.record.get_time()
        await asyncio.sleep(0.3)
    raise RuntimeError('the cancel was not acknowledged')


fleets.run(pathlib.Path(__file__).parent, get_work, play)

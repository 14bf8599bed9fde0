"""A long run, whose machine is suspended at the end of a cut."""

import asyncio
import dataclasses
import signal
import time

from review.second import client as clients
from review.second import fleet as fleets
from review.second import runs
from review.second import script

FIRST_JOB = '00000000000000a0'
JOB = '00000000000000a1'

# Longest standstill of the site file, in seconds.
STANDSTILL_S = 4.0

# Time in seconds that is observed after the standstill.
OBSERVED_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Times of the disruptions in seconds.

    :ivar cuts_worker: whether the worker is cut off from all machines, or else
        the machine from all others.
    :ivar cut: length of the cut.
    :ivar standstill_begins: time after the begin of the cut at which the
        machine is suspended.
    """

    cuts_worker: bool
    cut: float
    standstill_begins: float


async def play(plan, record, folder):
    """Play a case and return how the rule was broken, if it was."""
    fleet = fleets.Fleet(folder, record, entries=3, sides=6)
    try:
        await fleet.start()
        resumed = await play_on(fleet, plan)
    finally:
        await fleet.close()
    events = fleet.read_worker_events()
    runs.record_events(record, events)
    return find_overlap(runs.list_runs(events), resumed)


async def play_on(fleet, plan):
    """Run a long job, and disturb the machine that runs it.

    :returns: time at which the machine works again.
    """
    client = clients.Client(fleet)
    step = {
        'count': 1,
        'cpu': 52000,
        'memMb': 1000,
        'gpu': 8,
        'estimateMs': 60000,
    }
    await client.submit(FIRST_JOB, [{**step, 'estimateMs': 200}], 200)
    await client.wait_for_state(FIRST_JOB, 'completed', 20)
    await client.submit(JOB, [step], 60000)
    machine = await clients.wait_for(
        lambda: find_machine(fleet), 10, 'no worker runs the job'
    )
    await asyncio.sleep(3.0)
    began = time.monotonic()
    if script.has_trouble() and plan.cuts_worker:
        fleet.cut_worker(machine)
    elif script.has_trouble():
        fleet.cut(machine)
    await asyncio.sleep(plan.standstill_begins)
    if script.has_trouble():
        machine.daemon.send(signal.SIGSTOP)
        machine.worker.send(signal.SIGSTOP)
        fleet.record.write('suspended', machine=machine.name)
    await asyncio.sleep(began + plan.cut - time.monotonic())
    fleet.heal()
    await asyncio.sleep(
        began + plan.standstill_begins + STANDSTILL_S - time.monotonic()
    )
    resumed = time.monotonic()
    machine.daemon.send(signal.SIGCONT)
    machine.worker.send(signal.SIGCONT)
    fleet.record.write('resumed', machine=machine.name)
    await asyncio.sleep(OBSERVED_S)
    return resumed


def find_machine(fleet):
    """Return the machine whose worker runs the job."""
    for run in runs.list_runs(fleet.read_worker_events()):
        if run.task.startswith(JOB):
            return fleet.sides[int(run.worker.removeprefix('i-'), 16)]
    return None


def find_overlap(known, resumed):
    """Return which two runs of the job were at work at the same time.

    The time of the standstill is left out, as a run does not work then.
    """
    found = [run for run in known if run.task.startswith(JOB)]
    for first in found:
        for second in found:
            if first.number >= second.number:
                continue
            begin = max(first.began, second.began, resumed)
            end = min(first.ended, second.ended)
            if end > begin:
                return (
                    f'TWICE: run {first.number} on {first.worker} and run '
                    f'{second.number} on {second.worker} of {first.task} '
                    f'work at the same time for {end - begin:.2f} s'
                )
    return ''

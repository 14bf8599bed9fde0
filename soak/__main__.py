"""Runs the soak: ``python -m soak --seeds 50 --seconds 20``."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import signal
import tempfile
import time

import fire

from soak import callers as callers_module
from soak import fleet as fleets
from soak import oracle as oracles

ENTRIES = 2
AGENTS = 3

# All work is done this long after the last fault, at the latest: a grant of
# 13.5 s, a new coordinator and the work itself.
SETTLE_S = 40.0

# Share of the jobs that are cancelled.
CANCEL_SHARE = 0.15

FAULTS = (
    'kill',
    'terminate',
    'pause',
    'store_busy',
    'store_silent',
    'store_lost',
    'compact',
    'proxy_delay',
    'proxy_silent',
    'proxy_one_way',
    'proxy_reset',
    'peer_delay',
    'peer_silent',
    'peer_one_way',
    'peer_reset',
    'config',
    'series',
    'herd',
    'worker_crash',
    'worker_late',
    'worker_cut',
)


async def inject(fleet, rng):
    """Cause one fault."""
    name = rng.choice(FAULTS)
    program = rng.choice(fleet.entries + fleet.agents)
    agent = rng.choice(fleet.agents)
    match name:
        case 'kill':
            program.kill()
        case 'terminate':
            program.send(signal.SIGTERM)
        case 'pause':
            program.send(signal.SIGSTOP)
        case 'store_busy' | 'store_silent':
            fleet.store.outage = name.removeprefix('store_')
        case 'store_lost':
            fleet.store.lost = 0.4
        case 'compact':
            fleet.store.compact()
        case 'proxy_delay' | 'proxy_silent' | 'proxy_one_way':
            program.store_proxy.mode = name.removeprefix('proxy_')
        case 'peer_delay' | 'peer_silent' | 'peer_one_way':
            program.peer_proxy.mode = name.removeprefix('peer_')
        case 'peer_reset':
            program.peer_proxy.reset()
        case 'config':
            fleet.change_config()
        case 'series':
            fleet.series.append(asyncio.ensure_future(roll(fleet, rng)))
        case 'herd':
            for other in fleet.entries + fleet.agents:
                if rng.random() < 0.6:
                    other.kill()
        case 'proxy_reset':
            program.store_proxy.reset()
        case 'worker_crash':
            fleet.restart_worker(agent)
        case 'worker_late':
            fleet.workers[agent.name].late = 0.4
        case 'worker_cut':
            fleet.worker_proxies[agent.name].mode = 'silent'
    return f'{name} {program.name} {agent.name}'


async def roll(fleet, rng):
    """Stop entries and agents one after the other, each twice."""
    for program in fleet.entries + fleet.agents:
        for number in (signal.SIGTERM, signal.SIGKILL):
            program.send(number)
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            program.start()


async def run_seed(seed, seconds, folder):
    """Run one seed; returns the violations."""
    rng = random.Random(seed)
    durations = {}
    oracle = oracles.Oracle(rng)
    width = fleets.LAST_PORT - fleets.FIRST_PORT
    first = fleets.FIRST_PORT + seed * 97 % width
    fleet = fleets.Fleet(folder, oracle, durations, first)
    callers = callers_module.Callers(fleet, rng, durations, oracle)
    trace = []
    try:
        await fleet.start(ENTRIES, AGENTS)
        await asyncio.sleep(2.0)
        ends = time.monotonic() + seconds
        hand_ins = []
        while time.monotonic() < ends:
            cancel = rng.random() < CANCEL_SHARE
            hand_ins.append(asyncio.ensure_future(callers.hand_in(cancel)))
            if rng.random() < 0.6:
                trace.append(await inject(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            if rng.random() < 0.3:
                fleet.heal()
        await asyncio.gather(*hand_ins, *fleet.series)
        fleet.heal()
        await settle(fleet, callers, oracle)
        oracle.check_refused(callers.refused)
    finally:
        await fleet.close()
    print(
        f'seed {seed}: {oracle.starts} starts, {len(callers.accepted)} '
        f'accepted, {len(callers.refused)} refused, '
        f'{len(trace)} faults, {len(oracle.violations)} violations',
        flush=True,
    )
    for violation in oracle.violations:
        print(f'  {violation}', flush=True)
    if oracle.violations:
        print(f'  faults: {trace}; logs: {folder}', flush=True)
    return oracle.violations


async def settle(fleet, callers, oracle):
    """Wait until all accepted work is done."""
    ends = time.monotonic() + SETTLE_S
    left = set()
    while time.monotonic() < ends:
        fleet.heal()
        left = await callers.list_open()
        if not left:
            return
        await asyncio.sleep(0.5)
    for job in left:
        oracle.violations.append(f'not done in time: {job}')


def main(seeds=5, first=1, seconds=15.0, keep=''):
    """Run the soak.

    :param seeds: number of seeds.
    :param first: first seed.
    :param seconds: time of faults in each run.
    :param keep: folder for the logs; a temporary one if empty.
    """
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    failed = []
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(keep or scratch) / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            if asyncio.run(run_seed(seed, seconds, folder)):
                failed.append(seed)
    print(f'{seeds - len(failed)} of {seeds} seeds passed, failed: {failed}')
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)

"""Command line of the soak test.

Example: ``python -m soak --seeds 50 --seconds 20``.
"""

from __future__ import annotations

import asyncio
import logging
import pathlib
import random
import signal
import tempfile
import time

import fire

from soak import callers
from soak import fleet as fleets
from soak import oracle as oracles

ENTRY_COUNT = 2
AGENT_COUNT = 3

# Accepted jobs must end within this time after the last fault. It covers the
# expiry of a grant (13.5 s), the election of a coordinator and the job's run.
COMPLETION_TIMEOUT_S = 40.0

# Share of the accepted jobs that the soak test cancels.
CANCEL_SHARE = 0.15

FAULT_NAMES = (
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


async def inject_fault(fleet, rng):
    """Inject a random fault and return its name and the processes drawn."""
    name = rng.choice(FAULT_NAMES)
    daemon = rng.choice(fleet.entries + fleet.agents)
    agent = rng.choice(fleet.agents)
    match name:
        case 'kill':
            daemon.kill()
        case 'terminate':
            daemon.send_signal(signal.SIGTERM)
        case 'pause':
            daemon.send_signal(signal.SIGSTOP)
        case 'store_busy' | 'store_silent':
            fleet.store.outage = name.removeprefix('store_')
        case 'store_lost':
            fleet.store.lost_answer_share = 0.4
        case 'compact':
            fleet.store.compact()
        case 'proxy_delay' | 'proxy_silent' | 'proxy_one_way':
            daemon.store_proxy.mode = name.removeprefix('proxy_')
        case 'peer_delay' | 'peer_silent' | 'peer_one_way':
            daemon.peer_proxy.mode = name.removeprefix('peer_')
        case 'peer_reset':
            daemon.peer_proxy.reset()
        case 'config':
            fleet.change_config()
        case 'series':
            fleet.rolling_restarts.append(
                asyncio.ensure_future(restart_all_daemons(fleet, rng))
            )
        case 'herd':
            for other in fleet.entries + fleet.agents:
                if rng.random() < 0.6:
                    other.kill()
        case 'proxy_reset':
            daemon.store_proxy.reset()
        case 'worker_crash':
            fleet.restart_worker(agent)
        case 'worker_late':
            fleet.workers[agent.name].late_answer_share = 0.4
        case 'worker_cut':
            fleet.worker_proxies[agent.name].mode = 'silent'
    return f'{name} {daemon.name} {agent.name}'


async def restart_all_daemons(fleet, rng):
    """Restart each entry and agent in turn: by SIGTERM, then by SIGKILL."""
    for daemon in fleet.entries + fleet.agents:
        for signum in (signal.SIGTERM, signal.SIGKILL):
            daemon.send_signal(signum)
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            daemon.start()


async def run_seed(seed, seconds, folder):
    """Run the soak test with one seed and return the violations found."""
    rng = random.Random(seed)
    durations = {}
    oracle = oracles.Oracle(rng)
    port_count = fleets.LAST_PORT - fleets.FIRST_PORT
    first_port = fleets.FIRST_PORT + seed * 97 % port_count
    fleet = fleets.Fleet(folder, oracle, durations, first_port)
    job_client = callers.JobClient(fleet, rng, durations, oracle)
    injected_faults = []
    try:
        await fleet.start(ENTRY_COUNT, AGENT_COUNT)
        await asyncio.sleep(2.0)
        faults_end = time.monotonic() + seconds
        submissions = []
        while time.monotonic() < faults_end:
            cancel = rng.random() < CANCEL_SHARE
            submissions.append(
                asyncio.ensure_future(job_client.submit_job(cancel))
            )
            if rng.random() < 0.6:
                injected_faults.append(await inject_fault(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            if rng.random() < 0.3:
                fleet.clear_faults()
        await asyncio.gather(*submissions, *fleet.rolling_restarts)
        fleet.clear_faults()
        await wait_until_complete(fleet, job_client, oracle)
        oracle.check_failed(job_client.failed, fleets.ATTEMPTS)
        oracle.check_refused(job_client.refused)
        oracle.check_withdrawn(job_client.withdrawn)
    finally:
        await fleet.close()
    print(
        f'seed {seed}: {oracle.start_count} starts, '
        f'{len(job_client.accepted)} accepted, '
        f'{len(job_client.refused)} refused, '
        f'{len(job_client.withdrawn)} withdrawn, '
        f'{len(job_client.failed)} failed, '
        f'{oracle.failures.count_shared_runs()} shared failures, '
        f'{len(injected_faults)} faults, {len(oracle.violations)} violations',
        flush=True,
    )
    for violation in oracle.violations:
        print(f'  {violation}', flush=True)
    if oracle.violations:
        print(f'  faults: {injected_faults}; logs: {folder}', flush=True)
    return oracle.violations


async def wait_until_complete(fleet, job_client, oracle):
    """Wait until all accepted jobs have ended, and report the others."""
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    unfinished = set()
    while time.monotonic() < deadline:
        fleet.clear_faults()
        unfinished = await job_client.list_unfinished()
        if not unfinished:
            return
        await asyncio.sleep(0.5)
    for job in unfinished:
        oracle.violations.append(f'accepted job without a final state: {job}')


def main(seeds=5, first=1, seconds=15.0, keep=''):
    """Run the soak test with consecutive seeds.

    :param seeds: number of seeds.
    :param first: first seed.
    :param seconds: seconds during which faults are injected with each seed.
    :param keep: folder that keeps the daemon logs; empty for a temporary one.
    """
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    failed_seeds = []
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(keep or scratch) / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            if asyncio.run(run_seed(seed, seconds, folder)):
                failed_seeds.append(seed)
    print(
        f'{seeds - len(failed_seeds)} of {seeds} seeds passed, '
        f'failed: {failed_seeds}'
    )
    raise SystemExit(1 if failed_seeds else 0)


if __name__ == '__main__':
    fire.Fire(main)

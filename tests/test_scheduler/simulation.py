"""Discrete-event simulation of the scheduler at its design size.

``python -m tests.test_scheduler.simulation --seeds 3`` prints the CPU
time of the decisions and the waiting times of the jobs of one day.
``--set borrowing.MAX_MOVED_SHARE=0`` changes a constant of a scheduler module.
"""

import argparse
import heapq
import importlib
import random
import statistics
import time

from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.scheduler import decisions
from damaskpin.scheduler import scheduler as schedulers

DAY = 86_400.0
STOP_SECONDS = 2.5


def make_config(accounts=37, guaranteed_share=0.5, seed=0):
    """Make 3 regions, 12 data centres, 1,500 workers, 3,600 accelerators."""
    rng = random.Random(seed)
    racks = []
    for centre in range(12):
        # 25 racks of 5 workers with 2 or 4 accelerators: 300 in total.
        for index in range(25):
            racks.append(
                configs.Rack(
                    name=f'k{index}',
                    data_centre=f'd{centre}',
                    region=f'r{centre // 4}',
                    workers=5,
                    accelerators=4 if index < 5 else 2,
                )
            )
    total = 3600 * guaranteed_share
    accounts_made = []
    for index in range(accounts):
        shapes = []
        budget = int(total / accounts)
        region = f'r{index % 3}'
        sizes = [
            (2, 'worker'),
            (8, 'rack'),
            (32, 'data_centre'),
        ]
        if index % 9 == 0:
            sizes.append((64, 'data_centre'))
        for size, level in reversed(sizes):
            count = min(3, budget // size)
            if not count:
                continue
            budget -= size * count
            shapes.append(
                configs.Guarantee(
                    name=f's{size}',
                    accelerators=size,
                    adjacency=hardware.Adjacency(level),
                    count=count,
                    region=region,
                )
            )
        accounts_made.append(
            configs.Account(
                name=f'a{index}',
                token_sha256='0' * 64,
                weight=rng.choice([1.0, 2.0]),
                quota=400,
                max_queued=2000,
                guarantees=shapes,
            )
        )
    return configs.Config(
        accounts=accounts_made, racks=racks, failed_workers=1
    )


def make_workers(config):
    """Make the workers of the configured racks."""
    return [
        hardware.Worker(
            f'{rack.data_centre}-{rack.name}-{index}',
            rack.region,
            rack.data_centre,
            rack.name,
            rack.accelerators,
        )
        for rack in config.racks
        for index in range(rack.workers)
    ]


def make_day_of_jobs(config, count, seed, load=1.0):
    """Make the jobs of one day: (submission time, job, actual run time)."""
    rng = random.Random(seed)
    day = []
    for index in range(count):
        size = rng.choice([1] * 8 + [2] * 4 + [4, 8, 16, 16, 32, 64, 128])
        level = 'worker' if size <= 2 else 'data_centre'
        if size in (4, 8):
            level = 'rack'
        seconds = load * min(rng.lognormvariate(9.0, 1.0), DAY)
        declared = seconds * 10 ** rng.uniform(-1, 1)
        declared = min(max(declared, 1.0), jobs.MAX_RUN_SECONDS)
        spec = jobs.JobSpec(
            accelerators=size,
            adjacency=hardware.Adjacency(level),
            run_seconds=declared,
            priority=jobs.Priority(rng.choice([1, 2, 2, 2, 2, 3])),
        )
        account = rng.choice(config.accounts).name
        when = rng.uniform(0, DAY)
        day.append((when, jobs.Job(f'j{index}', account, spec), seconds))
    return sorted(day, key=lambda item: item[0])


class Simulation:
    """Runs a scheduler on jobs whose actual run times are known."""

    def __init__(self, config, seed=0):
        self.config = config
        self.scheduler = schedulers.Scheduler(config, random.Random(seed))
        self.longest_call = 0.0
        self.cpu_seconds = 0.0
        self.calls = 0
        self.reclaims = 0
        self.waits = {}
        self.completions = []
        self.remaining_seconds = {}
        self.submitted_jobs = {}
        self.running = {}
        self.events = []
        self.count = 0

    def call(self, function, *args):
        started_at = time.process_time()
        result = function(*args)
        duration = time.process_time() - started_at
        self.cpu_seconds += duration
        self.calls += 1
        self.longest_call = max(self.longest_call, duration)
        return result

    def push_event(self, when, kind, item):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, kind, item))

    def run(self, day, until):
        for worker in make_workers(self.config):
            self.call(self.scheduler.set_worker, 0.0, worker)
        for when, job, seconds in day:
            self.push_event(when, 'submit', (job, seconds))
        while self.events and self.events[0][0] <= until:
            now, _, kind, item = heapq.heappop(self.events)
            self.handle_event(now, kind, item)
            self.decide(now)

    def handle_event(self, now, kind, item):
        call, scheduler = self.call, self.scheduler
        if kind == 'submit':
            job, seconds = item
            if call(scheduler.submit, now, job) is None:
                self.submitted_jobs[job.id] = (now, job)
                self.remaining_seconds[job.id] = seconds
        elif kind == 'end':
            job_id, attempt = item
            if self.running.get(job_id, (0, 0))[1] != attempt:
                return
            del self.running[job_id]
            self.completions.append(now - self.submitted_jobs[job_id][0])
            outcome = decisions.Outcome(decisions.Result.SUCCEEDED)
            call(scheduler.finished, now, job_id, outcome)
        elif kind == 'stop':
            if item not in self.running:
                return
            started_at, _ = self.running.pop(item)
            self.remaining_seconds[item] -= now - started_at
            outcome = decisions.Outcome(decisions.Result.CHECKPOINTED)
            call(scheduler.finished, now, item, outcome)

    def decide(self, now):
        for _ in range(100):
            for decision in self.call(self.scheduler.decide, now):
                self.carry_out(now, decision)
            wakeup = self.scheduler.next_wakeup(now)
            if wakeup is None or wakeup > now:
                break
        else:
            raise AssertionError('decide() had work left after 100 calls')

    def carry_out(self, now, decision):
        match decision:
            case decisions.Place(job_id=job_id):
                self.count += 1
                self.running[job_id] = (now, self.count)
                submitted, job = self.submitted_jobs[job_id]
                size = job.spec.accelerators
                kind = 'large' if size >= 16 else 'small'
                if decision.guaranteed:
                    kind = 'guaranteed'
                if job_id not in self.waits:
                    self.waits[job_id] = (kind, now - submitted)
                self.call(self.scheduler.started, now, job_id, 'x')
                end = now + max(self.remaining_seconds[job_id], 0.1)
                self.push_event(end, 'end', (job_id, self.count))
            case decisions.Reclaim(job_id=job_id):
                self.reclaims += 1
                self.push_event(now + STOP_SECONDS, 'stop', job_id)


def get_percentile(values, share):
    """Return a percentile of values, or 0 if there are none."""
    ranked = sorted(values)
    return ranked[int(share * (len(ranked) - 1))] if ranked else 0.0


def main():
    """Simulate one day per seed and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--jobs', type=int, default=1900)
    parser.add_argument('--load', type=float, default=1.0)
    parser.add_argument('--set', action='append', default=[])
    options = parser.parse_args()
    for item in options.set:
        name, value = item.split('=')
        module, constant = name.split('.')
        changed = importlib.import_module(f'damaskpin.scheduler.{module}')
        assert hasattr(changed, constant)
        setattr(changed, constant, float(value))
    for seed in range(options.seeds):
        config = make_config(seed=seed)
        run = Simulation(config, seed)
        run.run(
            make_day_of_jobs(config, options.jobs, seed, options.load), DAY
        )
        text = f'seed {seed}: cpu {run.cpu_seconds:.2f} s, calls {run.calls}, '
        text += f'longest {run.longest_call * 1000:.0f} ms, '
        text += f'reclaims {run.reclaims}, done {len(run.completions)}'
        # Jobs that never started are counted with the time until the end of
        # the day.
        waits = {job_id: wait for job_id, (_, wait) in run.waits.items()}
        for job_id, (submitted, _) in run.submitted_jobs.items():
            waits.setdefault(job_id, DAY - submitted)
        large = {
            job_id
            for job_id, (_, job) in run.submitted_jobs.items()
            if job.spec.accelerators >= 16
        }
        for kind, chosen in (
            ('large', [w for j, w in waits.items() if j in large]),
            ('small', [w for j, w in waits.items() if j not in large]),
            ('guaranteed', [w for k, w in run.waits.values() if k[0] == 'g']),
        ):
            text += f', {kind} {len(chosen)}'
            text += f' mean {statistics.mean(chosen):.0f}'
            text += f' p95 {get_percentile(chosen, 0.95):.0f}'
        text += f', never started {len(run.submitted_jobs) - len(run.waits)}'
        if run.completions:
            text += f', mean {statistics.mean(run.completions):.0f} s'
        print(text)


if __name__ == '__main__':
    main()

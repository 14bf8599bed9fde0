"""Stateful fuzz tests of the scheduler against a simple model."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from damaskpin.model import config as configs
from damaskpin.model import hardware
from damaskpin.model import job as jobs
from damaskpin.scheduler import backfill
from damaskpin.scheduler import borrowing
from damaskpin.scheduler import cells
from damaskpin.scheduler import decisions
from damaskpin.scheduler import scheduler as schedulers
from damaskpin.scheduler import shapes

LEVELS = list(hardware.Adjacency)
RESULTS = [
    decisions.Result.SUCCEEDED,
    decisions.Result.FAILED,
    decisions.Result.LOST,
    decisions.Result.CHECKPOINTED,
]

SHAPES = st.builds(
    configs.Guarantee,
    name=st.just('shape'),
    accelerators=st.integers(1, 3) | st.integers(1, 8),
    adjacency=st.sampled_from(LEVELS),
    count=st.integers(1, 4),
    region=st.just('r'),
    data_centre=st.sampled_from([None, None, 'd0', 'd1']),
)


@st.composite
def make_configs(draw):
    """Make a feasible configuration of one region."""
    racks = []
    for centre in range(draw(st.integers(1, 2))):
        for index in range(draw(st.integers(1, 4))):
            racks.append(
                configs.Rack(
                    name=f'k{index}',
                    data_centre=f'd{centre}',
                    region='r',
                    workers=draw(st.integers(1, 3)),
                    accelerators=draw(st.integers(1, 6)),
                )
            )
    accounts = []
    for index in range(draw(st.integers(1, 3))):
        guarantees = draw(st.lists(SHAPES, max_size=1))
        guaranteed_accelerators = sum(
            g.accelerators * g.count for g in guarantees
        )
        accounts.append(
            configs.Account(
                name=f'a{index}',
                token_sha256='0' * 64,
                weight=draw(st.sampled_from([0.5, 1.0, 2.0])),
                quota=guaranteed_accelerators + draw(st.integers(0, 12)),
                guarantees=guarantees,
            )
        )
    config = configs.Config(
        accounts=accounts,
        racks=racks,
        failed_workers=draw(st.integers(0, 2)),
    )
    if cells.check_feasibility(config):
        # Remove the guarantees of one account after another, the largest
        # first, until the others fit.
        for index in sorted(
            range(len(accounts)),
            key=lambda i: sum(g.accelerators for g in accounts[i].guarantees),
            reverse=True,
        ):
            accounts[index] = configs.Account(
                name=f'a{index}', token_sha256='0' * 64, quota=16
            )
            config = configs.Config(
                accounts=list(accounts),
                racks=racks,
                failed_workers=config.failed_workers,
            )
            if not cells.check_feasibility(config):
                break
    return config


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Sends random events to a scheduler and checks its decisions.

    No more workers fail than the configuration allows, so a job that matches
    an unused guarantee must start once the reclaimed jobs have stopped.
    """

    exceeds_allowance = False

    def __init__(self):
        super().__init__()
        # The cells are small, so smaller gangs must count as large.
        self.saved_constants = (backfill.LARGE_GANG, borrowing.MIN_RUN_SECONDS)
        backfill.LARGE_GANG = 4
        borrowing.MIN_RUN_SECONDS = 5.0

    def teardown(self):
        backfill.LARGE_GANG, borrowing.MIN_RUN_SECONDS = self.saved_constants

    @stateful.initialize(config=make_configs(), seed=st.integers(0, 99))
    def start(self, config, seed):
        self.config = config
        self.now = 0.0
        self.accounts = {a.name: a for a in config.accounts}
        self.workers = {}
        for rack in config.racks:
            for index in range(rack.workers):
                name = f'{rack.data_centre}-{rack.name}-{index}'
                self.workers[name] = hardware.Worker(
                    name, 'r', rack.data_centre, rack.name, rack.accelerators
                )
        self.failed = set()
        self.jobs = {}
        self.queued = {}
        self.placed = {}
        self.stopping = {}
        self.count = 0
        self.seed = seed
        self.scheduler = self.make_scheduler()

    def make_scheduler(self):
        scheduler = schedulers.Scheduler(self.config, random.Random(self.seed))
        for worker in self.workers.values():
            scheduler.set_worker(self.now, worker)
        return scheduler

    @stateful.rule(data=st.data())
    def submit(self, data):
        account = data.draw(st.sampled_from(sorted(self.accounts)))
        spec = jobs.JobSpec(
            accelerators=data.draw(st.integers(1, 10)),
            adjacency=data.draw(st.sampled_from(LEVELS)),
            run_seconds=data.draw(st.sampled_from([1.0, 100.0, 5000.0])),
            priority=data.draw(st.sampled_from(list(jobs.Priority))),
            idempotent=data.draw(st.booleans()),
        )
        self.count += 1
        job = jobs.Job(f'j{self.count}', account, spec)
        refusal = self.scheduler.submit(self.now, job)
        assert self.scheduler.submit(self.now, job) is None or refusal
        if refusal is None:
            self.jobs[job.id] = job
            self.queued[job.id] = self.now

    @stateful.rule(
        account=st.integers(0, 2),
        sizes=st.lists(st.integers(1, 3), min_size=2, max_size=8),
    )
    def submit_burst(self, account, sizes):
        names = sorted(self.accounts)
        for size in sizes:
            spec = jobs.JobSpec(accelerators=size, run_seconds=100.0)
            self.count += 1
            job = jobs.Job(f'j{self.count}', names[account % len(names)], spec)
            if self.scheduler.submit(self.now, job) is None:
                self.jobs[job.id] = job
                self.queued[job.id] = self.now

    @stateful.rule(seconds=st.sampled_from([0.1, 10.0, 400.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule()
    def decide(self):
        for decision in self.scheduler.decide(self.now):
            match decision:
                case decisions.Place():
                    self.check_place(decision)
                case decisions.Reclaim():
                    self.check_reclaim(decision)
                case decisions.Warn():
                    assert self.exceeds_allowance, decision

    @stateful.precondition(lambda self: self.placed)
    @stateful.rule(data=st.data())
    def finish(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.placed)))
        self.end_job(job_id, data.draw(st.sampled_from(RESULTS)))

    @stateful.precondition(lambda self: self.placed)
    @stateful.rule(data=st.data(), fails=st.booleans())
    def start_job(self, data, fails):
        job_id = data.draw(st.sampled_from(sorted(self.placed)))
        if not fails:
            self.scheduler.started(self.now, job_id, f'{job_id}.1')
            return
        self.scheduler.placement_failed(self.now, job_id, 'refused')
        del self.placed[job_id]
        self.stopping.pop(job_id, None)
        self.queued[job_id] = self.now

    @stateful.precondition(lambda self: self.queued)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.queued)))
        self.scheduler.cancel(self.now, job_id)
        del self.queued[job_id]
        del self.jobs[job_id]

    @stateful.precondition(lambda self: self.placed)
    @stateful.rule(data=st.data())
    def cancel_placed(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.placed)))
        self.scheduler.cancel(self.now, job_id)
        self.end_job(job_id, decisions.Result.CANCELLED)

    @stateful.rule(data=st.data())
    def fail_worker(self, data):
        name = data.draw(st.sampled_from(sorted(self.workers)))
        centre = self.workers[name].data_centre
        failed = sum(
            self.workers[n].data_centre == centre for n in self.failed
        )
        if name in self.failed:
            return
        if not self.exceeds_allowance and failed >= self.config.failed_workers:
            return
        self.failed.add(name)
        self.scheduler.remove_worker(self.now, name)

    @stateful.precondition(lambda self: self.failed)
    @stateful.rule(data=st.data(), lost=st.booleans())
    def restore_worker(self, data, lost):
        name = data.draw(st.sampled_from(sorted(self.failed)))
        if lost:
            self.end_jobs_on_failed_workers()
        self.failed.remove(name)
        self.scheduler.set_worker(self.now, self.workers[name])

    @stateful.rule()
    def replace_coordinator(self):
        """Replace the scheduler and restore its state from reports."""
        self.end_jobs_on_failed_workers()
        self.scheduler = self.make_scheduler()
        for name in sorted(self.failed):
            self.scheduler.remove_worker(self.now, name)
        for job_id, (members, guaranteed) in self.placed.items():
            self.scheduler.restore(
                self.now,
                self.jobs[job_id],
                f'{job_id}.1',
                members,
                guaranteed,
                5.0,
            )
        for job_id in self.queued:
            assert self.scheduler.submit(self.now, self.jobs[job_id]) is None
        for job_id in list(self.stopping):
            self.end_job(job_id, decisions.Result.CHECKPOINTED)

    @stateful.rule()
    def meet_guarantees(self):
        """Stop all reclaimed jobs and check that unused guarantees start."""
        self.now += 60.0
        for _ in range(4):
            self.end_jobs_on_failed_workers()
            self.decide()
            for job_id in list(self.stopping):
                self.end_job(job_id, decisions.Result.CHECKPOINTED)
        for job_id in () if self.exceeds_allowance else self.queued:
            job = self.jobs[job_id]
            for shape in self.accounts[job.account].guarantees:
                in_use = sum(
                    guaranteed and self.jobs[other].account == job.account
                    for other, (_, guaranteed) in self.placed.items()
                )
                assert in_use >= shape.count or not shapes.matches(
                    shape, job.spec
                ), f'{job_id} waits although a matching guarantee is unused'

    @stateful.invariant()
    def check_counts(self):
        if not hasattr(self, 'scheduler'):
            return
        state = self.scheduler.get_snapshot(self.now)
        # The scheduler counts no more waiting jobs than were queued, and the
        # accelerators of exactly the placed jobs.
        assert sum(a.queued_jobs for a in state.accounts) <= len(self.queued)
        assert state.used == sum(
            self.jobs[j].spec.accelerators for j in self.placed
        )
        for job_id in self.queued:
            assert 'waits' in self.scheduler.explain(job_id)[-1]
        for account in self.accounts.values():
            used = sum(
                self.jobs[j].spec.accelerators
                for j in self.placed
                if self.jobs[j].account == account.name
            )
            assert used <= account.quota

    def check_place(self, place):
        job = self.jobs[place.job_id]
        assert place.job_id in self.queued
        taken = {
            (name, index)
            for members, _ in self.placed.values()
            for name, indexes in members
            for index in indexes
        }
        total = 0
        keys = set()
        for name, indexes in place.members:
            worker = self.workers[name]
            assert name not in self.failed
            keys.add(hardware.get_cell(worker, job.spec.adjacency))
            for index in indexes:
                assert 0 <= index < worker.accelerators
                assert (name, index) not in taken
                taken.add((name, index))
                total += 1
        assert total == job.spec.accelerators
        assert len(keys) == 1
        del self.queued[place.job_id]
        self.placed[place.job_id] = (place.members, place.guaranteed)

    def check_reclaim(self, reclaim):
        _, guaranteed = self.placed[reclaim.job_id]
        assert not guaranteed
        assert reclaim.job_id not in self.stopping
        self.stopping[reclaim.job_id] = True

    def end_jobs_on_failed_workers(self):
        for job_id, (members, _) in list(self.placed.items()):
            if any(name in self.failed for name, _ in members):
                self.end_job(job_id, decisions.Result.LOST)

    def end_job(self, job_id, result):
        self.scheduler.finished(self.now, job_id, decisions.Outcome(result))
        del self.placed[job_id]
        self.stopping.pop(job_id, None)
        idempotent = self.jobs[job_id].spec.idempotent
        if result is decisions.Result.CHECKPOINTED or (
            result is decisions.Result.LOST and idempotent
        ):
            self.queued[job_id] = self.now
        else:
            del self.jobs[job_id]


class ExcessMachine(SchedulerMachine):
    """Lets more workers fail than the configuration allows.

    ``TestSchedulerExcessFuzz`` runs this machine: the number of failed workers
    of a data centre may be in excess of the configured allowance.

    All checks except that of the guarantees apply. Guarantees must be met
    again when all workers have returned and no job runs.
    """

    exceeds_allowance = True

    @stateful.rule()
    def recover(self):
        self.end_jobs_on_failed_workers()
        for job_id in list(self.placed):
            self.end_job(job_id, decisions.Result.SUCCEEDED)
        for name in sorted(self.failed):
            self.scheduler.set_worker(self.now, self.workers[name])
        self.failed.clear()
        self.exceeds_allowance = True
        self.decide()
        try:
            self.exceeds_allowance = False
            self.meet_guarantees()
        finally:
            self.exceeds_allowance = True


TestSchedulerFuzz = SchedulerMachine.TestCase
TestSchedulerFuzz.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)
TestSchedulerExcessFuzz = ExcessMachine.TestCase
TestSchedulerExcessFuzz.settings = hypothesis.settings(
    suppress_health_check=list(hypothesis.HealthCheck)
)

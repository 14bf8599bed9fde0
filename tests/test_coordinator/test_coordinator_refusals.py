"""Tests of the pauses of workers that refuse to start work."""

from __future__ import annotations

import logging

import pytest

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW

# Seconds between two rounds of reports, about the time in which an order
# reaches a worker and the refusal comes back.
ROUND_S = 0.02

# Upper limits of the starts that one refusing worker gets in its first second
# and in each later one: one after each pause of 0.1, 0.2, 0.4, 0.8 and 1.6 s.
MAX_STARTS_IN_FIRST_SECOND = 4
MAX_STARTS_IN_LATER_SECOND = 1


class _Installation:
    """Configuration that guarantees each account the same accelerators."""

    def __init__(self, guarantee):
        self._guarantee = guarantee

    def get_guarantee(self, account):
        """Return the accelerators guaranteed to an account."""
        return self._guarantee


class _Play:
    """Rounds of reports from workers that accept or refuse all starts.

    :ivar refusing: reason with which a worker refuses, by its id.
    :ivar attempts: time, worker id and job id of each start order.
    :ivar began: time at which a sound worker began a job, by the job's id.
    """

    def __init__(self, workers=2, guarantee=0):
        self.ledger = builders.make_ledger(workers=workers, rack_size=2)
        self.coordinator = coordinators.Coordinator(
            'c', reports.FENCE, self.ledger, _Installation(guarantee)
        )
        self.now = NOW
        self.refusing = {}
        self.attempts = []
        self.began = {}
        self._ordered = set()

    def submit(self, job_id, *steps, **more):
        """Hand in a job."""
        return builders.submit(
            self.ledger, job_id, *steps, now=self.now, **more
        )

    def fill(self, *worker_ids):
        """Let workers run other work that takes all their accelerators."""
        for worker in self.ledger.workers.values():
            if worker.lifetime.worker not in worker_ids:
                worker.has_run_lists = False
        for worker_id in worker_ids:
            step = builders.make_step(accelerators=8, estimate=60.0)
            self.submit(f'filler-{worker_id}', step, priority=2)
        self.run(0.1)
        for worker in self.ledger.workers.values():
            worker.has_run_lists = True
        self.attempts.clear()

    def run(self, seconds):
        """Play rounds for some seconds."""
        for _ in range(round(seconds / ROUND_S)):
            self.now += ROUND_S
            self.coordinator.decide(
                self.now, builders.WALL + self.now - builders.NOW
            )
            for job in self.coordinator.list_unstored_jobs():
                reports.store(self.coordinator, job)
            for worker in list(self.ledger.workers.values()):
                self._report(worker)

    def count_attempts(self, begin, end, worker_id=None):
        """Return the number of start orders in a time since the begin."""
        return sum(
            begin <= time - NOW < end and worker_id in (None, ordered)
            for time, ordered, _ in self.attempts
        )

    def _report(self, worker):
        answer = self.coordinator.make_orders(worker)
        worker_id = worker.lifetime.worker
        reason = self.refusing.get(worker_id, '')
        started = []
        refused = [orders.RefusedRun(run, 'stopped') for run in answer.stops]
        for start in answer.starts:
            job_id = start.run.item.job
            if start.run not in self._ordered:
                self._ordered.add(start.run)
                self.attempts.append((self.now, worker_id, job_id))
            if reason:
                refused.append(orders.RefusedRun(start.run, reason))
                continue
            started.append(start.run)
            self.began[job_id] = self.now
        running = [
            work.RunningRun(run, '', 1.0)
            for run, placed in worker.runs.items()
            if run in started or (placed.confirmed and not placed.stop_reason)
        ]
        if worker.has_run_lists:
            reports.report(
                self.coordinator,
                worker,
                self.now,
                running=tuple(running),
                accepted=tuple(started),
                refused=tuple(refused),
            )


@pytest.mark.parametrize('reason', ['status 429', 'status 503', 'room'])
def test_work_goes_elsewhere_while_one_worker_refuses(reason):
    """Guards against a refusing worker that takes work from sound ones."""
    play = _Play(workers=4)
    play.refusing['w0'] = reason
    for index in range(12):
        play.submit(f'job-{index}', builders.make_step(accelerators=2))
    play.run(0.2)
    assert len(play.began) == 12
    assert play.count_attempts(0.0, 0.1, 'w0') <= 4, 'more than fit at once'


def test_refusing_worker_gets_few_starts_while_all_others_are_full():
    """Guards against starts that repeat at once on the same worker."""
    play = _Play(workers=2)
    play.fill('w1')
    play.refusing['w0'] = 'status 503'
    play.submit('job', builders.make_step(accelerators=2))
    begin = play.now - NOW
    play.run(6.0)
    first = play.count_attempts(begin, begin + 1.0, 'w0')
    assert 2 <= first <= MAX_STARTS_IN_FIRST_SECOND
    for second in range(1, 6):
        later = play.count_attempts(begin + second, begin + second + 1.0)
        assert later <= MAX_STARTS_IN_LATER_SECOND
    assert play.ledger.counts['refused'] == len(play.attempts)


def test_paused_worker_gets_one_unit_at_a_time_from_many_jobs():
    """Guards against pauses of single work items, which many jobs outrun."""
    play = _Play(workers=2)
    play.fill('w1')
    play.refusing['w0'] = 'status 503'
    for index in range(40):
        play.submit(f'job-{index}', builders.make_step())
    begin = play.now - NOW
    play.run(3.0)
    at_once = play.count_attempts(begin, begin + 0.03)
    assert at_once <= 8, 'more than the worker has room for'
    # Refusals of starts that were under way together count as one.
    limit = at_once + MAX_STARTS_IN_FIRST_SECOND - 1
    first = play.count_attempts(begin, begin + 1.0)
    assert at_once + 2 <= first <= limit
    assert (
        play.count_attempts(begin + 1.0, begin + 3.0)
        <= 2 * MAX_STARTS_IN_LATER_SECOND
    )


def test_all_workers_refuse_and_recover():
    """Guards against a flood of starts, and against work that stays away."""
    play = _Play(workers=4)
    for worker_id in ('w0', 'w1', 'w2', 'w3'):
        play.refusing[worker_id] = 'status 503'
    for index in range(16):
        play.submit(f'job-{index}', builders.make_step(accelerators=2))
    play.run(5.0)
    assert play.count_attempts(0.1, 1.0) <= 4 * MAX_STARTS_IN_FIRST_SECOND
    assert play.count_attempts(1.0, 5.0) <= 16 * MAX_STARTS_IN_LATER_SECOND
    recovered = play.now
    play.refusing.clear()
    play.run(2.0)
    assert len(play.began) == 16
    assert max(play.began.values()) - recovered <= 1.9


def test_running_work_of_a_refusing_worker_does_not_end_its_pause():
    """Guards against a pause that ends by runs from before the refusal."""
    play = _Play(workers=1)
    play.submit('early', builders.make_step(estimate=60.0))
    play.run(0.1)
    play.refusing['w0'] = 'status 503'
    play.submit('job', builders.make_step())
    play.attempts.clear()
    begin = play.now - NOW
    play.run(1.0)
    attempts = play.count_attempts(begin, begin + 1.0)
    assert 2 <= attempts <= MAX_STARTS_IN_FIRST_SECOND


def test_pause_is_short_again_after_an_accepted_start():
    """Guards against a worker that stays at the longest pause."""
    play = _Play(workers=1)
    play.refusing['w0'] = 'status 503'
    play.submit('first', builders.make_step())
    play.run(5.0)
    play.refusing.clear()
    play.run(2.0)
    assert 'first' in play.began
    play.refusing['w0'] = 'status 503'
    play.submit('second', builders.make_step())
    play.run(0.04)
    play.refusing.clear()
    recovered = play.now
    play.run(0.4)
    assert play.began['second'] - recovered <= 0.3


def test_next_process_of_a_worker_has_no_pause():
    """Guards against a sound process that pays for the former one."""
    play = _Play(workers=1)
    play.refusing['w0'] = 'status 503'
    play.submit('job', builders.make_step())
    play.run(5.0)
    (worker,) = play.ledger.workers.values()
    assert worker.start_pause.is_unproven()
    lifetime = work.Lifetime('w0', worker.lifetime.born + 1)
    successor = play.ledger.find_worker(play.now, worker.agent, lifetime)
    assert not successor.start_pause.is_unproven()


def test_gang_starts_without_the_refusing_worker():
    """Guards against a gang that repeats because of one refusing member."""
    play = _Play(workers=4)
    play.refusing['w0'] = 'status 503'
    step = builders.make_step(
        count=2, accelerators=8, gang=True, same_rack=True
    )
    play.submit('gang', step)
    play.run(0.3)
    assert 'gang' in play.began
    assert len(builders.list_runs(play.ledger, play.ledger.jobs['gang'])) == 2
    assert play.count_attempts(0.0, 0.3, 'w0') <= 1


def test_gang_that_needs_a_refusing_worker_tries_it_seldom():
    """Guards against a gang whose other members start and stop at once."""
    play = _Play(workers=2)
    play.refusing['w0'] = 'status 503'
    step = builders.make_step(count=4, accelerators=4, gang=True)
    play.submit('gang', step)
    play.run(3.0)
    members = 4
    limit = members * MAX_STARTS_IN_FIRST_SECOND
    assert play.count_attempts(0.0, 1.0) <= limit
    limit = 2 * members * MAX_STARTS_IN_LATER_SECOND
    assert play.count_attempts(1.0, 3.0) <= limit
    play.refusing.clear()
    play.run(2.0)
    runs = builders.list_runs(play.ledger, play.ledger.jobs['gang'])
    assert len(runs) == members


def test_work_waits_near_its_data_for_a_short_refusal():
    """Guards against work that one refusal sends far from its data.

    The first two workers are in the rack of the data; far away the work takes
    three times as long.
    """
    play = _Play(workers=4)
    play.fill('w1')
    play.refusing['w0'] = 'status 503'
    step = builders.make_step(count=4, accelerators=2, data_rack='r0')
    play.submit('job', step)
    play.run(0.3)
    play.refusing.clear()
    play.run(0.7)
    runs = builders.list_runs(play.ledger, play.ledger.jobs['job'])
    assert runs == dict.fromkeys(range(4), 'w0')


def test_work_leaves_its_data_when_the_refusals_last():
    """Guards against work that waits near its data without an end."""
    play = _Play(workers=4)
    play.fill('w1')
    play.refusing['w0'] = 'status 503'
    step = builders.make_step(accelerators=8, estimate=1.0, data_rack='r0')
    play.submit('job', step)
    submitted = play.now
    play.run(3.0)
    runs = builders.list_runs(play.ledger, play.ledger.jobs['job'])
    assert set(runs.values()) <= {'w2', 'w3'}
    # The wait is worth twice the estimate; the decision may come one recheck
    # later.
    max_wait = 2.0 * step.estimate + coordinators.RECHECK_INTERVAL_S
    assert play.began['job'] - submitted <= max_wait + 2 * ROUND_S


@pytest.mark.parametrize('count', [1, 2])
def test_guaranteed_work_preempts_instead_of_trying_a_refusing_worker(count):
    """Guards against guaranteed work that waits for a refusing worker.

    The refusing worker is the only one with free room, and the others run
    work that may be preempted.
    """
    play = _Play(workers=4, guarantee=16)
    play.fill('w1', 'w2', 'w3')
    play.refusing['w0'] = 'status 503'
    submitted = play.now
    step = builders.make_step(
        count=count, accelerators=8, gang=count > 1, same_rack=count > 1
    )
    play.submit('urgent', step, priority=0)
    play.run(2.0)
    urgent = [a for a in play.attempts if a[1] == 'w0' and a[2] == 'urgent']
    assert len(urgent) <= 1
    runs = builders.list_runs(play.ledger, play.ledger.jobs['urgent'])
    assert len(runs) == count
    assert 'w0' not in runs.values()
    assert play.began['urgent'] - submitted <= 1.0


def test_guaranteed_work_returns_to_the_only_worker():
    """Guards against guaranteed work that avoids a worker without choice."""
    play = _Play(workers=1, guarantee=8)
    play.refusing['w0'] = 'status 503'
    play.submit('urgent', builders.make_step(), priority=0)
    play.run(4.0)
    play.refusing.clear()
    recovered = play.now
    play.run(2.0)
    assert play.began['urgent'] - recovered <= 1.9


@pytest.mark.parametrize(
    'reason',
    [
        'ticket',
        'old',
        'fence',
        'late',
        'draining',
        'the lease has ended',
        'stopped',
        'no longer ordered',
    ],
)
def test_refusal_that_tells_nothing_about_health_causes_no_pause(reason):
    """Guards against sound workers that get no work for another reason."""
    play = _Play(workers=1)
    play.refusing['w0'] = reason
    play.submit('job', builders.make_step())
    play.run(0.02)
    assert len(play.attempts) == 1
    play.refusing.clear()
    play.run(0.02)
    assert 'job' in play.began
    assert play.ledger.counts['refused'] == 0


def test_log_lines_of_a_series_of_refusals_are_few(caplog):
    """Guards against a log that grows as long as a worker refuses."""
    caplog.set_level(logging.INFO)
    play = _Play(workers=1)
    play.refusing['w0'] = 'status 503'
    play.submit('job', builders.make_step())
    play.run(20.0)
    play.refusing.clear()
    play.run(2.0)
    begun = [
        record
        for record in caplog.records
        if record.message == 'worker refuses starts and is paused'
    ]
    assert [record.pause for record in begun] == [0.1, 0.2, 0.4, 0.8, 1.6]
    assert {record.reason for record in begun} == {'status 503'}
    ended = [
        record
        for record in caplog.records
        if record.message == 'worker accepts starts again'
    ]
    assert len(ended) == 1

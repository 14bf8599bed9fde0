"""Tests of starts that a worker neither accepts nor refuses."""

from __future__ import annotations

import pytest

from damaskpin.agent import calls
from damaskpin.coordinator import unanswered_starts
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

NOW = builders.NOW
TICK_S = 0.25

# Number of workers in the rack of the data.
RACK_WORKERS = 3


def _answer_no_starts(instance, job_id, answer):
    """Let a worker answer the starts of a job in the same way.

    It answers all other calls as usual.
    """
    start = instance.worker.start

    def handle(now, call):
        if call.order.run.item.job == job_id:
            return answer
        return start(now, call)

    instance.worker.start = handle


@pytest.mark.parametrize(
    ('answer', 'longest_s'),
    [
        (
            calls.Unanswered('timeout'),
            RACK_WORKERS * (unanswered_starts.MAX_ANSWER_S + 1.0),
        ),
        (calls.Refused('late'), 11.0),
        (calls.Refused('status 503'), 11.0),
    ],
)
def test_job_leaves_a_rack_that_carries_out_none_of_its_starts(
    answer, longest_s
):
    """Guards against a job that has nothing running while there is room.

    Without an answer the run stayed placed on one worker for good; refusals
    were followed by a start in the same rack, hundreds of times.
    """
    simulation = simulations.Simulation(1, waiting_actions.INSTANCES)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    # Runs as short as the chains' steps free the rack again and again.
    simulation.run_s = 1.0
    simulation.run(2.0)
    job_id = f'{len(simulation.submissions):016x}'
    local = [i for i in simulation.instances if i.rack == 'r1']
    assert len(local) == RACK_WORKERS
    for instance in local:
        _answer_no_starts(instance, job_id, answer)
    step = work.Step(
        count=1, demand=waiting_actions.SMALL, estimate=15.0, data_rack='r1'
    )
    simulation.submit((step,), priority=1)
    for _ in range(2):
        # The workers accept these, so that they have no long pauses.
        simulation.submit(_make_chain(30), priority=0)
    simulation.heal_and_finish()
    assert simulation.idle_check.longest_s <= longest_s


def _make_chain(length):
    """Return steps of one work item each that follow each other."""
    return tuple(
        work.Step(
            count=1,
            demand=waiting_actions.SMALL,
            estimate=1.0,
            data_rack='r1',
            after=(index - 1,) if index else (),
        )
        for index in range(length)
    )


def _play(ledger, seconds, is_ordered=True):
    """Let time pass with a placed run; return it."""
    job = builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    ((worker, placed),) = [
        (worker, placed)
        for worker in ledger.workers.values()
        for placed in worker.runs.values()
    ]
    assert placed.job is job
    if is_ordered:
        placed.ordered_to = ''
    for tick in range(int(seconds / TICK_S)):
        now = NOW + tick * TICK_S
        worker.last_report_time = now
        unanswered_starts.stop_unanswered_starts(now, ledger)
    return worker, placed


def test_start_without_an_answer_is_stopped_and_not_placed_again():
    """Guards against a run that executes twice.

    The worker may carry out the start until it has confirmed the stop.
    """
    ledger = builders.make_ledger()
    worker, placed = _play(ledger, unanswered_starts.MAX_ANSWER_S + 1.0)
    assert placed.stop_reason == unanswered_starts.REASON
    assert worker.orders_due
    builders.decide(ledger, NOW + 10.0)
    assert len(builders.list_runs(ledger, placed.job)) == 1
    assert list(placed.job.iterate_ready(NOW + 10.0, builders.WALL)) == []


def test_start_that_is_answered_late_is_not_stopped():
    """Guards against work that is lost as its answer takes some time."""
    ledger = builders.make_ledger()
    _, placed = _play(ledger, unanswered_starts.MAX_ANSWER_S - 1.0)
    assert not placed.stop_reason


def test_start_that_was_not_ordered_is_not_stopped():
    """Guards against starts that are given up as their store is slow."""
    ledger = builders.make_ledger()
    seconds = 2 * unanswered_starts.MAX_ANSWER_S
    _, placed = _play(ledger, seconds, is_ordered=False)
    assert not placed.stop_reason


def test_silence_of_the_worker_does_not_count():
    """Guards against starts that are given up on a worker that is cut off."""
    ledger = builders.make_ledger()
    worker, placed = _play(ledger, unanswered_starts.MAX_ANSWER_S - 1.0)
    worker.silence = 1.0
    unanswered_starts.stop_unanswered_starts(NOW + 6.0, ledger)
    worker.silence = 0.0
    worker.last_report_time = NOW + 7.0
    unanswered_starts.stop_unanswered_starts(NOW + 7.0, ledger)
    assert not placed.stop_reason


def _order_many_starts(count, gang=True):
    """Return a ledger and its worker, to which many starts are ordered."""
    capacity = work.Resources(count * 1000, count * 1000, 0)
    ledger = builders.make_ledger(workers=1, capacity=capacity)
    step = builders.make_step(count, 0, estimate=60.0, gang=gang)
    builders.submit(ledger, 'job', step)
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    for placed in worker.runs.values():
        placed.ordered_to = ''
    return ledger, worker


def test_start_that_waits_for_other_start_calls_is_not_stopped():
    """Guards against a gang that never starts as some members start late.

    The stop of a member ends all of them, and the next try was as slow.
    """
    ledger, worker = _order_many_starts(100)
    accepted_per_tick = 4
    now = NOW
    while not all(placed.confirmed for placed in worker.runs.values()):
        worker.last_report_time = now
        unanswered_starts.stop_unanswered_starts(now, ledger)
        waiting = [p for p in worker.runs.values() if not p.confirmed]
        for placed in waiting[:accepted_per_tick]:
            placed.confirmed = True
        assert not any(placed.stop_reason for placed in worker.runs.values())
        now += TICK_S
    assert now - NOW > unanswered_starts.MAX_ANSWER_S


def test_all_starts_are_stopped_on_a_worker_that_answers_none():
    """Guards against starts that wait for their turn without end."""
    ledger, worker = _order_many_starts(100, gang=False)
    now = NOW
    while now <= NOW + unanswered_starts.MAX_ANSWER_S + TICK_S:
        worker.last_report_time = now
        unanswered_starts.stop_unanswered_starts(now, ledger)
        now += TICK_S
    assert all(placed.stop_reason for placed in worker.runs.values())

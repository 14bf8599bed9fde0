"""Tests of queues whose jobs need tickets from an advisor."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import advice
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
ADVICE = work.AdvisorTimes(decide=0.2, each=0.01, valid=10.0)


def _make_coordinator(workers=3):
    ledger = builders.make_ledger(workers=workers)
    return ledger, coordinators.Coordinator('c', 4, ledger, None)


def _submit(ledger, job_id, *steps):
    job = builders.submit(ledger, job_id, *steps)
    terms = msgspec.structs.replace(job.submission.terms, advice=ADVICE)
    job.submission = msgspec.structs.replace(job.submission, terms=terms)
    return job


def _take_question(coordinator, now=NOW):
    return coordinator.take_advisor_question(now, builders.WALL + now - NOW)


def test_work_starts_only_where_the_advisor_permits_it():
    """A start without a ticket would be refused and waste an attempt."""
    ledger, coordinator = _make_coordinator()
    job = _submit(ledger, 'job', builders.make_step(2, 8))
    builders.decide(ledger)
    assert builders.list_runs(ledger, job) == {}
    question = _take_question(coordinator)
    assert len(question.workers) == 3
    coordinator.apply_advisor_answer(
        NOW, question, {'w1': 'permit', 'w2': 'other'}
    )
    builders.decide(ledger)
    assert sorted(builders.list_runs(ledger, job).values()) == ['w1', 'w2']
    coordinator.record_stored('job', job.progress.version)
    (worker,) = [w for w in ledger.workers.values() if 'w1' in str(w.lifetime)]
    (start,) = coordinator.make_orders(worker).starts
    assert start.ticket == 'permit'


def test_only_one_question_is_pending():
    """The advisor handles one call at a time; more calls would only queue."""
    ledger, coordinator = _make_coordinator()
    _submit(ledger, 'a', builders.make_step())
    _submit(ledger, 'b', builders.make_step())
    first = _take_question(coordinator)
    assert _take_question(coordinator) is None
    coordinator.apply_advisor_answer(NOW, first, {'w0': 't'})
    second = _take_question(coordinator)
    assert {first.key.job, second.key.job} == {'a', 'b'}


def test_expired_tickets_are_requested_again():
    """Work that waits longer than its tickets are valid must still start."""
    ledger, coordinator = _make_coordinator(workers=2)
    job = _submit(ledger, 'job', builders.make_step())
    coordinator.apply_advisor_answer(
        NOW, _take_question(coordinator), {'w0': 'old'}
    )
    assert _take_question(coordinator) is None
    now = NOW + 10.5
    builders.decide(ledger, now)
    assert builders.list_runs(ledger, job) == {}
    question = _take_question(coordinator, now)
    # The policy of the advisor does not change, so that the question leaves
    # out the denied worker.
    assert [lifetime.worker for lifetime in question.workers] == ['w0']
    coordinator.apply_advisor_answer(now, question, {'w0': 'new'})
    builders.decide(ledger, now)
    assert builders.list_runs(ledger, job) == {0: 'w0'}


def test_refused_ticket_is_renewed_without_avoiding_the_worker():
    """A ticket that expires before the start is no fault of the worker."""
    ledger, coordinator = _make_coordinator(workers=1)
    job = _submit(ledger, 'job', builders.make_step())
    coordinator.apply_advisor_answer(
        NOW, _take_question(coordinator), {'w0': 'old'}
    )
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    (run,) = worker.runs
    ledger.record_refusal(worker, orders.RefusedRun(run, 'ticket'))
    builders.decide(ledger)
    assert builders.list_runs(ledger, job) == {}
    assert job.avoided_workers == {}
    question = _take_question(coordinator)
    coordinator.apply_advisor_answer(NOW, question, {'w0': 'new'})
    builders.decide(ledger)
    assert builders.list_runs(ledger, job) == {0: 'w0'}


def test_question_without_an_answer_is_repeated_after_a_pause():
    """An advisor that does not answer must not be asked in a tight loop."""
    ledger, coordinator = _make_coordinator()
    _submit(ledger, 'job', builders.make_step())
    question = _take_question(coordinator)
    coordinator.apply_advisor_answer(NOW, question, None)
    assert _take_question(coordinator, NOW + 0.1) is None
    assert _take_question(coordinator, NOW + advice.RETRY_S + 0.1) is not None


def test_queues_without_an_advisor_need_no_ticket():
    """Work of queues without an advisor must not wait for tickets."""
    ledger, coordinator = _make_coordinator()
    job = builders.submit(ledger, 'job', builders.make_step())
    assert _take_question(coordinator) is None
    builders.decide(ledger)
    assert len(builders.list_runs(ledger, job)) == 1

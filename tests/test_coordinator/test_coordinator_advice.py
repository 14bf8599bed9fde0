"""Tests of queues whose jobs need tickets from an advisor."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import advice
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
ADVICE = work.Advice(decide=0.2, each=0.01, valid=10.0)


def _make_coordinator(workers=3):
    book = builders.make_book(workers=workers)
    return book, coordinators.Coordinator('c', 4, book, None)


def _submit(book, job_id, *steps):
    job = builders.submit(book, job_id, *steps)
    terms = msgspec.structs.replace(job.submission.terms, advice=ADVICE)
    job.submission = msgspec.structs.replace(job.submission, terms=terms)
    return job


def _take_question(coordinator, now=NOW):
    return coordinator.take_question(now, builders.WALL + now - NOW)


def test_work_starts_only_where_the_advisor_permits_it():
    """A start without a ticket would be refused and waste an attempt."""
    book, coordinator = _make_coordinator()
    job = _submit(book, 'job', builders.make_step(2, 8))
    builders.decide(book)
    assert builders.list_runs(book, job) == {}
    question = _take_question(coordinator)
    assert len(question.workers) == 3
    coordinator.note_advice(NOW, question, {'w1': 'permit', 'w2': 'other'})
    builders.decide(book)
    assert sorted(builders.list_runs(book, job).values()) == ['w1', 'w2']
    coordinator.note_stored('job', job.progress.version)
    (worker,) = [w for w in book.workers.values() if 'w1' in str(w.lifetime)]
    (start,) = coordinator.make_orders(worker).starts
    assert start.ticket == 'permit'


def test_only_one_question_is_pending():
    """The advisor handles one call at a time; more calls would only queue."""
    book, coordinator = _make_coordinator()
    _submit(book, 'a', builders.make_step())
    _submit(book, 'b', builders.make_step())
    first = _take_question(coordinator)
    assert _take_question(coordinator) is None
    coordinator.note_advice(NOW, first, {'w0': 't'})
    second = _take_question(coordinator)
    assert {first.key.job, second.key.job} == {'a', 'b'}


def test_expired_tickets_are_requested_again():
    """Work that waits longer than its tickets are valid must still start."""
    book, coordinator = _make_coordinator(workers=2)
    job = _submit(book, 'job', builders.make_step())
    coordinator.note_advice(NOW, _take_question(coordinator), {'w0': 'old'})
    assert _take_question(coordinator) is None
    now = NOW + 10.5
    builders.decide(book, now)
    assert builders.list_runs(book, job) == {}
    question = _take_question(coordinator, now)
    # The policy of the advisor does not change, so that the question leaves
    # out the denied worker.
    assert [lifetime.worker for lifetime in question.workers] == ['w0']
    coordinator.note_advice(now, question, {'w0': 'new'})
    builders.decide(book, now)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_refused_ticket_is_renewed_without_avoiding_the_worker():
    """A ticket that expires before the start is no fault of the worker."""
    book, coordinator = _make_coordinator(workers=1)
    job = _submit(book, 'job', builders.make_step())
    coordinator.note_advice(NOW, _take_question(coordinator), {'w0': 'old'})
    builders.decide(book)
    (worker,) = book.workers.values()
    (run,) = worker.runs
    book.record_refusal(worker, orders.RefusedRun(run, 'ticket'))
    builders.decide(book)
    assert builders.list_runs(book, job) == {}
    assert job.avoided_workers == {}
    question = _take_question(coordinator)
    coordinator.note_advice(NOW, question, {'w0': 'new'})
    builders.decide(book)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_question_without_an_answer_is_repeated_after_a_pause():
    """An advisor that does not answer must not be asked in a tight loop."""
    book, coordinator = _make_coordinator()
    _submit(book, 'job', builders.make_step())
    question = _take_question(coordinator)
    coordinator.note_advice(NOW, question, None)
    assert _take_question(coordinator, NOW + 0.1) is None
    assert _take_question(coordinator, NOW + advice.RETRY_S + 0.1) is not None


def test_queues_without_an_advisor_need_no_ticket():
    """Work of queues without an advisor must not wait for tickets."""
    book, coordinator = _make_coordinator()
    job = builders.submit(book, 'job', builders.make_step())
    assert _take_question(coordinator) is None
    builders.decide(book)
    assert len(builders.list_runs(book, job)) == 1

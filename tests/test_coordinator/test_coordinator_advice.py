"""Tests of queues whose workers an advisor must permit."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import advice
from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
ADVICE = work.Advice(decide=0.2, each=0.01, valid=10.0)


def _make(workers=3):
    book = builders.make_book(workers=workers)
    return book, coordinators.Coordinator('c', 4, book, None)


def _submit(book, job_id, *steps):
    job = builders.submit(book, job_id, *steps)
    terms = msgspec.structs.replace(job.submission.terms, advice=ADVICE)
    job.submission = msgspec.structs.replace(job.submission, terms=terms)
    return job


def _ask(coordinator, now=NOW):
    return coordinator.take_question(now, builders.WALL + now - NOW)


def test_work_starts_only_where_the_advisor_permits_it():
    """A start without a ticket is refused and costs a try each time."""
    book, coordinator = _make()
    job = _submit(book, 'job', builders.make_step(2, 8))
    builders.decide(book)
    assert builders.list_runs(book, job) == {}
    question = _ask(coordinator)
    assert len(question.workers) == 3
    coordinator.note_advice(NOW, question, {'w1': 'permit', 'w2': 'other'})
    builders.decide(book)
    assert sorted(builders.list_runs(book, job).values()) == ['w1', 'w2']
    coordinator.note_stored('job', job.progress.version)
    (worker,) = [w for w in book.workers.values() if 'w1' in str(w.lifetime)]
    (start,) = coordinator.make_orders(worker).starts
    assert start.ticket == 'permit'


def test_one_question_is_under_way_at_a_time():
    """The advisor takes one call after the other; more would only queue."""
    book, coordinator = _make()
    _submit(book, 'a', builders.make_step())
    _submit(book, 'b', builders.make_step())
    first = _ask(coordinator)
    assert _ask(coordinator) is None
    coordinator.note_advice(NOW, first, {'w0': 't'})
    second = _ask(coordinator)
    assert {first.key.job, second.key.job} == {'a', 'b'}


def test_ended_tickets_are_asked_for_anew():
    """Work that waits longer than its tickets hold would wait for ever."""
    book, coordinator = _make(workers=2)
    job = _submit(book, 'job', builders.make_step())
    coordinator.note_advice(NOW, _ask(coordinator), {'w0': 'old'})
    assert _ask(coordinator) is None
    now = NOW + 10.5
    builders.decide(book, now)
    assert builders.list_runs(book, job) == {}
    question = _ask(coordinator, now)
    # The policy does not change, so the denied worker is not asked again.
    assert [lifetime.worker for lifetime in question.workers] == ['w0']
    coordinator.note_advice(now, question, {'w0': 'new'})
    builders.decide(book, now)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_refused_ticket_is_asked_for_and_not_held_against_the_worker():
    """A ticket that ended on its way says nothing about the worker."""
    book, coordinator = _make(workers=1)
    job = _submit(book, 'job', builders.make_step())
    coordinator.note_advice(NOW, _ask(coordinator), {'w0': 'old'})
    builders.decide(book)
    (worker,) = book.workers.values()
    (run,) = worker.runs
    book.record_refusal(worker, orders.RefusedRun(run, 'ticket'))
    builders.decide(book)
    assert builders.list_runs(book, job) == {}
    assert job.avoided_workers == {}
    question = _ask(coordinator)
    coordinator.note_advice(NOW, question, {'w0': 'new'})
    builders.decide(book)
    assert builders.list_runs(book, job) == {0: 'w0'}


def test_question_without_an_answer_is_repeated_after_a_pause():
    """An advisor that is away must not be asked in a tight loop."""
    book, coordinator = _make()
    _submit(book, 'job', builders.make_step())
    question = _ask(coordinator)
    coordinator.note_advice(NOW, question, None)
    assert _ask(coordinator, NOW + 0.1) is None
    assert _ask(coordinator, NOW + advice.RETRY_S + 0.1) is not None


def test_other_queues_need_no_ticket():
    """Work of queues without an advisor must not wait for one."""
    book, coordinator = _make()
    job = builders.submit(book, 'job', builders.make_step())
    assert _ask(coordinator) is None
    builders.decide(book)
    assert len(builders.list_runs(book, job)) == 1

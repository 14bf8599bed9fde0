"""Tickets from the advisor, which permit a step to run on a worker.

Only jobs of queues with an advisor need tickets.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import worker_state

# Largest and default number of workers in one question, which asks the advisor
# which of these workers may run a step. The objective of a job allows time for
# one question about 30 workers for each of its steps.
MAX_WORKERS = 100
DEFAULT_WORKERS = 30

# Share of a ticket's validity after which the advisor is asked again.
RENEWAL_SHARE = 0.7

# Pause in seconds before the advisor is asked about a step again after it has
# not answered a question about the step.
RETRY_S = 0.5


class StepKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class AdvisorQuestion(msgspec.Struct, frozen=True):
    """Asks the advisor which workers may run a step.

    :ivar workers: workers that the question is about.
    """

    key: StepKey
    advice: work.AdvisorTimes
    workers: tuple[work.Lifetime, ...]


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to start a step on one lifetime of a worker.

    :ivar text: permission that the start order carries.
    :ivar renewal_time: time from which the advisor is asked again, in
        seconds.
    :ivar expiry: time at which the ticket expires, in seconds.
    """

    text: str
    renewal_time: float
    expiry: float


@dataclasses.dataclass(slots=True)
class Answers:
    """Answers of the advisor about one step.

    :ivar tickets: tickets of the workers that may run the step. The policy of
        the advisor does not change, so these workers may run the step even
        after their tickets have expired, but need new tickets.
    :ivar denied: workers that may not run the step.
    :ivar earliest_retry: time before which the advisor is not asked about the
        step, in seconds.
    """

    tickets: dict[work.Lifetime, Ticket]
    denied: set[work.Lifetime]
    earliest_retry: float = 0.0


class Tickets:
    """Tickets of all steps, and the one question that may be pending."""

    __slots__ = ('_answers', '_pending')

    def __init__(self) -> None:
        self._answers: dict[StepKey, Answers] = {}
        self._pending: AdvisorQuestion | None = None

    def has_pending_question(self) -> bool:
        """Return whether the advisor has not yet answered a question."""
        return self._pending is not None

    def get(self, now: float, key: StepKey, lifetime: work.Lifetime) -> str:
        """Return a valid ticket for a step on a worker, or an empty string."""
        answers = self._answers.get(key)
        if answers is None:
            return ''
        ticket = answers.tickets.get(lifetime)
        if ticket is None or ticket.expiry <= now:
            return ''
        return ticket.text

    def choose_next_question(
        self,
        now: float,
        units: Iterable[jobs.Unit],
        workers: list[worker_state.Worker],
    ) -> AdvisorQuestion | None:
        """Return the next question for the advisor and mark it pending.

        :param units: ready units in the order of their rank.
        :param workers: usable workers.
        """
        if self.has_pending_question():
            return None
        seen: set[StepKey] = set()
        for unit in units:
            advice = unit.job.submission.terms.advice
            key = make_step_key(unit)
            if advice is None or key in seen:
                continue
            seen.add(key)
            asked_workers = self._choose_workers(now, key, unit, workers)
            if not asked_workers:
                continue
            self._pending = AdvisorQuestion(key, advice, asked_workers)
            return self._pending
        return None

    def record_answer(
        self, now: float, question: AdvisorQuestion, rows: dict[str, str]
    ) -> None:
        """Store the tickets of an answer and the denied workers.

        :param now: time at which the question was asked, in seconds.
        :param rows: ticket by worker id.
        """
        self._pending = None
        answers = self._get_answers(question.key)
        valid = question.advice.valid
        for lifetime in question.workers:
            text = rows.get(lifetime.worker)
            if text is None:
                answers.denied.add(lifetime)
                answers.tickets.pop(lifetime, None)
                continue
            answers.tickets[lifetime] = Ticket(
                text, now + RENEWAL_SHARE * valid, now + valid
            )

    def record_no_answer(self, now: float, question: AdvisorQuestion) -> None:
        """Delay further questions about a step after a missing answer."""
        self._pending = None
        self._get_answers(question.key).earliest_retry = now + RETRY_S

    def drop_ticket(self, key: StepKey, lifetime: work.Lifetime) -> None:
        """Remove a ticket that a worker has refused."""
        answers = self._answers.get(key)
        if answers is not None:
            answers.tickets.pop(lifetime, None)

    def forget_job(self, job_id: str) -> None:
        """Remove all answers about a job."""
        for key in list(self._answers):
            if key.job == job_id:
                del self._answers[key]

    def _get_answers(self, key: StepKey) -> Answers:
        return self._answers.setdefault(key, Answers({}, set()))

    def _choose_workers(
        self,
        now: float,
        key: StepKey,
        unit: jobs.Unit,
        workers: list[worker_state.Worker],
    ) -> tuple[work.Lifetime, ...]:
        answers = self._get_answers(key)
        if answers.earliest_retry > now:
            return ()
        usable_count = 0
        expired = []
        unasked = []
        for worker in workers:
            ticket = answers.tickets.get(worker.lifetime)
            if ticket is not None and ticket.renewal_time > now:
                usable_count += 1
            elif ticket is not None:
                expired.append(worker)
            elif worker.lifetime not in answers.denied:
                unasked.append(worker)
        if usable_count >= unit.step.count:
            return ()
        # The workers with the most free accelerators are the most likely to
        # be chosen for the step, so the advisor is asked about them first.
        unasked.sort(key=lambda w: -w.free_capacity.accelerators)
        count = max(DEFAULT_WORKERS, unit.step.count)
        chosen = (expired + unasked)[: min(count, MAX_WORKERS)]
        return tuple(worker.lifetime for worker in chosen)


def make_step_key(unit: jobs.Unit) -> StepKey:
    """Return the key of the step that a unit belongs to."""
    return StepKey(unit.job.id, unit.occurrence, unit.step_index)


def make_step_key_of_run(run: work.Run) -> StepKey:
    """Return the key of the step that a run belongs to."""
    return StepKey(run.item.job, run.item.occurrence, run.item.step)

"""Permissions of an advisor that queues may need for each worker."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import msgspec

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs

# Workers named in one question, at most and as a rule: the objective of a job
# counts one question about 30 workers for each step.
MAX_WORKERS = 100
USUAL_WORKERS = 30

# Share of a ticket's time after which the advisor is asked anew.
RENEW_SHARE = 0.7

# Pause after a question without an answer, in seconds.
RETRY_S = 0.5


class StepKey(msgspec.Struct, frozen=True, array_like=True):
    """A step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class Question(msgspec.Struct, frozen=True):
    """A question which workers may run a step."""

    key: StepKey
    advice: work.Advice
    workers: tuple[work.Lifetime, ...]


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to start a step on one lifetime of a worker.

    :ivar text: text that the start carries.
    :ivar renew: time from which the advisor is asked anew, in seconds.
    :ivar ends: time at which it ends, in seconds.
    """

    text: str
    renew: float
    ends: float


@dataclasses.dataclass(slots=True)
class Answers:
    """What the advisor has said about one step.

    :ivar tickets: workers that may run it; the policy does not change, so
        that they may still when their ticket has ended.
    :ivar denied: workers that may not.
    :ivar retry: time before which nothing is asked, in seconds.
    """

    tickets: dict[work.Lifetime, Ticket]
    denied: set[work.Lifetime]
    retry: float = 0.0


class Tickets:
    """All permissions; at most one question is under way."""

    __slots__ = ('_answers', '_pending')

    def __init__(self) -> None:
        self._answers: dict[StepKey, Answers] = {}
        self._pending: Question | None = None

    def is_asking(self) -> bool:
        """Return whether a question is under way."""
        return self._pending is not None

    def get(self, now: float, key: StepKey, lifetime: work.Lifetime) -> str:
        """Return the ticket for a start; empty if there is none."""
        answers = self._answers.get(key)
        if answers is None:
            return ''
        ticket = answers.tickets.get(lifetime)
        if ticket is None or ticket.ends <= now:
            return ''
        return ticket.text

    def choose_question(
        self,
        now: float,
        units: Iterable[jobs.Unit],
        workers: list[fleet.Worker],
    ) -> Question | None:
        """Return the next question; it counts as under way.

        :param units: ready units in the order of their rank.
        """
        if self.is_asking():
            return None
        seen: set[StepKey] = set()
        for unit in units:
            advice = unit.job.submission.terms.advice
            key = make_key(unit)
            if advice is None or key in seen:
                continue
            seen.add(key)
            asked = self._choose_workers(now, key, unit, workers)
            if not asked:
                continue
            self._pending = Question(key, advice, asked)
            return self._pending
        return None

    def note_answer(
        self, now: float, question: Question, rows: dict[str, str]
    ) -> None:
        """Take over an answer.

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
                text, now + RENEW_SHARE * valid, now + valid
            )

    def note_failure(self, now: float, question: Question) -> None:
        """Record that a question had no answer."""
        self._pending = None
        self._get_answers(question.key).retry = now + RETRY_S

    def drop(self, key: StepKey, lifetime: work.Lifetime) -> None:
        """Forget a ticket that a worker refused."""
        answers = self._answers.get(key)
        if answers is not None:
            answers.tickets.pop(lifetime, None)

    def forget_job(self, job_id: str) -> None:
        """Forget what was said about a job."""
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
        workers: list[fleet.Worker],
    ) -> tuple[work.Lifetime, ...]:
        answers = self._get_answers(key)
        if answers.retry > now:
            return ()
        usable = 0
        ended = []
        unknown = []
        for worker in workers:
            ticket = answers.tickets.get(worker.lifetime)
            if ticket is not None and ticket.renew > now:
                usable += 1
            elif ticket is not None:
                ended.append(worker)
            elif worker.lifetime not in answers.denied:
                unknown.append(worker)
        if usable >= unit.step.count:
            return ()
        # Workers with most room are the likeliest to be used.
        unknown.sort(key=lambda w: -w.room.accelerators)
        count = max(USUAL_WORKERS, unit.step.count)
        chosen = (ended + unknown)[: min(count, MAX_WORKERS)]
        return tuple(worker.lifetime for worker in chosen)


def make_key(unit: jobs.Unit) -> StepKey:
    """Return the step that a unit belongs to."""
    return StepKey(unit.job.id, unit.occurrence, unit.step_index)


def make_run_key(run: work.Run) -> StepKey:
    """Return the step that a run belongs to."""
    return StepKey(run.item.job, run.item.occurrence, run.item.step)

"""Tests of the client of the advisor."""

from __future__ import annotations

import asyncio
import json

import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.coordinator import advice
from damaskpin.model import work
from damaskpin.platform import advisor

QUESTION = advice.AdvisorQuestion(
    advice.StepKey('5c0e7a21d94b36f8', 0, 1),
    work.AdvisorTimes(0.2, 0.01, 4.0),
    (work.Lifetime('i-1', 5), work.Lifetime('i-2', 6)),
)


class _Caller:
    def __init__(self, status, body):
        self.answer = transport.HttpAnswer(status, body)
        self.requests = []

    async def call(self, request):
        self.requests.append(request)
        return self.answer


def _ask(caller):
    return asyncio.run(advisor.AdvisorClient(caller).ask(QUESTION))


def test_question_names_the_step_and_the_workers():
    """Guards against a question that the advisor can't match to a step.

    The advisor identifies a step by job id, occurrence and step number.
    """
    caller = _Caller(200, b'{"good":[["i-2","t-9"]]}')
    assert _ask(caller) == {'i-2': 't-9'}
    (request,) = caller.requests
    assert json.loads(request.body) == {
        'step': '5c0e7a21d94b36f8.0.1',
        'workers': ['i-1', 'i-2'],
    }
    # The advisor takes 0.2 s and 0.01 s for each of two workers to answer;
    # the call must not time out before.
    assert request.timeout > 0.22


@pytest.mark.parametrize(
    ('status', 'body'), [(429, b''), (200, b'nonsense'), (200, b'{"good":1}')]
)
def test_unusable_answer_is_an_error(status, body):
    """Guards against taking an error for an answer that denies all workers."""
    with pytest.raises(errors.CallError):
        _ask(_Caller(status, body))

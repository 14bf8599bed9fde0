"""Tests of the client of the soak test."""

from __future__ import annotations

import asyncio
import random
import socket

from soak import callers
from soak import oracle as oracles


class _SilentEntry:
    """Accepts connections and never answers.

    :ivar undisturbed: whether no signal was sent to it.
    """

    name = 'entry'

    def __init__(self, undisturbed):
        self.undisturbed = undisturbed
        self.socket = socket.create_server(('127.0.0.1', 0))
        port = self.socket.getsockname()[1]
        self.settings = {'listen': {'front': f'127.0.0.1:{port}'}}

    def has_run_undisturbed_since(self, start):
        return self.undisturbed


class _Fleet:
    def __init__(self, entry):
        self.entries = [entry]


def _list_violations(undisturbed):
    async def send():
        rng = random.Random(1)
        oracle = oracles.Oracle(rng)
        entry = _SilentEntry(undisturbed)
        client = callers.JobClient(_Fleet(entry), rng, {}, oracle)
        with entry.socket:
            await client.send_request('GET', 'a' * 16)
        return oracle.violations

    return asyncio.run(send())


def test_entry_that_does_not_answer_in_time_is_reported():
    """Guards against a check of answer times that never runs."""
    (violation,) = _list_violations(undisturbed=True)
    assert 'no answer within' in violation


def test_entry_that_was_signalled_may_stay_silent():
    """Guards against reports of entries that the soak test has stopped."""
    assert _list_violations(undisturbed=False) == []

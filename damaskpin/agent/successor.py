"""Heartbeats of another process than the one that the agent knows.

A heartbeat may have been delayed until its sender has ended, and births of
processes fall when the time of day is set back. A heartbeat is therefore no
proof that the known process has ended; the next poll shows which one lives.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.peer import orders


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Latest heartbeat of a process that may have replaced the known one.

    :ivar received_at: time in seconds of the heartbeat.
    :ivar clock: milliseconds on the worker's clock; ``None`` if not told.
    """

    received_at: float
    profile: orders.WorkerProfile
    clock: int | None

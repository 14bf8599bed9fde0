"""Counters of the gang protocol."""

from __future__ import annotations

from opentelemetry import metrics

_METER = metrics.get_meter('damaskpin.gang')

REFUSALS = _METER.create_counter(
    'damaskpin_gang_refusals',
    description='Reservations that this agent refused, by reason.',
)
REVOCATIONS = _METER.create_counter(
    'damaskpin_gang_revocations',
    description='Leases revoked because tasks did not stop when asked.',
)
ENDS = _METER.create_counter(
    'damaskpin_gang_ends',
    description='Gangs led by this agent that ended: exited or stopped.',
)
PLACEMENTS = _METER.create_counter(
    'damaskpin_gang_placements',
    description='Placements of this coordinator: started or failed.',
)
VERDICTS = _METER.create_counter(
    'damaskpin_job_verdicts',
    description='Jobs that this entry concluded, by verdict.',
)

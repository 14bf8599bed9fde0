"""Times by which the end of a worker's lease is certain."""

from __future__ import annotations

# A worker's steady clock may be this much slow.
CLOCK_SLOWNESS = 0.02

# Added to the end of a lease before its runs count as gone, in seconds: the
# worker needs a moment to notice it.
LAPSE_MARGIN_S = 0.5

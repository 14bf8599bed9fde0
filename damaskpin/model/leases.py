"""Safety margins for deciding that a worker's lease has expired."""

from __future__ import annotations

# Largest fraction by which a worker's steady clock may run slow.
MAX_CLOCK_SLOWDOWN = 0.02

# Longest time in seconds for which a machine is suspended, as the longest
# standstill of the installations. A worker's clock does not count it, so that
# a lease ends later by as much. docs/platform.md says what it covers.
MAX_SUSPENSION_S = 4.0

# Seconds added to the expiry of a lease before its runs count as ended: a
# worker does not notice the expiry at once.
LEASE_EXPIRY_MARGIN_S = 0.5

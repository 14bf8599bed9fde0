"""Limits by which crashes of workers are blamed on work items."""

from __future__ import annotations

# A run that was started at most this time before its worker crashed, in
# seconds, may be the cause. Work that crashes its worker does so soon after
# its start; runs that have lasted longer are taken as bystanders.
RECENT_START_S = 2.0

# Number of recent starts before a crash after which a work item is given up,
# unless workers crash for other reasons at that time. With two, a neighbour
# may have crashed the first worker, and chance the second.
MAX_SUSPECTED_CRASHES = 3

# Number of crashes after which a work item is given up though the answers to
# some or all of its recent start calls are missing. A work item may not be
# started three times more after three crashes, so that five starts are the
# limit; one is left for a crash that no agent has reported.
MAX_POSSIBLE_CRASHES = 4

# Number of those crashes under runs that had certainly begun. By the rules a
# work item under which two workers have crashed may be given up. With fewer,
# only ``MAX_CRASHES`` ends it.
MIN_PROVED_CRASHES = 2

# Number of crashes under runs of any age, begun or not, after which a work
# item is given up.
MAX_CRASHES = 5

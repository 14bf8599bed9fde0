"""Records jobs that were running before the scheduler was started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import guaranteed

if TYPE_CHECKING:
    from damaskpin.scheduler import decisions
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import queue as queues


def check_members(
    ledger: ledgers.Ledger, members: decisions.Members, job_id: str
) -> None:
    """Check that the accelerators of a running job are known and free.

    :raises ValueError: a worker is unknown, or an accelerator is not free.
    """
    for name, indexes in members:
        node = ledger.topology.nodes.get(name)
        if node is None:
            message = f'job {job_id}: worker {name} is unknown'
            raise ValueError(message)
        for index in indexes:
            if not 0 <= index < node.size or node.slots[index] is not None:
                message = f'job {job_id}: {name}:{index} is not free'
                raise ValueError(message)


def restore_shape_instance(
    ledger: ledgers.Ledger, entry: queues.JobEntry
) -> bool:
    """Assign a running job to a guaranteed shape of its account.

    The shape must be one that can be bound to accelerators of the job.

    :returns: whether a shape was found; otherwise the job is a borrower.
    """
    bindings = ledger.bindings
    for instance in bindings.by_account.get(entry.job.account, ()):
        if instance.job_id is not None:
            continue
        if not guaranteed.can_bind_where_running(instance, entry):
            continue
        if bindings.bind_to_running_job(
            instance, entry.job.id, entry.allocation
        ):
            ledger.assign_shape_instance(entry, instance)
            return True
    return False

"""Response documents of an entry for callers and operators."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin import verdict as verdicts
from damaskpin.caller import interface
from damaskpin.operator import changes

if TYPE_CHECKING:
    from damaskpin.report import decision_history as explains
    from damaskpin.store import records

Reply = interface.Reply


def describe_submission(job_id: str, state: str) -> Reply:
    """Return the response to the submission of a detached job."""
    location = f'/v1/jobs/{job_id}'
    return Reply(
        202,
        {'id': job_id, 'state': state},
        {'Location': location, 'Damaskpin-Attempt': job_id},
    )


def describe_record(record: records.JobRecord) -> dict[str, Any]:
    """Return the response document of a job record in the store."""
    return {
        'id': record.job.id,
        'account': record.job.account,
        'state': get_record_state(record),
        'reason': getattr(record.verdict, 'reason', ''),
        'region': record.region,
        'owner': record.owner,
        'verdict': get_verdict_name(record.verdict),
        'spec': record.job.spec,
    }


def get_record_state(record: records.JobRecord) -> str:
    """Return the job state that a store record shows."""
    return get_verdict_name(record.verdict) or 'recorded'


def describe_history(
    work_history: explains.WorkHistory | None, account: str
) -> list[dict[str, Any]]:
    """Return the history of a request or job that an account may see."""
    # Coordinators add events without an account, so a history without an
    # account matches; ``EntryApi.explain`` then checks the account of the job.
    if work_history is None or work_history.account not in ('', account):
        return []
    return [
        {
            'time': entry.wall,
            'process': entry.process,
            'event': entry.event,
            'detail': entry.detail,
            'repeats': entry.repeats,
        }
        for entry in work_history.entries
    ]


def get_verdict_name(verdict: verdicts.Verdict | None) -> str | None:
    """Return the name of a verdict, or ``None`` without one."""
    return None if verdict is None else verdicts.format_verdict(verdict)


def describe_change(outcome: changes.ChangeOutcome, token: str) -> Reply:
    """Return the response to a proposed configuration change."""
    match outcome:
        case changes.Accepted(revision):
            return Reply(200, {'state': 'accepted', 'revision': revision})
        case changes.Rejected(reasons):
            return Reply(422, {'state': 'rejected', 'reasons': list(reasons)})
        case changes.Superseded(revision):
            return Reply(409, {'state': 'superseded', 'revision': revision})
        case changes.Unknown():
            return Reply(504, {'state': 'unknown', 'token': token})


def make_not_found_error(work: str) -> errors.RequestError:
    """Return the error for work that is unknown or of another account."""
    return errors.RequestError(
        404, 'Not found', f'{work} is not known, or of another account'
    )

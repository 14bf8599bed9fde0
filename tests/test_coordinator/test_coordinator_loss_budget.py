"""Tests of the time in which the work of a lost machine starts elsewhere.

The times add up from the constants of the product. They count from the latest
answered report of the lost worker's agent to the pass of the coordinator that
places the work again. The write of the progress, the order and the start call
come on top.
"""

from __future__ import annotations

import pytest

from damaskpin.coordinator import ledger as ledgers
from damaskpin.coordinator import run_ends
from damaskpin.coordinator import silent_agents
from damaskpin.entry import leader_term
from damaskpin.model import work
from damaskpin.platform import settings
from damaskpin.runtime import entry
from damaskpin.runtime import leadership
from damaskpin.store import layout
from damaskpin.store import transactions
from tests.test_coordinator import builders

# ``finish_s`` of all installations: after the end of the traffic, jobs are
# asked for once this time in seconds has passed.
FINISH_S = 14.0
# Time in seconds for which the users let a job have nothing running beside
# room for it.
MAX_IDLE_S = 3.0
MAX_LOSS_S = FINISH_S + MAX_IDLE_S

# Longest ``stopMs`` of the installations, that of vdm-naamwerk, in seconds.
STOP_S = 0.9
# Longest outage of the whole store in the site files, in seconds, and a
# shorter one that lasts beyond the lease on the leader key.
MAX_STORE_OUTAGE_S = 4.5
STORE_OUTAGE_S = 2.5

# Time in seconds of the latest answered report of the lost agent.
ANSWERED = 100.0
CHECKS_PER_S = round(1 / entry.TICK_INTERVAL_S)
PROCESS = 'process-1'


def _measure_wait(last_answer):
    """Return the seconds from the answered report to the placing pass.

    :param last_answer: time in seconds that the coordinator takes for that of
        the latest answered report.
    """
    ends = run_ends.RunEnds(settings.GRANT_DURATION_S, STOP_S)
    end = ends.get_granted_end(last_answer) - ANSWERED
    # Each tick of an entry removes the workers whose runs have ended, and a
    # removal makes the next placement due at once.
    return end + entry.TICK_INTERVAL_S


def _find_former_grant(started, last_former_grant, recorded=None):
    """Return from when a new coordinator counts the grant of the agent.

    :param recorded: time in seconds of the latest answer by the record of
        silent agents; ``None`` without a record.
    """
    former_answers = {} if recorded is None else {'agent-0': recorded}
    ledger = ledgers.RunLedger(
        started,
        settings.GRANT_DURATION_S,
        STOP_S,
        former_answers,
        last_former_grant=last_former_grant,
    )
    answer, _ = ledger.silent_agents.find_former_grant('agent-0')
    return answer


def _find_last_grant(renewed, ended=None):
    """Return the latest time of a grant, as the next leader derives it.

    The other entries see the end of the leader key with the next poll.

    :param renewed: time in seconds of the latest renewal of the lease.
    :param ended: time in seconds from which the leader key is seen to be gone;
        ``None`` if that is the end of the lease.
    """
    term = leader_term.LeaderTerm()
    value = leader_term.encode_leader('tcp://e', 'e', 'n')
    record = leader_term.TermRecord('n', 'tcp://e', leadership.LEASE_TTL_S)
    for key, data in (
        (layout.LEADER_KEY, value),
        (layout.TERM_KEY, leader_term.encode_record(record)),
    ):
        term.apply(renewed, transactions.StoredItem(key, data, 5, 5))
    if ended is None:
        ended = renewed + leadership.LEASE_TTL_S
    ended += leadership.POLL_INTERVAL_S
    term.apply(ended, transactions.Removal(layout.LEADER_KEY, 9))
    return term.find_former(ended).last_grant


def _record_lost_agent():
    """Return when the lost agent is recorded, and the answer by the record."""
    ledger = builders.make_ledger(workers=1)
    job = builders.submit(ledger, 'j', builders.make_step())
    (worker,) = ledger.workers.values()
    worker.runs[work.Run(work.Item(job.id, 0, 0, 0), 1)] = None
    worker.process = PROCESS
    worker.granted_report = (PROCESS, 1.0)
    agents = silent_agents.SilentAgents(ANSWERED)
    agents.record_report(ANSWERED, worker.agent)
    agents.record_answer(worker.agent, ANSWERED)
    for check in range(10 * CHECKS_PER_S):
        now = ANSWERED + check / CHECKS_PER_S
        record = agents.make_due_record(now, 4, [worker])
        if record is not None:
            return now, now - record.ages[worker.agent]
    raise AssertionError('the agent is not recorded')


def test_loss_without_a_takeover():
    """Guards against a grant or a margin that grows beyond the limit."""
    assert _measure_wait(ANSWERED) <= MAX_LOSS_S


def test_loss_with_a_record_of_the_silent_agent():
    """Guards against an allowance that puts a start off at a takeover."""
    recorded_at, recorded = _record_lost_agent()
    started = recorded_at + 10.0
    answer = _find_former_grant(started, started, recorded)
    assert _measure_wait(answer) <= MAX_LOSS_S


def test_loss_together_with_the_coordinator():
    """Guards against a former lease that is taken to end much too late."""
    last_grant = _find_last_grant(ANSWERED)
    answer = _find_former_grant(ANSWERED + 10.0, last_grant)
    assert _measure_wait(answer) <= MAX_LOSS_S


def test_loss_just_before_that_of_the_coordinator():
    """Guards against a start that is put off for lack of a record.

    The former coordinator renews its lease until the agent is recorded.
    """
    recorded_at, _ = _record_lost_agent()
    last_grant = _find_last_grant(recorded_at)
    answer = _find_former_grant(recorded_at + 10.0, last_grant)
    assert _measure_wait(answer) <= MAX_LOSS_S


@pytest.mark.parametrize('outage', [STORE_OUTAGE_S, MAX_STORE_OUTAGE_S])
def test_loss_as_an_outage_of_the_store_begins(outage):
    """Guards against a start that is put off by an outage of the store.

    The lease on the leader key expires in the outage, and the other entries
    see that after it. The former coordinator is lost, too, and can't tell its
    last grants.
    """
    last_grant = _find_last_grant(ANSWERED, ANSWERED + outage)
    answer = _find_former_grant(ANSWERED + 20.0, last_grant)
    assert _measure_wait(answer) <= MAX_LOSS_S


def test_loss_as_an_outage_begins_in_which_leases_pause():
    """Guards against an outage that counts as renewals of the lease.

    The coordinator is lost, too, so that its lease ends after the outage.
    """
    ended = ANSWERED + MAX_STORE_OUTAGE_S + leadership.LEASE_TTL_S
    last_grant = _find_last_grant(ANSWERED, ended)
    answer = _find_former_grant(ANSWERED + 20.0, last_grant)
    assert _measure_wait(answer) <= MAX_LOSS_S

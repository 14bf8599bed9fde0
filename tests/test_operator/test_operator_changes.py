"""Tests of proposals against the store's stand-in over HTTP."""

import pytest

from damaskpin.model import config as configs
from damaskpin.operator import changes
from damaskpin.store import configuration
from tests.test_store import harness

FIRST = configs.format_config(configs.Config(failed_workers=1))
SECOND = configs.format_config(configs.Config(failed_workers=2))


def run(scenario):
    async def body(server, client):
        await scenario(server, client, changes.ChangeProposer(client))

    harness.run_with_store(body)


def test_racing_operators_get_one_acceptance():
    """Guards against a change that overwrites another one unseen."""

    async def scenario(server, client, proposer):
        first = await proposer.propose(FIRST, 0, 'token-one')
        assert isinstance(first, changes.Accepted)
        assert await proposer.propose(SECOND, 0, 'token-two') == (
            changes.Superseded(first.revision)
        )
        # A repeat of the accepted change is no second change.
        assert await proposer.propose(FIRST, 0, 'token-one') == first
        found = await client.get(configuration.CONFIG_KEY)
        assert (found.value, found.mod_revision) == (FIRST, first.revision)
        other = await proposer.propose(SECOND, first.revision, 'token-one')
        assert other.reasons == ('the token belongs to another change',)

    run(scenario)


@pytest.mark.parametrize('lost', [True, False])
def test_unknown_outcome_is_settled_with_the_truth(lost):
    """Guards against a change that is reported wrongly after no answer."""

    async def scenario(server, client, proposer):
        if lost:
            server.store.faults.lose_answers = 1
        else:
            server.store.faults.down = 'closed'
        unknown = await proposer.propose(FIRST, 0, 'token-one', True)
        assert unknown == changes.Unknown('token-one')
        server.store.faults.down = ''
        settled = await proposer.settle('token-one')
        found = await client.get(configuration.CONFIG_KEY)
        if lost:
            assert settled == changes.Accepted(found.mod_revision)
        else:
            assert isinstance(settled, changes.Rejected)
            assert settled.retryable
            assert found is None
        assert await proposer.settle('token-one') == settled
        assert await proposer.propose(FIRST, 0, 'token-one') == settled

    run(scenario)


def test_write_that_arrives_after_it_was_settled_has_no_effect():
    """Guards against a slow store that applies a cancelled change."""

    async def scenario(server, client, proposer):
        server.store.faults.slow = 0.7
        unknown = await proposer.propose(FIRST, 0, 'token-one', True)
        assert unknown == changes.Unknown('token-one')
        server.store.faults.slow = 0.0
        settled = await proposer.settle('token-one')
        assert isinstance(settled, changes.Rejected)
        server.store.faults.slow = 0.4
        # Answered after the delayed write has been handled.
        assert await client.get(configuration.CONFIG_KEY) is None

    run(scenario)


def test_store_that_is_down_rejects_a_first_attempt_only():
    async def scenario(server, client, proposer):
        server.store.faults.down = '503'
        first = await proposer.propose(FIRST, 0, 'token-one', True)
        assert isinstance(first, changes.Rejected)
        assert first.retryable
        again = await proposer.propose(FIRST, 0, 'token-one')
        assert again == changes.Unknown('token-one')
        settled = await proposer.settle('token-one')
        assert settled == changes.Unknown('token-one')

    run(scenario)


@pytest.mark.parametrize(
    ('document', 'token', 'reason'),
    [
        (b'{"rack": []}', 'token-one', 'unknown field `rack`'),
        (b'{', 'token-one', 'truncated'),
        (FIRST, 'bad/token', 'change token'),
    ],
)
def test_invalid_proposal_writes_nothing(document, token, reason):
    async def scenario(server, client, proposer):
        outcome = await proposer.propose(document, 0, token)
        assert isinstance(outcome, changes.Rejected)
        assert reason in outcome.reasons[0]
        assert not outcome.retryable
        assert server.store.calls == {}

    run(scenario)


def test_revision_that_the_store_does_not_have_yet_is_settled():
    """Guards against 'superseded' for a change that can still be written."""

    async def scenario(server, client, proposer):
        outcome = await proposer.propose(FIRST, 3, 'token-one')
        assert isinstance(outcome, changes.Rejected)
        # The configuration reaches the revision; a delayed attempt arrives.
        await client.put(configuration.CONFIG_KEY, SECOND)
        assert await proposer.propose(FIRST, 3, 'token-one') == outcome

    run(scenario)


def test_unreadable_change_record_is_not_taken_for_an_outcome():
    async def scenario(server, client, proposer):
        await client.put(changes.CHANGES_PREFIX + 'token-one', b'\xff')
        unknown = changes.Unknown('token-one')
        assert await proposer.settle('token-one') == unknown
        assert await proposer.propose(FIRST, 0, 'token-one') == unknown

    run(scenario)


def test_stored_document_is_canonical():
    async def scenario(server, client, proposer):
        await proposer.propose(b'{"failed_workers":2}', 0, 'token-one')
        found = await client.get(configuration.CONFIG_KEY)
        assert found.value == SECOND

    run(scenario)


def test_made_tokens_are_valid_and_differ():
    tokens = {changes.make_token() for _ in range(100)}
    assert len(tokens) == 100
    for token in tokens:
        changes.check_token(token)

"""Tests of configuration changes against a simulated store over HTTP."""

import pytest

from damaskpin.model import config as configs
from damaskpin.operator import changes
from damaskpin.store import configuration
from tests.test_store import harness

FIRST_CONFIG = configs.format_config(configs.Config(failed_workers=1))
SECOND_CONFIG = configs.format_config(configs.Config(failed_workers=2))


def run(scenario):
    async def body(server, client):
        await scenario(server, client, changes.ChangeProposer(client))

    harness.run_with_store(body)


def test_only_one_of_two_concurrent_changes_is_accepted():
    """Guards against a change that overwrites one its operator never saw."""

    async def scenario(server, client, proposer):
        first = await proposer.propose(FIRST_CONFIG, 0, 'token-one')
        assert isinstance(first, changes.Accepted)
        assert await proposer.propose(SECOND_CONFIG, 0, 'token-two') == (
            changes.Superseded(first.revision)
        )
        # A retry of the accepted change does not write it a second time.
        assert await proposer.propose(FIRST_CONFIG, 0, 'token-one') == first
        found = await client.get(configuration.CONFIG_KEY)
        assert (found.value, found.mod_revision) == (
            FIRST_CONFIG,
            first.revision,
        )
        other_outcome = await proposer.propose(
            SECOND_CONFIG, first.revision, 'token-one'
        )
        assert other_outcome.reasons == (
            'change token was already used for a different document',
        )

    run(scenario)


@pytest.mark.parametrize('answer_lost', [True, False])
def test_settle_reports_whether_unanswered_change_was_written(answer_lost):
    """Guards against a wrong outcome after the store did not answer.

    In one case the store writes the change and its answer is lost, in the
    other one the store is down and writes nothing.
    """

    async def scenario(server, client, proposer):
        if answer_lost:
            server.store.faults.lose_answers = 1
        else:
            server.store.faults.down = 'closed'
        unknown = await proposer.propose(FIRST_CONFIG, 0, 'token-one', True)
        assert unknown == changes.Unknown('token-one')
        server.store.faults.down = ''
        settled = await proposer.settle('token-one')
        found = await client.get(configuration.CONFIG_KEY)
        if answer_lost:
            assert settled == changes.Accepted(found.mod_revision)
        else:
            assert isinstance(settled, changes.Rejected)
            assert settled.retryable
            assert found is None
        assert await proposer.settle('token-one') == settled
        assert await proposer.propose(FIRST_CONFIG, 0, 'token-one') == settled

    run(scenario)


def test_delayed_write_of_cancelled_change_has_no_effect():
    """Guards against a slow store that writes a change after it is settled."""

    async def scenario(server, client, proposer):
        server.store.faults.slow = 0.7
        unknown = await proposer.propose(FIRST_CONFIG, 0, 'token-one', True)
        assert unknown == changes.Unknown('token-one')
        server.store.faults.slow = 0.0
        settled = await proposer.settle('token-one')
        assert isinstance(settled, changes.Rejected)
        server.store.faults.slow = 0.4
        # The store answers this read after it has handled the delayed write.
        assert await client.get(configuration.CONFIG_KEY) is None

    run(scenario)


def test_unavailable_store_rejects_only_the_first_attempt():
    async def scenario(server, client, proposer):
        server.store.faults.down = '503'
        first = await proposer.propose(FIRST_CONFIG, 0, 'token-one', True)
        assert isinstance(first, changes.Rejected)
        assert first.retryable
        retry_outcome = await proposer.propose(FIRST_CONFIG, 0, 'token-one')
        assert retry_outcome == changes.Unknown('token-one')
        settled = await proposer.settle('token-one')
        assert settled == changes.Unknown('token-one')

    run(scenario)


@pytest.mark.parametrize(
    ('document', 'token', 'reason'),
    [
        (b'{"rack": []}', 'token-one', 'unknown field `rack`'),
        (b'{', 'token-one', 'truncated'),
        (FIRST_CONFIG, 'bad/token', 'change token'),
    ],
)
def test_invalid_change_is_not_sent_to_store(document, token, reason):
    async def scenario(server, client, proposer):
        outcome = await proposer.propose(document, 0, token)
        assert isinstance(outcome, changes.Rejected)
        assert reason in outcome.reasons[0]
        assert not outcome.retryable
        assert server.store.calls == {}

    run(scenario)


def test_change_of_future_revision_is_cancelled():
    """Guards against ``Superseded`` for a change that may still be written.

    The expected revision is newer than the store's, so a delayed attempt
    could succeed later.
    """

    async def scenario(server, client, proposer):
        outcome = await proposer.propose(FIRST_CONFIG, 3, 'token-one')
        assert isinstance(outcome, changes.Rejected)
        # The configuration reaches the expected revision before a delayed
        # attempt of the change arrives.
        await client.put(configuration.CONFIG_KEY, SECOND_CONFIG)
        assert await proposer.propose(FIRST_CONFIG, 3, 'token-one') == outcome

    run(scenario)


def test_malformed_change_record_gives_unknown_outcome():
    async def scenario(server, client, proposer):
        await client.put(changes.CHANGES_PREFIX + 'token-one', b'\xff')
        unknown = changes.Unknown('token-one')
        assert await proposer.settle('token-one') == unknown
        assert await proposer.propose(FIRST_CONFIG, 0, 'token-one') == unknown

    run(scenario)


def test_stored_document_is_canonical():
    async def scenario(server, client, proposer):
        await proposer.propose(b'{"failed_workers":2}', 0, 'token-one')
        found = await client.get(configuration.CONFIG_KEY)
        assert found.value == SECOND_CONFIG

    run(scenario)


def test_generated_tokens_are_valid_and_unique():
    tokens = {changes.generate_token() for _ in range(100)}
    assert len(tokens) == 100
    for token in tokens:
        changes.check_token(token)

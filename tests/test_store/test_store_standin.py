"""Tests of the store stand-in's own endpoints over HTTP."""

import asyncio
import json
import random
import subprocess
import sys
import urllib.error
import urllib.request

import pytest
from tornado import httpclient

from damaskpin.store import watch as watches


def call(url, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=5) as answer:
        return json.loads(answer.read())


@pytest.fixture
def standin_url():
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.store', '--port', '0'],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process.stdout.readline().split()[-1]
    finally:
        process.terminate()
        process.wait(5)
        process.stdout.close()


def test_standin_answers_like_etcd_and_accepts_faults(standin_url):
    """Guards against answers of a form that etcd does not give."""
    key = 'L2E='
    put = call(standin_url + '/v3/kv/put', {'key': key, 'value': 'MQ=='})
    assert put['header']['revision'] == '2'
    found = call(standin_url + '/v3/kv/range', {'key': key})
    assert found['count'] == '1'
    assert found['kvs'] == [
        {
            'key': key,
            'create_revision': '2',
            'mod_revision': '2',
            'version': '1',
            'value': 'MQ==',
        }
    ]
    # The etcd gateway omits "succeeded" when a comparison fails.
    failed = call(
        standin_url + '/v3/kv/txn',
        {
            'compare': [{'key': key, 'target': 'MOD', 'mod_revision': '1'}],
            'failure': [{'request_range': {'key': key}}],
        },
    )
    assert 'succeeded' not in failed
    assert failed['responses'][0]['response_range']['count'] == '1'
    faults = call(standin_url + '/standin/faults', {'down': '503'})
    assert faults['down'] == '503'
    with pytest.raises(urllib.error.HTTPError) as refused:
        call(standin_url + '/v3/kv/range', {'key': key})
    assert refused.value.code == 503
    assert json.loads(refused.value.read())['code'] == 14
    for invalid_faults in (
        {'down': 'maybe'},
        {'speed': 1},
        {'slow': 'x'},
        [1],
    ):
        with pytest.raises(urllib.error.HTTPError) as refused:
            call(standin_url + '/standin/faults', invalid_faults)
        assert refused.value.code == 400
    assert call(standin_url + '/standin/stats')['calls'] == {
        'put': 1,
        'range': 2,
        'txn': 1,
    }


def test_waiting_watch_counts_as_one_call(run_with_store):
    async def scenario(server, client):
        watch = watches.Watch(
            client, '/a', lambda change: None, random.Random(1)
        )
        watch.start()
        while not watch.connected:
            await asyncio.sleep(0.01)
        for _ in range(3):
            await client.put('/a', b'1')
        answer = await httpclient.AsyncHTTPClient().fetch(
            server.url + '/standin/stats'
        )
        stats = json.loads(answer.body)
        assert stats['calls']['watch'] == 1
        assert stats['waiting_watches'] == 1
        await watch.close()

    run_with_store(scenario)

"""Tests of a configuration that changes while calls to the store hang."""

from __future__ import annotations

import asyncio

from tests.test_runtime import silence

# Time in seconds within which a change must be in force everywhere, which the
# smaller of the users' installations have as configApplyMs.
MAX_APPLY_TIME_S = 2.5


def test_versions_come_through_peers_while_the_own_way_is_silent():
    """Guards against watches that cancel themselves once they are answered.

    The first answer after a silence came through a peer, and each watch was
    then sent again over the silent way, so that none ever ended.
    """

    async def play(followers, store):
        store.direct_silent = True
        await asyncio.sleep(2.5)
        for _ in range(3):
            version = store.write_version()
            await followers.wait_for_version(version, MAX_APPLY_TIME_S)
            await asyncio.sleep(0.3)

    silence.play_scenario(play)


def test_peers_that_hang_do_not_hold_up_the_own_way():
    """Guards against a watch that waits for one silent way after the other.

    Its direct call and its two relayed calls had timeouts of 6 s together,
    while other calls of the process were answered directly again.
    """

    async def play(followers, store):
        store.silent_peers = set(silence.PEERS)
        store.direct_silent = True
        await asyncio.sleep(3.0)
        store.direct_silent = False
        version = store.write_version()
        await followers.wait_for_version(version, MAX_APPLY_TIME_S)

    silence.play_scenario(play)


def test_one_peer_that_hangs_does_not_hold_up_the_others():
    """Guards against waiting for the timeout of the first peer."""

    async def play(followers, store):
        store.silent_peers = {'one'}
        store.direct_silent = True
        await asyncio.sleep(1.0)
        version = store.write_version()
        await followers.wait_for_version(version, MAX_APPLY_TIME_S)

    silence.play_scenario(play)


def test_version_comes_through_the_peers_that_reach_the_store():
    """Guards against relays that are tried in turn and fail again and again.

    The first peers of the list were refused by the store as well, and their
    pause was over before the later ones were tried.
    """

    async def play(followers, store):
        store.refused_peers = set(silence.PEERS[:5])
        store.direct_silent = True
        await asyncio.sleep(5.0)
        for _ in range(3):
            version = store.write_version()
            await followers.wait_for_version(version, MAX_APPLY_TIME_S)

    silence.play_scenario(play)


def test_read_passes_all_peers_that_do_not_reach_the_store():
    """Guards against a read that gives up after the first refused peers.

    The entry has just lost its own way, which the watch of the first second
    still had, and knows nothing of its peers.
    """

    async def play(followers, store):
        store.refused_peers = set(silence.PEERS[:-1])
        store.direct_silent = True
        await asyncio.sleep(1.2)
        version = store.write_version()
        await followers.wait_for_version(version, MAX_APPLY_TIME_S)

    silence.play_scenario(play)

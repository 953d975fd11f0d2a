"""HTTP client within an event loop: reuse and limit of connections, timeouts, failures."""

import asyncio
import socket
import time

import pytest

from fescuerudder.platform import asynchttp
from fescuerudder.platform.asynchttp import MAX_CONNECTIONS_PER_ADDRESS, AsyncHttpClient
from fescuerudder.platform.http import CONNECT_TIMEOUT_S, NoAnswerError, NotSentError
from tests.platform.http_peer import HttpPeer

LONG_POLL_S = CONNECT_TIMEOUT_S + 0.3

STALL_S = 60.0
"""Time for which a peer in this process may stand still because the machine is busy, in seconds."""


async def _call(http, peer, *, timeout_s=2.0):
    return await http.call("POST", peer.address, "/", body={"a": 1}, timeout_s=timeout_s)


async def _call_together(peer, count, *, timeout_s=2.0):
    http = AsyncHttpClient()
    calls = [_call(http, peer, timeout_s=timeout_s) for _ in range(count)]
    return await asyncio.gather(*calls, return_exceptions=True)


def test_connect_timeout_does_not_limit_the_answer():
    """Guards against the connect timeout ending long polls."""

    async def run(peer):
        http = AsyncHttpClient()
        return [(await _call(http, peer, timeout_s=LONG_POLL_S + 2)).status for _ in range(2)]

    with HttpPeer(delay_s=LONG_POLL_S) as peer:
        assert asyncio.run(run(peer)) == [200, 200]
        assert peer.connections == 1


def test_call_ends_with_its_own_timeout():
    """Guards against a call that waits longer than its timeout."""
    with HttpPeer(delay_s=5.0) as peer:
        started_s = time.monotonic()
        with pytest.raises(NoAnswerError):
            asyncio.run(_call(AsyncHttpClient(), peer, timeout_s=0.2))
        assert time.monotonic() - started_s < 2.0


def test_a_late_answer_is_not_taken_for_that_of_the_next_call():
    """Guards against an order that counts as done by the answer to another one."""

    async def run(peer):
        http = AsyncHttpClient()
        with pytest.raises(NoAnswerError):
            await _call(http, peer, timeout_s=0.1)
        await _call(http, peer)

    with HttpPeer(delay_s=0.3) as peer:
        asyncio.run(run(peer))
        assert peer.connections == 2


@pytest.mark.parametrize(
    ("count", "connections"), [(1, 1), (3, 3), (20, MAX_CONNECTIONS_PER_ADDRESS)]
)
def test_calls_at_a_time_share_a_limited_number_of_connections(monkeypatch, count, connections):
    """Guards against a wave of starts that takes all connections of a worker.

    The peer's threads may stand still for a second beside busy processes, so no time limit of the
    client applies here.
    """
    monkeypatch.setattr(asynchttp, "MAX_CONNECTION_WAIT_S", STALL_S)
    monkeypatch.setattr(asynchttp, "CONNECT_TIMEOUT_S", STALL_S)
    with HttpPeer(delay_s=0.05) as peer:
        answers = asyncio.run(_call_together(peer, count, timeout_s=STALL_S))
        assert {answer.status for answer in answers} == {200}
        assert peer.connections == connections


def test_a_call_that_finds_no_connection_in_time_was_not_sent():
    """Guards against a start that is sent long after it was planned."""
    with HttpPeer(delay_s=1.0) as peer:
        answers = asyncio.run(_call_together(peer, MAX_CONNECTIONS_PER_ADDRESS + 1))
        assert sum(isinstance(answer, NotSentError) for answer in answers) == 1
        assert peer.requests == MAX_CONNECTIONS_PER_ADDRESS


def test_call_without_an_answer_is_not_sent_again():
    """Guards against an automatic retry, which would send an order to a worker twice."""
    with HttpPeer(closes_unanswered=True) as peer:
        with pytest.raises(NoAnswerError):
            asyncio.run(_call(AsyncHttpClient(), peer))
        assert peer.requests == 1


@pytest.mark.parametrize("is_cancelled", [False, True], ids=["timeout", "cancelled"])
def test_a_call_that_is_given_up_resets_its_connection(is_cancelled):
    """Guards against an order that a partition holds up and that is carried out after its end."""

    async def run(address):
        call = AsyncHttpClient().call("POST", address, "/", body={}, timeout_s=0.3)
        with pytest.raises(TimeoutError if is_cancelled else NoAnswerError):
            await (asyncio.wait_for(call, 0.1) if is_cancelled else call)
        # The loop closes the connection in its next round.
        await asyncio.sleep(0.05)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        asyncio.run(run(f"127.0.0.1:{listener.getsockname()[1]}"))
        conn, _ = listener.accept()
        with conn, pytest.raises(ConnectionResetError):
            conn.settimeout(STALL_S)
            while conn.recv(4096):
                pass


def test_refused_connection_raises_not_sent():
    """Guards against an unknown outcome although nothing listens, so nothing was received."""
    with HttpPeer() as peer:
        address = peer.address
    with pytest.raises(NotSentError):
        asyncio.run(AsyncHttpClient().call("GET", address, "/", timeout_s=1.0))


def test_an_answer_that_arrived_in_time_counts_though_the_loop_was_busy():
    """Guards against all calls under way counted as unanswered when the loop stalls for a while."""

    async def run(peer):
        http = AsyncHttpClient()
        await _call(http, peer)
        call = asyncio.create_task(_call(http, peer, timeout_s=0.2))
        await asyncio.sleep(0.02)
        time.sleep(0.5)
        return (await call).status

    with HttpPeer(delay_s=0.1) as peer:
        assert asyncio.run(run(peer)) == 200
        assert peer.connections == 1


@pytest.mark.parametrize(("max_idle", "connections"), [(3, 5 + 2), (8, 5)])
def test_idle_connections_are_limited(max_idle, connections):
    """Guards against descriptors that run out where there are many workers."""

    async def run(peer):
        http = AsyncHttpClient(max_idle=max_idle)
        for _ in range(2):
            await asyncio.gather(*(_call(http, peer) for _ in range(5)))
        return http._idle

    with HttpPeer(delay_s=0.05) as peer:
        assert asyncio.run(run(peer)) == min(max_idle, 5)
        assert peer.connections == connections


def test_idle_connections_that_broke_are_not_counted():
    """Guards against a limit that is used up by connections which are gone."""

    async def run(peer):
        http = AsyncHttpClient(max_idle=4)
        await asyncio.gather(*(_call(http, peer) for _ in range(4)))
        for held in http._peers.values():
            for conn in held.idle:
                conn.close()
        await _call(http, peer)
        return http._idle

    with HttpPeer(delay_s=0.02) as peer:
        assert asyncio.run(run(peer)) == 1

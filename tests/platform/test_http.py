"""HTTP client for the platform: timeouts, reuse of connections, failures."""

import time

import pytest

from fescuerudder.platform.http import CONNECT_TIMEOUT_S, HttpClient, NoAnswerError, NotSentError
from tests.platform.http_peer import HttpPeer

LONG_POLL_S = CONNECT_TIMEOUT_S + 0.3


@pytest.mark.parametrize("calls_before", [0, 1])
def test_connect_timeout_does_not_limit_the_answer(calls_before):
    """Guards against the connect timeout ending long polls, on new and reused connections."""
    with HttpPeer(delay_s=LONG_POLL_S) as peer, HttpClient() as http:
        for _ in range(calls_before + 1):
            answer = http.call("GET", peer.address, "/", timeout_s=LONG_POLL_S + 2)
            assert answer.status == 200
        assert peer.connections == 1


def test_call_ends_with_its_own_timeout():
    """Guards against a call that waits longer than its timeout."""
    with HttpPeer(delay_s=5.0) as peer, HttpClient() as http:
        started_s = time.monotonic()
        with pytest.raises(NoAnswerError):
            http.call("GET", peer.address, "/", timeout_s=0.2)
        assert time.monotonic() - started_s < 2.0


def test_connections_are_kept():
    """Guards against a new connection for each call, for which the platform charges."""
    with HttpPeer() as peer, HttpClient() as http:
        for _ in range(5):
            http.call("POST", peer.address, "/", body={"a": 1}, timeout_s=2.0)
        assert (peer.requests, peer.connections) == (5, 1)


def test_call_without_an_answer_is_not_sent_again():
    """Guards against an automatic retry, which would send an order to a worker twice."""
    with HttpPeer(closes_unanswered=True) as peer, HttpClient() as http:
        with pytest.raises(NoAnswerError):
            http.call("POST", peer.address, "/", body={}, timeout_s=2.0)
        assert peer.requests == 1


def test_refused_connection_raises_not_sent():
    """Guards against an unknown outcome although nothing listens, so nothing was received."""
    with HttpPeer() as peer:
        address = peer.address
    with HttpClient() as http, pytest.raises(NotSentError):
        http.call("GET", address, "/", timeout_s=1.0)

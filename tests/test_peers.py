"""Answers reach their own question, and a dead or wrong peer never blocks a caller."""

import random
import threading
import time

import pytest

from fescuerudder.clock import SystemClock
from fescuerudder.errors import PeerError
from fescuerudder.messages import Accepted, Hello, PermitAsk, PermitReply, TaskHint, ViewHint
from fescuerudder.peers import MAX_MESSAGE_BYTES, MessageHandlers, PeerClients, PeerServer

KEY = "a shared key of the mesh"


def make_clients(key=KEY):
    return PeerClients(
        key=key,
        hello=lambda: Hello(instance="asker", incarnation="1", zone="z"),
        clock=SystemClock(),
        rng=random.Random(1),
    )


def wait_until(condition, limit_s=5.0):
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "condition did not come true"
        time.sleep(0.005)


@pytest.fixture
def hints():
    return []


@pytest.fixture
def slow():
    return threading.Event()


@pytest.fixture
def handlers(hints, slow):
    def ask(instance, message):
        if message.service == "slow":
            slow.wait(5)
        if message.service == "broken":
            raise ValueError("handler fault")
        return PermitReply(rack=f"{message.rack} for {instance}")

    def hint(instance, message):
        hints.append((instance, message))
        return Accepted()

    chosen = MessageHandlers()
    chosen.add(PermitAsk, ask)
    chosen.add(TaskHint, hint)
    return chosen


@pytest.fixture
def server(handlers):
    with PeerServer(address="127.0.0.1:0", key=KEY, handler=handlers) as running:
        yield running


@pytest.fixture
def clients(server):
    with make_clients() as made:
        made.set_peers({"owner": server.address})
        wait_until(lambda: made.connected() == ["owner"])
        yield made


def ask(rack, service="s"):
    return PermitAsk(rack=rack, service=service, wanted=1)


def test_each_question_gets_its_own_answer(clients):
    answers = {}

    def work(n):
        answers[n] = clients.ask("owner", ask(f"r{n}"), 5.0)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answers == {n: PermitReply(rack=f"r{n} for asker") for n in range(20)}


def test_a_late_answer_is_dropped_and_holds_up_no_other(clients, slow):
    with pytest.raises(PeerError, match="in time"):
        clients.ask("owner", ask("late", "slow"), 0.05)
    assert clients.ask("owner", ask("r1"), 2.0).rack == "r1 for asker"
    slow.set()
    for _ in range(3):
        assert clients.ask("owner", ask("r2"), 5.0).rack == "r2 for asker"


def test_tell_needs_no_answer(clients, hints):
    clients.tell("owner", TaskHint(rack="r", task="t"))
    wait_until(lambda: hints)
    assert hints == [("asker", TaskHint(rack="r", task="t"))]


@pytest.mark.parametrize("message", [ask("r", "broken"), ViewHint(revision=1)])
def test_a_failing_handler_keeps_the_connection(clients, message):
    with pytest.raises(PeerError):
        clients.ask("owner", message, 0.1)
    assert clients.ask("owner", ask("r"), 5.0)


def test_a_wrong_key_and_unknown_peers_are_refused_at_once(server):
    with make_clients(key="another key of the mesh") as wrong:
        wrong.set_peers({"owner": server.address, "nobody": "127.0.0.1:9"})
        time.sleep(0.3)
        assert wrong.connected() == []
        for name in ("owner", "nobody", "unknown"):
            with pytest.raises(PeerError):
                wrong.tell(name, ask("r"))


def test_an_oversized_message_ends_the_connection_and_it_comes_back(clients):
    with pytest.raises(PeerError, match="ended"):
        clients.ask("owner", ask("r" * (MAX_MESSAGE_BYTES + 1)), 5.0)
    wait_until(clients.connected)
    assert clients.ask("owner", ask("r"), 5.0)


def test_a_restarted_peer_is_reconnected_and_open_questions_fail(handlers, slow):
    with make_clients() as clients:
        with PeerServer(address="127.0.0.1:0", key=KEY, handler=handlers) as first:
            address = first.address
            clients.set_peers({"owner": address})
            wait_until(clients.connected)
            clients.tell("owner", ask("r", "slow"))
            slow.set()
        wait_until(lambda: not clients.connected())
        with pytest.raises(PeerError):
            clients.ask("owner", ask("r"), 5.0)
        with PeerServer(address=address, key=KEY, handler=handlers):
            wait_until(clients.connected)
            assert clients.ask("owner", ask("r"), 5.0)
            clients.set_peers({})
            assert clients.connected() == []

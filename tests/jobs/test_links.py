"""The link between a leader and its followers, over real connections on this machine."""

import asyncio
import math
import time
import zlib

import attrs
import pytest
import structlog

from bench._jobsimulation import queue
from fescuerudder.errors import PeerError
from fescuerudder.jobs._loopthread import log_failure
from fescuerudder.jobs._packing import MAX_UNPACKED_BYTES, unpack
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.configwatch import MAX_CONFIRMATION_AGE_S
from fescuerudder.jobs.followerlink import MAX_PULSE_AGE_S, RECONNECT_S
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leaderlink import PULSE_INTERVAL_S, _encode
from fescuerudder.jobs.linkmessages import Pulse, StoreJob
from fescuerudder.jobs.manifest import Manifest
from tests.jobs.link_simulation import JOB, LIMIT_S, wait_until


def test_a_follower_receives_job_states_and_queue_counts(links):
    """Guards against followers that miss job states, old or new, or counts of waiting jobs."""
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: link._states.get(JOB) is JobState.RUNNING)
    links.leader.publish({JOB: JobState.COMPLETED}, {"q": 5})
    wait_until(lambda: link._states.get(JOB) is JobState.COMPLETED and link.pending == {"q": 5})
    message = StoreJob(key=JOB, value=b"x", creates=True)
    assert link.store(message, timeout_s=LIMIT_S) == "stored"


@pytest.mark.parametrize(
    ("followers", "asked", "successor"),
    [
        ({"near": {"rank_s": 0.1}, "far": {"rank_s": 0.9}}, (), "near"),
        ({"near": {"rank_s": 0.1}, "far": {"rank_s": 0.9}}, ("near",), "far"),
        ({"near": {"rank_s": 0.1, "stops": True}, "far": {"rank_s": 0.9}}, (), "far"),
        ({"near": {"rank_s": 0.1, "store_age_s": 9.0}, "far": {"rank_s": 0.9}}, (), "far"),
        ({"near": {"stops": True}}, (), None),
    ],
)
def test_the_successor_is_eligible_to_claim(links, followers, asked, successor):
    """Guards against seconds without a leader because the successor stops or has lost the store."""
    links.leader.activate(links.source)
    for name, status in followers.items():
        links.follow(name, **status)
    wait_until(
        lambda: sum(f.status is not None for f in links.leader._followers.values())
        == len(followers)
    )
    assert links.leader.find_successor(asked=asked) == successor
    assert links.leader.find_successor(asked=asked, max_store_age_s=0.05) is None
    if successor is not None:
        links.leader.request_claim(successor, epoch=3)
        wait_until(lambda: links.claim_requests == [(successor, 3)])


def test_a_leader_without_pulses_is_suspect_before_it_counts_as_lost(links):
    """Guards against seconds lost before followers check on a leader whose machine vanished."""
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: link.is_connected and not link.is_suspect)
    links.loop.call(links.leader._pulse_task.cancel)
    wait_until(lambda: link.is_suspect)
    assert link.is_connected


@pytest.mark.parametrize("is_closed", [False, True])
def test_a_refused_connection_marks_the_leader_as_gone(links, is_closed):
    """Guards against a second lost at each end of a term and each crash of a leader.

    Followers must not wait for missing pulses when the leader's address refuses connections.
    """
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: link.is_connected)
    links.leader.deactivate()
    if is_closed:
        links.leader.__exit__()
    ended_s = time.monotonic()
    wait_until(lambda: not link.is_connected)
    assert link.refused
    assert time.monotonic() - ended_s < MAX_PULSE_AGE_S


def test_followers_receive_the_configuration_from_the_leader(links):
    """Guards against a large manifest that every instance reads over the slow link to the store."""
    links.leader.activate(links.source)
    early = links.follow("early")
    queues = tuple(queue(name=f"q{n}", prefix=f"/{n}/") for n in range(2000))
    manifest = Manifest(revision=7, queues=queues, pools=())
    links.config.view = ConfigView(manifest=manifest, zones_out=frozenset({"z"}), version=9)
    wait_until(lambda: early._config.view == links.config.view)
    late = links.follow("late")
    wait_until(lambda: late._config.view == links.config.view)
    for link in (early, late):
        wait_until(lambda link=link: link._config._confirmed_s is not None)
        link._config.step()
        assert link._config._source.reads == 0


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_a_follower_reads_the_configuration_itself_if_the_leader_cannot_confirm_it(
    links, is_cut_off
):
    """Guards against followers that miss a change because their leader misses it.

    Either the leader has lost the store or the followers have lost the leader.
    """
    links.config.view = ConfigView(version=9)
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: link._config._confirmed_s is not None)
    if is_cut_off:
        links.config.age_s = MAX_CONFIRMATION_AGE_S
    else:
        links.leader.deactivate()
    wait_until(lambda: link._config.step() or link._config._source.reads > 0)


def test_a_state_that_is_not_known_ends_no_link(links):
    """Guards against a follower cut off for good, without a log line, by a later version's leader.

    The task of the link ended with a ValueError that nobody saw.
    """
    links.leader.activate(links.source)
    link = links.follow("f")
    wait_until(lambda: link.is_connected)
    links.loop.call(links.leader._unsent_states.update, {"00000000000000bb": "hibernating"})
    wait_until(lambda: link._malformed == 1)
    links.leader.publish({JOB: JobState.COMPLETED}, None)
    wait_until(lambda: link._states.get(JOB) is JobState.COMPLETED)
    assert link.is_connected


@pytest.mark.parametrize(
    ("error", "lines"), [(None, 0), (ValueError("x"), 1), (asyncio.CancelledError(), 0)]
)
def test_the_failure_of_a_task_that_nobody_awaits_is_logged(error, lines):
    """Guards against relays of submissions that fail without a trace."""

    async def fail():
        if error is not None:
            raise error

    async def run():
        task = asyncio.create_task(fail())
        task.add_done_callback(log_failure("task failed"))
        await asyncio.wait([task])
        await asyncio.sleep(0)

    with structlog.testing.capture_logs() as logs:
        asyncio.run(run())
    assert [entry["event"] for entry in logs] == ["task failed"] * lines


@attrs.define
class BrokenConfig:
    """Configuration that can't be read a few times."""

    failures: int = 3
    age_s: float | None = 0.0

    @property
    def view(self):
        self.failures -= 1
        if self.failures >= 0:
            raise RecursionError("deep")
        return ConfigView(version=7)


def test_the_leader_goes_on_after_messages_that_cannot_be_sent(links):
    """Guards against a leader without pulses, which its followers take for gone."""
    links.leader.activate(attrs.evolve(links.source, config=BrokenConfig()))
    link = links.follow("f")
    links.leader.publish({}, {"\ud800": 1})
    time.sleep(3 * PULSE_INTERVAL_S)
    links.leader.publish({}, {"q": 5})
    wait_until(lambda: link.is_connected and link.pending == {"q": 5})
    assert not links.leader._pulse_task.done() and not links.leader._config_task.done()


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1", "", "[::1", "a b:1", "\u20ac:1"]
)
def test_a_follower_goes_on_after_a_claim_with_an_odd_address(links, address):
    """Guards against a follower that never connects again, because its link has ended."""
    link = links.follow("f")
    link.follow(Claim(epoch=2, instance="odd", address=address, key="k"))
    wait_until(lambda: link._claim is not None and link._claim.instance == "odd")
    time.sleep(2 * RECONNECT_S)
    assert not link._task.done()
    links.leader.activate(links.source)
    link.follow(links.source.claim)
    wait_until(lambda: link.is_connected)


@pytest.mark.parametrize("age_s", [math.nan, -1e9, -math.inf])
def test_an_odd_age_confirms_no_configuration(links, age_s):
    """Guards against a follower that never reads the configuration again."""
    link = links.follow("f")
    pulse = Pulse(epoch=links.source.claim.epoch, config_version=0, config_age_s=age_s)
    link._handle(links.source.claim, _encode(pulse))
    assert link._config._confirmed_s is None


@pytest.mark.parametrize(
    "data",
    [b"", b"x", zlib.compress(b"\x81" * 100_000), zlib.compress(bytes(MAX_UNPACKED_BYTES + 1))],
)
def test_odd_packed_data_is_an_error_of_the_peer(data):
    """Guards against memory that one message fills, and errors that end a link."""
    with pytest.raises(PeerError):
        unpack(data, ConfigView)

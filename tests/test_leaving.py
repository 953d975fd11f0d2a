"""P8 on a manual clock: no request starts on an upstream more than 3 s after it began to leave.

Covers every step from the last status without `leaving` to the first byte of a request.
"""

import random
import socket
import threading

import pytest
from result import Err

from fescuerudder import upstream as upstream_module
from fescuerudder.clock import ManualClock
from fescuerudder.errors import PeerError
from fescuerudder.permitholder import PermitHolder
from fescuerudder.permits import PERMIT_TTL_S, UPSTREAM_FRESH_S, PermitGranter, WorkerSlots
from fescuerudder.routes import RackRoute, WorkerRoute
from fescuerudder.upstream import Request, Upstream

BOUND_S = 3.0
RACK = "rack-1"
STEP_S = 0.05
OBSERVED_S = 8.0
ACQUIRE_TIMEOUT_S = 1.0
HANGING = "no owner, and probes hang"


class LeavingSimulation:
    """A permit holder, a rack's owner and a worker that leaves.

    Args:
        mode: fault from the moment when the worker leaves.
        status_delay_s: age of each status when the owner applies it.
        ask_delay_s: time from sending a request for permits to applying its answer.
    """

    def __init__(self, *, mode, status_delay_s, ask_delay_s):
        self.clock = ManualClock()
        self.mode = mode
        self.ask_delay_s = ask_delay_s
        self.status_delay_s = status_delay_s
        self.leaving = False
        self.granter = PermitGranter(rack=RACK, epoch=1, clock=self.clock)
        self.holder = PermitHolder(
            clock=self.clock,
            rng=random.Random(1),
            ask=self.ask,
            probe=self.probe,
            run=self.run,
        )
        route = WorkerRoute(worker="w0", data="10.0.0.1:80", services=frozenset({"draw"}))
        self.holder.update_racks([RackRoute(rack=RACK, near=True, workers=(route,))])

    def ask(self, rack, ask):
        if self.mode == HANGING or self.leaving and self.mode == "holder cut off":
            raise PeerError("cut")
        reply = self.granter.answer("a", ask)
        self.clock.advance(seconds=self.ask_delay_s)
        return reply

    def run(self, work):
        """Runs an exchange or a probe, unless it hangs forever."""
        if not (self.leaving and self.mode == HANGING):
            work()

    def probe(self, route):
        """Returns the worker's answer to a probe, which is always correct."""
        return not self.leaving

    def read_status(self):
        """Applies the worker's status as the owner's poll does, unless a fault prevents it."""
        if self.leaving and self.mode in ("owner reads no status", "holder cut off"):
            return
        worker = WorkerSlots(
            worker="w0",
            data="10.0.0.1:80",
            slots=2,
            services=frozenset({"draw"}),
            leaving=self.leaving,
            status_age_s=self.status_delay_s,
        )
        self.granter.update_workers([worker])

    def try_once(self):
        """Returns the permit that a request would get at this moment, or None."""
        self.holder.step()
        return self.holder.acquire("draw", self.clock.now_s() + ACQUIRE_TIMEOUT_S)

    def wait_s(self, event, timeout_s):
        """Replaces waiting by the exchange that would happen meanwhile."""
        self.holder.step()
        return event.is_set()


@pytest.mark.parametrize("ask_delay_s", [0.0, 0.4])
@pytest.mark.parametrize("status_delay_s", [0.0, 0.9])
@pytest.mark.parametrize("mode", ["seen", "owner reads no status", "holder cut off", HANGING])
def test_no_permit_is_used_later_than_the_bound(mode, status_delay_s, ask_delay_s):
    """Guards against permits that are usable more than 3 s after the worker began to leave."""
    sim = LeavingSimulation(mode=mode, status_delay_s=status_delay_s, ask_delay_s=ask_delay_s)
    sim.clock.wait_s = sim.wait_s
    left_s, used_s, late_use = 2.0, [], []
    next_poll_s = 0.0
    while sim.clock.now_s() < left_s + OBSERVED_S:
        now = sim.clock.now_s()
        sim.leaving = now >= left_s
        if now >= next_poll_s:
            sim.read_status()
            next_poll_s = now + 1.0
        permit = sim.try_once()
        if permit is not None:
            start_by_s = sim.clock.now_s() + permit.ttl_s
            used_s.append(sim.clock.now_s())
            late_use.append(start_by_s - left_s)
            sim.holder.release(permit, True)
        sim.clock.advance(seconds=STEP_S)
    assert any(at < left_s for at in used_s), "the worker was never used"
    assert max(used_s) <= left_s + BOUND_S
    assert max(late_use) <= BOUND_S + 1e-9


def make_request(clock):
    return Request(
        service="draw",
        method="POST",
        target="/draw/x",
        body=b"b",
        deadline_s=clock.now_s() + 30.0,
        trace_id="t",
    )


def test_lifetimes_of_permits_and_statuses_are_within_the_bound():
    """Guards against constants that are raised above the guaranteed bound."""
    assert max(PERMIT_TTL_S, UPSTREAM_FRESH_S) <= BOUND_S


@pytest.mark.parametrize(("slow_s", "sent"), [(0.1, True), (0.3, False)])
def test_a_slow_connection_does_not_outlive_the_permit(monkeypatch, slow_s, sent):
    """Guards against a request that is sent although its permit expired while connecting."""
    clock = ManualClock()
    got = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def accept():
            conn, _ = server.accept()
            with conn:
                got.append(conn.recv(65536))

        thread = threading.Thread(target=accept, daemon=True)
        thread.start()
        connect = upstream_module._Connection.connect

        def connect_slowly(self):
            connect(self)
            clock.advance(seconds=slow_s)

        monkeypatch.setattr(upstream_module._Connection, "connect", connect_slowly)
        permit = upstream_module.SlotPermit(
            rack="r",
            worker="w0",
            data=f"127.0.0.1:{server.getsockname()[1]}",
            slot=0,
            serial=1,
            ttl_s=0.2,
        )
        with Upstream(clock=clock, new_id=lambda: "i") as forwarder:
            res = forwarder.forward(permit, make_request(clock))
        thread.join(timeout=5)
    assert isinstance(res, Err)
    assert res.err_value.outcome == ("unknown" if sent else "not_run")
    assert bool(got and got[0]) == sent

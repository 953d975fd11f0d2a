"""The kernel starts services in order, finds them by name and stops them in reverse."""

import threading

import pytest

from fescuerudder.errors import KernelError
from fescuerudder.kernel import Kernel
from fescuerudder.service import PeriodicService


class Recorder:
    def __init__(self, *, name, log, fails=False):
        self.name, self.log, self.fails = name, log, fails

    def start(self):
        self.log.append(f"start {self.name}")

    def stop(self):
        self.log.append(f"stop {self.name}")
        if self.fails:
            raise RuntimeError("stop failed")


def test_services_stop_in_reverse_order_even_if_one_fails():
    """Guards against resources left open because an earlier service failed to stop."""
    log = []
    with Kernel() as kernel:
        kernel.add("a", lambda _: Recorder(name="a", log=log))
        kernel.add("b", lambda _: Recorder(name="b", log=log, fails=True))
        assert kernel.find("a").name == "a"
    assert log == ["start a", "start b", "stop b", "stop a"]


@pytest.mark.parametrize("action", ["find missing", "add twice"])
def test_wrong_names_are_refused(action):
    """Guards against a service silently replaced or silently missing."""
    with Kernel() as kernel:
        kernel.add("a", lambda _: Recorder(name="a", log=[]))
        with pytest.raises(KernelError):
            if action == "find missing":
                kernel.find("b")
            else:
                kernel.add("a", lambda _: Recorder(name="a", log=[]))


def test_periodic_service_survives_a_failing_step():
    """Guards against a control loop that ends for good after one exception."""
    calls = []
    done = threading.Event()

    def step():
        calls.append(1)
        if len(calls) == 1:
            raise ValueError("first step fails")
        done.set()

    service = PeriodicService(name="s", interval_s=lambda: 0.001, step=step)
    service.start()
    assert done.wait(10)
    service.stop()

"""Reloading of settings while an instance runs."""

import attrs
import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.nodesettings import NodeSettings
from fescuerudder.jobs.settingsreloader import CHECK_INTERVAL_S, SettingsReloader

CFG = NodeSettings(
    instance="a",
    zone="z",
    region="r",
    callers="127.0.0.1:1",
    health="127.0.0.1:2",
    metrics_port=9,
    ip="127.0.0.1",
    first_port=3,
    store="127.0.0.1:4",
    cores=1.0,
    max_lease_s=6.0,
    grace_s=6.0,
)


def refuse():
    raise SettingsError(problems=["zone is missing"])


def fail():
    raise RecursionError("deep")


@pytest.mark.parametrize(
    ("read", "signalled", "passed_s", "grace_s"),
    [
        (lambda: attrs.evolve(CFG, grace_s=9.0), True, 0.0, 9.0),
        (lambda: attrs.evolve(CFG, grace_s=9.0), False, CHECK_INTERVAL_S, 9.0),
        (lambda: attrs.evolve(CFG, grace_s=9.0), False, 0.0, 6.0),
        (lambda: CFG, True, 0.0, 6.0),
        (refuse, True, CHECK_INTERVAL_S, 6.0),
        (fail, True, CHECK_INTERVAL_S, 6.0),
    ],
)
def test_changed_settings_are_applied(read, signalled, passed_s, grace_s):
    """Guards against missed changes, and against invalid settings that end the process."""
    clock = ManualClock()
    reload = SettingsReloader(cfg=CFG, read=read, clock=clock)
    if signalled:
        reload.request_reload()
    clock.advance(seconds=passed_s)
    assert reload.reload_if_due() is (grace_s != CFG.grace_s)
    assert reload.cfg.grace_s == grace_s


def test_a_signal_triggers_one_read():
    """Guards against a signal that stays set, so that every step reads the file again."""
    reads = []
    reload = SettingsReloader(cfg=CFG, read=lambda: reads.append(1) or CFG, clock=ManualClock())
    reload.request_reload()
    reload.reload_if_due()
    reload.reload_if_due()
    assert len(reads) == 1

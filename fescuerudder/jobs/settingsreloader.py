"""Reloads settings while an instance runs: on a signal, and at regular intervals."""

import threading
from collections.abc import Callable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.nodesettings import NodeSettings

CHECK_INTERVAL_S = 2.0
"""Time between two reads without a signal."""

LIVE_FIELDS = frozenset({"grace_s", "max_lease_s"})
"""Settings that take effect at once; the others take effect at the next start."""

_log = structlog.get_logger(__name__)


class SettingsReloader:
    """Keeps the settings of a running instance up to date.

    Args:
        cfg: settings at the start.
        read: reads and checks the settings; raises SettingsError.
        clock: source of time.
    """

    def __init__(
        self, *, cfg: NodeSettings, read: Callable[[], NodeSettings], clock: Clock
    ) -> None:
        self.cfg = cfg
        self._read = read
        self._clock = clock
        self._signalled = threading.Event()
        self._last_error = ""
        self._next_s = clock.now_s() + CHECK_INTERVAL_S

    def request_reload(self) -> None:
        """Makes the next `reload_if_due` read the settings; safe in a signal handler."""
        self._signalled.set()

    def reload_if_due(self) -> bool:
        """Reads the settings if a read is due; returns whether they have changed."""
        is_requested = self._signalled.is_set()
        if not is_requested and self._clock.now_s() < self._next_s:
            return False
        self._signalled.clear()
        self._next_s = self._clock.now_s() + CHECK_INTERVAL_S
        try:
            cfg = self._read()
        except SettingsError as exc:
            if is_requested or str(exc) != self._last_error:
                _log.error("changed settings refused, the old ones stay", reason=str(exc))
            self._last_error = str(exc)
            return False
        except Exception:
            # An error that the reader doesn't expect must not end a running instance.
            _log.exception("changed settings not read, the old ones stay")
            return False
        self._last_error = ""
        changed = _changed(self.cfg, cfg)
        if is_requested or changed:
            _log.info(
                "settings read again",
                signalled=is_requested,
                changed=sorted(changed),
                at_next_start=sorted(changed - LIVE_FIELDS),
            )
        self.cfg = cfg
        return bool(changed)


def _changed(old: NodeSettings, new: NodeSettings) -> set[str]:
    return {
        field.name
        for field in attrs.fields(NodeSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    }

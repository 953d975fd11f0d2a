"""Keeps the configuration of an instance up to date; a manifest's revision never decreases.

The leader reads the configuration from the store and sends it to its followers. An instance reads
the store itself unless the leader has recently confirmed the configuration.
"""

import math
import random
import threading
from collections.abc import Callable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.accounts import NO_ACCOUNT, AccountIndex
from fescuerudder.jobs.configpatch import ConfigPatch, apply_patch
from fescuerudder.jobs.configview import ConfigSource, ConfigView
from fescuerudder.jobs.manifest import Queue, QueueIndex
from fescuerudder.jobs.rows import HistoryLostError

CHANGE_WAIT_S = 0.3
"""Time that the store waits for a change."""

STORE_RETRY_S = 0.2
MAX_STORE_RETRY_S = 1.6
"""Pause after the first failed read, and the longest one; it doubles with each failure."""

CHANGE_PAUSE_S = 0.3
"""Shortest time from a read that found a change to the next one. The store sends the whole manifest
for each change, and many instances that read each change of a quick succession fill the link
between regions."""

MAX_CONFIRMATION_AGE_S = 1.6
"""Age up to which the leader's confirmation is valid. Two reads of the leader with a pause between
them, the interval of the pulses and a slow call may come together."""

CONFIRMATION_POLL_S = 0.1

_log = structlog.get_logger(__name__)


class ConfigWatch:
    """Follows the configuration; a context manager.

    Args:
        source: reads what operators wrote.
        clock: source of time.
        on_change: called with each new view.
    """

    def __init__(
        self, *, source: ConfigSource, clock: Clock, on_change: Callable[[ConfigView], None]
    ) -> None:
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._view = ConfigView()
        self._index = QueueIndex(queues=())
        self._accounts = AccountIndex()
        self._position: int | None = None
        self._apply_lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        self._read_s: float | None = None
        self._confirmed_s: float | None = None
        self._next_read_s = -math.inf
        self._rng = random.Random()

    def __enter__(self) -> "ConfigWatch":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()

    @property
    def view(self) -> ConfigView:
        """The latest configuration, from the store or the leader."""
        return self._view

    @property
    def age_s(self) -> float | None:
        """Time since this instance itself found `view` to be the store's configuration."""
        return None if self._read_s is None else self._clock.now_s() - self._read_s

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request.

        Raises:
            LookupError: there is no manifest yet.
        """
        if self._view.manifest is None:
            raise LookupError("no manifest yet")
        return self._index.find(host=host, path=path)

    def find_account(self, key: str | None, *, is_public: bool) -> str | None:
        """Returns the account of a call, empty if it has none; None if the call is to be refused.

        Args:
            key: the key that the call carries, if any.
            is_public: the call needs no key.
        """
        manifest = self._view.manifest
        if manifest is None or not manifest.accounts:
            return NO_ACCOUNT
        account = self._accounts.find(key) if key is not None else None
        return NO_ACCOUNT if account is None and is_public else account

    def receive(self, view: ConfigView) -> None:
        """Applies a configuration that the leader sent."""
        self._apply(view, source="leader")

    def receive_patch(self, patch: ConfigPatch) -> bool:
        """Applies changes that the leader sent; returns False if they don't apply to `view`."""
        current = self._view
        if patch.version <= current.version:
            return True
        view = apply_patch(current, patch)
        if view is not None:
            self._apply(view, source="leader")
        return view is not None

    def confirm(self, *, version: int, age_s: float) -> None:
        """Records the leader's confirmation that nothing has changed since a version.

        Args:
            version: version of the leader's configuration.
            age_s: time since the leader found it to be the store's.
        """
        if self._view.version >= version:
            self._confirmed_s = self._clock.now_s() - age_s

    def _run(self) -> None:
        failures = 0
        while not self._stopping.is_set():
            try:
                self.step()
                failures = 0
            except HistoryLostError:
                self._position = None
            except StoreUnavailableError as exc:
                _log.warning("configuration not read", reason=str(exc))
                self._clock.wait_s(self._stopping, retry_pause_s(failures, self._rng))
                failures += 1
            except Exception:
                _log.exception("configuration not taken")
                self._clock.wait_s(self._stopping, STORE_RETRY_S)

    def step(self) -> None:
        """Waits for a change in the store, or only for a moment if the leader has confirmed `view`.

        Raises:
            HistoryLostError: the whole configuration has to be read again.
            StoreUnavailableError: the store can't be read.
        """
        started_s = self._clock.now_s()
        if self._confirmed_s is not None and started_s - self._confirmed_s < MAX_CONFIRMATION_AGE_S:
            self._clock.wait_s(self._stopping, CONFIRMATION_POLL_S)
            return
        self._clock.wait_s(self._stopping, max(0.0, self._next_read_s - started_s))
        started_s = self._clock.now_s()
        if self._position is None:
            view = self._source.read()
            position = view.version
        else:
            after = max(self._position, self._view.version)
            change = self._source.follow(self._view, after=after, wait_s=CHANGE_WAIT_S)
            view, position = change.view, change.position
        if view.version > self._view.version:
            self._next_read_s = started_s + CHANGE_PAUSE_S
        self._apply(view, source="store")
        self._position = position
        self._read_s = started_s

    def _apply(self, view: ConfigView, *, source: str) -> None:
        with self._apply_lock:
            current, manifest = self._view.manifest, view.manifest
            if current is None and manifest is not None and view.version <= self._view.version:
                # What this instance read itself was malformed; others know the last good one.
                view = attrs.evolve(self._view, manifest=manifest)
            elif view.version <= self._view.version:
                return
            if current is not None and (manifest is None or manifest.revision < current.revision):
                view = attrs.evolve(view, manifest=current)
            elif manifest is not None and (current is None or manifest.revision > current.revision):
                self._index = QueueIndex(queues=manifest.queues)
                self._accounts = AccountIndex(accounts=manifest.accounts)
                _log.info(
                    "manifest taken",
                    revision=manifest.revision,
                    queues=len(manifest.queues),
                    accounts=len(manifest.accounts),
                    source=source,
                )
            if view.zones_out != self._view.zones_out:
                _log.info("zones out of service", zones=sorted(view.zones_out), at=view.version)
            self._view = view
        self._on_change(view)


def retry_pause_s(failures: int, rng: random.Random) -> float:
    """Returns the pause after a failed read: exponential, spread by up to a half.

    Args:
        failures: number of reads that have failed before it, one after another.
        rng: source of randomness.
    """
    return min(MAX_STORE_RETRY_S, STORE_RETRY_S * 2**failures) * rng.uniform(0.5, 1.0)

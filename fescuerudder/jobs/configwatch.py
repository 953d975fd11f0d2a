"""Keeps the configuration of an instance up to date; a manifest never goes back."""

import threading
from collections.abc import Callable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.configview import ConfigSource, ConfigView
from fescuerudder.jobs.manifest import Queue, QueueIndex
from fescuerudder.jobs.rows import HistoryLostError

WAIT_S = 1.0
"""A connection that has gone silent is noticed after this time and a grace."""

RETRY_S = 0.2

_log = structlog.get_logger(__name__)


class ConfigWatch:
    """Reads the configuration whenever it changes; a context manager.

    Args:
        source: what operators wrote.
        clock: source of time.
        on_change: called with each new view, in the watching thread.
    """

    def __init__(
        self, *, source: ConfigSource, clock: Clock, on_change: Callable[[ConfigView], None]
    ) -> None:
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._view = ConfigView()
        self._index = QueueIndex(queues=())
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        self.confirmed_s: float | None = None

    def __enter__(self) -> "ConfigWatch":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()

    @property
    def view(self) -> ConfigView:
        """The configuration as last read."""
        return self._view

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request.

        Raises:
            LookupError: there is no manifest yet.
        """
        if self._view.manifest is None:
            raise LookupError("no manifest yet")
        return self._index.find(host=host, path=path)

    def _run(self) -> None:
        must_read = True
        while not self._stopping.is_set():
            try:
                if must_read:
                    self._take(self._source.read())
                started_s = self._clock.now_s()
                must_read = self._source.wait(after=self._view.version, wait_s=WAIT_S)
                self.confirmed_s = started_s
            except HistoryLostError:
                must_read = True
            except StoreUnavailableError as exc:
                _log.warning("configuration not read", reason=str(exc))
                must_read = True
                self._clock.wait_s(self._stopping, RETRY_S)
            except Exception:
                _log.exception("configuration not taken")
                self._clock.wait_s(self._stopping, RETRY_S)

    def _take(self, view: ConfigView) -> None:
        self.confirmed_s = self._clock.now_s()
        known, manifest = self._view.manifest, view.manifest
        if known is not None and (manifest is None or manifest.revision < known.revision):
            view = attrs.evolve(view, manifest=known)
        elif manifest is not None and (known is None or manifest.revision > known.revision):
            self._index = QueueIndex(queues=manifest.queues)
            _log.info("manifest taken", revision=manifest.revision, queues=len(manifest.queues))
        if view.zones_out != self._view.zones_out:
            _log.info("zones out of service", zones=sorted(view.zones_out), version=view.version)
        self._view = view
        self._on_change(view)

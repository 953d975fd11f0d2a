"""Configuration as an instance last read it."""

from typing import Protocol

import attrs

from fescuerudder.jobs.manifest import Manifest


@attrs.frozen(kw_only=True)
class ConfigView:
    """Configuration in force.

    Args:
        manifest: the newest manifest, None if there is none yet.
        zones_out: zones that operators took out of service.
        version: version of the store at which the configuration was read or last changed.
    """

    manifest: Manifest | None = None
    zones_out: frozenset[str] = frozenset()
    version: int = 0


@attrs.frozen(kw_only=True)
class ConfigChange:
    """Result of waiting for a change.

    Args:
        view: the configuration, the same as before if nothing has changed.
        position: version of the store after which to wait for the next change.
    """

    view: ConfigView
    position: int


class ConfigSource(Protocol):
    """Reads the configuration that operators wrote.

    All methods raise StoreUnavailableError if the store can't be read.
    """

    def read(self) -> ConfigView:
        """Returns the configuration."""

    def follow(self, view: ConfigView, *, after: int, wait_s: float) -> ConfigChange:
        """Waits up to `wait_s` for a change after a version and applies it to `view`.

        Raises:
            HistoryLostError: the store no longer keeps the changes after `after`.
        """

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
        version: version of the store at which it was read.
    """

    manifest: Manifest | None = None
    zones_out: frozenset[str] = frozenset()
    version: int = 0


class ConfigSource(Protocol):
    """Reads what operators wrote. All methods raise StoreUnavailableError."""

    def read(self) -> ConfigView:
        """Returns the configuration."""

    def wait(self, *, after: int, wait_s: float) -> bool:
        """Waits up to `wait_s` for a change after a version; returns whether there was one.

        Raises:
            HistoryLostError: the changes are no longer kept.
        """

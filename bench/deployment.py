"""What a launcher starts: zones, racks, workers and entry instances with their flags."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Zone:
    """One availability zone of a deployment.

    Args:
        name: zone name.
        region: its region.
        racks: number of racks.
        entries: number of entry instances.
    """

    name: str
    region: str
    racks: int = 1
    entries: int = 1


@attrs.frozen(kw_only=True)
class Deployment:
    """What to start.

    Args:
        zones: zones with their racks and entry instances.
        workers_per_rack: workers in each rack.
        lag_s: lag of the membership list in seconds.
        relay_store: put a relay between each entry instance and the store.
        relay_members: put a relay between each entry instance and the membership list.
        relay_workers: put relays before the control and data address of each worker.
        relay_worker_store: put a relay between each worker and the object store.
        worker_flags: further flags of all workers.
        worker_flags_by_id: further flags of single workers, by id.
        entry_flags: further flags of all entry instances.
        peer_key: shared key of the entry instances.
        operator_key: key of the operators.
    """

    zones: tuple[Zone, ...]
    workers_per_rack: int = 8
    lag_s: float = 2.0
    relay_store: bool = False
    relay_members: bool = False
    relay_workers: bool = False
    relay_worker_store: bool = False
    worker_flags: Mapping[str, Any] = attrs.field(factory=dict)
    worker_flags_by_id: Mapping[str, Mapping[str, Any]] = attrs.field(factory=dict)
    entry_flags: Mapping[str, Any] = attrs.field(factory=dict)
    peer_key: str = "peer-key-for-tests-only"
    operator_key: str = "operator-key-for-tests-only"

    @property
    def needs_relay(self) -> bool:
        """Whether any connection passes a relay."""
        flags = (self.relay_store, self.relay_members, self.relay_workers, self.relay_worker_store)
        return any(flags)

    def worker_places(self) -> Iterator[tuple[str, str, Zone]]:
        """Yields worker id, rack and zone of each worker."""
        for zone in self.zones:
            for rack_number in range(1, zone.racks + 1):
                rack = f"rack-{zone.name}-{rack_number}"
                for number in range(1, self.workers_per_rack + 1):
                    yield f"worker-{zone.name}-{rack_number}-{number}", rack, zone

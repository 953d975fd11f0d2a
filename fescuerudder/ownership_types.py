"""Data about the ownership of racks that several modules share."""

from typing import Any

import attrs
import cattrs

from fescuerudder.document import Size


@attrs.frozen(kw_only=True)
class RackLease:
    """Ownership of a rack as its owner acquired it.

    Args:
        rack: rack id.
        epoch: fencing token; each acquisition has its own.
        version: version of the rack row that records the ownership.
        gained_at_s: time of acquisition on the owner's clock.
        planned: whether the predecessor handed the rack over.
        continuous: whether nobody else has owned the rack since this instance last did.
    """

    rack: str
    epoch: int
    version: int
    gained_at_s: float
    planned: bool
    continuous: bool = False

    def is_same_ownership(self, other: "RackLease") -> bool:
        """Returns whether nobody has owned the rack between the two acquisitions."""
        return (self.rack, self.epoch, self.version) == (other.rack, other.epoch, other.version)


@attrs.frozen(kw_only=True)
class UpstreamState:
    """What routing needs to know of a worker.

    Args:
        worker: worker id.
        data: `ip:port` for requests.
        slots: requests at a time.
        services: services with a running replica.
        leaving: whether it takes no new work.
        status_age_s: age of the status in seconds when the summary was made.
    """

    worker: str
    data: str
    slots: int
    services: tuple[str, ...] = ()
    leaving: bool = False
    status_age_s: float = 0.0


@attrs.frozen(kw_only=True)
class RackSummary:
    """State of a rack that its owner publishes in its session row.

    Args:
        rack: rack id.
        zone: availability zone.
        epoch: epoch of the owner.
        free: uncommitted resources of each worker that takes new work.
        largest: capacities of the workers, without those contained in another.
        used: committed resources by team.
        queue_length: tasks that wait.
        running: tasks that are assigned to its workers.
        running_batch: batch tasks among them.
        upstreams: state of each worker.
    """

    rack: str
    zone: str
    epoch: int = 0
    free: tuple[Size, ...] = ()
    largest: tuple[Size, ...] = ()
    used: dict[str, Size] = attrs.field(factory=dict)
    queue_length: int = 0
    running: int = 0
    running_batch: int = 0
    upstreams: tuple[UpstreamState, ...] = ()

    def dump(self) -> dict[str, Any]:
        """Returns JSON-compatible data without the fields that have their default value.

        Every instance reads every summary each second, so their size matters.
        """
        return _CONVERTER.unstructure(self)

    @classmethod
    def load(cls, data: dict[str, Any]) -> "RackSummary":
        """Returns the summary of `data`; unknown fields are ignored."""
        return _CONVERTER.structure(data, cls)


_CONVERTER = cattrs.Converter(omit_if_default=True)

"""Knowledge about tasks learned from reports; stored, so that the next leader can use it."""

import json

import attrs

from fescuerudder.jobs.estimates import Estimates
from fescuerudder.jobs.headroom import Headrooms
from fescuerudder.jobs.progress import StoredFormError


@attrs.frozen(kw_only=True)
class Knowledge:
    """What the leaders have learned about tasks.

    Args:
        estimates: processors that tasks use.
        headrooms: latency headroom of tasks, and how they interfere with each other.
    """

    estimates: Estimates = attrs.Factory(Estimates)
    headrooms: Headrooms = attrs.Factory(Headrooms)

    def dump(self) -> bytes:
        """Returns the stored form."""
        raw = {"estimates": self.estimates.dump(), "effects": self.headrooms.dump()}
        return json.dumps(raw, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Adds the knowledge that an earlier leader stored.

        Raises:
            StoredFormError: the data is malformed.
        """
        try:
            raw = json.loads(data)
            self.estimates.restore(raw["estimates"])
            self.headrooms.restore(raw["effects"])
        except (ValueError, KeyError, TypeError) as exc:
            raise StoredFormError(f"malformed knowledge: {type(exc).__name__}") from exc

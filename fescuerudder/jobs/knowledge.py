"""Knowledge about tasks learned from reports; stored, so that the next leader can use it."""

import json

import attrs

from fescuerudder import checked
from fescuerudder.jobs.estimates import UsageEstimates
from fescuerudder.jobs.headroom import HeadroomModel
from fescuerudder.jobs.progress import StoredFormError


@attrs.frozen(kw_only=True)
class Knowledge:
    """What the leaders have learned about tasks.

    Args:
        estimates: processors that tasks use.
        headroom_model: latency headroom of tasks, and how they interfere with each other.
    """

    estimates: UsageEstimates = attrs.Factory(UsageEstimates)
    headroom_model: HeadroomModel = attrs.Factory(HeadroomModel)

    def dump(self) -> bytes:
        """Returns the stored form."""
        raw = {"estimates": self.estimates.dump(), "effects": self.headroom_model.dump()}
        return json.dumps(raw, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Adds the knowledge that an earlier leader stored.

        Raises:
            StoredFormError: the data is malformed.
        """
        try:
            raw = checked.load_json(data)
            self.estimates.restore(raw["estimates"])
            self.headroom_model.restore(raw["effects"])
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            raise StoredFormError(f"malformed knowledge: {checked.reason(exc)}") from exc

"""Knowledge about tasks learned from reports; stored, so that the next leader can use it."""

import json
from typing import Any

import attrs
import structlog

from fescuerudder import checked
from fescuerudder.jobs.estimates import UsageEstimates
from fescuerudder.jobs.headroom import HeadroomModel
from fescuerudder.jobs.progress import StoredFormError

MAX_KNOWLEDGE_BYTES = 56_000
"""Size of the stored form; the store's limit is 65,536 bytes."""

_log = structlog.get_logger(__name__)


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
        """Returns the stored form; what doesn't fit is left out, the least recently used first."""
        shares, effects = self.estimates.dump(), self.headroom_model.dump()
        entries = len(shares) + len(effects)
        data = _dump(shares, effects)
        while len(data) > MAX_KNOWLEDGE_BYTES:
            # The least recently used entries are the first ones.
            shares = dict(list(shares.items())[len(shares) // 4 + 1 :])
            effects = effects[len(effects) // 4 + 1 :]
            data = _dump(shares, effects)
        self._report_evicted(entries - len(shares) - len(effects))
        return data

    def _report_evicted(self, left_out: int) -> None:
        evicted = self.estimates.evicted + self.headroom_model.evicted
        self.estimates.evicted = self.headroom_model.evicted = 0
        if evicted or left_out:
            _log.info("knowledge evicted", entries=evicted, not_stored=left_out)

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


def _dump(shares: dict[str, float], effects: list[list[Any]]) -> bytes:
    raw = {"estimates": shares, "effects": effects}
    return json.dumps(raw, separators=(",", ":")).encode()

"""Settings for what waits, and what is slowed down, where capacity is short."""

import enum
from typing import TypeVar

import attrs

_Choice = TypeVar("_Choice", bound=enum.StrEnum)


class OverloadOrder(enum.StrEnum):
    """Order of waiting steps in a pool in which work waits for capacity.

    VALUE_DENSITY is the order that applies everywhere else, too. LATE_LAST puts jobs that can be in
    time before late ones, by learned run times, then goes by the value for each core second.
    """

    VALUE_DENSITY = "value-density"
    LATE_LAST = "late-last"


class LatencyMargins(enum.StrEnum):
    """Headroom that latency-critical tasks keep from best-effort ones beside them.

    ADAPTIVE keeps a wide margin while best-effort work runs, and narrows it as that work waits.
    AT_TARGET only keeps the latency targets, so best-effort jobs are late less often, and
    latency-critical tasks miss their targets more often.
    """

    ADAPTIVE = "adaptive"
    AT_TARGET = "at-target"


@attrs.frozen(kw_only=True)
class SchedulingPolicy:
    """Choices of the operators; those of the leader apply.

    Args:
        overload_order: order of waiting steps in pools that are short of capacity.
        latency_margins: headroom of latency-critical tasks.
    """

    overload_order: OverloadOrder = OverloadOrder.VALUE_DENSITY
    latency_margins: LatencyMargins = LatencyMargins.ADAPTIVE


DEFAULT_POLICY = SchedulingPolicy()


def parse_choice(choices: type[_Choice], text: str) -> _Choice:
    """Returns the choice with a name.

    Raises:
        ValueError: there is none; the message lists the names.
    """
    try:
        return choices(text)
    except ValueError:
        raise ValueError(f"must be one of {', '.join(choices)}, got {text!r}") from None

"""Setting for the order of waiting steps in pools that are short of capacity."""

import enum


class OverloadOrder(enum.StrEnum):
    """Order of waiting steps in a pool in which work waits for capacity.

    VALUE_DENSITY is the order that applies everywhere else, too. LATE_LAST puts jobs that can be in
    time before late ones, by learned run times, then goes by the value for each core second.
    """

    VALUE_DENSITY = "value-density"
    LATE_LAST = "late-last"


def parse_overload_order(text: str) -> OverloadOrder:
    """Returns the order with a name.

    Raises:
        ValueError: there is none; the message lists the names.
    """
    try:
        return OverloadOrder(text)
    except ValueError:
        raise ValueError(f"must be one of {', '.join(OverloadOrder)}, got {text!r}") from None

"""Types that describe the ownership of racks."""

import attrs


@attrs.frozen(kw_only=True)
class RackLease:
    """Ownership of one rack by this instance.

    Args:
        rack: rack id.
        epoch: fencing token; increases with each change of owner.
        version: version of the rack row; every write for the rack's tasks checks it.
        gained_at_s: time on this instance's clock at which it learned of its ownership.
        planned: whether the predecessor stopped all its work for the rack before it left.
        continuous: whether no other instance ever owned the rack.
    """

    rack: str
    epoch: int
    version: int
    gained_at_s: float
    planned: bool
    continuous: bool = False

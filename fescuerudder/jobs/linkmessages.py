"""Messages between the leader and the other instances."""

import attrs


@attrs.frozen(kw_only=True)
class Follow:
    """First message of a follower.

    Args:
        instance: its id.
    """

    instance: str


@attrs.frozen(kw_only=True)
class FollowerStatus:
    """Tells the leader how a follower reaches the store.

    Args:
        store_age_s: time since its last successful call, in seconds.
        rank_s: delay with which it would claim; the lowest suits best as a successor.
        stops: its planned stop has begun, so it won't claim.
    """

    store_age_s: float
    rank_s: float
    stops: bool = False


@attrs.frozen(kw_only=True)
class Pulse:
    """Shows followers that the leader lives, and what is new.

    Args:
        epoch: number of its term.
        states: states of jobs that are stored and were not told yet, by job id.
        pending: jobs of each queue of which no task has started, None if it isn't told.
        config_version: version of its configuration.
        config_age_s: time since it found that configuration to be the store's, None if it
            never did.
    """

    epoch: int
    states: dict[str, str] = attrs.Factory(dict)
    pending: dict[str, int] | None = None
    config_version: int = 0
    config_age_s: float | None = None


@attrs.frozen(kw_only=True)
class ConfigNews:
    """Tells followers the configuration.

    Args:
        epoch: number of the leader's term.
        form: the configuration as `configview.dump_view` returns it.
    """

    epoch: int
    form: bytes


@attrs.frozen(kw_only=True)
class ClaimNow:
    """Asks a follower to claim the leadership at once.

    Args:
        epoch: epoch of the leader that asks.
    """

    epoch: int


@attrs.frozen(kw_only=True)
class StoreJob:
    """Asks the leader to store a row for a follower that the store turns away.

    Args:
        key: key of the row in the table of jobs.
        value: its value.
        creates: it must not exist yet.
    """

    key: str
    value: bytes
    creates: bool


@attrs.frozen(kw_only=True)
class StoreOutcome:
    """Answer to `StoreJob`.

    Args:
        outcome: `stored`, `refused` if it certainly was not, or `unknown`.
    """

    outcome: str


LINK_TYPES = (Follow, FollowerStatus, Pulse, ConfigNews, ClaimNow, StoreJob, StoreOutcome)
"""All messages, for the codec."""

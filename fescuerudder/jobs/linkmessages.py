"""Messages between the leader and the other instances."""

import attrs


@attrs.frozen(kw_only=True)
class Follow:
    """First message of a follower.

    Args:
        instance: its id.
        takes_patches: it can apply `ConfigChanged`; instances of earlier versions can't.
        config_revision: revision of the manifest that it has, 0 if it has none.
        reads_ended: it finds jobs that have left the tables of jobs and progress; instances of
            earlier versions don't.
        reads_roster_rows: it reads a roster in several rows; instances of earlier versions don't.
    """

    instance: str
    takes_patches: bool = False
    config_revision: int = 0
    reads_ended: bool = False
    reads_roster_rows: bool = False


@attrs.frozen(kw_only=True)
class FollowerStatus:
    """Reports to the leader how well a follower reaches the store.

    Args:
        store_age_s: time since its last successful call, in seconds.
        rank_s: delay with which it would claim; the follower with the lowest one is the best
            successor.
        stops: whether its planned stop has begun; it doesn't claim any more then.
    """

    store_age_s: float
    rank_s: float
    stops: bool = False


@attrs.frozen(kw_only=True)
class Pulse:
    """Periodic message that shows that the leader is alive, with changes since the last one.

    Args:
        epoch: number of its term.
        states: stored states of jobs that were not sent before, by job id.
        pending: number of jobs of each queue of which no task has started, None if not included.
        config_version: version of the configuration that followers were sent.
        config_age_s: time since the leader found that configuration to be the store's, in
            seconds; None if it never did or has a newer one.
        loading: the leader still loads the stored state.
        takes_previews: it answers `PreviewRequest`; leaders of earlier versions don't.
    """

    epoch: int
    states: dict[str, str] = attrs.Factory(dict)
    pending: dict[str, int] | None = None
    config_version: int = 0
    config_age_s: float | None = None
    loading: bool = False
    takes_previews: bool = False


@attrs.frozen(kw_only=True)
class ConfigNews:
    """Sends followers the configuration.

    Args:
        epoch: number of the leader's term.
        form: the `ConfigView`, as serialized by `_packing.pack`.
        has_accounts: the accounts are in it; leaders of earlier versions leave them out.
    """

    epoch: int
    form: bytes
    has_accounts: bool = False


@attrs.frozen(kw_only=True)
class ConfigChanged:
    """Sends followers what has changed in the configuration.

    Args:
        epoch: number of the leader's term.
        form: the `ConfigPatch`, as serialized by `_packing.pack`.
        has_accounts: see `ConfigNews`.
    """

    epoch: int
    form: bytes
    has_accounts: bool = False


@attrs.frozen(kw_only=True)
class ConfigRequest:
    """Asks the leader for its whole configuration, as the changes don't apply to the known one."""


@attrs.frozen(kw_only=True)
class ClaimNow:
    """Asks a follower to claim the leadership at once.

    Args:
        epoch: epoch of the leader that asks.
    """

    epoch: int


@attrs.frozen(kw_only=True)
class StoreJob:
    """Asks the leader to store a row for a follower that can't reach the store.

    Args:
        key: key of the row in the table of jobs.
        value: its value.
        creates: whether the row must not exist yet.
    """

    key: str
    value: bytes
    creates: bool


@attrs.frozen(kw_only=True)
class StoreOutcome:
    """Answer to `StoreJob`.

    Args:
        outcome: `stored`, `refused` if the row was certainly not stored, or `unknown`.
    """

    outcome: str


@attrs.frozen(kw_only=True)
class PreviewRequest:
    """Asks the leader what it would do with a job; only for leaders that take previews.

    Args:
        job: the job in its serialized form.
    """

    job: bytes


@attrs.frozen(kw_only=True)
class PreviewAnswer:
    """Answer to `PreviewRequest`.

    Args:
        form: the `Preview`, as serialized by `_packing.pack`, empty if there is none.
        error: why there is none.
    """

    form: bytes = b""
    error: str = ""


LINK_TYPES = (
    Follow,
    FollowerStatus,
    Pulse,
    ConfigNews,
    ConfigChanged,
    ConfigRequest,
    ClaimNow,
    StoreJob,
    StoreOutcome,
    PreviewRequest,
    PreviewAnswer,
)
"""All message types, for the codec."""

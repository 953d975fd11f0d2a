"""Messages between entry instances."""

import attrs


@attrs.frozen(kw_only=True)
class SlotPermit:
    """The right to have one request at a time on one slot of a worker.

    Args:
        rack: rack of the worker.
        worker: worker id.
        data: `ip:port` for requests.
        slot: slot number, from 0.
        serial: number of the grant, unique at the granter.
        ttl_s: seconds the grant lasts; the holder counts from the sending of its request.
    """

    rack: str
    worker: str
    data: str
    slot: int
    serial: int
    ttl_s: float


@attrs.frozen(kw_only=True)
class PermitAsk:
    """Asks the owner of `rack` for slot permits and reports those held.

    Args:
        rack: rack asked for.
        service: service whose replicas must run on the workers.
        wanted: additional permits wanted.
        held: permits to renew.
        returned: permits given back.
        avoid: workers on which the asker just failed.
        unowned: workers on which the asker has a request in progress without a permit.
    """

    rack: str
    service: str
    wanted: int
    held: tuple[SlotPermit, ...] = ()
    returned: tuple[SlotPermit, ...] = ()
    avoid: tuple[str, ...] = ()
    unowned: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PermitReply:
    """Answer to `PermitAsk`: renewed and new permits. Held ones not listed are revoked."""

    rack: str
    permits: tuple[SlotPermit, ...] = ()
    is_owner: bool = True


@attrs.frozen(kw_only=True)
class PermitDemand:
    """Tells a holder of permits that others wait: it returns idle permits at once."""

    rack: str
    service: str


@attrs.frozen(kw_only=True)
class PermitOffer:
    """Tells an instance whose ask was not met that slots came free: it may ask again."""

    rack: str
    service: str


@attrs.frozen(kw_only=True)
class Hello:
    """First message on a connection."""

    instance: str
    incarnation: str
    zone: str


@attrs.frozen(kw_only=True)
class TaskHint:
    """Tells a rack's owner that a task waits in its queue or was asked to cancel."""

    rack: str
    task: str


@attrs.frozen(kw_only=True)
class ViewHint:
    """Tells that a configuration revision exists; the receiver reads the store."""

    revision: int


@attrs.frozen(kw_only=True)
class Handover:
    """Tells the successor that it owns `rack` from `epoch` on."""

    rack: str
    epoch: int


@attrs.frozen(kw_only=True)
class DrainNotice:
    """Provisional removal of a zone that an instance accepted while the store was down."""

    zone: str
    base_revision: int
    operator: str
    instance: str


@attrs.frozen(kw_only=True)
class FencedNotice:
    """Tells an instance that its session was fenced, so it must stop renewing leases."""

    instance: str
    incarnation: str


@attrs.frozen(kw_only=True)
class Accepted:
    """Answer to a message that needs no data back."""


MESSAGE_TYPES = (
    PermitAsk,
    PermitReply,
    PermitDemand,
    PermitOffer,
    Hello,
    TaskHint,
    ViewHint,
    Handover,
    DrainNotice,
    FencedNotice,
    Accepted,
)
"""All messages, for the codec."""

Message = (
    PermitAsk
    | PermitReply
    | PermitDemand
    | PermitOffer
    | Hello
    | TaskHint
    | ViewHint
    | Handover
    | DrainNotice
    | FencedNotice
    | Accepted
)

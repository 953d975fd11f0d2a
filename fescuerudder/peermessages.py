"""Messages between one instance and its peers: notices it sends, and the effects of theirs."""

from collections.abc import Callable

import structlog

from fescuerudder.configuration import Configurator
from fescuerudder.errors import PeerError
from fescuerudder.messages import (
    Accepted,
    DrainNotice,
    FencedNotice,
    Handover,
    Hello,
    Message,
    PermitAsk,
    PermitDemand,
    PermitOffer,
    TaskHint,
    ViewHint,
)
from fescuerudder.operators import settle_notice
from fescuerudder.ownership import Ownership
from fescuerudder.peers import MessageHandlers, PeerClients
from fescuerudder.permitholder import PermitHolder
from fescuerudder.racks import Racks
from fescuerudder.session import SessionKeeper
from fescuerudder.view import ViewKeeper

_log = structlog.get_logger(__name__)


class Notifier:
    """Sends notices, messages whose loss does no harm.

    Args:
        instance: id of this instance.
        clients: connections to the peers.
        handlers: handles notices to this instance itself.
    """

    def __init__(self, *, instance: str, clients: PeerClients, handlers: MessageHandlers) -> None:
        self._instance = instance
        self._clients = clients
        self._handlers = handlers

    def tell(self, peer: str, message: Message) -> None:
        """Sends a notice to a peer; a failure is only logged."""
        try:
            self._clients.tell(peer, message)
        except PeerError as exc:
            _log.debug("message not sent", peer=peer, reason=str(exc))

    def tell_all(self, message: Message) -> None:
        """Sends a notice to all connected peers."""
        for peer in self._clients.connected():
            self.tell(peer, message)

    def tell_any(self, instance: str, message: Message) -> None:
        """Sends a notice to a peer or handles it here if it is for this instance."""
        if instance == self._instance:
            self._handlers(instance, message)
        else:
            self.tell(instance, message)


class PeerMessageReceiver:
    """Passes the messages of peers to the parts of this instance that they concern.

    Args:
        instance: id of this instance.
        racks: the owned racks.
        holder: slot permits of this instance.
        view: source of the configuration.
        configurator: keeps provisional drains.
        ownership: ownership of racks.
        keeper: session of this instance.
        wake: runs a periodic service, given its name, at once.
    """

    def __init__(
        self,
        *,
        instance: str,
        racks: Racks,
        holder: PermitHolder,
        view: ViewKeeper,
        configurator: Configurator,
        ownership: Ownership,
        keeper: SessionKeeper,
        wake: Callable[[str], None],
    ) -> None:
        self._instance = instance
        self._racks = racks
        self._holder = holder
        self._view = view
        self._configurator = configurator
        self._ownership = ownership
        self._keeper = keeper
        self._wake = wake

    def register(self, handlers: MessageHandlers) -> None:
        """Adds a handler for each type of message."""
        add = handlers.add
        add(PermitAsk, lambda peer, ask: self._racks.answer(peer, ask))
        add(PermitDemand, self._on_permit_demand)
        add(PermitOffer, self._on_permit_offer)
        add(TaskHint, self._on_task_hint)
        add(ViewHint, self._on_view_hint)
        add(Handover, self._on_handover)
        add(DrainNotice, self._on_drain_notice)
        add(FencedNotice, self._on_fenced)
        add(Hello, lambda peer, message: Accepted())

    def _on_task_hint(self, peer: str, message: TaskHint) -> Message:
        self._racks.hint(message.rack, message.task)
        return Accepted()

    def _on_permit_demand(self, peer: str, message: PermitDemand) -> Message:
        self._holder.note_demand(message.rack, message.service)
        return Accepted()

    def _on_permit_offer(self, peer: str, message: PermitOffer) -> Message:
        self._holder.note_offer(message.rack, message.service)
        return Accepted()

    def _on_view_hint(self, peer: str, message: ViewHint) -> Message:
        if message.revision > self._view.current().revision:
            self._wake("view")
        return Accepted()

    def _on_handover(self, peer: str, message: Handover) -> Message:
        if self._ownership.notice(message):
            self._wake("racks")
        return Accepted()

    def _on_drain_notice(self, peer: str, message: DrainNotice) -> Message:
        settle_notice(self._configurator, message)
        return Accepted()

    def _on_fenced(self, peer: str, message: FencedNotice) -> Message:
        if message.instance == self._instance:
            self._keeper.mark_fenced(incarnation=message.incarnation)
        return Accepted()

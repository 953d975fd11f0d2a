"""Configuration in force at this instance: the view and the provisional drains."""

import attrs

from fescuerudder.configuration import Configurator
from fescuerudder.view import ConfigView, ViewKeeper


class EffectiveView:
    """Configuration view in which provisional drains count as zones taken out.

    Args:
        view: the view read from the store.
        configurator: holds provisional drains.
    """

    def __init__(self, *, view: ViewKeeper, configurator: Configurator) -> None:
        self._view = view
        self._configurator = configurator

    def current(self) -> ConfigView:
        """Returns the configuration in force here."""
        view = self._view.current()
        out = self._configurator.zones_out()
        zones = {**view.zones, **dict.fromkeys(out, "out")}
        return attrs.evolve(view, zones=zones)

    def is_fresh(self) -> bool:
        """Returns whether the view may be used to start work."""
        return self._view.is_fresh()

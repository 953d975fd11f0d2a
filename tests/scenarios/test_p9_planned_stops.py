"""P9 on real processes: planned stops cut off no request."""

from pytest_bdd import scenarios

scenarios("p9_planned_stops.feature")

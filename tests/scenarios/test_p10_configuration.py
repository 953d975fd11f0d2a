"""P10 on real processes: racing operators and lagging instances."""

from pytest_bdd import scenarios

scenarios("p10_configuration.feature")

"""P4 on real processes: starts in a zone that operators took out."""

from pytest_bdd import scenarios

scenarios("p4_zones.feature")

"""P8 on real processes: no new work for leaving upstreams; times are printed, not asserted."""

from pytest_bdd import scenarios

scenarios("p8_leaving.feature")

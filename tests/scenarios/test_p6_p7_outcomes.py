"""P6 and P7 on real processes: true refusals and at most one run under failure."""

from pytest_bdd import scenarios

scenarios("p6_p7_outcomes.feature")

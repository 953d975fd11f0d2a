"""P1 to P3 on real processes under failure."""

from pytest_bdd import scenarios

scenarios("p1_to_p3_tasks.feature")

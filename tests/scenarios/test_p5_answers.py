"""P5 on real processes: complete answers to their own requests under failure."""

from pytest_bdd import scenarios

scenarios("p5_answers.feature")

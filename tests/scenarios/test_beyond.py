"""Failures beyond the promises on real processes."""

from pytest_bdd import scenarios

scenarios("beyond.feature")

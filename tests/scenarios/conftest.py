"""Deployments for the scenarios, started through the launcher and reused where possible."""

import contextlib

import pytest

from bench.small_cluster import Clusters


@pytest.fixture(scope="session")
def clusters(tmp_path_factory):
    """Running clusters by shape; a scenario that leaves a cluster intact passes it on."""
    with contextlib.closing(Clusters(make_directory=tmp_path_factory.mktemp)) as running:
        yield running

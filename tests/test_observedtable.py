"""Store transactions show in the metrics with their outcome."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.errors import PlatformError
from fescuerudder.metrics import Metrics
from fescuerudder.observedtable import ObservedTable
from fescuerudder.table import Check, Put, Transaction
from tests.fakes import FakeTable

WRITE = Transaction(puts=(Put(key="a", value={}),))
STALE = Transaction(checks=(Check(key="a", version=7),))


@pytest.mark.parametrize(
    ("fault", "txn", "outcome"),
    [
        ({}, WRITE, "applied"),
        ({}, STALE, "conflict"),
        ({"down": True}, WRITE, "unavailable"),
        ({"lose_answers": 1}, WRITE, "unknown"),
    ],
)
def test_each_outcome_is_counted(fault, txn, outcome):
    """Guards against a metric that is offered but never counted, as it was at first."""
    table = FakeTable()
    for name, value in fault.items():
        setattr(table, name, value)
    with Metrics(instance="entry-1") as metrics:
        observed = ObservedTable(table=table, metrics=metrics, clock=ManualClock())
        if outcome == "applied":
            assert observed.transact(txn) == {"a": 1}
        else:
            with pytest.raises(PlatformError):
                observed.transact(txn)
        text = metrics.render().decode()
    assert f'fescuerudder_store_transactions_total{{outcome="{outcome}"}} 1.0' in text

"""Client of the platform's row store: requests, and the meaning of each answer."""

import base64

import pytest

from fescuerudder.errors import StoreOutcomeUnknownError, StoreRejectedError, StoreUnavailableError
from fescuerudder.jobs.rows import HistoryLostError, RowConflictError, RowKey, RowTransaction
from fescuerudder.platform.http import NoAnswerError, NotSentError
from fescuerudder.platform.store import PlatformStore
from tests.platform.fake_http import FakeHttp

KEY = RowKey("t", "p", "k")
TXN = RowTransaction(
    expects=((KEY, 3),), puts=((KEY, b"value"),), deletes=(RowKey("t", "p", "old"),)
)
VALUE = base64.b64encode(b"value").decode()


def make_store(*answers):
    http = FakeHttp(*answers)
    return PlatformStore(http=http, address="s:1"), http


def test_a_transaction_is_sent_whole():
    """Guards against checks, writes or deletions missing from the request."""
    store, http = make_store((200, {"rowVersion": 9}))
    assert store.write(TXN, timeout_s=1.0) == 9
    key_fields = {"table": "t", "part": "p", "key": "k"}
    assert http.calls[0][3] == {
        "expected": [{**key_fields, "rowVersion": 3}],
        "setKeys": [{**key_fields, "value": VALUE}],
        "remove": [{"table": "t", "part": "p", "key": "old"}],
    }


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((503, None), StoreUnavailableError),
        ((429, None), StoreUnavailableError),
        ((200, {}), StoreOutcomeUnknownError),
        ((412, {}), StoreOutcomeUnknownError),
        (NotSentError("no connection"), StoreUnavailableError),
        (NoAnswerError("no answer"), StoreOutcomeUnknownError),
    ],
)
def test_failed_write_says_whether_it_may_have_applied(answer, error):
    """Guards against answering "not run" for a job that was stored."""
    store, _ = make_store(answer)
    with pytest.raises(error):
        store.write(TXN, timeout_s=1.0)


@pytest.mark.parametrize(
    ("status", "is_rejected"),
    [(400, True), (403, True), (413, True), (408, False), (409, False), (429, False), (503, False)],
)
def test_a_rejected_request_is_told_from_an_outage(status, is_rejected):
    """Guards against a request that is sent again without end, though the store never takes it."""
    store, _ = make_store((status, None))
    with pytest.raises(StoreUnavailableError) as caught:
        store.write(TXN, timeout_s=1.0)
    assert isinstance(caught.value, StoreRejectedError) is is_rejected


def test_conflict_carries_the_current_rows():
    """Guards against a leader that can't tell its own write from that of another."""
    row = {"table": "t", "part": "p", "key": "k", "value": VALUE, "rowVersion": 4}
    store, _ = make_store((412, {"rows": [row]}))
    with pytest.raises(RowConflictError) as caught:
        store.write(TXN, timeout_s=1.0)
    assert caught.value.rows == ((KEY, b"value", 4),)


def test_changes_separate_removed_rows():
    """Guards against a zone that stays out of service after its row was removed."""
    rows = [
        {"table": "t", "part": "p", "key": "k", "value": VALUE, "rowVersion": 4},
        {"table": "t", "part": "p", "key": "old", "removed": True, "rowVersion": 5},
    ]
    store, _ = make_store((200, {"rows": rows, "rowVersion": 5}))
    changes = store.changes(table="t", after=3, wait_s=1.0)
    assert [row.key for row in changes.rows] == [KEY]
    assert changes.removed == (RowKey("t", "p", "old"),)
    assert changes.version == 5


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ((410, None), HistoryLostError),
        ((503, None), StoreUnavailableError),
        ((200, {"rows": "?"}), StoreUnavailableError),
        (NoAnswerError("no answer"), StoreUnavailableError),
    ],
)
def test_failed_feed_is_an_error(answer, error):
    """Guards against skipping changes: a failure read as an empty feed would lose them."""
    store, _ = make_store(answer)
    with pytest.raises(error):
        store.changes(table="t", after=3, wait_s=1.0)

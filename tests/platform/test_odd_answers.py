"""Odd answers of peers over HTTP, of the store and of the advice service."""

import asyncio
import base64
import json

import pytest

from fescuerudder.errors import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.jobs.adviceport import AdviceQuery, AdviceUnavailableError
from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.rows import RowTransaction, read_partition
from fescuerudder.platform._responsereader import MalformedResponseError, ResponseReader
from fescuerudder.platform.advice import PlatformAdvice
from fescuerudder.platform.asynchttp import AsyncHttpClient
from fescuerudder.platform.http import HttpClient, NotSentError, parse_json
from fescuerudder.platform.store import PlatformStore
from tests.platform.fake_http import FakeHttp
from tests.platform.odd_values import (
    MAX_EXACT,
    ODD_BYTES,
    ODD_DOCUMENTS,
    table,
    variants,
)


# --- answers over HTTP
@pytest.mark.parametrize("data", table(ODD_BYTES.items()))
def test_any_body_is_decoded_or_none(data):
    """Guards against a nested body that ends the thread that called."""
    parse_json(data)


HEADS = {
    "status of 5000 digits": b"HTTP/1.1 " + b"2" * 5000 + b" OK\r\n\r\n",
    "length of 5000 digits": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"1" * 5000 + b"\r\n\r\n",
    "length of 400 digits": b"HTTP/1.1 200 OK\r\nContent-Length: " + b"1" * 400 + b"\r\n\r\n",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "length that is no number": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
    "no number as status": b"HTTP/1.1 OK\r\n\r\n",
    "superscript status": b"HTTP/1.1 \xb2\xb2\xb2 OK\r\n\r\n",
    "size of a chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n",
}


@pytest.mark.parametrize("data", table(HEADS.items()))
def test_an_odd_head_is_a_malformed_response(data):
    """Guards against an error that no caller expects, so that an order is never answered."""
    with pytest.raises(MalformedResponseError):
        ResponseReader().feed(data)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "127.0.0.1:x", ":1", "a\u20ac..:1"]
)
def test_a_call_to_an_odd_address_is_not_sent(address):
    """Guards against an order without an outcome: OverflowError of a port out of range."""
    with HttpClient() as http, pytest.raises(NotSentError):
        http.call("GET", address, "/", timeout_s=0.2)
    with pytest.raises(NotSentError):
        asyncio.run(AsyncHttpClient().call("GET", address, "/", timeout_s=0.2))


# --- answers of the store
ROW = {
    "table": "servers",
    "part": "",
    "key": "a",
    "value": base64.b64encode(b"{}").decode(),
    "rowVersion": 3,
}
PAGE = {"rows": [ROW, {**ROW, "key": "b"}], "hasMore": False, "rowVersion": 9, "nowMs": 5}
PAGE_PATHS = [(name,) for name in PAGE] + [("rows", 0), *(("rows", 0, name) for name in ROW)]
READS = {
    "read": lambda store: store.read(table="servers", partition="", timeout_s=1),
    "changes": lambda store: store.changes(table="servers", after=1, wait_s=1),
}


def answering_store(status, text):
    return PlatformStore(http=FakeHttp((status, parse_json(text.encode()))), address="a:1")


@pytest.mark.parametrize("operation", READS)
@pytest.mark.parametrize("text", table([*ODD_DOCUMENTS.items(), *variants(PAGE, PAGE_PATHS)]))
def test_an_odd_answer_of_the_store_counts_as_none(operation, text):
    """Guards against an error that no caller of the store expects, which ends its thread."""
    try:
        found = READS[operation](answering_store(200, text))
    except StoreUnavailableError:
        return
    assert abs(found.version) < MAX_EXACT
    for row in found.rows:
        assert isinstance(row.value, bytes) and abs(row.version) < MAX_EXACT
        assert all(isinstance(part, str) for part in row.key)


@pytest.mark.parametrize("value", ["!", "a", 7, None, [], "\u20ac"])
def test_a_row_without_a_readable_value_hides_no_other(value):
    """Guards against a registry that can't be read at all because of the bytes of one entry."""
    page = {**PAGE, "rows": [{**ROW, "value": value}, {**ROW, "key": "b"}]}
    found = answering_store(200, json.dumps(page)).read(table="t", partition="", timeout_s=1)
    assert found.rows[-1].key.key == "b" and found.rows[-1].value == b"{}"
    assert all(row.value == b"" for row in found.rows[:-1])


@pytest.mark.parametrize("status", [200, 412])
@pytest.mark.parametrize("text", table(ODD_DOCUMENTS.items()))
def test_an_odd_answer_to_a_write_leaves_its_outcome_open(status, text):
    """Guards against a write that counts as applied, or as not applied, without proof."""
    with pytest.raises(StoreOutcomeUnknownError):
        answering_store(status, text).write(RowTransaction(), timeout_s=1)


@pytest.mark.parametrize("last", [[], [{**ROW, "key": "a"}]])
def test_pages_that_do_not_advance_are_given_up(last):
    """Guards against an error that ends the thread, or reads without end."""
    more = {**PAGE, "rows": [{**ROW, "key": "a"}], "hasMore": True}
    pages = [(200, more), *[(200, {**more, "rows": last})] * 5]
    store = PlatformStore(http=FakeHttp(*pages), address="a:1")
    with pytest.raises(StoreUnavailableError):
        read_partition(store, table="servers", partition="", timeout_s=1)


# --- the advice service
ADVICE = {"good": [["w1", "t1"], ["w2", "t2"]], "validityMs": 500}
ADVICE_PATHS = [("good",), ("good", 0), ("good", 0, 0), ("good", 0, 1), ("validityMs",)]
QUERY = AdviceQuery(step=StepId("aa", 0, 0), workers=("w1", "w2"), timeout_s=1.0)


@pytest.mark.parametrize("text", table([*ODD_DOCUMENTS.items(), *variants(ADVICE, ADVICE_PATHS)]))
def test_odd_advice_counts_as_none(text):
    """Guards against a permit without end, and a query that stays open."""
    http = FakeHttp((200, parse_json(text.encode())))
    try:
        advice = PlatformAdvice(http=http, address="a:1").ask(QUERY)
    except AdviceUnavailableError:
        return
    assert 0 <= advice.valid_s < MAX_EXACT
    for worker, permit in advice.permits.items():
        (worker + permit).encode()

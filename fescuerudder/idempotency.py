"""Records of keyed requests, so that a repeated request never runs twice."""

import base64
import hashlib
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.errors import (
    ConflictError,
    IdempotencyError,
    PlatformError,
    StoreOutcomeUnknownError,
)
from fescuerudder.table import ABSENT, Check, Put, Row, Table, Transaction
from fescuerudder.upstream import Answer, Request

_log = structlog.get_logger(__name__)

MAX_STORED_BODY = 16 * 1024
MAX_PENDING = 10_000
MAX_FLUSH = 50
BEGIN_TRIES = 3
CLEANUP_TRIES = 30


class Committer(Protocol):
    """Writes transactions, several at a time."""

    def commit(self, txn: Transaction) -> Result[dict[str, int], PlatformError]:
        """Returns the new versions, or why the transaction was not applied or is unknown."""

    def submit(self, txn: Transaction) -> Future[Result[dict[str, int], PlatformError]]:
        """Queues a transaction; the future's result is what `commit` returns."""


@attrs.frozen(kw_only=True)
class Begun:
    """A record that this instance created; its request may run now."""

    key: str
    version: int
    value: dict[str, Any]


@attrs.frozen(kw_only=True)
class Replay:
    """The stored answer of an earlier run."""

    answer: Answer


@attrs.define(kw_only=True)
class _Pending:
    """A write that the store has not confirmed."""

    key: str
    txn_id: str
    txn: Transaction | None
    tries: int = 0


class IdempotencyRecords:
    """Creates and completes records of keyed requests. Safe for use by several threads.

    Args:
        table: for reading records.
        committer: for writing them.
        is_live: whether an (instance, incarnation) still lives.
        instance: id of this instance.
        incarnation: returns the present incarnation of this instance.
        new_id: returns a unique id for the `txn` field.
        wall_s: returns the wall-clock time, from which the retention of a record counts.
    """

    def __init__(
        self,
        *,
        table: Table,
        committer: Committer,
        is_live: Callable[[str, str], bool],
        instance: str,
        incarnation: Callable[[], str],
        new_id: Callable[[], str],
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._committer = committer
        self._wall_s = wall_s
        self._is_live = is_live
        self._instance = instance
        self._incarnation = incarnation
        self._new_id = new_id
        self._pending: list[_Pending] = []
        self._lock = threading.Lock()

    def begin(self, req: Request, idempotency_key: str) -> Result[Begun | Replay, IdempotencyError]:
        """Creates the record before the request is sent, or says what an earlier one implies."""
        key = record_key(service=req.service, idempotency_key=idempotency_key)
        body_hash = hash_request(req)
        for _ in range(BEGIN_TRIES):
            value = self._started(body_hash)
            res = self._committer.commit(_put(key, ABSENT, value))
            if isinstance(res, Ok):
                return Ok(Begun(key=key, version=res.ok_value[key], value=value))
            try:
                decided = self._resolve(key, value, res.err_value)
            except PlatformError as exc:
                return Err(_store_failed(exc))
            if decided is not None:
                return decided
        return Err(_in_progress())

    def finish(self, begun: Begun, answer: Answer) -> None:
        """Stores the answer without waiting for the store; retried by `flush` if it fails.

        The request stays `started` until then, so a repeat is refused and does not run.
        """
        value = {
            **begun.value,
            "state": "finished",
            "finished_at_s": self._wall_s(),
            **_dump_answer(answer),
        }
        self._complete(begun, value)

    def mark_unknown(self, begun: Begun) -> None:
        """Notes, without waiting, that the request may have run without an answer."""
        self._complete(begun, {**begun.value, "state": "unknown"})

    def abandon(self, begun: Begun) -> None:
        """Deletes the record of a request that certainly did not run."""
        check = Check(key=begun.key, version=begun.version)
        txn = Transaction(checks=(check,), deletes=(begun.key,))
        self._write(_Pending(key=begun.key, txn_id=self._new_id(), txn=txn))

    def pending(self) -> int:
        """Returns how many writes failed and wait for `flush`."""
        with self._lock:
            return len(self._pending)

    def flush(self) -> None:
        """Retries up to `MAX_FLUSH` unconfirmed writes."""
        with self._lock:
            batch, self._pending = self._pending[:MAX_FLUSH], self._pending[MAX_FLUSH:]
        for item in batch:
            self._write(item)

    def _started(self, body_hash: str) -> dict[str, Any]:
        return {
            "state": "started",
            "body_hash": body_hash,
            "instance": self._instance,
            "incarnation": self._incarnation(),
            "txn": self._new_id(),
        }

    def _resolve(
        self, key: str, value: dict[str, Any], exc: PlatformError
    ) -> Result[Begun | Replay, IdempotencyError] | None:
        """Returns what a failed creation means; None means to try again."""
        lost = isinstance(exc, StoreOutcomeUnknownError)
        if not lost and not isinstance(exc, ConflictError):
            return Err(_store_failed(exc))
        try:
            row = self._read(key)
        except PlatformError:
            if lost:
                self._clean_up_later(key, value["txn"])
            raise
        if row is None and lost:
            # The lost write may still arrive; its record would block the key.
            self._clean_up_later(key, value["txn"])
            return Err(_store_failed(exc))
        if row is None:
            return None
        if row.value.get("txn") == value["txn"]:
            return Ok(Begun(key=key, version=row.version, value=value))
        return self._decide(row, value["body_hash"])

    def _decide(self, row: Row, body_hash: str) -> Result[Begun | Replay, IdempotencyError]:
        record = row.value
        if record.get("body_hash") != body_hash:
            detail = "the idempotency key was used with another request"
            return Err(IdempotencyError(detail, status=422))
        if record["state"] == "finished":
            return _replay(record)
        is_live = self._is_live(record["instance"], record["incarnation"])
        if record["state"] == "started" and is_live:
            return Err(_in_progress())
        detail = "an earlier request with this key may have run; it is not run again"
        return Err(IdempotencyError(detail, status=409, outcome="unknown"))

    def _complete(self, begun: Begun, value: dict[str, Any]) -> None:
        value = {**value, "txn": self._new_id()}
        txn = _put(begun.key, begun.version, value)
        item = _Pending(key=begun.key, txn_id=value["txn"], txn=txn, tries=1)
        self._committer.submit(txn).add_done_callback(lambda fut: self._settle(item, fut.result()))

    def _write(self, item: _Pending) -> None:
        """Applies a write, or keeps it for `flush`."""
        item.tries += 1
        if item.txn is None:
            self._clean_up(item)
            return
        self._settle(item, self._committer.commit(item.txn))

    def _settle(self, item: _Pending, res: Result[dict[str, int], PlatformError]) -> None:
        """Keeps a write for `flush` unless it applied or can't apply any more."""
        if isinstance(res, Ok):
            return
        if isinstance(res.err_value, ConflictError):
            # An earlier try whose answer was lost has applied, or the row is gone.
            return
        self._keep(item)

    def _clean_up(self, item: _Pending) -> None:
        """Deletes the record of a creation whose fate was unknown, once it shows up."""
        try:
            row = self._read(item.key)
        except PlatformError:
            self._keep(item)
            return
        if row is None:
            if item.tries < CLEANUP_TRIES:
                self._keep(item)
            return
        if row.value.get("txn") == item.txn_id:
            check = Check(key=row.key, version=row.version)
            txn = Transaction(checks=(check,), deletes=(row.key,))
            self._write(_Pending(key=row.key, txn_id=item.txn_id, txn=txn))

    def _clean_up_later(self, key: str, txn_id: str) -> None:
        self._keep(_Pending(key=key, txn_id=txn_id, txn=None))

    def _keep(self, item: _Pending) -> None:
        with self._lock:
            if len(self._pending) < MAX_PENDING:
                self._pending.append(item)
                return
        _log.error("too many unconfirmed idempotency records; one was dropped", key=item.key)

    def _read(self, key: str) -> Row | None:
        rows = self._table.read(keys=(key,))
        return rows[0] if rows else None


def record_key(*, service: str, idempotency_key: str) -> str:
    """Returns the row key of a record."""
    digest = hashlib.sha256(f"{service}\0{idempotency_key}".encode()).hexdigest()
    return f"request/{digest}"


def hash_request(req: Request) -> str:
    """Returns a hash of what must be equal in a repeated request."""
    head = f"{req.method}\0{req.target}\0".encode()
    return hashlib.sha256(head + req.body).hexdigest()


def _put(key: str, version: int, value: dict[str, Any]) -> Transaction:
    check = Check(key=key, version=version)
    return Transaction(checks=(check,), puts=(Put(key=key, value=value),))


def _dump_answer(answer: Answer) -> dict[str, Any]:
    if len(answer.body) > MAX_STORED_BODY:
        return {"too_large": True}
    return {
        "status": answer.status,
        "headers": [list(item) for item in answer.headers],
        "body": base64.b64encode(answer.body).decode(),
    }


def _replay(record: dict[str, Any]) -> Result[Begun | Replay, IdempotencyError]:
    if record.get("too_large"):
        detail = f"the request finished; its answer exceeds {MAX_STORED_BODY} bytes, not stored"
        return Err(
            IdempotencyError(detail, status=409, outcome="unknown", details={"state": "finished"})
        )
    headers = tuple((str(key), str(value)) for key, value in record["headers"])
    answer = Answer(
        status=record["status"],
        headers=(*headers, ("Idempotency-Replayed", "true")),
        body=base64.b64decode(record["body"]),
    )
    return Ok(Replay(answer=answer))


def _in_progress() -> IdempotencyError:
    detail = "an earlier request with this key is in progress"
    return IdempotencyError(detail, status=409, outcome="unknown", details={"state": "in_progress"})


def _store_failed(exc: PlatformError) -> IdempotencyError:
    return IdempotencyError(f"the idempotency record was not written: {exc}", status=503)

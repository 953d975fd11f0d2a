"""Group commit: combines independent operations into few transactions.

A lost answer is resolved by reading the written rows back. A transaction changes every row it
writes, so one row that carries its `txn` shows that it applied, and one row that it checks and
writes and that still has the checked version shows that it did not. A request that is still on
its way could apply after such a reading, so the same transaction is sent again: its checks let
at most one of the two copies apply.
"""

import threading
import uuid
from collections import deque
from collections.abc import Iterable
from concurrent.futures import Future

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.errors import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.table import ABSENT, Check, Put, Row, Table, Transaction, new_txn_id

GROUP_WINDOW_S = 0.005
GROUP_MAX_OPS = 25

GROUP_PACE_S = 0.1
"""Least time between two transactions that carry no prompt operation. Many instances with few
operations each would otherwise send almost every operation as a transaction of its own."""

BACKLOG_MAX = 2000

SEND_ATTEMPTS = 3
READ_ATTEMPTS = 3
RESOLVE_PAUSE_S = 0.05

RESOLVE_MAX_S = 3.0
"""No further attempt begins this long after the first one, so callers don't wait for long."""

OVERWRITTEN = -1
"""Version reported for an applied row that another writer replaced since; no check matches it."""

Outcome = Result[dict[str, int], PlatformError]

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class _Fate:
    """What a reading shows about a transaction: versions if applied, or `untouched`."""

    versions: dict[str, int] | None = None
    untouched: bool = False


class Resolver:
    """Sends transactions and finds out after a lost answer whether they took effect.

    A row that a transaction creates with a check for `ABSENT` must not be deleted by another
    writer unless another row of the transaction stays, or it could be created twice.

    Args:
        table: table service.
        clock: clock that bounds the attempts.
    """

    def __init__(self, *, table: Table, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._never = threading.Event()

    def commit(self, txn: Transaction) -> Outcome:
        """Returns the new versions, or ConflictError, StoreUnavailableError (both: certainly not
        applied) or StoreOutcomeUnknownError.
        """
        give_up_s = self._clock.now_s() + RESOLVE_MAX_S
        lost = False
        for _ in range(SEND_ATTEMPTS):
            conflict = None
            try:
                return Ok(self._table.transact(txn))
            except StoreOutcomeUnknownError:
                lost = True
            except PlatformError as exc:
                if not lost:
                    return Err(exc)
                conflict = exc if isinstance(exc, ConflictError) else None
            fate = self._look_up(txn, give_up_s)
            if fate.versions is not None:
                return Ok(fate.versions)
            # Versions never repeat, so a copy still on its way fails the same check.
            if fate.untouched and conflict:
                return Err(conflict)
            if not fate.untouched or self._clock.now_s() >= give_up_s:
                break
        return Err(StoreOutcomeUnknownError("transaction may have applied; its answer was lost"))

    def _look_up(self, txn: Transaction, give_up_s: float) -> _Fate:
        for attempt in range(READ_ATTEMPTS):
            self._clock.wait_s(self._never, RESOLVE_PAUSE_S * attempt)
            try:
                rows = self._table.read(keys=tuple(sorted(_written(txn))))
            except StoreUnavailableError:
                if self._clock.now_s() >= give_up_s:
                    break
                continue
            return _judge(txn, {row.key: row for row in rows})
        return _Fate()


def _judge(txn: Transaction, rows: dict[str, Row]) -> _Fate:
    if any(_carries(rows.get(put.key), put) for put in txn.puts):
        versions = {
            put.key: rows[put.key].version if _carries(rows.get(put.key), put) else OVERWRITTEN
            for put in txn.puts
        }
        return _Fate(versions=versions)
    return _Fate(
        untouched=any(_version(rows, check.key) == check.version for check in _guards(txn))
    )


def _carries(row: Row | None, put: Put) -> bool:
    txn_id = put.value.get("txn")
    return row is not None and bool(txn_id) and row.value.get("txn") == txn_id


def _version(rows: dict[str, Row], key: str) -> int:
    return rows[key].version if key in rows else ABSENT


def _written(txn: Transaction) -> set[str]:
    return {put.key for put in txn.puts} | set(txn.deletes)


def _guards(txn: Transaction) -> list[Check]:
    """Returns the checks on rows that the transaction also writes."""
    written = _written(txn)
    return [check for check in txn.checks if check.key in written]


def _has_witness(txn: Transaction) -> bool:
    """Returns whether a reading can show both that `txn` applied and that it did not."""
    guarded = {check.key for check in _guards(txn)}
    return any(put.key in guarded and put.value.get("txn") for put in txn.puts)


@attrs.define(eq=False, kw_only=True)
class _Operation:
    """A submitted transaction and the future of its outcome."""

    txn: Transaction
    is_prompt: bool = False
    future: Future[Outcome] = attrs.Factory(Future)


class _Group:
    """Operations that can be one transaction."""

    def __init__(self) -> None:
        self._checked: dict[str, int] = {}
        self._written: set[str] = set()

    def accepts(self, txn: Transaction) -> bool:
        """Returns whether `txn` is independent of all members.

        Members may share a row that none of them writes, such as the row of their rack, if they
        expect the same version of it.
        """
        written = _written(txn)
        if written & (self._written | self._checked.keys()):
            return False
        return all(
            check.key not in self._written
            and self._checked.get(check.key, check.version) == check.version
            for check in txn.checks
        )

    def add(self, txn: Transaction) -> None:
        """Adds a member."""
        self._checked.update({check.key: check.version for check in txn.checks})
        self._written |= _written(txn)


def take_group(pending: deque[_Operation], *, max_ops: int) -> list[_Operation]:
    """Removes and returns the next operations to combine.

    An operation never overtakes an earlier one that it depends on.
    """
    group, waiting = _Group(), _Group()
    taken: list[_Operation] = []
    left: list[_Operation] = []
    while pending and len(taken) < max_ops:
        op = pending.popleft()
        if group.accepts(op.txn) and waiting.accepts(op.txn):
            group.add(op.txn)
            taken.append(op)
        else:
            waiting.add(op.txn)
            left.append(op)
    pending.extendleft(reversed(left))
    return taken


def combine(txns: Iterable[Transaction]) -> Transaction:
    """Returns one transaction with all checks and writes of independent transactions."""
    txns = list(txns)
    checks = dict.fromkeys(check for txn in txns for check in txn.checks)
    return Transaction(
        checks=tuple(checks),
        puts=tuple(put for txn in txns for put in txn.puts),
        deletes=tuple(key for txn in txns for key in txn.deletes),
    )


class GroupCommitter:
    """Combines submitted transactions; each one gets its own outcome.

    Transactions in which no row is checked and put (for example deletes only) get one more row,
    `commit/<id>`, that only this committer writes, so that they can be resolved as well.

    Args:
        table: table service.
        clock: clock for the window.
        window_s: time for which the first operation of a group waits for others.
        pace_s: least time between transactions without a prompt operation.
        max_ops: most operations in one transaction.
        backlog_max: most operations that wait; more are refused as StoreUnavailableError.
    """

    def __init__(
        self,
        *,
        table: Table,
        clock: Clock,
        window_s: float = GROUP_WINDOW_S,
        pace_s: float = GROUP_PACE_S,
        max_ops: int = GROUP_MAX_OPS,
        backlog_max: int = BACKLOG_MAX,
    ) -> None:
        self._table = table
        self._clock = clock
        self._window_s = window_s
        self._pace_s = pace_s
        self._paced_until_s = float("-inf")
        self._max_ops = max_ops
        self._backlog_max = backlog_max
        self._resolver = Resolver(table=table, clock=clock)
        self._receipt_key = f"commit/{uuid.uuid4().hex}"
        self._receipt_version: int | None = ABSENT
        self._receipt_used = False
        self._pending: deque[_Operation] = deque()
        self._changed = threading.Condition()
        self._hurry = threading.Event()
        self._full = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="group-commit", daemon=True)

    def __enter__(self) -> "GroupCommitter":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Commits what is waiting, then ends."""
        with self._changed:
            self._stopping = True
            self._hurry.set()
            self._full.set()
            self._changed.notify_all()
        self._thread.join()
        self._drop_receipt()

    def submit(self, txn: Transaction, *, is_prompt: bool = False) -> Future[Outcome]:
        """Queues `txn`; the future's result is its outcome and never an exception.

        A prompt operation waits for the window only, because a caller's request waits for it.
        """
        op = _Operation(txn=txn, is_prompt=is_prompt)
        with self._changed:
            if self._stopping or len(self._pending) >= self._backlog_max:
                op.future.set_result(Err(StoreUnavailableError("too many writes are waiting")))
                return op.future
            self._pending.append(op)
            if is_prompt:
                self._hurry.set()
            if len(self._pending) >= self._max_ops:
                self._hurry.set()
                self._full.set()
            self._changed.notify_all()
        return op.future

    def commit(self, txn: Transaction, *, is_prompt: bool = False) -> Outcome:
        """Queues `txn` and waits for its outcome."""
        return self.submit(txn, is_prompt=is_prompt).result()

    def _run(self) -> None:
        while group := self._next_group():
            try:
                self._send(group)
            except Exception as exc:
                # A fault of one group must not end the thread that serves all others.
                _log.exception("group commit failed")
                self._settle(group, Err(StoreOutcomeUnknownError(f"commit failed: {exc}")))

    def _next_group(self) -> list[_Operation]:
        """Waits for operations; returns none when stopped and all is done."""
        with self._changed:
            self._changed.wait_for(lambda: self._pending or self._stopping)
        pause_s = self._paced_until_s - self._clock.now_s()
        if pause_s > 0:
            self._clock.wait_s(self._hurry, pause_s)
        self._clock.wait_s(self._full, self._window_s)
        with self._changed:
            taken = take_group(self._pending, max_ops=self._max_ops)
            is_full = len(self._pending) >= self._max_ops
            if not self._stopping and not is_full:
                self._full.clear()
            if not self._stopping and not is_full and not any(o.is_prompt for o in self._pending):
                self._hurry.clear()
        self._paced_until_s = self._clock.now_s() + self._pace_s
        return taken

    def _send(self, group: list[_Operation]) -> None:
        outcome = self._commit_combined(combine(op.txn for op in group))
        if outcome.is_err() and isinstance(outcome.err_value, ConflictError) and len(group) > 1:
            half = len(group) // 2
            self._send(group[:half])
            self._send(group[half:])
            return
        self._settle(group, outcome)

    def _settle(self, group: list[_Operation], outcome: Outcome) -> None:
        for op in group:
            if op.future.done():
                continue
            own = outcome.map(lambda versions, op=op: {p.key: versions[p.key] for p in op.txn.puts})
            op.future.set_result(own)

    def _commit_combined(self, txn: Transaction) -> Outcome:
        if _has_witness(txn):
            return self._resolver.commit(txn)
        outcome = self._commit_with_receipt(txn)
        if outcome.is_err() and self._receipt_key in getattr(outcome.err_value, "failed_keys", ()):
            # An earlier transaction with an unknown outcome applied after its row was read.
            outcome = self._commit_with_receipt(txn)
        return outcome

    def _commit_with_receipt(self, txn: Transaction) -> Outcome:
        if self._receipt_version is None:
            try:
                rows = self._table.read(keys=(self._receipt_key,))
            except StoreUnavailableError as exc:
                return Err(exc)
            self._receipt_version = rows[0].version if rows else ABSENT
        receipt = Transaction(
            checks=(Check(key=self._receipt_key, version=self._receipt_version),),
            puts=(Put(key=self._receipt_key, value={"txn": new_txn_id()}),),
        )
        self._receipt_used = True
        outcome = self._resolver.commit(combine([txn, receipt]))
        self._receipt_version = outcome.map_or(None, lambda v: v[self._receipt_key])
        return outcome

    def _drop_receipt(self) -> None:
        if not self._receipt_used:
            return
        try:
            self._table.transact(Transaction(deletes=(self._receipt_key,)))
        except PlatformError:
            _log.debug("receipt row was left behind", key=self._receipt_key)


class PromptCommitter:
    """Commits through a group committer without its pace, for requests that a caller waits for.

    Args:
        committer: group committer.
    """

    def __init__(self, *, committer: GroupCommitter) -> None:
        self._committer = committer

    def commit(self, txn: Transaction) -> Outcome:
        """Queues `txn` and waits for its outcome."""
        return self._committer.commit(txn, is_prompt=True)

    def submit(self, txn: Transaction) -> "Future[Outcome]":
        """Queues `txn` at the usual pace; nobody waits for its outcome."""
        return self._committer.submit(txn)

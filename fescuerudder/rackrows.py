"""Cache of the task rows of a rack, with writes whose outcome may arrive in a later cycle."""

import concurrent.futures
from collections.abc import Iterable
from concurrent.futures import Future

from result import Ok

from fescuerudder.errors import ConflictError, StoreUnavailableError
from fescuerudder.ownership_types import RackLease
from fescuerudder.rackports import CommitResult, Committer
from fescuerudder.table import Row, Table
from fescuerudder.task import Task, TaskState, load_task, queue_key, task_key
from fescuerudder.transitions import StoredTask, assigned_prefix, rack_key, transition

COMMIT_WAIT_S = 2.0
"""Limit of the wait for writes in one cycle; a slow store must not delay lease renewals."""

REFRESH_ROWS_PER_CYCLE = 4
"""Assigned rows re-read in each cycle to find cancellation requests whose hint was lost."""

QUEUE_ROWS_PER_CYCLE = 256
MAX_QUEUE_SCAN_CYCLES = 4
"""Upper limit of the cycles between reads of a long queue, which is read in every second to fourth
cycle only. Hints announce new tasks, and the limit keeps the loss of a hint from delaying an urgent
task by more than seconds."""

ASSIGNED_SCAN_CYCLES = 30
"""Number of cycles from one read of all assignment rows of the rack to the next."""


class RackRows:
    """Cached rows of the tasks that wait or run on a rack.

    A task is settled if its cached row is not stale and no write to it is in flight. Decisions
    are made only on settled tasks.

    Args:
        lease: ownership of the rack.
        table: for reads.
        committer: for writes.
    """

    def __init__(self, *, lease: RackLease, table: Table, committer: Committer) -> None:
        self._lease = lease
        self._table = table
        self._committer = committer
        self._cache: dict[str, StoredTask | None] = {}
        self._stale: set[str] = set()
        self._pending: dict[str, tuple[Future[CommitResult], Task]] = {}
        self._applied: list[Task] = []
        self._cycle = 0
        self._refresh_at = 0
        self._queue_length = 0
        self._queue_read_at = 0
        self.is_loaded = False
        self.is_superseded = False

    def mark_stale(self, task_id: str) -> None:
        """Marks a row as stale, so that the next load reads it."""
        self._stale.add(task_id)

    def load(self, *, reported: Iterable[str]) -> bool:
        """Reads the rows that are stale, due or not cached yet.

        Args:
            reported: ids of the tasks that workers report.

        Returns:
            Whether the store could be read.
        """
        self.collect_writes(wait_s=0.0)
        reported = set(reported)
        wanted = (
            self._stale | {i for i in reported if i not in self._cache} | self._next_refresh_slice()
        )
        wanted -= self._pending.keys()
        queue_prefix = queue_key(self._lease.rack, "")
        reads_queue = self._is_queue_read_due()
        prefixes = [queue_prefix] if reads_queue else []
        scans = not self.is_loaded or self._cycle % ASSIGNED_SCAN_CYCLES == 0
        if scans:
            prefixes.append(assigned_prefix(self._lease.rack))
        keys = (rack_key(self._lease.rack), *map(task_key, sorted(wanted)))
        try:
            rows = self._table.read(keys=keys, prefixes=tuple(prefixes))
            indexed = {row.key.rsplit("/", 1)[1] for row in rows if _is_index(row)}
            more = {i for i in indexed - wanted if not self._explains_listing(i)}
            if more:
                rows += self._table.read(keys=tuple(map(task_key, sorted(more))))
        except StoreUnavailableError:
            return False
        self._check_owner(rows)
        self._update_cache(rows, wanted | more)
        if reads_queue:
            listed = [row.key for row in rows if row.key.startswith(queue_prefix)]
            waiting = {key.rsplit("/", 1)[1] for key in listed}
            self._queue_length = len(waiting)
            self._queue_read_at = self._cycle
        else:
            waiting = {i for i, s in self._cache.items() if s and s.task.state == "queued"}
        self._drop_unlisted(waiting | reported)
        self._cycle += 1
        self.is_loaded = True
        return True

    def get(self, task_id: str) -> StoredTask | None:
        """Returns the cached row of a task, settled or not, or None."""
        return self._cache.get(task_id)

    def is_settled(self, task_id: str) -> bool:
        """Returns whether the row is cached, not stale and has no write in flight."""
        return (
            task_id in self._cache and task_id not in self._pending and task_id not in self._stale
        )

    def queued(self) -> list[StoredTask]:
        """Returns the settled tasks in the rack's queue."""
        return self._settled("queued")

    def assigned(self) -> list[StoredTask]:
        """Returns the settled tasks that are assigned on the rack."""
        return self._settled("assigned")

    def possibly_assigned(self) -> list[Task]:
        """Returns every task that is assigned, or may be by a write in flight."""
        tasks = [s.task for s in self._cache.values() if s and s.task.state == "assigned"]
        tasks += [new for _, new in self._pending.values() if new.state == "assigned"]
        return [task for task in tasks if task.rack == self._lease.rack]

    def write(self, *, stored: StoredTask, new: Task) -> None:
        """Submits the transaction that replaces the stored task by `new`."""
        fut = self._committer.submit(transition(lease=self._lease, stored=stored, new=new))
        self._pending[new.id] = (fut, new)

    def collect_writes(self, *, wait_s: float = COMMIT_WAIT_S) -> list[StoredTask]:
        """Waits at most `wait_s` for the writes in flight; returns the tasks that were applied."""
        futs = [fut for fut, _ in self._pending.values()]
        concurrent.futures.wait(futs, timeout=wait_s)
        applied = []
        for task_id, (fut, new) in list(self._pending.items()):
            if fut.done():
                del self._pending[task_id]
                applied += self._handle_result(fut.result(), new)
        return applied

    def pop_applied(self) -> list[Task]:
        """Returns the tasks applied since the last call, except those whose answer was lost."""
        applied, self._applied = self._applied, []
        return applied

    def _handle_result(self, result: CommitResult, new: Task) -> list[StoredTask]:
        if isinstance(result, Ok):
            stored = StoredTask(task=new, version=result.ok_value[task_key(new.id)])
            self._cache[new.id] = stored
            self._applied.append(new)
            return [stored]
        # Whatever the error was, the row shows whether the write was applied.
        self._stale.add(new.id)
        exc = result.err_value
        if isinstance(exc, ConflictError) and rack_key(self._lease.rack) in exc.failed_keys:
            self.is_superseded = True
        return []

    def _is_queue_read_due(self) -> bool:
        """Returns whether the queue rows are due to be read."""
        pause = min(MAX_QUEUE_SCAN_CYCLES, 1 + self._queue_length // QUEUE_ROWS_PER_CYCLE)
        return not self.is_loaded or self._cycle - self._queue_read_at >= pause

    def _check_owner(self, rows: list[Row]) -> None:
        found = [row.version for row in rows if row.key == rack_key(self._lease.rack)]
        self.is_superseded |= found != [self._lease.version]

    def _update_cache(self, rows: list[Row], wanted: set[str]) -> None:
        found = {row.key.removeprefix("task/"): row for row in rows if row.key.startswith("task/")}
        for task_id in wanted:
            row = found.get(task_id)
            self._cache[task_id] = (
                StoredTask(task=load_task(row.value), version=row.version) if row else None
            )
            self._stale.discard(task_id)

    def _explains_listing(self, task_id: str) -> bool:
        """Returns whether the cache agrees with an index row that lists the task on this rack."""
        if task_id in self._pending:
            return True
        stored = self._cache.get(task_id)
        return (
            stored is not None
            and stored.task.rack == self._lease.rack
            and stored.task.state in ("queued", "assigned")
        )

    def _drop_unlisted(self, listed: set[str]) -> None:
        """Drops rows of tasks that neither belong to the rack nor are reported by its workers."""
        for task_id in list(self._cache):
            if task_id in self._pending or task_id in self._stale or task_id in listed:
                continue
            stored = self._cache[task_id]
            if stored is None or stored.task.rack != self._lease.rack:
                del self._cache[task_id]
            elif stored.task.state == "queued":
                # The queue row was deleted, so another writer changed the task.
                self._stale.add(task_id)
            elif stored.task.state != "assigned":
                del self._cache[task_id]

    def _next_refresh_slice(self) -> set[str]:
        """Returns the ids of the assigned tasks to re-read in this cycle, in rotation."""
        ids = sorted(i for i, s in self._cache.items() if s and s.task.state == "assigned")
        if not ids:
            return set()
        self._refresh_at %= len(ids)
        chosen = ids[self._refresh_at : self._refresh_at + REFRESH_ROWS_PER_CYCLE]
        self._refresh_at += REFRESH_ROWS_PER_CYCLE
        return set(chosen)

    def _settled(self, state: TaskState) -> list[StoredTask]:
        """Returns the settled tasks in a state, by id; filters before sorting long queues."""
        found = [
            stored
            for task_id, stored in self._cache.items()
            if stored
            and stored.task.state == state
            and stored.task.rack == self._lease.rack
            and self.is_settled(task_id)
        ]
        return sorted(found, key=lambda stored: stored.task.id)


def _is_index(row: Row) -> bool:
    return row.key.startswith(("queue/", "assigned/"))

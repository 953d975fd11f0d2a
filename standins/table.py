"""HTTP stand-in for the platform's transactional table and object store."""

import threading
from collections import Counter

import attrs

from fescuerudder.errors import ConflictError
from fescuerudder.memorytable import MemoryTable
from fescuerudder.table import Check, Put, Transaction
from standins._fault import FaultInjector
from standins._http import Answer, HttpServer, Request, wait_for_signal

OBJECTS_PATH = "/v1/objects/"


class TableService:
    """Answers table and object requests, and counts them."""

    def __init__(self) -> None:
        self._table = MemoryTable()
        self._objects: dict[str, bytes] = {}
        self._stats: Counter[str] = Counter()
        self._lock = threading.Lock()

    def handle(self, req: Request) -> Answer:
        """Answers one request."""
        if req.path == "/stats":
            return Answer(body=self._read_stats())
        if req.path == "/v1/read":
            return self._read(req)
        if req.path == "/v1/transact":
            return self._transact(req)
        if req.path.startswith(OBJECTS_PATH):
            return self._handle_object(req, req.path.removeprefix(OBJECTS_PATH))
        return Answer(status=404, body={"error": "no such resource"})

    def _read(self, req: Request) -> Answer:
        body = req.json()
        keys, prefixes = body.get("keys", []), body.get("prefixes", [])
        rows = self._table.read(keys=tuple(keys), prefixes=tuple(prefixes))
        self._count(reads=1, rows_read=len(rows), bytes_in=len(req.body))
        return Answer(body={"rows": [attrs.asdict(row, recurse=False) for row in rows]})

    def _transact(self, req: Request) -> Answer:
        body = req.json()
        txn = Transaction(
            checks=tuple(Check(**check) for check in body.get("checks", [])),
            puts=tuple(Put(**put) for put in body.get("puts", [])),
            deletes=tuple(body.get("deletes", [])),
        )
        self._count(transactions=1, bytes_in=len(req.body))
        try:
            versions = self._table.transact(txn)
        except ConflictError as exc:
            self._count(conflicts=1)
            return Answer(status=409, body={"failed": exc.failed_keys})
        self._count(rows_written=len(txn.puts) + len(txn.deletes))
        return Answer(body={"versions": versions})

    def _handle_object(self, req: Request, name: str) -> Answer:
        if req.method == "PUT":
            return self._put_object(req, name)
        with self._lock:
            data = self._objects.get(name)
        self._count(objects_read=1, bytes_out=len(data or b""))
        return Answer(status=404, body={}) if data is None else Answer(body=data)

    def _put_object(self, req: Request, name: str) -> Answer:
        self._count(objects_written=1, bytes_in=len(req.body))
        with self._lock:
            if req.headers.get("if-none-match") == "*" and name in self._objects:
                return Answer(status=412, body={"error": "object exists"})
            self._objects[name] = req.body
        return Answer(status=201, body={})

    def _count(self, **amounts: int) -> None:
        with self._lock:
            self._stats.update(amounts)

    def _read_stats(self) -> dict[str, int]:
        names = ("reads", "transactions", "conflicts", "rows_written", "rows_read")
        with self._lock:
            return {**dict.fromkeys(names, 0), **self._stats}


def is_write(req: Request) -> bool:
    """Whether `req` changes the store."""
    return req.path == "/v1/transact" or req.method == "PUT"


def table_server(*, listen: str, threads: int = 48) -> HttpServer:
    """Returns the server of a new, empty table."""
    faults = FaultInjector(handler=TableService().handle, is_write=is_write)
    return HttpServer(address=listen, handler=faults.handle, threads=threads)


def run(*, listen: str, threads: int = 48) -> None:
    """Serves an empty table until SIGTERM.

    Args:
        listen: `ip:port`.
        threads: threads that answer requests; slow answers occupy one each.
    """
    with table_server(listen=listen, threads=threads):
        wait_for_signal()

"""HTTP stand-in for the platform's lagging membership list."""

import threading
from typing import Any

from fescuerudder.clock import Clock, SystemClock
from standins._fault import FaultInjector
from standins._http import Answer, HttpServer, Request, wait_for_signal

MEMBERS_PATH = "/v1/members"

Snapshot = dict[str, dict[str, Any]]


class MemberHistory:
    """Versions of the list over time.

    Args:
        clock: clock of the list.
        lag_s: age of the version that `read` returns, in seconds.
    """

    def __init__(self, *, clock: Clock, lag_s: float) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._versions: list[tuple[float, Snapshot]] = [(float("-inf"), {})]
        self._lock = threading.Lock()

    def read(self) -> list[dict[str, Any]]:
        """Returns the members as they were `lag_s` ago."""
        with self._lock:
            self._drop_expired()
            return list(self._versions[0][1].values())

    def put(self, member: dict[str, Any], *, immediate: bool = False) -> dict[str, Any]:
        """Adds a member or changes the given fields of a known one."""
        with self._lock:
            known = self._versions[-1][1].get(member["id"], {})
            merged = {**known, **member}
            if not known and not {"kind", "zone", "region"} <= merged.keys():
                raise ValueError("a new member needs kind, zone and region")
            self._append({**self._versions[-1][1], merged["id"]: merged}, immediate)
            return merged

    def delete(self, member_id: str) -> None:
        """Removes a member."""
        with self._lock:
            rest = {k: v for k, v in self._versions[-1][1].items() if k != member_id}
            self._append(rest, False)

    def _append(self, members: Snapshot, immediate: bool) -> None:
        """Adds a version; an immediate one replaces all older ones."""
        if immediate:
            self._versions = [(float("-inf"), members)]
            return
        self._versions.append((self._clock.now_s(), members))

    def _drop_expired(self) -> None:
        """Drops the versions that no reader will see again."""
        horizon_s = self._clock.now_s() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= horizon_s:
            self._versions.pop(0)


def member_handler(history: MemberHistory) -> Any:
    """Returns the HTTP handler of `history`."""

    def handle(req: Request) -> Answer:
        if req.path == MEMBERS_PATH and req.method == "GET":
            return Answer(body={"members": history.read()})
        if req.path == MEMBERS_PATH and req.method == "POST":
            return Answer(body=history.put(req.json(), immediate="immediate" in req.query))
        if req.path.startswith(MEMBERS_PATH + "/") and req.method == "DELETE":
            history.delete(req.path.removeprefix(MEMBERS_PATH + "/"))
            return Answer(body={})
        return Answer(status=404, body={"error": "no such resource"})

    return handle


def members_server(*, listen: str, lag_s: float, clock: Clock) -> HttpServer:
    """Returns the server of an empty list."""
    handler = member_handler(MemberHistory(clock=clock, lag_s=lag_s))
    faults = FaultInjector(handler=handler, is_write=lambda req: req.method != "GET")
    return HttpServer(address=listen, handler=faults.handle)


def run(*, listen: str, lag_s: float = 2.0) -> None:
    """Serves an empty list until SIGTERM.

    Args:
        listen: `ip:port`.
        lag_s: age of the answers in seconds.
    """
    with members_server(listen=listen, lag_s=lag_s, clock=SystemClock()):
        wait_for_signal()

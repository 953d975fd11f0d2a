"""Calls that a worker has not read when it restarts, as in the queue of its listening socket."""

import threading

from standins._http import Request

HOLD_LIMIT_S = 10.0
"""Longest time for which a thread of the server waits with a call."""


class HeldCalls:
    """Holds the calls to a worker unread; their callers get no answer."""

    def __init__(self) -> None:
        self._calls: list[Request] = []
        self._changed = threading.Condition()
        self._is_open = False
        self._path = ""

    def begin(self, *, path: str = "") -> None:
        """Holds calls from now on.

        Args:
            path: holds only calls of this path, as on connections that are not accepted yet while
                open ones are served; all calls if empty.
        """
        with self._changed:
            self._is_open = True
            self._path = path

    def hold(self, req: Request) -> bool:
        """Holds a call until `end`; returns False at once if calls are not held now."""
        with self._changed:
            if not self._is_open or self._path not in ("", req.path):
                return False
            self._calls.append(req)
            self._changed.wait_for(lambda: not self._is_open, timeout=HOLD_LIMIT_S)
            return True

    def calls(self) -> list[Request]:
        """Returns the calls that are held."""
        with self._changed:
            return list(self._calls)

    def end(self) -> list[Request]:
        """Stops holding calls, and returns those that were held."""
        with self._changed:
            self._is_open = False
            calls, self._calls = self._calls, []
            self._changed.notify_all()
            return calls

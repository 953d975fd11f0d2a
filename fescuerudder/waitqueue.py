"""Requests that wait for a permit, those with the earliest deadline first."""

import heapq
import itertools
import threading
from collections.abc import Callable

import attrs

from fescuerudder.messages import SlotPermit


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """A request that waits for a permit.

    Args:
        deadline_s: end of the wait; requests with earlier deadlines go first.
        avoid: workers that must not be used.
    """

    deadline_s: float
    avoid: frozenset[str]
    event: threading.Event = attrs.field(factory=threading.Event)
    permit: SlotPermit | None = None


class WaitQueue:
    """Requests in the order of their deadlines. Callers hold a lock of their own."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiter]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        heapq.heappush(self._heap, (waiter.deadline_s, next(self._order), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Removes a request, if it is there."""
        self._heap = [entry for entry in self._heap if entry[2] is not waiter]
        heapq.heapify(self._heap)

    def serve(self, find: Callable[[Waiter], SlotPermit | None]) -> None:
        """Hands each request, earliest deadline first, the permit that `find` returns for it."""
        for entry in sorted(self._heap, key=lambda entry: entry[:2]):
            waiter = entry[2]
            waiter.permit = find(waiter)
            if waiter.permit is not None:
                self.remove(waiter)
                waiter.event.set()
            elif not waiter.avoid:
                return

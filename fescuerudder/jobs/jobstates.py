"""States of jobs that an instance has learned of."""

import threading
from collections import OrderedDict

from fescuerudder.clock import Clock, SystemClock
from fescuerudder.jobs.endedjobs import STATUS_S
from fescuerudder.jobs.jobrun import JobState

MAX_KNOWN_STATES = 20_000


class JobStates:
    """Thread-safe, bounded map from job ids to states; the oldest entries are evicted first.

    A final state is kept for STATUS_S, as the id is free again some time after the end.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._states: OrderedDict[str, tuple[JobState, float]] = OrderedDict()
        self._lock = threading.Lock()

    def update(self, job_id: str, state: JobState) -> None:
        """Records a state; a final state stays, and no job goes back to `QUEUED`."""
        with self._lock:
            known = self._find(job_id)
            if known is not None and (known.is_final or state is JobState.QUEUED):
                return
            self._states[job_id] = state, self._clock.now_s()
            while len(self._states) > MAX_KNOWN_STATES:
                self._states.popitem(last=False)

    def get(self, job_id: str) -> JobState | None:
        """Returns the last recorded state, None if the job is not known."""
        with self._lock:
            return self._find(job_id)

    def drop_live(self) -> None:
        """Drops the states that may have changed while this instance was not told of changes."""
        with self._lock:
            for job_id in [key for key, (state, _) in self._states.items() if not state.is_final]:
                del self._states[job_id]

    def _find(self, job_id: str) -> JobState | None:
        state, learned_s = self._states.get(job_id, (None, 0.0))
        if state is None:
            return None
        if state.is_final and self._clock.now_s() - learned_s >= STATUS_S:
            del self._states[job_id]
            return None
        return state

"""States of jobs that an instance has learned of."""

import threading
from collections import OrderedDict
from collections.abc import Callable

from fescuerudder.jobs.jobrun import JobState

MAX_KNOWN_STATES = 20_000


class JobStates:
    """Thread-safe, bounded map from job ids to states; the oldest entries are evicted first.

    Args:
        on_known: called with the id of each job that was not known before.
    """

    def __init__(self, *, on_known: Callable[[str], None] = lambda job_id: None) -> None:
        self._on_known = on_known
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._lock = threading.Lock()

    def update(self, job_id: str, state: JobState) -> None:
        """Records a state; a final state stays, and no job goes back to `QUEUED`."""
        with self._lock:
            known = self._states.get(job_id)
            if known is not None and (known.is_final or state is JobState.QUEUED):
                return
            self._states[job_id] = state
            while len(self._states) > MAX_KNOWN_STATES:
                self._states.popitem(last=False)
        if known is None:
            self._on_known(job_id)

    def get(self, job_id: str) -> JobState | None:
        """Returns the last recorded state, None if the job is not known."""
        with self._lock:
            return self._states.get(job_id)

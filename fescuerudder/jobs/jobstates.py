"""States of jobs as an instance knows them."""

import threading
from collections import OrderedDict

from fescuerudder.jobs.jobrun import JobState

MAX_KNOWN_STATES = 20_000


class JobStates:
    """Bounded map of states, safe for many threads; the oldest are forgotten first."""

    def __init__(self) -> None:
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, job_id: str, state: JobState) -> None:
        """Notes a state; it never goes back."""
        with self._lock:
            known = self._states.get(job_id)
            if known is not None and (known.is_final or state is JobState.QUEUED):
                return
            self._states[job_id] = state
            while len(self._states) > MAX_KNOWN_STATES:
                self._states.popitem(last=False)

    def get(self, job_id: str) -> JobState | None:
        """Returns the state that was last noted."""
        with self._lock:
            return self._states.get(job_id)

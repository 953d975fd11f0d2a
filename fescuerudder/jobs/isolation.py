"""Jobs whose rows the store rejects: when they are tried again, and what is held back meanwhile."""

from collections.abc import Collection, Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, JobRun, Phase, StepRun
from fescuerudder.jobs.rows import RowKey

ISOLATION_RETRY_S = 5.0
"""Time after which rejected rows are tried again; they may have become smaller."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class IsolatedRows:
    """Rows that were rejected.

    Args:
        retry_s: when they are tried again, on this instance's clock.
        steps: steps whose records of starts are among them.
        deletes: keys of records that are no longer needed.
    """

    retry_s: float
    steps: tuple[StepRun, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@attrs.define(eq=False, kw_only=True)
class RowIsolation:
    """Groups of rows that the store rejects, so that all others are stored without them.

    A group is named by the id of its job; for the leader's own rows by the key of the first one.
    """

    _groups: dict[str, IsolatedRows] = attrs.Factory(dict)
    _logged: set[str] = attrs.Factory(set)

    @property
    def names(self) -> Collection[str]:
        """Names of the isolated groups."""
        return self._groups.keys()

    def is_isolated(self, name: str) -> bool:
        """Returns whether a group was rejected and has not been stored since."""
        return name in self._groups

    def hold(
        self,
        name: str,
        *,
        steps: Iterable[StepRun] = (),
        deletes: Iterable[RowKey] = (),
        now_s: float,
    ) -> None:
        """Isolates a group; logs it the first time.

        Args:
            name: name of the group.
            steps: steps whose records of starts were rejected with it.
            deletes: keys of records whose deletion was rejected with it.
            now_s: current time.
        """
        known = self._groups.get(name)
        known = known if known is not None else IsolatedRows(retry_s=now_s)
        self._groups[name] = IsolatedRows(
            retry_s=now_s + ISOLATION_RETRY_S,
            steps=tuple(dict.fromkeys((*known.steps, *steps))),
            deletes=tuple(dict.fromkeys((*known.deletes, *deletes))),
        )
        if name not in self._logged:
            self._logged.add(name)
            _log.error("job isolated", job=name, reason="the store rejects its rows")

    def release(self, name: str) -> None:
        """Ends the isolation of a group, if it is isolated."""
        if self._groups.pop(name, None) is not None:
            _log.info("job no longer isolated", job=name)

    def is_held(self, name: str, now_s: float) -> bool:
        """Returns whether a group is not to be tried yet."""
        group = self._groups.get(name)
        return group is not None and now_s < group.retry_s

    def has_storable(self, runs: Iterable[JobRun], now_s: float) -> bool:
        """Returns whether one of some jobs is not held."""
        if not self._groups:
            return any(True for _ in runs)
        return any(not self.is_held(run.job.id, now_s) for run in runs)

    def due(self, now_s: float) -> dict[str, IsolatedRows]:
        """Returns the groups to try again, by name."""
        return {name: group for name, group in self._groups.items() if now_s >= group.retry_s}

    def hides_attempts(self) -> bool:
        """Returns whether attempts that may run are in no stored record because of an isolation."""
        steps = (step for group in self._groups.values() for step in group.steps)
        return any(_may_run(attempt) for step in steps for attempt in step.recorded_attempts())


def _may_run(attempt: Attempt) -> bool:
    return attempt.phase is not Phase.PLANNED

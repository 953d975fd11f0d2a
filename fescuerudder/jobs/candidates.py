"""Workers that a step may use, found once in a plan for all steps that need the same."""

from collections.abc import Iterable

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import StepRun
from fescuerudder.jobs.load import ROUNDING_TOLERANCE, Load
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.workerrecord import WorkerRecord


class Candidates:
    """The loads of the workers that take tasks, by what steps need.

    Args:
        loads: loads of the workers.
        steps: the steps that wait.
    """

    def __init__(self, *, loads: list[Load], steps: Iterable[StepRun]) -> None:
        self._loads = loads
        sizes = (s.spec.size.processors for s in steps if not s.spec.best_effort)
        self._smallest = min(sizes, default=0.0) - ROUNDING_TOLERANCE
        self._usable: dict[tuple[str, str], list[Load]] = {}
        self._roomy: dict[tuple[str, str], list[Load]] = {}

    def usable(self, step: Step, queue: Queue) -> list[Load]:
        """Returns the workers that a step may use, with room or not."""
        key = (queue.pool, step.required_label)
        found = self._usable.get(key)
        if found is None:
            found = [load for load in self._loads if may_use(load.record, step, queue)]
            self._usable[key] = found
        return found

    def roomy(self, step: Step, queue: Queue) -> list[Load]:
        """Returns the workers that a step may use, without some that are too full for any step.

        Loads only grow while a plan is made, so these stay too full.
        """
        if step.best_effort:
            return self.usable(step, queue)
        key = (queue.pool, step.required_label)
        known = self._roomy.get(key)
        loads = self.usable(step, queue) if known is None else known
        found = self._roomy[key] = [x for x in loads if x.processors >= self._smallest]
        return found


def may_use(record: WorkerRecord, step: Step, queue: Queue) -> bool:
    """Returns whether pool and label of a worker are those that a step needs."""
    info = record.info
    return info.pool == queue.pool and (
        not step.required_label or step.required_label in info.labels
    )

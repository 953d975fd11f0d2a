"""Groups the waiting steps and tasks of a plan by what is placed together."""

from collections import Counter

from fescuerudder.jobs.crashes import is_on_probation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import StepRun, TaskRun
from fescuerudder.jobs.manifest import Queue


def image_demands(waiting: dict[StepRun, list[TaskRun]]) -> dict[str, float]:
    """Returns the processors that the waiting tasks of each latency-critical image reserve."""
    demands: Counter[str] = Counter()
    for step, tasks in waiting.items():
        if step.spec.latency_target_ms:
            demands[step.spec.image] += step.spec.size.processors * len(tasks)
    return demands


def grouping_key(step: StepRun, demands: dict[str, float]) -> tuple[float, str, int]:
    """Returns a sort key that groups latency-critical steps by image, the largest demand first.

    Within an image, steps that must spread over many workers come first.
    """
    spec = step.spec
    if not spec.latency_target_ms:
        return (0.0, "", 0)
    return (-demands[spec.image], spec.image, spec.max_per_worker or spec.count)


def group_by_avoided(tasks: list[TaskRun]) -> list[tuple[frozenset[str], list[TaskRun]]]:
    """Groups tasks by the workers to avoid: those they run on already, and those they failed on.

    Tasks on probation are alone, so that each gets a worker of its own.
    """
    alone = []
    groups: dict[frozenset[str], list[TaskRun]] = {}
    for task in tasks:
        avoided = frozenset(task.avoided_workers | {attempt.worker for attempt in task.attempts})
        if is_on_probation(task):
            alone.append((avoided, [task]))
        else:
            groups.setdefault(avoided, []).append(task)
    return [*groups.items(), *alone]


def has_free_choice(step: Step, queue: Queue) -> bool:
    """Returns whether only the lack of room can keep a task of a step from a worker."""
    return not step.max_per_worker and not step.long_running and queue.advice is None

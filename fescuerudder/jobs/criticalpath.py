"""Run times of chains of steps that depend on each other."""

from collections.abc import Callable, Sequence

from fescuerudder.jobs.job import Job, Step


def estimated_run_ms(step: Step) -> float:
    """Returns the run time of a task of a step as submitted, in milliseconds."""
    return step.estimated_ms


def remaining_path_ms(steps: Sequence[Step], number: int, run_ms: Callable[[Step], float]) -> float:
    """Returns the run time of the longest chain that begins with a step, in milliseconds.

    Args:
        steps: steps of a job, each of which depends only on earlier ones.
        number: number of the step.
        run_ms: returns the run time of a task of a step, in milliseconds.
    """
    # Longest chain that begins with a step that depends on the given one.
    chains = [0.0] * len(steps)
    for k in range(len(steps) - 1, number, -1):
        path_ms = run_ms(steps[k]) + chains[k]
        for earlier in steps[k].after:
            chains[earlier] = max(chains[earlier], path_ms)
    return run_ms(steps[number]) + chains[number]


def critical_path_ms(job: Job) -> int:
    """Returns the estimated run time of the longest chain of steps, in milliseconds.

    A step depends only on steps before it.
    """
    ends: list[int] = []
    for step in job.steps:
        begins = max((ends[number] for number in step.after if number < len(ends)), default=0)
        ends.append(begins + step.estimated_ms)
    return max(ends, default=0)

"""Opens the steps whose dependencies are done, and closes those that have nothing left to start."""

import structlog

from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.schedulerstate import SchedulerState

_log = structlog.get_logger(__name__)


def open_steps(state: SchedulerState, *, now_s: float, wall_ms: float) -> None:
    """Updates the open steps, and which occurrences of repeated jobs exist.

    Args:
        state: state of the term.
        now_s: the time, on this instance's clock.
        wall_ms: Unix time in milliseconds, by which repetitions are due.
    """
    state.close_steps([s for s in state.open_steps if s.is_done or not s.job.is_live])
    for run in list(state.openable_jobs):
        waits = run.is_live and _open_steps_of(state, run, now_s, wall_ms)
        if not waits:
            del state.openable_jobs[run]


def _open_steps_of(state: SchedulerState, run: JobRun, now_s: float, wall_ms: float) -> bool:
    """Opens the steps of a job that may start; returns whether it has to be looked at again."""
    if run.job.repetition is None:
        for step in run.steps.values():
            if step.opened_s is None and run.may_open(step):
                step.opened_s = now_s
                state.open_steps[step] = None
        return False
    _drop_ended(state, run)
    _create_near(run, wall_ms)
    waits = run.occurrences.are_any_to_come() or bool(run.occurrences.droppable)
    # A worker or an earlier leader may have named a later occurrence before an earlier one is due.
    for key in sorted(run.steps):
        step = run.steps[key]
        if step.opened_s is not None or not run.may_open(step):
            continue
        if run.job.repetition.due_ms(step.occurrence) > wall_ms:
            waits = True
            continue
        step.opened_s = now_s
        state.open_steps[step] = None
    return waits


def _drop_ended(state: SchedulerState, run: JobRun) -> None:
    """Drops the ended occurrences of which nothing runs or may start late."""
    for occurrence in run.occurrences.droppable:
        steps = run.steps_of(occurrence)
        if not any(task.attempts or task.late_starts for step in steps for task in step.tasks):
            state.close_steps(steps)
            run.drop_occurrence(occurrence)


def _create_near(run: JobRun, wall_ms: float) -> None:
    """Creates the occurrences whose time is near, unless a worker or a record has named them."""
    assert run.job.repetition is not None
    near = run.occurrences.take_near(run.job.repetition, wall_ms=wall_ms)
    for occurrence in near:
        if (occurrence, 0) not in run.steps:
            run.create_occurrence(occurrence)
    if near:
        _log.info(
            "occurrences created",
            job=run.job.id,
            first=near[0],
            count=len(near),
            due_in_s=round((run.job.repetition.due_ms(near[0]) - wall_ms) / 1000, 2),
        )

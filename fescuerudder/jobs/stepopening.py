"""Opens the steps whose dependencies are done, and closes those that have nothing left to start."""

from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.schedulerstate import SchedulerState


def open_steps(state: SchedulerState, *, now_s: float, wall_ms: float) -> None:
    """Updates the open steps.

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
    """Opens the steps of a job that may start; returns whether a repetition is not due yet."""
    repetition, waits = run.job.repetition, False
    for step in run.steps.values():
        if step.opened_s is not None or not run.may_open(step):
            continue
        if repetition is not None and repetition.due_ms(step.occurrence) > wall_ms:
            waits = True
            continue
        step.opened_s = now_s
        state.open_steps[step] = None
    return waits

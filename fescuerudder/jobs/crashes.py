"""Which tasks crash the workers that start them, and when such a task is given up.

A worker that crashes takes all its attempts with it, so one crash doesn't tell which of them caused
it. Those that began last are suspected. A task that is suspected twice starts alone: nothing else
starts on its worker for a while before and after, so that a further crash tells.

Only a run that began on the worker, by its report or its answer, can be charged with the crash and
fail its job. A start that may not have arrived only counts as a possible crash: it limits how the
task starts and how often.
"""

from collections.abc import Iterable

import structlog

from fescuerudder.jobs.jobrun import MAX_POSSIBLE_CRASHES, Attempt, Phase, TaskRun
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerrecord import WorkerRecord

RECENT_START_S = 1.5
"""Age up to which an attempt is suspected first when its worker crashes, and time for which nothing
else starts beside a task on probation."""

EXONERATED_AFTER_S = 10.0
"""Run time after which a task is not the cause of a crash of its worker."""

CORRELATED_S = 1.0
"""Time between the losses of two workers up to which they may have a common cause, as power."""

CRASHES_TO_PROBATION = 2
"""Number of crashes, possible ones included, from which a suspected task starts alone."""

MAX_QUIET_WAIT_S = 3.0
"""Time for which a task on probation waits for a worker on which nothing has begun lately."""

MIN_CRASHES_ALONE = 2
"""Number of crashes after which a task is given up if it was the only suspect of the last one, and
no other worker was lost at that time, or if it must not be started any more."""

MAX_CRASHES = 3
"""Number of crashes after which a suspected task is given up in any case."""

_log = structlog.get_logger(__name__)


def record_worker_end(
    state: SchedulerState, record: WorkerRecord, *, open_starts_refused: bool
) -> None:
    """Records that an incarnation of a worker has ended; call it before its record is reset.

    Unless it left as announced, it has crashed, and tasks that have crashed enough workers are
    given up.

    Args:
        state: state of the term.
        record: the worker.
        open_starts_refused: whether another worker at its address refuses the starts that are not
            answered yet, so they are no possible crashes.
    """
    ignored = {Phase.PLANNED, Phase.STARTING} if open_starts_refused else {Phase.PLANNED}
    attempts = [a for a in record.attempts.values() if a.phase not in ignored]
    attempts += record.take_lapsed()
    if not record.info.draining:
        lost_contact_s = record.lost_contact_s
        at_s = lost_contact_s if lost_contact_s is not None else state.clock.now_s()
        _record_crash(state, record.id, attempts, lost_contact_s=at_s)


def _record_crash(
    state: SchedulerState, worker: str, attempts: Iterable[Attempt], *, lost_contact_s: float
) -> None:
    suspects = _one_of_each_task(find_suspects(attempts, lost_contact_s=lost_contact_s))
    is_alone = len(suspects) == 1 and not state.lost_contact_with_others(
        worker, at_s=lost_contact_s, within_s=CORRELATED_S
    )
    _log.warning(
        "worker crashed",
        worker=worker,
        suspects=[(a.task.id.job, *a.task.id[1:], a.number) for a in suspects if has_begun(a)],
        unconfirmed=[
            (a.task.id.job, *a.task.id[1:], a.number) for a in suspects if not has_begun(a)
        ],
    )
    for attempt in suspects:
        task, run = attempt.task, attempt.task.step.job
        if attempt.number in task.crashed_attempts or task.done or run.state.is_final:
            continue
        state.mark_dirty(run)
        if has_begun(attempt):
            _charge(attempt, is_alone=is_alone)
        else:
            _record_possible_crash(attempt)


def _one_of_each_task(suspects: Iterable[Attempt]) -> list[Attempt]:
    """Returns one suspect of each task, as at most one of its starts has caused the crash.

    Starts without an answer add up on a worker while their task may start nowhere else.
    """
    found: dict[TaskRun, Attempt] = {}
    for attempt in sorted(suspects, key=lambda a: (has_begun(a), a.number)):
        found[attempt.task] = attempt
    return list(found.values())


def has_begun(attempt: Attempt) -> bool:
    """Returns whether the worker has said that an attempt began there, by report or answer."""
    return attempt.reported or attempt.confirmed_s is not None


def _charge(attempt: Attempt, *, is_alone: bool) -> None:
    task = attempt.task
    task.crashed_attempts.append(attempt.number)
    if attempt.number in task.possible_crashes:
        task.possible_crashes.remove(attempt.number)
    if len(task.crashed_attempts) >= (MIN_CRASHES_ALONE if is_alone else MAX_CRASHES):
        _give_up(task)
    else:
        _check_limit(task)


def _record_possible_crash(attempt: Attempt) -> None:
    task = attempt.task
    if attempt.number not in task.possible_crashes:
        task.possible_crashes.append(attempt.number)
        _check_limit(task)


def _check_limit(task: TaskRun) -> None:
    """Gives a task up that may not be started any more if it is known to have run often enough."""
    if task.crash_count < MAX_POSSIBLE_CRASHES:
        return
    if len(task.crashed_attempts) >= MIN_CRASHES_ALONE:
        _give_up(task)
        return
    _log.error(
        "task held back, its starts were lost with their workers",
        job=task.id.job,
        task=task.id[1:],
        crashed_attempts=task.crashed_attempts,
        possible_crashes=task.possible_crashes,
    )


def _give_up(task: TaskRun) -> None:
    task.step.job.give_up()
    _log.warning(
        "job given up",
        job=task.id.job,
        task=task.id[1:],
        crashed_attempts=task.crashed_attempts,
        possible_crashes=task.possible_crashes,
    )


def withdraw_possible_crash(state: SchedulerState, attempt: Attempt) -> None:
    """Withdraws the suspicion against a start that reached only the next life of its worker."""
    task = attempt.task
    if attempt.number in task.possible_crashes:
        task.possible_crashes.remove(attempt.number)
        state.mark_dirty(task.step.job)


def is_on_probation(task: TaskRun) -> bool:
    """Returns whether a task must start alone."""
    return task.crash_count >= CRASHES_TO_PROBATION


def find_suspects(attempts: Iterable[Attempt], *, lost_contact_s: float) -> list[Attempt]:
    """Returns the attempts that may have crashed their worker.

    These are the ones that began last. If none has begun lately, they are the young ones of tasks
    that were suspected before, or all young ones.
    """
    young = [a for a in attempts if lost_contact_s - a.sent_s < EXONERATED_AFTER_S]
    recent = [a for a in young if not a.adopted and lost_contact_s - a.sent_s <= RECENT_START_S]
    return recent or [a for a in young if a.task.crash_count] or young


def may_start_beside(task: TaskRun, record: WorkerRecord, now_s: float) -> bool:
    """Returns whether a task may start on a worker as far as its probation is concerned."""
    if not is_on_probation(task):
        return True
    if task.quiet_wait_since_s is None:
        task.quiet_wait_since_s = now_s
    has_waited = now_s - task.quiet_wait_since_s >= MAX_QUIET_WAIT_S
    return has_waited or now_s - record.last_start_s > RECENT_START_S


def exonerate(state: SchedulerState, attempt: Attempt, now_s: float) -> None:
    """Drops the suspicion against a task whose attempt has run for EXONERATED_AFTER_S."""
    task = attempt.task
    if (
        task.crash_count
        and attempt.confirmed_s is not None
        and now_s - attempt.confirmed_s >= EXONERATED_AFTER_S
    ):
        task.crashed_attempts.clear()
        task.possible_crashes.clear()
        state.mark_dirty(task.step.job)

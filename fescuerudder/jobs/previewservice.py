"""Answers previews of placements at any instance: here while it leads, else by the leader."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import pykka
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.errors import PeerError
from fescuerudder.jobs._packing import pack, unpack
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.followerlink import FollowerLink
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.linkmessages import PreviewAnswer
from fescuerudder.jobs.preview import Preview
from fescuerudder.jobs.progress import StoredFormError, dump_job, load_job
from fescuerudder.jobs.scheduler import Scheduler

PREVIEW_ID = "(preview)"
"""Id of the job in a preview; callers can't submit one with this id."""

PREVIEW_TIMEOUT_S = 2.0
MIN_INTERVAL_S = 0.5
"""Time between two previews of a leader: each costs it about as much as a plan."""

MAX_TASKS = 10_000
"""Tasks of one occurrence of a job up to which a preview costs no more than a plan."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class NoPreview:
    """Why there is no preview.

    Args:
        reason: one line for the operator.
        is_invalid: the job can't be previewed by any instance.
    """

    reason: str
    is_invalid: bool = False


class LedTerm(Protocol):
    """The term that this instance leads; see `leader.LeaderTerm`."""

    def ask(self, call: Callable[[Scheduler], Any], *, timeout_s: float) -> Any:
        """Calls a function with the scheduler, between two plans, and returns its result."""


class PreviewService:
    """Previews of one instance.

    Args:
        instance: id of the instance.
        term: returns the term that it leads, None if it doesn't lead.
        leader: returns the claim of the leader, None if none is known.
        link: link to another leader.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        instance: str,
        term: Callable[[], LedTerm | None],
        leader: Callable[[], Claim | None],
        link: FollowerLink,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._term = term
        self._leader = leader
        self._link = link
        self._clock = clock
        self._lock = threading.Lock()
        self._next_s = 0.0

    def preview(self, job: Job) -> Result[Preview, NoPreview]:
        """Returns what the leader would do with a job now."""
        if sum(step.count for step in job.steps) > MAX_TASKS:
            reason = f"a preview takes at most {MAX_TASKS} tasks"
            return Err(NoPreview(reason=reason, is_invalid=True))
        if job.repetition is not None:
            # Only the first occurrence is shown.
            job = attrs.evolve(job, repetition=attrs.evolve(job.repetition, times=1))
        job = attrs.evolve(job, id=PREVIEW_ID)
        return self._ask_leader(job) if self._term() is None else self._decide(job)

    def relay(self, form: bytes) -> PreviewAnswer:
        """Answers a follower, for the job in a serialized form."""
        try:
            found = self._decide(load_job(form))
        except StoredFormError as exc:
            return PreviewAnswer(error=str(exc))
        match found:
            case Ok(preview):
                return PreviewAnswer(form=pack(preview))
            case Err(problem):
                return PreviewAnswer(error=problem.reason)

    def _ask_leader(self, job: Job) -> Result[Preview, NoPreview]:
        claim = self._leader()
        leader = f"the leader {claim.instance} at {claim.address}" if claim else "the leader"
        if claim is None or claim.instance == self._instance or not self._link.is_connected:
            known = "knows no leader" if claim is None else f"is not connected to {leader}"
            return Err(NoPreview(reason=f"instance {self._instance} doesn't lead and {known}"))
        if not self._link.leader_takes_previews:
            return Err(NoPreview(reason=f"{leader} doesn't support previews"))
        try:
            answer = self._link.preview(dump_job(job), timeout_s=PREVIEW_TIMEOUT_S)
            if answer.error:
                return Err(NoPreview(reason=f"{leader}: {answer.error}"))
            return Ok(unpack(answer.form, Preview))
        except PeerError as exc:
            return Err(NoPreview(reason=f"{leader} was not asked: {exc}"))

    def _decide(self, job: Job) -> Result[Preview, NoPreview]:
        """Previews a job in the term of this instance, at most one in MIN_INTERVAL_S."""
        with self._lock:
            now_s = self._clock.now_s()
            if now_s < self._next_s:
                return Err(NoPreview(reason=f"one preview each {MIN_INTERVAL_S:g} s; ask again"))
            self._next_s = now_s + MIN_INTERVAL_S
        term = self._term()
        if term is None:
            return Err(NoPreview(reason=f"instance {self._instance} doesn't lead"))
        try:
            preview = term.ask(lambda s: s.preview(job), timeout_s=PREVIEW_TIMEOUT_S)
        except LookupError as exc:
            return Err(NoPreview(reason=str(exc.args[0])))
        except (pykka.Timeout, pykka.ActorDeadError):
            return Err(NoPreview(reason="the scheduler didn't answer in time"))
        _log.info("placement previewed", queue=job.queue, account=job.account)
        return Ok(preview)

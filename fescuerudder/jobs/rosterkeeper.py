"""Keeps the leader's list of workers: what the registry lists, and what the stored roster says."""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase
from fescuerudder.jobs.leases import PREDECESSOR_S
from fescuerudder.jobs.reports import ReportReconciler
from fescuerudder.jobs.roster import Held, RosterEntry, dump_roster
from fescuerudder.jobs.workerbook import WorkerBook, WorkerClock
from fescuerudder.jobs.workerport import WorkerInfo
from fescuerudder.jobs.world import World

HELD_SILENCES = 2
"""Unanswered renewals after which the roster says what may run on a worker."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class RosterToStore:
    """A roster that is to be stored.

    Args:
        form: its stored form.
        births: births of the workers that may get tasks once it is stored, by id.
    """

    form: bytes
    births: dict[str, int]


class RosterKeeper:
    """Brings the books of the workers in line with registry and roster.

    Args:
        world: the leader's picture.
        reader: takes note of workers that were born again.
    """

    def __init__(self, *, world: World, reconciler: ReportReconciler) -> None:
        self._world = world
        self._reconciler = reconciler
        self._claimed_s = world.clock.now_s()

    def set_workers(self, infos: Iterable[WorkerInfo]) -> None:
        """Takes the complete registry of workers."""
        now_s = self._world.clock.now_s()
        listed = {info.id: info for info in infos}
        for info in listed.values():
            self._list_worker(info, now_s)
            self._world.forget_load(info.id)
        for book in list(self._world.books.values()):
            if book.id not in listed:
                self._unlist_worker(book)

    def restore(self, entries: Iterable[RosterEntry]) -> None:
        """Takes the workers on which tasks of earlier leaders may run.

        It is called when all jobs are restored, and before `set_workers`.
        """
        now_s = self._world.clock.now_s()
        for entry in entries:
            book = self._new_book(entry.info, now_s)
            book.listed, book.recorded, book.resolved = False, True, False
            book.resolved_by_s = self._claimed_s + PREDECESSOR_S
            self._world.books[book.id] = book
            if entry.held is not None:
                self._restore_held(book, entry.held, now_s)

    def _restore_held(self, book: WorkerBook, held: Iterable[Held], now_s: float) -> None:
        """Takes what may run on a worker that was silent already to an earlier leader."""
        book.resolved, book.recorded, book.held = True, False, True
        book.silent_since_s, book.silences = now_s, HELD_SILENCES
        for task_id, number in held:
            task = self._world.find_task(task_id)
            if task is None or task.done or not task.step.job.is_live:
                continue
            attempt = Attempt(
                task=task,
                worker=book.id,
                number=number,
                phase=Phase.UNCERTAIN,
                token=book.token - 1,
                sent_s=now_s,
                held=True,
            )
            self._world.add_attempt(attempt)

    def _list_worker(self, info: WorkerInfo, now_s: float) -> None:
        book = self._world.books.get(info.id)
        if book is not None and book.info.address != info.address:
            self._world.roster_changed = True
        if book is None:
            self._world.books[info.id] = self._new_book(info, now_s)
            self._world.roster_changed = True
        elif info.born_ms > book.info.born_ms:
            self._reconciler.begin_life(
                book, born_ms=info.born_ms, clock_ms=info.clock_ms, now_s=now_s
            )
            book.info = info
            book.listed = True
        elif info.born_ms == book.info.born_ms:
            book.clock.note(reading_ms=info.clock_ms, now_s=now_s)
            book.info = info
            book.listed = True

    def _new_book(self, info: WorkerInfo, now_s: float) -> WorkerBook:
        """Returns the book of a worker on which nobody has started anything."""
        return WorkerBook(
            info=info,
            clock=WorkerClock(reading_ms=info.clock_ms, read_s=now_s),
            token=self._world.raised_tokens.get(info.id, self._world.term.first_token),
            resolved=True,
        )

    def _unlist_worker(self, book: WorkerBook) -> None:
        if book.listed:
            _log.info("worker left the registry", worker=book.id, attempts=len(book.attempts))
        book.listed = False
        if not book.attempts and book.resolved:
            self._world.forget_worker(book)

    def note_silence(self, book: WorkerBook) -> None:
        """Takes note of one more renewal without an answer."""
        book.silences += 1
        if book.silences == HELD_SILENCES and book.resolved:
            self._world.roster_changed = True

    def take(self) -> RosterToStore | None:
        """Returns the roster if it has to be stored, and counts it as taken."""
        if not self._world.roster_changed:
            return None
        self._world.roster_changed = False
        form = dump_roster(_entry(book) for book in self._world.books.values())
        held = {book.id for book in self._world.books.values() if book.held}
        births = {name: born for name, born in self._world.births().items() if name not in held}
        return RosterToStore(form=form, births=births)

    def note_stored(self, births: dict[str, int]) -> None:
        """Takes note that a roster is stored with these workers, if they are the same lives."""
        for worker, born_ms in births.items():
            book = self._world.books.get(worker)
            if book is not None and book.info.born_ms == born_ms and not book.held:
                book.recorded = True


def _entry(book: WorkerBook) -> RosterEntry:
    """Returns what the roster is to say of a worker, and notes it."""
    book.held = book.resolved and book.silences >= HELD_SILENCES
    if not book.held:
        return RosterEntry(info=book.info)
    book.recorded = False
    return RosterEntry(info=book.info, held=tuple(book.attempts))

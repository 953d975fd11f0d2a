"""What the series of a soak share: their threads, their log, and the workers that are in one."""

import random
import threading
from collections.abc import Callable, Iterable
from datetime import UTC, datetime

from bench._soakworld import SoakWorld
from standins._http import Answer, Request
from standins.workerhandler import WorkerHandler

MAX_WORKERS = 4
"""Workers that are in a series at a time; the others have room for their tasks."""

NEWER_MS = 60_000.0
"""How far a clock that starts with a higher reading is ahead of that of the last incarnation."""

CLOCKS = ("zero", "lower", "higher")
"""How the first reading of an incarnation's clock compares with the last one before it."""


class SeriesContext:
    """Runs the threads of series and reserves workers for them.

    Args:
        world: what the series act on.
    """

    def __init__(self, *, world: SoakWorld) -> None:
        self.world = world
        self._busy: set[str] = set()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._log = world.directory / "restarts.log"

    def reserve(self, rng: random.Random) -> list[str]:
        """Reserves one or two workers; returns none if too many are in a series."""
        with self._lock:
            free = sorted(self.world.workers.keys() - self._busy)
            room = MAX_WORKERS - len(self._busy)
            if room <= 0:
                return []
            workers = rng.sample(free, rng.randint(1, min(room, 2)))
            self._busy.update(workers)
            return workers

    def reserve_all(self) -> list[str]:
        """Reserves all workers that are in no series."""
        with self._lock:
            free = sorted(self.world.workers.keys() - self._busy)
            self._busy.update(free)
            return free

    def release(self, workers: Iterable[str]) -> None:
        """Makes workers free for other series."""
        with self._lock:
            self._busy.difference_update(workers)

    def start(self, target: Callable[..., None], *args: object) -> None:
        """Runs `target` in a thread."""
        thread = threading.Thread(target=target, args=args, daemon=True)
        # A thread that is listed has been started, as another one may join it at any time.
        with self._lock:
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        """Waits until all threads have ended, also those that these threads start."""
        while True:
            with self._lock:
                if not self._threads:
                    return
                thread = self._threads.pop()
            thread.join()

    def note(self, text: str) -> None:
        """Adds a line to the log of the series."""
        with self._lock, self._log.open("a") as log:
            log.write(f"{datetime.now(UTC).isoformat()} {text}\n")

    def crash(self, face: WorkerHandler) -> None:
        """Crashes a worker."""
        with face.lock:
            self.note(f"{face.worker.info.id} crashes with {len(face.worker.runs)} runs")
            face.worker.crash()

    def restart(self, face: WorkerHandler, clock: str, rng: random.Random) -> None:
        """Starts the next incarnation of a worker, unless it is up.

        Args:
            face: the worker.
            clock: one of `CLOCKS`.
            rng: source of the first reading.
        """
        with face.lock:
            last_ms = face.worker.clock_ms()
            first_ms = {
                "zero": 0.0,
                "lower": rng.uniform(0.0, last_ms),
                "higher": rng.uniform(last_ms, last_ms + NEWER_MS),
            }[clock]
            if not face.worker.is_up:
                face.worker.restart(clock_ms=first_ms)
                self.note(
                    f"{face.worker.info.id} is back, clock {last_ms:.0f} before and "
                    f"{first_ms:.0f} now"
                )

    def carry_out(self, face: WorkerHandler, req: Request, when: str) -> Answer:
        """Has a worker carry out a held call; returns the answer, which nobody else gets.

        Args:
            face: the worker.
            req: the call.
            when: what the log says of the time.
        """
        worker = face.worker
        before_ms = worker.lease_until_ms
        answer = face.carry_out(req)
        self.note(
            f"{worker.info.id} carries out a held call {when}: {req.path} "
            f"{req.body.decode()}, answer {answer.status} {answer.body!r}, clock "
            f"{worker.clock_ms():.0f}, lease until {before_ms:.0f} and then "
            f"{worker.lease_until_ms:.0f}"
        )
        return answer

    def cut(self, face: WorkerHandler) -> None:
        """Cuts a worker off."""
        worker = face.worker
        self.world.relay.cut(worker.info.id, "hang")
        left_s = (worker.lease_until_ms - worker.clock_ms()) / 1000
        self.note(
            f"{worker.info.id} is cut off with {len(worker.runs)} runs and {left_s:.1f} s of lease"
        )

    def heal(self, worker: str) -> None:
        """Makes a worker reachable again."""
        self.world.relay.heal(worker)
        self.note(f"{worker} is reachable")

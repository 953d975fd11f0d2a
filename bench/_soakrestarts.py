"""Workers that restart under their ids amid calls, and are cut off soon after."""

import random
import signal
import threading
import time
from collections.abc import Callable
from datetime import UTC, datetime

import attrs

from bench._soakworld import Node, SoakWorld
from fescuerudder.jobs.claim import load_claim
from fescuerudder.jobs.storage import CLAIM_KEY
from standins._http import Request
from standins.workerhandler import WorkerHandler

MAX_WORKERS = 4
"""Workers that are in a series at a time; the others have room for their tasks."""

HOLD_S = (0.05, 1.5)
"""Time before the crash in which calls are held."""

DOWN_S = (0.05, 1.0)
DELAY_S = (0.01, 3.0)
"""Time after the return at which a held call is carried out; short ones are as frequent as long."""

CUT_AFTER_S = (0.3, 4.0)
"""Time from the return to the cut."""

CUT_S = (5.0, 9.0)
LEADER_OUT_S = (0.5, 6.0)
NEWER_MS = 60_000.0
"""How far a clock that starts with a higher reading is ahead of that of the last incarnation."""


@attrs.frozen(kw_only=True)
class Series:
    """Faults of one or two workers.

    Args:
        workers: their ids.
        hold_s: time before the crash in which calls are held.
        down_s: time from the crash to the return.
        holds_while_down: whether calls are held until the return, else until the crash.
        clock: how the first reading of the clock compares with the last one: `zero`, `lower` or
            `higher`.
        cut_after_s: time from the return to the cut.
        cut_s: length of the cut.
        leader_lost: signal that the leader gets, None if it isn't lost.
        leader_lost_s: time from the return to the signal.
        leader_out_s: time after which the lost leader goes on, or starts again.
        seed: seed of the delays of the held calls and of the clock's reading.
    """

    workers: tuple[str, ...]
    hold_s: float
    down_s: float
    holds_while_down: bool
    clock: str
    cut_after_s: float
    cut_s: float
    leader_lost: signal.Signals | None
    leader_lost_s: float
    leader_out_s: float
    seed: int

    def __str__(self) -> str:
        lost = f", leader {self.leader_lost.name}" if self.leader_lost else ""
        return f"restart {' '.join(self.workers)} (clock {self.clock}, cut{lost})"


class Restarts:
    """Draws and plays series.

    Args:
        world: what it acts on.
        rng: source of the series.
    """

    def __init__(self, *, world: SoakWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._busy: set[str] = set()
        self._threads: list[threading.Thread] = []
        self._log = world.directory / "restarts.log"

    def begin(self) -> str:
        """Begins a series; returns what it is, empty if too many workers are in one."""
        free = sorted(self._world.workers.keys() - self._busy)
        room = MAX_WORKERS - len(self._busy)
        if room <= 0:
            return ""
        series = self._draw(self._rng.sample(free, self._rng.randint(1, min(room, 2))))
        self._busy.update(series.workers)
        self._start(self._play, series)
        return str(series)

    def join(self) -> None:
        """Waits until all series have ended."""
        while self._threads:
            self._threads.pop().join()

    def _draw(self, workers: list[str]) -> Series:
        rng = self._rng
        cut_after_s = rng.uniform(*CUT_AFTER_S)
        return Series(
            workers=tuple(workers),
            hold_s=rng.uniform(*HOLD_S),
            down_s=rng.uniform(*DOWN_S),
            holds_while_down=rng.random() < 0.5,
            clock=rng.choice(("zero", "lower", "higher")),
            cut_after_s=cut_after_s,
            cut_s=rng.uniform(*CUT_S),
            leader_lost=rng.choice((*[None] * 8, signal.SIGKILL, signal.SIGSTOP)),
            leader_lost_s=rng.uniform(0.0, cut_after_s + 1.0),
            leader_out_s=rng.uniform(*LEADER_OUT_S),
            seed=rng.getrandbits(32),
        )

    def _play(self, series: Series) -> None:
        rng = random.Random(series.seed)
        faces = [self._world.workers[name] for name in series.workers]
        for face in faces:
            face.held_calls.begin()
        time.sleep(series.hold_s)
        held = [self._crash(face, series) for face in faces]
        time.sleep(series.down_s)
        for face, calls in zip(faces, held, strict=True):
            self._return(face, series, calls, rng)
        if series.leader_lost is not None:
            self._start(self._lose_leader, series)
        time.sleep(series.cut_after_s)
        for face in faces:
            self._cut(face)
        time.sleep(series.cut_s)
        for name in series.workers:
            self._world.relay.heal(name)
            self._note(f"{name} is reachable")
        self._busy.difference_update(series.workers)

    def _crash(self, face: WorkerHandler, series: Series) -> list[Request]:
        """Crashes a worker; returns the held calls if no more are to be held."""
        with face.lock:
            self._note(f"{face.worker.info.id} crashes with {len(face.worker.runs)} runs")
            face.worker.crash()
        return [] if series.holds_while_down else face.held_calls.end()

    def _return(
        self, face: WorkerHandler, series: Series, held: list[Request], rng: random.Random
    ) -> None:
        """Starts the next incarnation, which carries out the held calls one by one."""
        name = face.worker.info.id
        with face.lock:
            last_ms = face.worker.clock_ms()
            first_ms = {
                "zero": 0.0,
                "lower": rng.uniform(0.0, last_ms),
                "higher": rng.uniform(last_ms, last_ms + NEWER_MS),
            }[series.clock]
            if not face.worker.is_up:
                face.worker.restart(clock_ms=first_ms)
                self._note(f"{name} is back, clock {last_ms:.0f} before and {first_ms:.0f} now")
        for req in held + face.held_calls.end():
            shortest_s, longest_s = DELAY_S
            delay_s = shortest_s * (longest_s / shortest_s) ** rng.random()
            self._start(self._carry_out, face, req, delay_s)

    def _carry_out(self, face: WorkerHandler, req: Request, delay_s: float) -> None:
        time.sleep(delay_s)
        worker = face.worker
        before_ms = worker.lease_until_ms
        answer = face.carry_out(req)
        self._note(
            f"{worker.info.id} carries out a held call after {delay_s:.2f} s: {req.path} "
            f"{req.body.decode()}, answer {answer.status} {answer.body!r}, clock "
            f"{worker.clock_ms():.0f}, lease until {before_ms:.0f} and then "
            f"{worker.lease_until_ms:.0f}"
        )

    def _cut(self, face: WorkerHandler) -> None:
        worker = face.worker
        self._world.relay.cut(worker.info.id, "hang")
        left_s = (worker.lease_until_ms - worker.clock_ms()) / 1000
        self._note(
            f"{worker.info.id} is cut off with {len(worker.runs)} runs and {left_s:.1f} s of lease"
        )

    def _lose_leader(self, series: Series) -> None:
        time.sleep(series.leader_lost_s)
        node = self._leader()
        if node is None:
            return
        self._note(f"{node.name} gets {series.leader_lost.name}")
        node.send(series.leader_lost)
        time.sleep(series.leader_out_s)
        node.send(signal.SIGCONT)
        node.start()

    def _leader(self) -> Node | None:
        """Returns the node that the claim in the store names."""
        row = self._world.rows.get(CLAIM_KEY)
        name = load_claim(row.value).instance if row else ""
        return next((node for node in self._world.nodes if node.name == name), None)

    def _start(self, target: Callable[..., None], *args: object) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _note(self, text: str) -> None:
        with self._log.open("a") as log:
            log.write(f"{datetime.now(UTC).isoformat()} {text}\n")

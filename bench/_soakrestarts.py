"""Workers that restart under their ids amid calls, and are cut off soon after."""

import random
import signal
import time

import attrs

from bench._soakcontext import CLOCKS, SeriesContext
from bench._soakworld import Node
from fescuerudder.jobs.claim import load_claim
from fescuerudder.jobs.storage import CLAIM_KEY
from standins._http import Request
from standins.workerhandler import WorkerHandler

HOLD_S = (0.05, 1.5)
"""Time before the crash in which calls are held."""

DOWN_S = (0.05, 1.0)
DELAY_S = (0.01, 3.0)
"""Time after the return at which a held call is carried out; short ones are as frequent as long."""

CUT_AFTER_S = (0.3, 4.0)
"""Time from the return to the cut."""

CUT_S = (5.0, 9.0)
LEADER_OUT_S = (0.5, 6.0)


@attrs.frozen(kw_only=True)
class Series:
    """Faults of one or two workers.

    Args:
        workers: their ids.
        hold_s: time before the crash in which calls are held.
        down_s: time from the crash to the return.
        holds_while_down: whether calls are held until the return, else until the crash.
        clock: how the first reading of the clock compares with the last one; of `CLOCKS`.
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
        context: their threads, their log and the world that they act on.
        rng: source of the series.
    """

    def __init__(self, *, context: SeriesContext, rng: random.Random) -> None:
        self._context = context
        self._world = context.world
        self._rng = rng

    def begin(self) -> str:
        """Begins a series; returns what it is, empty if too many workers are in one."""
        workers = self._context.reserve(self._rng)
        if not workers:
            return ""
        series = self._draw(workers)
        self._context.start(self._play, series)
        return str(series)

    def _draw(self, workers: list[str]) -> Series:
        rng = self._rng
        cut_after_s = rng.uniform(*CUT_AFTER_S)
        return Series(
            workers=tuple(workers),
            hold_s=rng.uniform(*HOLD_S),
            down_s=rng.uniform(*DOWN_S),
            holds_while_down=rng.random() < 0.5,
            clock=rng.choice(CLOCKS),
            cut_after_s=cut_after_s,
            cut_s=rng.uniform(*CUT_S),
            leader_lost=rng.choice((*[None] * 8, signal.SIGKILL, signal.SIGSTOP)),
            leader_lost_s=rng.uniform(0.0, cut_after_s + 1.0),
            leader_out_s=rng.uniform(*LEADER_OUT_S),
            seed=rng.getrandbits(32),
        )

    def _play(self, series: Series) -> None:
        rng = random.Random(series.seed)
        context = self._context
        faces = [self._world.workers[name] for name in series.workers]
        for face in faces:
            face.held_calls.begin()
        time.sleep(series.hold_s)
        held = [self._crash(face, series) for face in faces]
        time.sleep(series.down_s)
        for face, calls in zip(faces, held, strict=True):
            self._return(face, series, calls, rng)
        if series.leader_lost is not None:
            context.start(self._lose_leader, series)
        time.sleep(series.cut_after_s)
        for face in faces:
            context.cut(face)
        time.sleep(series.cut_s)
        for name in series.workers:
            context.heal(name)
        context.release(series.workers)

    def _crash(self, face: WorkerHandler, series: Series) -> list[Request]:
        """Crashes a worker; returns the held calls if no more are to be held."""
        self._context.crash(face)
        return [] if series.holds_while_down else face.held_calls.end()

    def _return(
        self, face: WorkerHandler, series: Series, held: list[Request], rng: random.Random
    ) -> None:
        """Starts the next incarnation, which carries out the held calls one by one."""
        self._context.restart(face, series.clock, rng)
        for req in held + face.held_calls.end():
            shortest_s, longest_s = DELAY_S
            delay_s = shortest_s * (longest_s / shortest_s) ** rng.random()
            self._context.start(self._carry_out, face, req, delay_s)

    def _carry_out(self, face: WorkerHandler, req: Request, delay_s: float) -> None:
        time.sleep(delay_s)
        self._context.carry_out(face, req, f"after {delay_s:.2f} s")

    def _lose_leader(self, series: Series) -> None:
        time.sleep(series.leader_lost_s)
        node = self._leader()
        if node is None:
            return
        self._context.note(f"{node.name} gets {series.leader_lost.name}")
        node.send(series.leader_lost)
        time.sleep(series.leader_out_s)
        node.send(signal.SIGCONT)
        node.start()

    def _leader(self) -> Node | None:
        """Returns the node that the claim in the store names."""
        row = self._world.rows.get(CLAIM_KEY)
        name = load_claim(row.value).instance if row else ""
        return next((node for node in self._world.nodes if node.name == name), None)

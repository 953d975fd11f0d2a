"""Chains of takeovers near a worker's restart, and calls that outlive the leader that sent them."""

import random
import signal
import time
from collections.abc import Callable
from http import HTTPStatus

import attrs

from bench._soakclaims import CHAIN_S, START_PATH, ClaimWatch, Term
from bench._soakcontext import CLOCKS, SeriesContext
from standins._http import Request
from standins.workerhandler import WorkerHandler

FIRST_LOSS_S = (0.0, 0.6)
"""Earliest time of the first loss after the workers have begun to hold starts."""

CRASH_S = (0.0, 1.0)
"""Time from the first loss to the crash."""

DOWN_S = (0.05, 2.0)
CUT_AFTER_S = (-1.5, 3.0)
"""Time from the return to the cut; it may also come before the return or the crash."""

ISOLATED_SHARE = 0.5
"""Share of the chains whose workers are cut off from everybody before a successor has claimed.

Otherwise the successor's first call mostly comes before a late start, which the worker refuses.
"""

UNLISTED_S = (0.0, 0.0, 0.5, 2.0, 5.0)
"""Times of which one is that from the return to when the registry may list the worker again."""

CUT_S = (4.0, 8.0)
ISOLATED_CUT_S = (9.0, 16.0)
"""Length of a cut from everybody; a successor waits some 10 s for the leases of such workers."""

LOSS_OFFSET_S = (-0.5, 1.5)
"""Time from the crash, the return or the cut to a further loss of the leader."""

LOSSES = (2, 3)
OUT_S = (0.5, 5.0)
"""Time after which a killed leader starts again, and a paused one after its successor's claim."""

STARTS_SHARE = 0.7
"""Share of the further losses that wait for a start; the first one always does."""

JOBS = 2
"""Jobs that are submitted just before such a loss."""

STARTS_TIMEOUT_S = 2.0
START_AGE_S = (0.0, 0.05)
"""Time from the first such start to the loss."""

MAX_AGE_S = 15.0
"""Time within which a held call is read; the platform carries out no order later than 20 s."""

MAX_WORKERS = 2
MIN_WORKERS = 4
"""Workers that are in no series when a chain begins."""

TERM_TIMEOUT_S = 5.0
"""Longest wait for the next leader; losses that find none are left out."""

DELAY_S = (0.01, 8.0)
"""Time from the return to when a held call is read.

In half of the chains short times are as frequent as long ones. In the others they are uniform, as a
run that begins long after the loss is what a successor may not wait for.
"""

FATES = ("stays", "queue", "queue", "queue", "queue", "reset", "silent")
"""What becomes of a worker and of the calls that it has not read.

`stays`: it doesn't crash, and reads them late. `queue`: its next incarnation reads them. `reset`,
`silent`: its next incarnation has nothing of the last one but the port; the calls are lost, and
open connections are reset or get no answer any more.
"""


@attrs.frozen(kw_only=True)
class LeaderLoss:
    """A loss of whoever leads then.

    Args:
        at_s: earliest time in seconds, of the first loss from the beginning of the chain, of others
            from the first one.
        number: SIGKILL or SIGSTOP.
        waits_for_start: whether it comes just after a start was sent.
        start_age_s: time from that start to the loss.
        out_s: time after which the leader starts again, or goes on once its successor has claimed.
    """

    at_s: float
    number: signal.Signals
    waits_for_start: bool
    start_age_s: float
    out_s: float


@attrs.frozen(kw_only=True)
class Chain:
    """Losses of two or three leaders around the restart of one or two workers.

    Starts are held at all workers until the first loss. The workers of the chain are among those
    that hold one; the others read what they hold late.

    Args:
        fates: one of `FATES` for each worker of the chain.
        crash_s: time from the first loss to the crash; all calls to the workers are held meanwhile.
        down_s: time from the crash to the return.
        clock: how the first reading of the clock compares with the last one; of `CLOCKS`.
        unlisted_s: time from the return to when the registry may list the workers again.
        is_isolated: whether the cut begins with the first loss, and keeps the workers out of the
            registry too once they have crashed.
        cut_after_s: time from the return to the cut, negative if the cut comes first.
        cut_s: length of the cut.
        delays_uniform: whether the delays of held calls are uniform, else their logarithms are.
        in_order: whether held calls are read in the order in which they were sent.
        losses: losses of leaders by their times.
        seed: seed of the delays of the held calls and of the clock's reading.
    """

    fates: tuple[str, ...]
    crash_s: float
    down_s: float
    clock: str
    unlisted_s: float
    is_isolated: bool
    cut_after_s: float
    cut_s: float
    delays_uniform: bool
    in_order: bool
    losses: tuple[LeaderLoss, ...]
    seed: int

    def __str__(self) -> str:
        losses = " ".join(
            f"{loss.number.name}{'+start' if loss.waits_for_start else ''}@{loss.at_s:.1f}"
            for loss in self.losses
        )
        return (
            f"chain {' '.join(self.fates)} (clock {self.clock}, crash@{self.crash_s:.1f}, leaders "
            f"{losses})"
        )


@attrs.frozen(kw_only=True)
class _Play:
    """A chain that is played.

    Args:
        chain: the chain.
        begin_s: its beginning, on the steady clock, in seconds.
        rng: source of the delays of the held calls and of the clock's reading.
    """

    chain: Chain
    begin_s: float
    rng: random.Random


def draw_chain(rng: random.Random) -> Chain:
    """Returns a random chain."""
    crash_s, down_s = rng.uniform(*CRASH_S), rng.uniform(*DOWN_S)
    is_isolated = rng.random() < ISOLATED_SHARE
    cut_after_s = -(crash_s + down_s) if is_isolated else rng.uniform(*CUT_AFTER_S)
    anchors_s = (crash_s, crash_s + down_s, crash_s + down_s + cut_after_s)
    further_s = sorted(
        max(0.0, rng.choice(anchors_s) + rng.uniform(*LOSS_OFFSET_S))
        for _ in range(rng.randint(*LOSSES) - 1)
    )
    return Chain(
        fates=tuple(rng.choice(FATES) for _ in range(rng.randint(1, MAX_WORKERS))),
        crash_s=crash_s,
        down_s=down_s,
        clock=rng.choice(CLOCKS),
        unlisted_s=rng.choice(UNLISTED_S),
        is_isolated=is_isolated,
        cut_after_s=cut_after_s,
        cut_s=rng.uniform(*(ISOLATED_CUT_S if is_isolated else CUT_S)),
        delays_uniform=rng.random() < 0.5,
        in_order=rng.random() < 0.5,
        losses=tuple(
            LeaderLoss(
                at_s=at_s,
                number=rng.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGSTOP)),
                waits_for_start=number == 0 or rng.random() < STARTS_SHARE,
                start_age_s=rng.uniform(*START_AGE_S),
                out_s=rng.uniform(*OUT_S),
            )
            for number, at_s in enumerate((rng.uniform(*FIRST_LOSS_S), *further_s))
        ),
        seed=rng.getrandbits(32),
    )


def draw_delays(rng: random.Random, chain: Chain, *, number: int) -> list[float]:
    """Returns times in seconds after which held calls are read, in the order they were sent."""
    shortest_s, longest_s = DELAY_S
    if chain.delays_uniform:
        delays_s = [rng.uniform(shortest_s, longest_s) for _ in range(number)]
    else:
        delays_s = [shortest_s * (longest_s / shortest_s) ** rng.random() for _ in range(number)]
    return sorted(delays_s) if chain.in_order else delays_s


class Takeovers:
    """Draws and plays chains, one at a time.

    Args:
        context: their threads, their log and the world that they act on.
        watch: tells the leaders, and counts late calls.
        submit: submits a job.
        rng: source of the chains.

    Attributes:
        chains: number of chains amid which at least two leaders were replaced within `CHAIN_S`.
    """

    def __init__(
        self,
        *,
        context: SeriesContext,
        watch: ClaimWatch,
        submit: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._context = context
        self._world = context.world
        self._watch = watch
        self._submit = submit
        self._rng = rng
        self._is_under_way = False
        self._cut_off: set[str] = set()
        self.chains = 0

    def begin(self) -> str:
        """Begins a chain; returns what it is, empty if one is under way or workers are lacking."""
        if self._is_under_way:
            return ""
        workers = self._context.reserve_all()
        if len(workers) < MIN_WORKERS:
            self._context.release(workers)
            return ""
        self._is_under_way = True
        chain = draw_chain(self._rng)
        play = _Play(chain=chain, begin_s=time.monotonic(), rng=random.Random(chain.seed))
        self._context.start(self._play, play, workers)
        return str(chain)

    def _play(self, play: _Play, workers: list[str]) -> None:
        for name in workers:
            self._face(name).held_calls.begin(path=START_PATH)
        first = play.chain.losses[0]
        time.sleep(first.at_s)
        epoch = self._lose_leader(first, 0)
        self._context.start(self._lose_others, play, epoch)
        fates = dict(zip(self._choose(workers, play), play.chain.fates, strict=True))
        for name in workers:
            if name in fates:
                self._face(name).held_calls.begin()
            else:
                self._read_all_late(name, play, is_reborn=False)
        self._context.release(set(workers) - fates.keys())
        self._restart_and_cut(play, fates)
        self._context.release(fates)

    def _choose(self, workers: list[str], play: _Play) -> list[str]:
        """Returns workers for a chain, first those that hold starts."""
        order = play.rng.sample(workers, len(workers))
        order.sort(key=lambda name: not self._face(name).held_calls.calls())
        return order[: len(play.chain.fates)]

    def _restart_and_cut(self, play: _Play, fates: dict[str, str]) -> None:
        """Crashes workers, starts them again, and cuts them off before or after that."""
        chain = play.chain
        return_s = chain.crash_s + chain.down_s
        cut_s = max(0.0, return_s + chain.cut_after_s)
        steps: list[tuple[float, Callable[[str, str], None]]] = [
            (chain.crash_s, self._crash),
            (return_s, lambda name, fate: self._return(name, fate, play)),
            (return_s + chain.unlisted_s, lambda name, fate: self._list(name, play)),
            (cut_s, lambda name, fate: self._cut(name)),
            (cut_s + chain.cut_s, lambda name, fate: self._heal(name)),
        ]
        begin_s = time.monotonic()
        for at_s, step in sorted(steps, key=lambda step: step[0]):
            time.sleep(max(0.0, begin_s + at_s - time.monotonic()))
            for name, fate in fates.items():
                step(name, fate)

    def _cut(self, name: str) -> None:
        self._cut_off.add(name)
        self._context.cut(self._face(name))

    def _heal(self, name: str) -> None:
        self._cut_off.discard(name)
        self._context.heal(name)
        self._face(name).is_listed = True

    def _list(self, name: str, play: _Play) -> None:
        if name not in self._cut_off or not play.chain.is_isolated:
            self._face(name).is_listed = True

    def _face(self, name: str) -> WorkerHandler:
        return self._world.workers[name]

    def _crash(self, name: str, fate: str) -> None:
        if fate == "stays":
            return
        face = self._face(name)
        self._context.crash(face)
        face.is_listed = False
        if fate == "queue":
            return
        self._world.relay.cut(name, "refuse" if fate == "reset" else "hang")
        self._world.relay.drop(name, fate)
        lost = face.held_calls.end()
        self._context.note(f"{name} loses its connections ({fate}) and {len(lost)} calls")

    def _return(self, name: str, fate: str, play: _Play) -> None:
        face = self._face(name)
        if fate != "stays":
            self._context.restart(face, play.chain.clock, play.rng)
        if fate in ("reset", "silent") and name not in self._cut_off:
            self._world.relay.heal(name)
        self._read_all_late(name, play, is_reborn=fate == "queue")

    def _read_all_late(self, name: str, play: _Play, *, is_reborn: bool) -> None:
        """Ends the hold of calls; each of them is read some time later."""
        face = self._face(name)
        calls = face.held_calls.end()
        most_s = max(0.0, play.begin_s + MAX_AGE_S - time.monotonic())
        delays_s = draw_delays(play.rng, play.chain, number=len(calls))
        for req, delay_s in zip(calls, delays_s, strict=True):
            self._context.start(self._read_late, face, req, min(delay_s, most_s), is_reborn)

    def _read_late(
        self, face: WorkerHandler, req: Request, delay_s: float, is_reborn: bool
    ) -> None:
        """Has a worker read a call whose caller is gone, or waits no more."""
        time.sleep(delay_s)
        sender = self._watch.describe_sender(req)
        is_late = self._watch.note_held(req, is_reborn=is_reborn)
        answer = self._context.carry_out(face, req, f"of {sender} after {delay_s:.2f} s")
        if is_late and req.path == START_PATH and answer.status == HTTPStatus.OK:
            self._watch.note_carried_out()

    def _lose_others(self, play: _Play, epoch: int) -> None:
        """Plays the losses after the first one, of the leader of term `epoch`."""
        base_s = time.monotonic()
        for loss in play.chain.losses[1:]:
            time.sleep(max(0.0, base_s + loss.at_s - time.monotonic()))
            epoch = self._lose_leader(loss, epoch)
        self._watch.wait_for_term(after=epoch, timeout_s=TERM_TIMEOUT_S)
        takeovers = self._watch.takeovers(since_s=max(play.begin_s, time.monotonic() - CHAIN_S))
        self.chains += takeovers >= 2
        self._context.note(f"chain ends after {takeovers} takeovers")
        self._is_under_way = False

    def _lose_leader(self, loss: LeaderLoss, last: int) -> int:
        """Waits for a leader after term `last`, and has it lost; returns its term."""
        term = self._watch.wait_for_term(after=last, timeout_s=TERM_TIMEOUT_S)
        if term is None:
            self._context.note(f"no leader after term {last}")
            return last
        amid = ""
        if loss.waits_for_start:
            self._context.start(self._submit_jobs)
            if self._watch.wait_for_start(epoch=term.epoch, timeout_s=STARTS_TIMEOUT_S):
                time.sleep(loss.start_age_s)
                amid = ", just after a start"
        self._context.note(f"{term.node.name}, term {term.epoch}, gets {loss.number.name}{amid}")
        term.node.send(loss.number)
        self._context.start(self._bring_back, term, loss)
        return term.epoch

    def _submit_jobs(self) -> None:
        for _ in range(JOBS):
            self._submit()

    def _bring_back(self, term: Term, loss: LeaderLoss) -> None:
        """Lets a lost leader go on, a paused one not before another one has claimed."""
        if loss.number is signal.SIGSTOP:
            self._watch.wait_for_term(after=term.epoch, timeout_s=TERM_TIMEOUT_S)
        time.sleep(loss.out_s)
        self._context.note(f"{term.node.name} of term {term.epoch} goes on or starts again")
        term.node.send(signal.SIGCONT)
        term.node.start()

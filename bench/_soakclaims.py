"""What a soak sees of its leaders: their terms, and the calls that outlive them."""

import json
import subprocess
import threading
import time

import attrs

from bench._soakworld import Node, SoakWorld
from fescuerudder.jobs.claim import load_claim
from fescuerudder.jobs.schedulerstate import TOKENS_PER_EPOCH
from fescuerudder.jobs.storage import CLAIM_KEY
from standins._http import Request

POLL_S = 0.02
CHAIN_S = 20.0
"""Time within which two takeovers count as a chain."""

START_PATH = "/run-start"


@attrs.frozen(kw_only=True)
class Term:
    """A claim and the process that made it.

    Args:
        epoch: number of the term.
        node: the leader.
        process: its process at that time.
        at_s: when the claim was seen, on the steady clock, in seconds.
    """

    epoch: int
    node: Node
    process: subprocess.Popen | None
    at_s: float

    @property
    def has_ended(self) -> bool:
        """Whether the process of the leader has ended."""
        return self.process is None or self.process.poll() is not None


@attrs.define(kw_only=True)
class LateCalls:
    """Numbers of calls that a worker read after their sender had ended or was no more the leader.

    Args:
        calls: all of them.
        orphaned: those whose sender's process had ended.
        starts: those that are starts.
        reborn: those that were meant for an earlier incarnation of the worker.
        carried_out: starts that had been held up, and that the worker carried out.
    """

    calls: int = 0
    orphaned: int = 0
    starts: int = 0
    reborn: int = 0
    carried_out: int = 0

    def __str__(self) -> str:
        return (
            f"{self.calls} late calls ({self.orphaned} of ended processes, {self.reborn} read by a "
            f"later incarnation, {self.starts} starts, {self.carried_out} of them carried out)"
        )


class ClaimWatch:
    """Follows the claims in the store, and counts late calls; a context manager.

    Args:
        world: what it watches.
    """

    def __init__(self, *, world: SoakWorld) -> None:
        self._world = world
        self._terms: list[Term] = []
        self._started: set[int] = set()
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.late = LateCalls()

    def __enter__(self) -> "ClaimWatch":
        for face in self._world.workers.values():
            face.on_arrival = self.note_arrival
            face.on_execution = self.note_execution
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        self._thread.join()

    def terms(self) -> list[Term]:
        """Returns the terms seen so far."""
        with self._changed:
            return list(self._terms)

    def takeovers(self, *, since_s: float = 0.0) -> int:
        """Returns the number of terms that replaced another one from `since_s` on."""
        return sum(term.at_s >= since_s for term in self.terms()[1:])

    def wait_for_term(self, *, after: int, timeout_s: float) -> Term | None:
        """Returns the term of a running leader after term `after`, None if none comes in time."""

        def find() -> Term | None:
            term = self._terms[-1] if self._terms else None
            return term if term and term.epoch > after and not term.has_ended else None

        with self._changed:
            return self._changed.wait_for(find, timeout=timeout_s)

    def wait_for_start(self, *, epoch: int, timeout_s: float) -> bool:
        """Returns whether a new start of that term reaches a worker in time."""
        with self._changed:
            self._started.discard(epoch)
            return self._changed.wait_for(lambda: epoch in self._started, timeout=timeout_s)

    def note_arrival(self, req: Request) -> None:
        """Notes a call that reached a worker, whether it reads it or not."""
        if req.path != START_PATH:
            return
        with self._changed:
            self._started.add(read_epoch(req))
            self._changed.notify_all()

    def note_execution(self, req: Request) -> None:
        """Counts a call that a worker is about to carry out, if it is late."""
        is_late, is_orphaned = self._judge(req)
        with self._changed:
            self.late.calls += is_late
            self.late.orphaned += is_orphaned
            self.late.starts += is_late and req.path == START_PATH

    def note_held(self, req: Request, *, is_reborn: bool) -> bool:
        """Returns whether a call that was held up is late, and counts it if it is reborn.

        Args:
            req: the call, which the worker is about to read.
            is_reborn: whether it was meant for an earlier incarnation.
        """
        is_late, _ = self._judge(req)
        with self._changed:
            self.late.reborn += is_late and is_reborn
        return is_late

    def note_carried_out(self) -> None:
        """Counts a late start that was held up and that the worker carried out."""
        with self._changed:
            self.late.carried_out += 1

    def describe_sender(self, req: Request) -> str:
        """Returns who sent a call, and what became of it."""
        epoch = read_epoch(req)
        is_late, is_orphaned = self._judge(req)
        state = "ended" if is_orphaned else "replaced" if is_late else "leading"
        return f"term {epoch}, {state},"

    def _judge(self, req: Request) -> tuple[bool, bool]:
        """Returns whether a call is late, and whether its sender's process has ended."""
        epoch = read_epoch(req)
        with self._changed:
            present = self._terms[-1].epoch if self._terms else 0
            sender = next((term for term in self._terms if term.epoch == epoch), None)
        is_orphaned = sender is not None and sender.has_ended
        return is_orphaned or epoch < present, is_orphaned

    def _run(self) -> None:
        while not self._stopping.wait(POLL_S):
            self.poll()

    def poll(self) -> None:
        """Reads the claim once."""
        row = self._world.rows.get(CLAIM_KEY)
        if row is None:
            return
        claim = load_claim(row.value)
        node = next(node for node in self._world.nodes if node.name == claim.instance)
        with self._changed:
            if self._terms and self._terms[-1].epoch >= claim.epoch:
                return
            term = Term(epoch=claim.epoch, node=node, process=node.process, at_s=time.monotonic())
            self._terms.append(term)
            self._changed.notify_all()


def read_epoch(req: Request) -> int:
    """Returns the term of the leader that sent a call."""
    return int(json.loads(req.body)["fencingToken"]) // TOKENS_PER_EPOCH

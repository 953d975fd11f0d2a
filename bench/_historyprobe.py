"""Measures one source tree: how its leader grows with ended jobs and with repetitions.

Runs as a script of its own with that tree first in the path, so it imports only what trees of
earlier versions have too. Times are those of the leader: the time of the simulated store, which
looks at all rows in each read, is left out.
"""

import functools
import gc
import inspect
import json
import logging
import os
import sys
import threading
import time
from pathlib import Path

import structlog

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Repetition, Step
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.storage import job_key, progress_key

try:
    from fescuerudder.jobs.historymover import HistoryMover
except ImportError:
    HistoryMover = None

WORKERS = 4
SIZE = Size(processors=0.1, memory_mb=10)
TEMPLATE = "00000000000000aa"
SETTLE_S = 10.0
"""Simulated time after which a leader moves ended jobs."""

RUN_S = 0.02
INTERVAL_MS = 100
"""Time between two occurrences: several writes of the leader, which stores progress each 0.05 s."""

WINDOW = 8
"""Occurrences whose bytes are averaged, as a write may hold the ends of more than one."""


def _simulation(seed):
    """Returns a simulation and its leader, which writes the most compact form that it knows."""
    sim = JobSimulation(workers=WORKERS, seed=seed)
    sim.run_s = RUN_S
    return sim, _claim(sim, "a")


def _claim(sim, name):
    leader = sim.claim(name)
    take = leader.scheduler.take_progress
    if "compact" in inspect.signature(take).parameters:
        leader.scheduler.take_progress = functools.partial(take, compact=True)
    return leader


def claim_time(seed, ended):
    """Returns the seconds from a claim to the first start, after `ended` jobs and time to tidy."""
    sim, leader = _simulation(seed)
    sim.submit(TEMPLATE, steps=(Step(count=1, size=SIZE),))
    sim.run(1.0)
    leader.alive = False
    _multiply(sim.store, ended)
    leader = _claim(sim, "b")
    _tidy(sim, leader)
    leader.alive = False
    sim.submit("00000000000000bb", steps=(Step(count=1, size=SIZE),))
    store_s = _time_store(sim.store)
    began_s = time.perf_counter()
    sim.claim("c")
    while not sim.starts("00000000000000bb"):
        sim.run(0.05)
    return time.perf_counter() - began_s - sum(store_s)


def _time_store(store):
    """Returns a list to which each later call of a store adds its duration."""
    durations = []

    def timed(call):
        def run(*args, **kwargs):
            began_s = time.perf_counter()
            try:
                return call(*args, **kwargs)
            finally:
                durations.append(time.perf_counter() - began_s)

        return run

    for name in ("read", "changes", "write"):
        setattr(store, name, timed(getattr(store, name)))
    return durations


def _multiply(store, ended):
    """Stores copies of the rows of the ended job under other ids."""
    for make_key in (job_key, progress_key):
        value = store.get(make_key(TEMPLATE)).value
        puts = []
        for number in range(ended - 1):
            name = f"e{number:015x}"
            puts.append((make_key(name), value.replace(TEMPLATE.encode(), name.encode())))
        for key, copy in puts:
            store.write(RowTransaction(puts=((key, copy),)), timeout_s=1)


def _tidy(sim, leader):
    """Runs a leader until it has moved all ended jobs, if this version moves them."""
    sim.run(SETTLE_S)
    if HistoryMover is None:
        return
    history = leader.scheduler.history
    mover = HistoryMover(
        store=sim.store,
        clock=sim.clock,
        stopping=threading.Event(),
        epoch=leader.scheduler.state.term.epoch,
        may_move=lambda: True,
        take=history.take_moves,
        on_moved=history.on_moved,
        on_kept=history.on_kept,
    )
    sim.run(SETTLE_S)
    while history.unmoved:
        mover.step()
        sim.clock.advance(seconds=0.05)
    while _store_batch(sim, leader).deletes:
        pass


def _store_batch(sim, leader):
    batch = leader.scheduler.take_progress()
    leader.writer.write(
        batch.rows,
        pending=batch.pending,
        deletes=batch.deletes,
        leader_rows=batch.leader_rows(),
        starts_recorded=batch.starts_recorded,
    )
    return batch


def memory_mb(seed, jobs, occurrences):
    """Returns the resident memory with repeated jobs that the leader has just learned of."""
    sim, _ = _simulation(seed)
    for number in range(jobs):
        _submit_repeated(sim, f"{number:016x}", occurrences, interval_ms=60_000)
    sim.run(0.5)
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def occurrence_bytes(seed, early, late):
    """Returns the bytes of progress written for an occurrence at the `early`th and `late`th."""
    sim, _ = _simulation(seed)
    written = 0
    plain = sim.store.write

    def write(txn, *, timeout_s):
        nonlocal written
        written += sum(len(value) for key, value in txn.puts if key.key.startswith(TEMPLATE))
        return plain(txn, timeout_s=timeout_s)

    sim.store.write = write
    _submit_repeated(sim, TEMPLATE, late + WINDOW, interval_ms=INTERVAL_MS)
    found, started = [], _StartCounter(sim)
    for number in (early, late):
        started.run_until(number)
        before, first = written, started.count
        started.run_until(first + WINDOW)
        found.append((written - before) / (started.count - first))
    return found


class _StartCounter:
    """Runs a simulation and counts the starts in it."""

    def __init__(self, sim):
        self._sim = sim
        self.count = 0

    def run_until(self, count):
        while self.count < count:
            self._sim.run(0.05)
            self.count += sum(event[4] == "start" for event in self._sim.events)
            self._sim.events.clear()


def _submit_repeated(sim, name, times, *, interval_ms):
    now_ms = int(sim.clock.now_s() * 1000)
    repetition = Repetition(first_ms=now_ms, interval_ms=interval_ms, times=times)
    sim.submit(name, steps=(Step(count=1, size=SIZE),), repetition=repetition)


MEASURES = {"claim": claim_time, "memory": memory_mb, "bytes": occurrence_bytes}

if __name__ == "__main__":
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    print(json.dumps(MEASURES[sys.argv[1]](*map(int, sys.argv[2:]))))

"""Experiment: what starts without an answer cost, by where their tasks may start again.

`python -m bench.lostorders` plays the same jobs through the job simulation: on a quiet day, while a
twentieth of the orders gets no answer and is carried out 2 to 12 s later, and with crashes besides.
docs/design/incarnations.md describes the candidates.
"""

import json
import statistics
import sys
from collections.abc import Callable, Iterator

import attrs
import structlog

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs import starts
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.jobrun import TaskRun
from fescuerudder.jobs.latestarts import bound_worker

WORKERS = 12
JOBS = 120
MEAN_GAP_S = 0.85
"""Mean time between two jobs; with it half of the room is taken."""

DRAIN_S = 60.0
"""Time after the last job by which all have ended, in seconds."""

LOSS_RATE = 0.05
LOST_ORDER_DELAY_S = (2.0, 12.0)
CRASH_GAP_S = 6.0
"""Time between two crashes of a worker."""

DOWN_S = (0.5, 9.0)
"""Shortest and longest time for which a crashed worker is away, in seconds."""

SIZE = Size(processors=1.0, memory_mb=10)
KINDS = ((6, 0.8, 2), (8, 2.0, 2), (4, 5.0, 1))
"""Number of tasks of a step, their run time in seconds, and number of steps, by kind of job."""


@attrs.frozen(kw_only=True)
class Day:
    """What happens to orders and workers.

    Args:
        name: name of the day.
        loss_rate: share of the orders without an answer.
        crash_gap_s: time between two crashes, None for none.
    """

    name: str
    loss_rate: float
    crash_gap_s: float | None = None


DAYS = (
    Day(name="quiet", loss_rate=0.0),
    Day(name="orders lost", loss_rate=LOSS_RATE),
    Day(name="orders lost, crashes", loss_rate=LOSS_RATE, crash_gap_s=CRASH_GAP_S),
)


@attrs.define(kw_only=True)
class Play:
    """One simulated day.

    Args:
        sim: the simulation.
        day: what happens.
        submitted_s: when each job was submitted, by its id.
        kinds: kind of each job, by its id.
        jobs: number of jobs.
    """

    sim: JobSimulation
    day: Day
    submitted_s: dict[str, float] = attrs.Factory(dict)
    kinds: dict[str, int] = attrs.Factory(dict)
    jobs: int = JOBS

    def run(self) -> None:
        """Plays the day."""
        sim = self.sim
        sim.plan = lambda task, attempt, worker: (SIZE, KINDS[self.kinds[task.job]][1], False)
        # Two runs of a task are counted, and don't end the play.
        sim.copies_allowed = True
        sim.claim("a")
        sim.run(1.0)
        sim.order_loss_rate, sim.lost_order_delay_s = self.day.loss_rate, LOST_ORDER_DELAY_S
        next_crash_s = sim.clock.now_s() + (self.day.crash_gap_s or 1e9)
        for number in range(self.jobs):
            self._submit(number)
            sim.run(sim.rng.expovariate(1 / MEAN_GAP_S))
            if sim.clock.now_s() >= next_crash_s:
                next_crash_s += CRASH_GAP_S
                self._crash()
        sim.order_loss_rate = 0.0
        sim.run(DRAIN_S)

    def _submit(self, number: int) -> None:
        job_id = f"{number:016x}"
        kind = self.kinds[job_id] = number % len(KINDS)
        count, _, steps = KINDS[kind]
        self.submitted_s[job_id] = self.sim.clock.now_s()
        self.sim.submit(
            job_id,
            steps=[
                Step(count=count, size=SIZE, after=(step - 1,) if step else ())
                for step in range(steps)
            ],
        )

    def _crash(self) -> None:
        """Crashes a worker that is up, which returns under its id."""
        sim = self.sim
        worker = sim.rng.choice([worker for worker in sim.workers.values() if worker.is_up])
        worker.crash()
        sim._at(sim.clock.now_s() + sim.rng.uniform(*DOWN_S), worker.restart)

    def job_times_s(self) -> list[float]:
        """Returns the time from submission to the last end of each job that ended."""
        ends: dict[str, float] = {}
        done: dict[str, set] = {}
        for at_s, _, task, _, event in self.sim.events:
            if event == "done" and task not in done.setdefault(task.job, set()):
                done[task.job].add(task)
                ends[task.job] = at_s
        return [
            ends[job] - submitted_s
            for job, submitted_s in self.submitted_s.items()
            if len(done.get(job, ())) == KINDS[self.kinds[job]][0] * KINDS[self.kinds[job]][2]
        ]

    def second_runs(self) -> tuple[int, int]:
        """Returns the number of starts beside another run, and after an end that counts as done.

        An end that no leader took note of, as its lease had ended, doesn't count.
        """
        events = self.sim.events
        noted = {event[2:4] for event in events if event[4] == "noted done"}
        live: dict[TaskId, set] = {}
        done: set[TaskId] = set()
        beside = after = 0
        for _, worker, task, attempt, event in events:
            runs = live.setdefault(task, set())
            if event == "start":
                beside += bool(runs)
                after += task in done
                runs.add((worker, attempt))
            elif not event.startswith("noted"):
                runs.discard((worker, attempt))
                if event == "done" and (task, attempt) in noted:
                    done.add(task)
        return beside, after


def _hold(task: TaskRun) -> str | None:
    """Binds a task with a late start to a worker that does not exist."""
    return "(none)" if task.late_starts else None


CANDIDATES: dict[str, Callable[[TaskRun], str | None]] = {"d": bound_worker, "b": _hold}


def lines(seeds: range) -> Iterator[dict]:
    """Yields the result of each play."""
    for name, rule in CANDIDATES.items():
        starts.bound_worker = rule
        for day in DAYS:
            for seed in seeds:
                play = Play(sim=JobSimulation(seed=seed, workers=WORKERS), day=day)
                play.run()
                times_s = sorted(play.job_times_s())
                beside, after = play.second_runs()
                yield {
                    "candidate": name,
                    "day": day.name,
                    "seed": seed,
                    "jobs": len(times_s),
                    "mean_s": round(statistics.fmean(times_s), 2),
                    "p95_s": round(times_s[int(0.95 * len(times_s))], 2),
                    "max_s": round(times_s[-1], 2),
                    "beside_another_run": beside,
                    "after_its_end": after,
                }
    starts.bound_worker = bound_worker


def main() -> None:
    """Prints the results as JSON lines; the arguments are the first seed and how many to play."""
    structlog.configure(processors=[_drop])
    first, count = (int(text) for text in (*sys.argv[1:], "1", "3")[:2])
    for line in lines(range(first, first + count)):
        print(json.dumps(line), flush=True)


def _drop(logger, name, event):
    """Drops each log line."""
    raise structlog.DropEvent


if __name__ == "__main__":
    main()

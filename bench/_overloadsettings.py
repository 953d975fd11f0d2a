"""What the setting `--overload-order` changes for callers: the same jobs with both values."""

import math
import statistics
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs

from bench._overloadloads import OVERLOAD_PATTERNS, OverloadPattern
from bench._overloadreplay import OverloadReplay, Scored
from fescuerudder.jobs.policy import OverloadOrder

SETTING_SEEDS = tuple(range(1, 9))
PROCESSES = 2
MOVED_S = 0.5
"""Difference of two ends of a job from which it counts as later; less is chance."""


@attrs.frozen(kw_only=True)
class JobPair:
    """A job in the replays of one load with `value-density` and with `late-last`.

    Args:
        seed: seed of the load.
        job: the job.
        default_s: time from its submission to its end by default, infinite without an end.
        late_last_s: the same with `late-last`.
        age_s: its age at the end of the replay, so that delays are finite.
    """

    seed: int
    job: Scored
    default_s: float
    late_last_s: float
    age_s: float

    @property
    def delay_s(self) -> float:
        """Time by which it ends later with `late-last`, as far as the replay shows."""
        return min(self.late_last_s, self.age_s) - min(self.default_s, self.age_s)

    @property
    def gain(self) -> float:
        """Value that `late-last` gains for its caller; negative if it loses some."""
        return self.job.value_after(self.late_last_s) - self.job.value_after(self.default_s)


@attrs.frozen(kw_only=True)
class Change:
    """What the setting changes for the callers of one priority in one pattern.

    Args:
        pattern: name of the pattern.
        priority: the priority, None for all.
        seeds: number of seeds.
        jobs: number of jobs, of all seeds.
        served: share of the value that was served by default.
        gain: the share served with `late-last` minus that; the mean of the seeds.
        error: standard error of the gain.
        seeds_up: number of seeds in which more was served with `late-last`.
        late: share of the jobs that ended late by default, or not at all.
        late_with: the same with `late-last`.
        useless: share of the jobs that ended when they were of no use, or not at all.
        useless_with: the same with `late-last`.
        gainers: share of the jobs that got more value.
        losers: share of the jobs that got less value.
        value_lost: value that these lost, as a share of the value that callers are entitled to.
        delayed: share of the jobs that ended more than MOVED_S later.
        delay_s: median of these delays.
        delay_95_s: their 95th percentile.
    """

    pattern: str
    priority: int | None
    seeds: int
    jobs: int
    served: float
    gain: float
    error: float
    seeds_up: int
    late: float
    late_with: float
    useless: float
    useless_with: float
    gainers: float
    losers: float
    value_lost: float
    delayed: float
    delay_s: float
    delay_95_s: float


def replay_pairs(pattern: OverloadPattern, *, seed: int) -> list[JobPair]:
    """Replays a pattern with both values of the setting; returns its jobs."""
    took = {}
    for setting in OverloadOrder:
        replay = OverloadReplay(pattern=pattern, seed=seed, setting=setting)
        replay.play()
        took[setting] = replay.took_s()
    end_s = replay.sim.clock.now_s()
    return [
        JobPair(
            seed=seed,
            job=job,
            default_s=took[OverloadOrder.VALUE_DENSITY][job.arrival.job_id],
            late_last_s=took[OverloadOrder.LATE_LAST][job.arrival.job_id],
            age_s=end_s - replay.submitted_s[job.arrival.job_id],
        )
        for job in replay.jobs
    ]


def _changes_of(name: str, *, seeds: Iterable[int]) -> list[Change]:
    pattern = next(pattern for pattern in OVERLOAD_PATTERNS if pattern.name == name)
    pairs = [pair for seed in seeds for pair in replay_pairs(pattern, seed=seed)]
    return list(changes(name, pairs))


def changes(pattern: str, pairs: Sequence[JobPair]) -> Iterator[Change]:
    """Yields the changes for all callers of a pattern and for those of each priority."""
    for priority in (None, *sorted({pair.job.priority for pair in pairs})):
        some = [pair for pair in pairs if priority in (None, pair.job.priority)]
        yield _change(pattern, priority, some)


def _change(pattern: str, priority: int | None, pairs: list[JobPair]) -> Change:
    seeds = sorted({pair.seed for pair in pairs})
    by_seed = [[pair for pair in pairs if pair.seed == seed] for seed in seeds]
    served = [_served(some, [pair.default_s for pair in some]) for some in by_seed]
    gains = [sum(p.gain for p in some) / sum(p.job.value for p in some) for some in by_seed]
    error = statistics.stdev(gains) / math.sqrt(len(gains)) if len(gains) > 1 else 0.0
    losses = [-pair.gain for pair in pairs if pair.gain < 0.0]
    delays = sorted(pair.delay_s for pair in pairs if pair.delay_s > MOVED_S)
    count = len(pairs)
    return Change(
        pattern=pattern,
        priority=priority,
        seeds=len(seeds),
        jobs=count,
        served=round(statistics.fmean(served), 4),
        gain=round(statistics.fmean(gains), 4),
        error=round(error, 4),
        seeds_up=sum(gain > 0.0 for gain in gains),
        late=_share(p.default_s > p.job.objective_s for p in pairs),
        late_with=_share(p.late_last_s > p.job.objective_s for p in pairs),
        useless=_share(p.default_s > p.job.expiry_s for p in pairs),
        useless_with=_share(p.late_last_s > p.job.expiry_s for p in pairs),
        gainers=_share(p.gain > 0.0 for p in pairs),
        losers=round(len(losses) / count, 4),
        value_lost=round(sum(losses) / sum(p.job.value for p in pairs), 4),
        delayed=round(len(delays) / count, 4),
        delay_s=round(statistics.median(delays), 2) if delays else 0.0,
        delay_95_s=round(delays[round(0.95 * (len(delays) - 1))], 2) if delays else 0.0,
    )


def _served(pairs: list[JobPair], took: list[float]) -> float:
    value = sum(p.job.value_after(took_s) for p, took_s in zip(pairs, took, strict=True))
    return value / sum(pair.job.value for pair in pairs)


def _share(flags: Iterable[bool]) -> float:
    return round(statistics.fmean(flags), 4)


def run_settings(names: Iterable[str] = ()) -> Iterator[Change]:
    """Yields what the setting changes, for the named patterns or for all."""
    chosen = set(names)
    known = [pattern.name for pattern in OVERLOAD_PATTERNS]
    listed = [name for name in known if not chosen or name in chosen]
    with ProcessPoolExecutor(PROCESSES) as pool:
        for found in pool.map(partial(_changes_of, seeds=SETTING_SEEDS), listed):
            yield from found


SETTING_HEADING = (
    f"{'pattern':18} {'priority':>8} {'served':>7} {'gain':>7} {'error':>6} {'up':>3}"
    f" {'late':>13} {'useless':>13} {'gain/lose':>13} {'lost':>6} {'delayed by s':>18}"
)


def change_text(change: Change) -> str:
    """Returns a change as a row of a table."""
    priority = "all" if change.priority is None else str(change.priority)
    return (
        f"{change.pattern:18} {priority:>8} {change.served:7.3f} {change.gain:+7.3f}"
        f" {change.error:6.3f} {change.seeds_up:3} {change.late:6.3f} {change.late_with:6.3f}"
        f" {change.useless:6.3f} {change.useless_with:6.3f} {change.gainers:6.3f}"
        f" {change.losers:6.3f} {change.value_lost:6.3f} {change.delayed:6.3f}"
        f" {change.delay_s:5.2f} {change.delay_95_s:5.2f}"
    )

"""Experiments: seeded open-loop load on real processes, policies side by side."""

import itertools
import json
import os
import random
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from statistics import median
from typing import Any

import attrs

from bench._bed import SERVICE, Bed, Scale, open_beds
from bench._load import NO_DEADLINE_MS, Sent, plan_arrivals, send_all
from bench._outcomes import PERCENTILES, US_PER_MS, make_histogram

RESULTS_DIR = Path("bench/results")
SETTLE_S = 1.0
MS_PER_S = 1000.0
SHAPES = ("even", "uneven", "slow")
UNEVEN_RATIO = 0.5
"""Each instance gets this share of the load of the one before it."""

PROMPT_MS = 50.0
"""A request counts as prompt if it is answered at most this long after its service time.

Unlike a percentile of the answered requests, the share of prompt ones also counts failures.
"""

SHED_DETAILS = ("expected wait", "queue of the service is full", "no slot became free")

Line = dict[str, Any]


@attrs.frozen(kw_only=True)
class Plan:
    """What an experiment measures.

    Args:
        name: experiment name; also the stem of the result files.
        flags_by_policy: entry flags of each policy.
        loads: offered loads as shares of the capacity.
        shape: `even`, `uneven` (over the instances) or `slow` (one worker of double time).
        runs: seeded runs of each policy and load.
        seed: seed of the order and of all runs.
        duration_s: measured time of each run.
        warmup_s: time before it whose requests are sent and not counted.
        mean_ms: mean of the exponential service times.
        deadline_ms: deadline of each request, 0 for none.
        scale: size of each deployment.
    """

    name: str
    flags_by_policy: Mapping[str, Mapping[str, Any]]
    loads: Sequence[float]
    shape: str
    runs: int
    seed: int
    duration_s: float
    warmup_s: float
    mean_ms: float
    deadline_ms: int
    scale: Scale

    def rate(self, load: float) -> float:
        """Returns requests per second; a slow worker counts with its reduced capacity."""
        slots = float(self.scale.total_slots)
        if self.shape == "slow":
            slots -= self.scale.slots / 2
        return load * slots * MS_PER_S / self.mean_ms

    def weights(self, entries: int) -> list[float]:
        """Returns the share of the load that each instance gets, not normalised."""
        ratio = UNEVEN_RATIO if self.shape == "uneven" else 1.0
        return [ratio**number for number in range(entries)]


def run_plan(plan: Plan, *, results: Path = RESULTS_DIR) -> Path:
    """Measures all policies and loads, and returns the file of result lines."""
    results.mkdir(parents=True, exist_ok=True)
    path = results / f"{plan.name}.jsonl"
    order = random.Random(plan.seed)
    slow_ms = plan.mean_ms if plan.shape == "slow" else 0.0
    context = {"command": " ".join(["python -m bench", *sys.argv[1:]]), "commit": commit_id()}
    lines = []
    with open_beds(plan.flags_by_policy, scale=plan.scale, slow_ms=slow_ms) as beds:
        for run in range(plan.runs):
            cells = list(itertools.product(plan.loads, beds))
            order.shuffle(cells)
            for load, policy in cells:
                line = _measure(plan, beds[policy], load=load, seed=plan.seed * 1000 + run)
                lines.append({**context, "experiment": plan.name, "policy": policy, **line})
                print(_line_text(lines[-1]), flush=True)
    path.write_text("".join(json.dumps(line, sort_keys=True) + "\n" for line in lines))
    return path


def _measure(plan: Plan, bed: Bed, *, load: float, seed: int) -> Line:
    arrivals = plan_arrivals(
        seed=seed,
        rate=plan.rate(load),
        duration_s=plan.warmup_s + plan.duration_s,
        mean_ms=plan.mean_ms,
        weights=plan.weights(len(bed.addresses)),
    )
    before = bed.counts()
    sent = send_all(
        arrivals,
        addresses=bed.addresses,
        path=f"/s/{SERVICE}/x",
        deadline_ms=plan.deadline_ms,
    )
    time.sleep(SETTLE_S)
    after = bed.counts()
    counted = [item for item in sent if item.at_s >= plan.warmup_s]
    return {
        "load": load,
        "shape": plan.shape,
        "seed": seed,
        "rate": round(plan.rate(load), 1),
        "mean_ms": plan.mean_ms,
        "duration_s": plan.duration_s,
        "scale": attrs.asdict(plan.scale),
        "machine_load": round(os.getloadavg()[0], 1),
        "worker_refusals": _difference(before, after, "request_refused_no_slot"),
        "peak_slots": after.get("peak_slots", 0),
        **summarise(counted, deadline_ms=plan.deadline_ms),
    }


def summarise(sent: Sequence[Sent], *, deadline_ms: int = NO_DEADLINE_MS) -> Line:
    """Returns counts and percentiles in ms.

    `extra_ms` is latency minus the stated service time: what routing and the system add.
    """
    answered = [item for item in sent if item.status == 200]
    in_time = [i for i in answered if not deadline_ms or i.latency_ms <= deadline_ms]
    failed = Counter(f"{item.status} {item.detail}" for item in sent if item.status != 200)
    shed = sum(any(text in i.detail for text in SHED_DETAILS) for i in sent if i.status == 503)
    prompt = sum(item.latency_ms - item.work_ms <= PROMPT_MS for item in answered)
    return {
        "requests": len(sent),
        "answered": len(answered),
        "prompt": prompt,
        "in_time": len(in_time),
        "shed": shed,
        "failed": dict(failed),
        "latency_ms": _percentiles(item.latency_ms for item in answered),
        "extra_ms": _percentiles(item.latency_ms - item.work_ms for item in answered),
        "generator_lag_ms": _percentiles(item.lag_ms for item in sent),
    }


def table_text(lines: Sequence[Line], *, field: str = "extra_ms") -> str:
    """Returns median and range over the runs of each policy and load."""
    rows = [f"{field}: median (least to most) of the runs"]
    for (load, policy), group in _groups(lines).items():
        cells = []
        for name in ("p50", "p99", "p99.9"):
            values = [line[field][name] for line in group]
            cells.append(f"{name} {median(values):.1f} ({min(values):.1f}-{max(values):.1f})")
        counts = f"of {sum(line['requests'] for line in group)} requests"
        for name in ("answered", "prompt", "in_time", "shed"):
            if name not in group[0]:
                continue
            counts += f", {name} {_share(group, name):.2%}"
        counts += f", refusals by workers {sum(line['worker_refusals'] for line in group)}"
        rows.append(f"  {load:.0%} {policy:18} {'  '.join(cells)}  {counts}")
    return "\n".join(rows)


def _share(group: Sequence[Line], name: str) -> float:
    """Returns the share of requests that `name` counts."""
    return sum(line[name] for line in group) / sum(line["requests"] for line in group)


def _groups(lines: Sequence[Line]) -> dict[tuple[float, str], list[Line]]:
    groups: dict[tuple[float, str], list[Line]] = {}
    for line in sorted(lines, key=lambda line: (line["load"], line["policy"])):
        groups.setdefault((line["load"], line["policy"]), []).append(line)
    return groups


def draw(path: Path) -> Path:
    """Draws the percentiles of a result file beside it, as PNG."""
    # The import takes a second, which the sender processes need not wait for.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    lines = read_lines(path)
    groups = _groups(lines)
    loads = sorted({load for load, _ in groups})
    names = ("p50", "p99", "p99.9")
    figure, axes = pyplot.subplots(1, len(loads), figsize=(6 * len(loads), 4), squeeze=False)
    for axis, load in zip(axes[0], loads, strict=True):
        policies = [policy for other, policy in groups if other == load]
        for number, policy in enumerate(policies):
            values = [[line["extra_ms"][name] for line in groups[load, policy]] for name in names]
            middle = [median(v) for v in values]
            spread = [
                [m - min(v) for m, v in zip(middle, values, strict=True)],
                [max(v) - m for m, v in zip(middle, values, strict=True)],
            ]
            width = 0.8 / len(policies)
            places = [place + number * width for place in range(len(names))]
            label = f"{policy}, {_share(groups[load, policy], 'answered'):.1%} answered"
            axis.bar(places, middle, width, yerr=spread, capsize=2, label=label)
        axis.legend(fontsize="small", loc="upper center", bbox_to_anchor=(0.5, -0.1), ncols=2)
        axis.set_xticks([place + 0.4 - width / 2 for place in range(len(names))], names)
        axis.set_yscale("log")
        axis.set_ylabel("latency minus service time, ms (median, range)")
        axis.set_title(f"{path.stem}: {load:.0%} of capacity, {lines[0]['shape']} load")
    figure.tight_layout()
    image = path.with_suffix(".png")
    figure.savefig(image, dpi=110)
    return image


def read_lines(path: Path) -> list[Line]:
    """Returns the lines of a result file."""
    return [json.loads(text) for text in path.read_text().splitlines()]


def _percentiles(values: Iterable[float]) -> dict[str, float]:
    histogram = make_histogram([max(0.0, value) for value in values])
    return {
        f"p{p:g}": round(histogram.get_value_at_percentile(p) / US_PER_MS, 2) for p in PERCENTILES
    }


def _difference(before: Mapping[str, int], after: Mapping[str, int], name: str) -> int:
    return after.get(name, 0) - before.get(name, 0)


def _line_text(line: Line) -> str:
    return (
        f"{line['load']:.0%} {line['policy']} seed {line['seed']}: extra {line['extra_ms']} ms, "
        f"answered {line['answered']} of {line['requests']}, in time {line['in_time']}, "
        f"shed {line['shed']}, refused by workers {line['worker_refusals']}, "
        f"generator lag {line['generator_lag_ms']} ms, machine load {line['machine_load']}"
    )


def commit_id() -> str:
    """Returns the commit, with a mark if files of the product differ from it."""
    head = _git("rev-parse", "--short=12", "HEAD")
    changed = _git("status", "--porcelain", "--", "fescuerudder", "standins", "bench/*.py")
    return f"{head}-changed" if changed else head


def _git(*args: str) -> str:
    return subprocess.run(["git", *args], capture_output=True, text=True).stdout.strip()

"""Upper bound of the value of a load, for a clairvoyant order with fractional capacity.

All arrivals and run times are known, work can be divided at will among processors and moments, and
a part of a job that is done yields that part of its value. A job that can't end in time even alone
yields only the value of a late one.

A job in time yields a quarter of its value for ending before it expires, and three quarters for
ending in time. The largest sum of each part is found on its own, so their sum is an upper bound.
Where work may be done within intervals, the amounts that can be done together form a polymatroid
(for each interval, the work that must be done within it is at most the capacity there), so adding
the most valuable work first, as much as fits, is optimal.
"""

import math

import numpy as np

from bench._overloadloads import OverloadPattern
from bench._overloadreplay import DRAIN_S, Scored
from fescuerudder.jobs.urgency import LATE_VALUE_FACTOR

BUCKET_S = 0.25
"""Length of the intervals into which time is divided; windows are rounded to longer ones."""


def clairvoyant_value(pattern: OverloadPattern, jobs: list[Scored]) -> float:
    """Returns a value that no order of the jobs can exceed."""
    in_time = _largest_value(
        pattern, [(job, job.objective_s) for job in jobs if job.arrival.chain_s <= job.objective_s]
    )
    of_use = _largest_value(
        pattern, [(job, job.expiry_s) for job in jobs if job.arrival.chain_s <= job.expiry_s]
    )
    return (1 - LATE_VALUE_FACTOR) * in_time + LATE_VALUE_FACTOR * of_use


def _largest_value(pattern: OverloadPattern, jobs: list[tuple[Scored, float]]) -> float:
    """Returns the largest value of work that is done in the given time after each arrival."""
    count = math.ceil((pattern.seconds + DRAIN_S) / BUCKET_S)
    starts, ends = np.arange(count)[:, None], np.arange(count)[None, :]
    # Capacity of the buckets from the row to the column that is not taken yet.
    spare = (ends - starts + 1.0) * BUCKET_S * pattern.free_processors
    value = 0.0
    for job, limit_s in sorted(jobs, key=lambda pair: -pair[0].value / pair[0].arrival.work):
        arrival = job.arrival
        first = min(count - 1, math.floor(arrival.at_s / BUCKET_S))
        last = min(count - 1, math.floor((arrival.at_s + limit_s) / BUCKET_S))
        around = spare[: first + 1, last:]
        amount = min(arrival.work, max(0.0, float(around.min())))
        around -= amount
        value += job.value * amount / arrival.work
    return value

"""A worker returns with less room under its id, and a job is handed in just then."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common_2.world import CaseError, World, run_case

WORKERS = 8
DOWN_S = 1.0
AFTER_S = 0.1
"""Time from the first heartbeat of the worker's next life until the job is handed in."""

JOB = "5c0e7a21d94b36f8"
SPEC = {"cpu": 6000, "memMb": 100, "workMs": 2000}
STEPS = [{"count": 1, "cpu": 6000, "memMb": 100, "estimatedMs": 2000}]


def case(record: Path, disrupts: bool) -> bool:
    """Returns whether a start brought a worker over its capacity."""
    with World(record, guards=False) as world:
        world.start_worker("w0", cpu=8000)
        for number in range(1, WORKERS):
            world.start_worker(f"w{number}", cpu=4000)
        world.start_nodes()
        time.sleep(3.0)
        if disrupts:
            world.kill("w0")
            time.sleep(DOWN_S)
            world.start_worker("w0", cpu=4000)
            if not world.wait_for(lambda: len(world.find("up", who="w0")) == 2, 5.0):
                raise CaseError("the worker did not return")
            time.sleep(AFTER_S)
        world.submit(JOB, SPEC, STEPS)
        world.wait_for(lambda: world.find("start"), 8.0)
        starts = world.find("start")
        if not disrupts and not starts:
            raise CaseError("the job did not start")
        return any(s["needed"]["cpu"] > s["capacity"]["cpu"] for s in starts)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)

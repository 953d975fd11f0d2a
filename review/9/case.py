"""A caller cancels a job whose submission got no certain answer, and the job runs later."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "7"))

from world import CaseError, World, run_case

WORKERS = 8
JOB = "5c0e7a21d94b36f8"
SPEC = {"cpu": 1000, "memMb": 100, "workMs": 1000}
STEPS = [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 1000}]
CANCEL_S = 3.0
"""`cancel_ms`: time after the acknowledgement within which tasks may still start."""

CONTACT_S = 4.0
"""`contactMs`: time after the lost answer from which machines are in touch again."""

WATCH_S = 10.0


def case(record: Path, disrupts: bool) -> bool:
    """Returns whether the job starts later than CANCEL_S after its cancelling was acknowledged."""
    with World(record) as world:
        for number in range(WORKERS):
            world.start_worker(f"w{number}", cpu=4000)
        world.start_nodes()
        time.sleep(3.0)
        leader = world.leader()
        assert leader is not None
        node = int(leader.rpartition("-")[2])
        if disrupts:
            world.store.delayed_writes = 1
        sent_s = world.now_s()
        body = {"spec": json.dumps(SPEC), "steps": STEPS}
        status, _ = world.call(node, "POST", JOB, body)
        if status not in ((0, 504) if disrupts else (200,)):
            raise CaseError(f"the submission was answered {status}")
        status, _ = world.call(node, "DELETE", JOB)
        if status not in (200, 410):
            raise CaseError(f"the cancelling was answered {status}")
        acknowledged_s = world.now_s()
        time.sleep(WATCH_S)
        if disrupts and not world.store.applied_late:
            raise CaseError("the delayed write was not done")
        world.note("result", state=world.state(JOB))
        due_s = max(acknowledged_s + CANCEL_S, sent_s + CONTACT_S)
        return any(line["s"] > due_s for line in world.find("start"))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)

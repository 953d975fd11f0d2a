"""Ends beyond the 500 that a report lists are taken for tasks that never ran, after a takeover."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from platform_standins import World, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS, TASKS, CPU = 8, 300, 100
RACK = "r0"
RUN_S = 0.5
CUT_S = 5.5
"""How long the leader is cut off from the store; the site file names cuts of 5.5 s."""

CUT_IN_STEP = 2
"""The cut comes while this step runs."""

STEP = {"count": TASKS, "cpu": CPU, "memMb": 16, "estimatedMs": int(RUN_S * 1000), "affinity": RACK}
BODY = {
    "spec": "plates",
    "steps": [STEP, *({**STEP, "after": [number]} for number in range(STEPS - 1))],
}


class Plates(World):
    """All tasks take RUN_S, and none fails."""

    def work_of(self, task, run):
        """See `World.work_of`."""
        return CPU, RUN_S, "done"

    def has_begun(self, step):
        """Returns whether all tasks of a step have been started."""
        begun = {task for _, _, task, _ in self.starts if task.split(".")[2] == str(step)}
        return len(begun) == TASKS


async def play(record, trouble):
    """Plays the case; returns its exit code."""
    async with Plates(record=record) as world:
        for number in range(3):
            await world.add_worker(f"i-{number}", f"z{number + 1}", rack=f"r{number}")
        await world.wait_ready()
        await world.submit(JOB, BODY)
        while trouble and not world.has_begun(CUT_IN_STEP):
            await asyncio.sleep(0.05)
        if trouble:
            leader = world.leader()
            record.add("cut off from the store", leader.name)
            world.store.cut.add(leader.name)
            await asyncio.sleep(CUT_S)
            world.store.cut.clear()
            record.add("cut has ended")
        async with asyncio.timeout(80):
            while (await world.request("GET", JOB))[1] != {"state": "completed"}:
                await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        again = world.find_second_runs()
        for start in again[:20]:
            record.add("started although a run had ended done:", *start)
        record.add("tasks started again after their end:", len({start[2] for start in again}))
        return 1 if again else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)

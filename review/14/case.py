"""A task that lasts waits for a worker of an evacuated zone, as one start there got no answer."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from platform_standins import World, main  # noqa: E402

JOB = "3d1e9a7c5b2f8046"
TASKS = 6
FAILS_AFTER_S = 4.0
LATE_S = 3.0
"""The worker carries the order out that long after it came; the bench says 2 to 12 s."""

WATCH_S = 24.0
GRACE_S, WINDOW_S, CALM_S = 6.0, 3.0, 4.0
"""The rule: a task that lasts runs again within 6 s, or waits for 3 s that are calm, with
the 4 s before them."""

BODY = {
    "spec": "watch",
    "steps": [{"count": TASKS, "cpu": 2000, "memMb": 256, "longLived": True}],
}
FAILING = f"{JOB}.0.0.2"


class Watchers(World):
    """The tasks last; the first run of one of them fails by its own fault."""

    def work_of(self, task, run):
        """See `World.work_of`."""
        return 2000, FAILS_AFTER_S if (task, run) == (FAILING, 1) else None, "failed"


async def play(record, trouble):
    """Plays the case; returns its exit code."""
    async with Watchers(record=record) as world:
        for number in range(6):
            await world.add_worker(f"i-{number}", f"z{number % 3 + 1}", rack=f"r{number % 3}")
        late = asyncio.get_running_loop().create_future()

        def leave_unanswered(worker, path, raw):
            is_restart = path == "/run-start" and raw["task"] == FAILING and raw["run"] > 1
            if not is_restart or late.done():
                return None
            late.set_result((record.now_s(), worker))
            return LATE_S if trouble else None

        for worker in world.workers:
            worker.leave_unanswered = lambda *call, worker=worker: leave_unanswered(worker, *call)
        await world.wait_ready()
        await world.submit(JOB, BODY)
        ordered_s, worker = await asyncio.wait_for(late, 30.0)
        await asyncio.sleep(0.2)
        record.add("evacuated", worker.zone)
        await world.store.put("op", f"evacuate/{worker.zone}", {})
        await asyncio.sleep(WATCH_S)
        ended_s = next(at for at, _, task, run, _ in world.ends if (task, run) == (FAILING, 1))
        begun = [at for at, _, task, run in world.starts if task == FAILING and run > 1]
        until_s = begun[0] if begun else record.now_s()
        calm_s = ordered_s + LATE_S + CALM_S if trouble else ordered_s
        waited_s = until_s - max(ended_s + GRACE_S, calm_s)
        free = sum(w.cpu - w.used_cpu for w in world.workers if w.zone != worker.zone)
        record.add("last run ended at", round(ended_s, 2), "next one began at", round(until_s, 2))
        record.add(
            "waited beyond the rule's times:", round(waited_s, 2), "s; free elsewhere:", free
        )
        return 1 if waited_s > WINDOW_S else 0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)

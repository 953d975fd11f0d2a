"""The workers that may run tasks, as stored for a successor.

The registry forgets workers that can't reach the store, while their leases go on. A leader stores
a worker here before it gives it the first task.
"""

import json
from collections.abc import Iterable

from fescuerudder.document import Size
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.workerport import WorkerInfo


def dump_roster(workers: Iterable[WorkerInfo]) -> bytes:
    """Returns the stored form: what is needed to reach the workers."""
    rows = sorted([w.id, w.born_ms, w.address] for w in workers)
    return json.dumps(rows, separators=(",", ":")).encode()


def load_roster(data: bytes) -> list[WorkerInfo]:
    """Returns the workers of a stored form; they have no capacity until they are listed.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        return [
            _unlisted(str(name), int(born_ms), str(address))
            for name, born_ms, address in json.loads(data)
        ]
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed roster: {type(exc).__name__}") from exc


def _unlisted(name: str, born_ms: int, address: str) -> WorkerInfo:
    return WorkerInfo(
        id=name,
        born_ms=born_ms,
        pool="",
        address=address,
        zone="",
        rack="",
        labels=frozenset(),
        capacity=Size(processors=0.0, memory_mb=0, accelerators=0),
        draining=False,
        clock_ms=0,
    )

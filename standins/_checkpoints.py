"""Checkpoints of simulated work in the object store."""

import contextlib
import json

import urllib3

from standins._simattempt import SimAttempt
from standins.workerstate import RefusedError

STORE_TIMEOUT_S = 0.7
"""Shorter than the client's timeout, so that a command that writes a checkpoint still answers."""


class CheckpointStore:
    """Reads and writes checkpoints in the object store.

    Args:
        address: `ip:port` of the object store; empty keeps checkpoints in memory.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/v1/objects/" if address else ""
        self._local: dict[str, bytes] = {}
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=4, retries=False, timeout=STORE_TIMEOUT_S
        )

    def write(self, item: SimAttempt) -> str:
        """Writes the checkpoint of `item` and returns its name, or an empty string on failure."""
        name = f"checkpoint/{item.task}/{item.attempt}"
        data = json.dumps({"task": item.task, "done_s": item.done_s}).encode()
        if not self._url:
            self._local[name] = data
            return name
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if self._pool.request("PUT", self._url + name, body=data).status < 300:
                return name
        return ""

    def read_done_s(self, name: str) -> float:
        """Returns the work done according to a checkpoint, in seconds; 0 without one.

        Raises:
            RefusedError: the checkpoint can't be read.
        """
        if not name:
            return 0.0
        try:
            return float(json.loads(self._read(name))["done_s"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
            raise RefusedError(reason="checkpoint_unreadable") from exc

    def _read(self, name: str) -> bytes:
        if not self._url:
            return self._local[name]
        return self._pool.request("GET", self._url + name).data

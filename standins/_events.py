"""Event file of a worker: one JSON object a line, written without buffering."""

import json
import os
import time
from typing import Any


class EventLog:
    """Appends events to a file.

    Each line is one unbuffered write, so a killed worker leaves no partial line and loses no
    event.

    Args:
        path: file to append to; if empty, events are dropped.
        common: fields of every event.
    """

    def __init__(self, *, path: str, common: dict[str, Any]) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._fd = os.open(path, flags, 0o644) if path else -1
        self._common = common

    def __enter__(self) -> "EventLog":
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def append(self, event: str, *, boot_s: float | None = None, **fields: Any) -> None:
        """Writes one event.

        Args:
            event: kind of event.
            boot_s: time of the event by CLOCK_BOOTTIME of the machine; now if None.
            fields: further fields.
        """
        if self._fd < 0:
            return
        at_s = time.clock_gettime(time.CLOCK_BOOTTIME) if boot_s is None else boot_s
        line = {"boot_s": at_s, "event": event, **self._common, **fields}
        os.write(self._fd, json.dumps(line).encode() + b"\n")

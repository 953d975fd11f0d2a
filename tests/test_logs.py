"""Log lines of a process."""

import json
import subprocess
import sys

PROGRAM = """
import structlog
from fescuerudder.logs import configure_logs

configure_logs(level="info", instance="a")
log = structlog.get_logger()
log.info("short", reason="r" * 8000, count=1)
try:
    raise ValueError("first " + "x" * 200_000 + " last")
except ValueError as exc:
    log.exception("failed", reason=str(exc))
"""


def test_long_texts_are_cut():
    """Guards against a log line with all of a large body that an error quotes."""
    done = subprocess.run([sys.executable, "-c", PROGRAM], capture_output=True, check=True)
    short, failed = map(json.loads, done.stdout.splitlines())
    assert (short["reason"], short["count"], short["instance"]) == ("r" * 8000, 1, "a")
    for name in ("reason", "exception"):
        assert len(failed[name]) < 8100
        assert "first x" in failed[name] and "characters left out" in failed[name]
        assert failed[name].endswith("x last")

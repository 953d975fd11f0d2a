"""Signals to a node that runs as a process."""

import json
import signal
import socket
import subprocess
import sys
import time

import pytest

from standins.nodesettings import write_settings

WAIT_TIMEOUT_S = 20.0


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@pytest.fixture
def node(tmp_path):
    """A running node whose store is not reachable, and its log file."""
    ports = {name: free_port() for name in ("peer_port", "front_port", "ready_port", "store_port")}
    settings = write_settings(tmp_path / "s.toml", **ports)
    log = tmp_path / "log"
    args = ["node", "--settings", settings, "--metrics-port", str(free_port())]
    with log.open("wb") as out:
        process = subprocess.Popen(
            [sys.executable, "-m", "fescuerudder", *args], stdout=out, stderr=out
        )
    yield process, log
    process.kill()
    process.wait()


def wait_for_event(log, event):
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end_s:
        lines = [text for text in log.read_text().splitlines() if text.startswith("{")]
        found = [line for line in map(json.loads, lines) if line["event"] == event]
        if found:
            return found[0]
        time.sleep(0.05)
    raise AssertionError(f"no {event!r} in the log:\n{log.read_text()}")


def test_signals_reload_and_stop(node):
    """Guards against SIGHUP ending the process, and against SIGTERM leaving it running."""
    process, log = node
    wait_for_event(log, "instance starts")
    process.send_signal(signal.SIGHUP)
    assert wait_for_event(log, "settings read again")["signalled"] is True
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    wait_for_event(log, "planned stop begins")
    assert process.wait(timeout=WAIT_TIMEOUT_S) == 0
    wait_for_event(log, "instance stopped")

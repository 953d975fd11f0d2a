"""Signals to a node that runs as a process."""

import json
import os
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


SLOW_MODULE = """
import pathlib, sys, time
pathlib.Path({marker!r}).touch()
time.sleep({seconds})
sys.path.remove({folder!r})
del sys.modules["attrs"]
import attrs
"""


def start_slowly(folder, *, seconds):
    """Starts a node whose first import of a library takes long; returns it during that import."""
    marker = folder / "marker"
    (folder / "attrs.py").write_text(
        SLOW_MODULE.format(marker=str(marker), seconds=seconds, folder=str(folder))
    )
    ports = {name: free_port() for name in ("peer_port", "front_port", "ready_port", "store_port")}
    args = ["node", "--settings", write_settings(folder / "s.toml", **ports)]
    with (folder / "log").open("wb") as out:
        process = subprocess.Popen(
            [sys.executable, "-m", "fescuerudder", *args, "--metrics-port", str(free_port())],
            stdout=out,
            stderr=out,
            env={**os.environ, "PYTHONPATH": str(folder)},
        )
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not marker.exists() and time.monotonic() < end_s:
        time.sleep(0.01)
    assert marker.exists()
    return process


def test_a_reload_signal_during_the_imports_is_kept(tmp_path):
    """Guards against SIGHUP ending a process that has just started, before it has a handler."""
    process = start_slowly(tmp_path, seconds=0.5)
    try:
        process.send_signal(signal.SIGHUP)
        assert wait_for_event(tmp_path / "log", "settings read again")["signalled"] is True
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_signal_during_the_imports_ends_the_process_in_order(tmp_path, number):
    """Guards against a stop that ends a process by the signal or with a traceback."""
    process = start_slowly(tmp_path, seconds=0.5)
    try:
        process.send_signal(number)
        assert process.wait(timeout=WAIT_TIMEOUT_S) == 0
        assert "Traceback" not in (tmp_path / "log").read_text()
    finally:
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


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signals_reload_and_stop(node, number):
    """Guards against SIGHUP ending the process, and against stop signals that it does not obey."""
    process, log = node
    wait_for_event(log, "instance starts")
    process.send_signal(signal.SIGHUP)
    assert wait_for_event(log, "settings read again")["signalled"] is True
    assert process.poll() is None
    process.send_signal(number)
    wait_for_event(log, "planned stop begins")
    assert process.wait(timeout=WAIT_TIMEOUT_S) == 0
    wait_for_event(log, "instance stopped")

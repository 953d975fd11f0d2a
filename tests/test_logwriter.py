"""Log lines are written beside the work, never in its way."""

import json
import os
import time

import pytest

from fescuerudder._logwriter import LogWriter

LINE = '{"event": "x"}\n'


def read_for(descriptor: int, seconds: float) -> str:
    """Returns what arrives within a time."""
    os.set_blocking(descriptor, False)
    end_s, parts = time.monotonic() + seconds, []
    while time.monotonic() < end_s:
        try:
            parts.append(os.read(descriptor, 1 << 16))
        except BlockingIOError:
            time.sleep(0.01)
    return b"".join(parts).decode()


def test_lines_arrive_in_order():
    """Guards against lines that are lost or overtake each other while the reader reads."""
    reader, descriptor = os.pipe()
    writer = LogWriter(descriptor=descriptor)
    for number in range(500):
        writer.write(f"{number}\n")
    assert read_for(reader, 0.5).split() == [str(number) for number in range(500)]


@pytest.mark.parametrize("size", [100, 70_000])
def test_a_stalled_reader_delays_nobody(size):
    """Guards against an instance that stands still because nobody reads its logs."""
    reader, descriptor = os.pipe()
    writer = LogWriter(descriptor=descriptor, max_waiting=50)
    started_s = time.monotonic()
    for _ in range(5000):
        writer.write("x" * size + "\n")
    assert time.monotonic() - started_s < 2.0
    text = read_for(reader, 1.0)
    writer.write(LINE)
    text += read_for(reader, 0.5)
    left_out = [json.loads(line) for line in text.splitlines() if "left out" in line]
    written = text.count("x\n")
    assert left_out, "what was left out must be said"
    assert written + sum(line["count"] for line in left_out) == 5000


def test_a_closed_reader_ends_nothing():
    """Guards against a crash when the reader of the logs goes away."""
    reader, descriptor = os.pipe()
    writer = LogWriter(descriptor=descriptor)
    os.close(reader)
    for _ in range(3):
        writer.write(LINE)
        time.sleep(0.05)
    writer.close()


def test_lines_of_several_writers_stay_whole():
    """Guards against lines of one process in the midst of another's: both write to one pipe."""
    reader, descriptor = os.pipe()
    writers = [LogWriter(descriptor=descriptor) for _ in range(3)]
    for _ in range(1000):
        for number, writer in enumerate(writers):
            writer.write(f"{number}" * 300 + "\n")
    lines = read_for(reader, 1.0).splitlines()
    assert len(lines) == 3000
    assert all(line == line[0] * 300 for line in lines)

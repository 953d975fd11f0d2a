"""Open-loop load of one experiment run, sent by processes of its own.

Arrivals are a Poisson process planned in advance from a seed, so that all policies get the
same arrivals, instances and service times. Latency counts from the planned time.
"""

import contextlib
import json
import random
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import cattrs
import urllib3

SENDERS = 2
THREADS = 256
START_DELAY_S = 0.5
"""Time from the readiness of all sender processes to the offset 0 of the arrivals."""

READY = "ready"
"""Line that a sender process writes once it can send."""

TIMEOUT_S = 20.0
NO_DEADLINE_MS = 0
MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class Arrival:
    """One planned request: offset, index of its entry instance and stated service time."""

    at_s: float
    entry: int
    work_ms: float


@attrs.frozen(kw_only=True)
class Sent:
    """What became of an arrival.

    Args:
        at_s: planned offset.
        lag_ms: delay of the generator between the planned and the actual sending.
        latency_ms: from the planned time to the end of the answer.
        work_ms: stated service time.
        status: HTTP status, 0 if the exchange failed.
        detail: detail of a problem answer.
    """

    at_s: float
    lag_ms: float
    latency_ms: float
    work_ms: float
    status: int
    detail: str = ""


@attrs.frozen(kw_only=True)
class _Share:
    """Work of one sender process."""

    addresses: list[str]
    path: str
    deadline_ms: int
    arrivals: list[Arrival]


def plan_arrivals(
    *, seed: int, rate: float, duration_s: float, mean_ms: float, weights: Sequence[float]
) -> list[Arrival]:
    """Returns Poisson arrivals with exponential service times; `weights` by entry instance."""
    rng = random.Random(seed)
    entries = range(len(weights))
    arrivals = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        entry = rng.choices(entries, weights)[0]
        work_ms = rng.expovariate(1 / mean_ms)
        arrivals.append(Arrival(at_s=at_s, entry=entry, work_ms=work_ms))
        at_s += rng.expovariate(rate)
    return arrivals


def send_all(
    arrivals: Sequence[Arrival],
    *,
    addresses: Sequence[str],
    path: str,
    deadline_ms: int = NO_DEADLINE_MS,
    senders: int = SENDERS,
) -> list[Sent]:
    """Sends the arrivals from `senders` processes and returns what became of them.

    Raises:
        RuntimeError: a sender process failed.
    """
    shares = [
        _Share(
            addresses=list(addresses),
            path=path,
            deadline_ms=deadline_ms,
            arrivals=list(arrivals[number::senders]),
        )
        for number in range(senders)
    ]
    with contextlib.ExitStack() as stack, ThreadPoolExecutor(senders) as pool:
        processes = [stack.enter_context(_open_sender(share)) for share in shares]
        for process in processes:
            _await_ready(process)
        # Beside other load a process needs seconds to import its modules.
        start_s = time.monotonic() + START_DELAY_S
        parts = list(pool.map(lambda process: _run_sender(process, start_s), processes))
    return sorted((sent for part in parts for sent in part), key=lambda sent: sent.at_s)


@contextlib.contextmanager
def _open_sender(share: _Share) -> Iterator[subprocess.Popen[str]]:
    """Starts a sender process with its share, and ends it on leaving."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench._load"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            with contextlib.suppress(BrokenPipeError):
                print(json.dumps(attrs.asdict(share)), file=process.stdin, flush=True)
            yield process
        finally:
            process.kill()


def _await_ready(process: subprocess.Popen[str]) -> None:
    """Waits until a sender process can send.

    Raises:
        RuntimeError: it failed.
    """
    assert process.stdout is not None
    if process.stdout.readline().strip() != READY:
        raise _failure(process.communicate()[1])


def _run_sender(process: subprocess.Popen[str], start_s: float) -> list[Sent]:
    """Lets a sender process begin at a time on CLOCK_MONOTONIC; returns what it sent.

    Raises:
        RuntimeError: it failed.
    """
    output, errors = process.communicate(f"{start_s!r}\n")
    if process.returncode:
        raise _failure(errors)
    return cattrs.structure(json.loads(output), list[Sent])


def _failure(errors: str) -> RuntimeError:
    return RuntimeError(f"a sender failed: {errors[-500:]}")


class _Sender:
    """Sends one share; each request in a thread of its own at its planned time."""

    def __init__(self, *, share: _Share) -> None:
        self._share = share
        self._start_s = 0.0
        self._pools = [
            urllib3.HTTPConnectionPool(
                *_host_port(address), maxsize=THREADS, retries=False, timeout=TIMEOUT_S
            )
            for address in share.addresses
        ]

    def run(self, start_s: float) -> list[Sent]:
        """Sends the share; `start_s` is its offset 0 on CLOCK_MONOTONIC."""
        self._start_s = start_s
        with ThreadPoolExecutor(THREADS) as pool:
            futures = []
            for arrival in self._share.arrivals:
                time.sleep(max(0.0, self._start_s + arrival.at_s - time.monotonic()))
                futures.append(pool.submit(self._send, arrival))
            return [fut.result() for fut in futures]

    def _send(self, arrival: Arrival) -> Sent:
        intended_s = self._start_s + arrival.at_s
        sent_s = time.monotonic()
        headers = {"Work-Ms": f"{arrival.work_ms:.3f}"}
        if self._share.deadline_ms != NO_DEADLINE_MS:
            headers["Deadline-Ms"] = str(self._share.deadline_ms)
        status, detail = self._exchange(arrival.entry, headers)
        return Sent(
            at_s=arrival.at_s,
            lag_ms=(sent_s - intended_s) * MS_PER_S,
            latency_ms=(time.monotonic() - intended_s) * MS_PER_S,
            work_ms=arrival.work_ms,
            status=status,
            detail=detail,
        )

    def _exchange(self, entry: int, headers: dict[str, str]) -> tuple[int, str]:
        try:
            resp = self._pools[entry].urlopen("GET", self._share.path, headers=headers)
        except urllib3.exceptions.HTTPError as exc:
            return 0, type(exc).__name__
        return resp.status, resp.json().get("detail", "") if resp.status >= 400 else ""


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> None:
    """Reads a share and its start from standard input, and writes what became of it to output."""
    sender = _Sender(share=cattrs.structure(json.loads(sys.stdin.readline()), _Share))
    print(READY, flush=True)
    start_s = float(sys.stdin.readline())
    results: list[dict[str, Any]] = [attrs.asdict(sent) for sent in sender.run(start_s)]
    json.dump(results, sys.stdout)


if __name__ == "__main__":
    main()

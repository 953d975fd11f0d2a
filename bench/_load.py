"""Open-loop load of one experiment run, sent by processes of its own.

Arrivals are a Poisson process planned in advance from a seed, so that all policies get the
same arrivals, instances and service times. Latency counts from the planned time.
"""

import json
import random
import subprocess
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import cattrs
import urllib3

SENDERS = 2
THREADS = 256
START_DELAY_S = 1.5
"""Time for the sender processes to import their modules and start their threads."""

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
    """Work of one sender process; `start_s` is on CLOCK_MONOTONIC."""

    start_s: float
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
    start_s = time.monotonic() + START_DELAY_S
    shares = [
        _Share(
            start_s=start_s,
            addresses=list(addresses),
            path=path,
            deadline_ms=deadline_ms,
            arrivals=list(arrivals[number::senders]),
        )
        for number in range(senders)
    ]
    with ThreadPoolExecutor(senders) as pool:
        parts = list(pool.map(_run_sender, shares))
    return sorted((sent for part in parts for sent in part), key=lambda sent: sent.at_s)


def _run_sender(share: _Share) -> list[Sent]:
    done = subprocess.run(
        [sys.executable, "-m", "bench._load"],
        input=json.dumps(attrs.asdict(share)),
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise RuntimeError(f"a sender failed: {done.stderr[-500:]}")
    return cattrs.structure(json.loads(done.stdout), list[Sent])


class _Sender:
    """Sends one share; each request in a thread of its own at its planned time."""

    def __init__(self, *, share: _Share) -> None:
        self._share = share
        self._pools = [
            urllib3.HTTPConnectionPool(
                *_host_port(address), maxsize=THREADS, retries=False, timeout=TIMEOUT_S
            )
            for address in share.addresses
        ]

    def run(self) -> list[Sent]:
        with ThreadPoolExecutor(THREADS) as pool:
            futures = []
            for arrival in self._share.arrivals:
                time.sleep(max(0.0, self._share.start_s + arrival.at_s - time.monotonic()))
                futures.append(pool.submit(self._send, arrival))
            return [fut.result() for fut in futures]

    def _send(self, arrival: Arrival) -> Sent:
        intended_s = self._share.start_s + arrival.at_s
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
    """Reads a share from standard input and writes what became of it to standard output."""
    share = cattrs.structure(json.load(sys.stdin), _Share)
    results: list[dict[str, Any]] = [attrs.asdict(sent) for sent in _Sender(share=share).run()]
    json.dump(results, sys.stdout)


if __name__ == "__main__":
    main()

"""Command line of the measuring tools: `python -m bench demo|replay|generate|slopes|capacity`."""

import os
import sys
from pathlib import Path

from bench.demo import hold_cluster, run_demo
from bench.generate import DEFAULT_SEED, TRACES_DIR, WORKLOADS, generate_all
from bench.replay import DRAIN_S, Replayer
from fescuerudder._usage import UsageError
from fescuerudder.cli import EXIT_DONE, EXIT_FAILED, KEY_ENV, run
from fescuerudder.trace import read_trace


def demo(*, hold: str = "") -> int:
    """Starts a small cluster, replays both example traces and checks their outcomes.

    Args:
        hold: starts only the cluster of this workload (association or swanfield) and keeps it.
    """
    from bench.cluster import open_cluster

    names = [workload.name for workload in WORKLOADS]
    if hold and hold not in names:
        raise UsageError(f"--hold must be one of {', '.join(names)}, got {hold!r}")
    if hold:
        hold_cluster(hold, open_cluster=open_cluster)
        return EXIT_DONE
    return EXIT_DONE if run_demo(open_cluster=open_cluster) else EXIT_FAILED


def replay(
    trace: str, *, servers: str, key: str = "", record: str = "", drain_s: str = str(DRAIN_S)
) -> int:
    """Replays a trace against running entry instances; exits with 0 only if all outcomes hold.

    Args:
        trace: file of the trace.
        servers: ip:port of the entry instances, separated by commas.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
        record: file for the callers' records, as JSON lines.
        drain_s: longest wait for tasks after the last event, in seconds.
    """
    addresses = [part.strip() for part in servers.split(",") if part.strip()]
    if not addresses:
        raise UsageError("--servers names no instance")
    replayer = Replayer(
        addresses=addresses,
        operator_key=key or os.environ.get(KEY_ENV, ""),
        drain_s=_number("--drain-s", drain_s),
    )
    result = replayer.run(read_trace(Path(trace)), record=Path(record) if record else None)
    print(result.summary)
    return EXIT_DONE if result.held else EXIT_FAILED


def generate(*, seed: str = str(DEFAULT_SEED), directory: str = "") -> int:
    """Writes the two example traces.

    Args:
        seed: seed of the random numbers; the same seed gives the same traces.
        directory: where to write them; bench/traces if left out.
    """
    for path in generate_all(
        seed=int(_number("--seed", seed)), directory=Path(directory or TRACES_DIR)
    ):
        print(path)
    return EXIT_DONE


def slopes(name: str = "", *, seed: str = "7") -> int:
    """Measures what racks, tasks, requests and peers cost; appends to bench/results.

    Args:
        name: one measurement; all if left out.
        seed: seed of the keys and random choices.
    """
    from bench.slopes import MEASUREMENTS, run_measurement

    if name and name not in MEASUREMENTS:
        raise UsageError(f"no measurement {name!r}; there are {', '.join(MEASUREMENTS)}")
    for chosen in [name] if name else MEASUREMENTS:
        run_measurement(chosen, seed=int(_number("--seed", seed)))
    return EXIT_DONE


def capacity(*, results: str = "") -> int:
    """Prints the latest slopes, and their sums today and at the target, as Markdown tables.

    Args:
        results: directory of the result files; bench/results if left out.
    """
    from bench._sums import nodes_table, slopes_table, sums_table
    from bench.slopes import RESULTS_DIR

    directory = Path(results) if results else RESULTS_DIR
    for table in (sums_table, nodes_table, slopes_table):
        print(table(directory), end="\n\n")
    return EXIT_DONE


def _number(flag: str, text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise UsageError(f"{flag} must be a number, got {text!r}") from None


COMMANDS = {
    "demo": demo,
    "replay": replay,
    "generate": generate,
    "slopes": slopes,
    "capacity": capacity,
}

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], commands=COMMANDS, name="bench"))

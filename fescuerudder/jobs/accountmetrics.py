"""Metrics by account: what each has, may have and waits for, and which calls were refused."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import attrs
from opentelemetry.metrics import Meter, Observation

MAX_ACCOUNTS = 200
"""Number of accounts that have labels of their own; the others are counted together."""

MAX_LABEL_LENGTH = 60
OTHERS = "(others)"
NO_LABEL = "(none)"
"""Label of calls without an account."""

RESOURCES = ("processors", "memory_mb", "accelerators")


@attrs.frozen(kw_only=True)
class AccountFigures:
    """What one account has on all workers, as the leader counts it.

    Args:
        account: its name.
        used: processors, memory in MB and accelerators that it has.
        cap: its cap, 0 for no bound.
        share: its dominant share of the pool of which it has the largest share.
        weight: its weight.
        waiting: number of its tasks that could start and wait.
    """

    account: str
    used: tuple[float, float, float]
    cap: tuple[float, float, float]
    share: float
    weight: float
    waiting: int


class AccountGauges:
    """Gauges and counters by account.

    Args:
        meter: creates them.
    """

    def __init__(self, *, meter: Meter) -> None:
        self._source: Callable[[], Iterable[AccountFigures]] | None = None
        self._refused: Counter[tuple[str, int]] = Counter()
        self._lock = threading.Lock()
        meter.create_observable_gauge(
            "fescuerudder_account_used",
            callbacks=[lambda _: self._observe_amounts("used")],
            description="What an account has on all workers together, by resource.",
        )
        meter.create_observable_gauge(
            "fescuerudder_account_cap",
            callbacks=[lambda _: self._observe_amounts("cap")],
            description="Upper bound on it, 0 for none.",
        )
        for name, description in (
            ("share", "Dominant share of an account in the pool where it has most."),
            ("weight", "Weight of its share."),
            ("waiting", "Tasks of an account that could start and wait."),
        ):
            meter.create_observable_gauge(
                f"fescuerudder_account_{name}",
                callbacks=[lambda _, name=name: self._observe_field(name)],
                description=description,
            )
        meter.create_observable_counter(
            "fescuerudder_account_refused",
            callbacks=[lambda _: self._observe_refused()],
            description="Calls that were refused, by account and status.",
        )

    def watch(self, source: Callable[[], Iterable[AccountFigures]]) -> None:
        """Shows the figures of a source, those of the term that this instance leads."""
        self._source = source

    def unwatch(self, source: Callable[[], Iterable[AccountFigures]]) -> None:
        """Shows the figures of a source no more."""
        if self._source == source:
            self._source = None

    def count_refused(self, account: str, status: int) -> None:
        """Counts a call that was refused."""
        label = _label(account)
        with self._lock:
            known = {name for name, _ in self._refused}
            if label not in known and len(known) >= MAX_ACCOUNTS:
                label = OTHERS
            self._refused[(label, int(status))] += 1

    def _figures(self) -> Iterator[AccountFigures]:
        source = self._source
        found = sorted(source() if source is not None else (), key=lambda f: f.account)
        yield from found[:MAX_ACCOUNTS]

    def _observe_amounts(self, field: str) -> list[Observation]:
        return [
            Observation(amount, {"account": _label(figures.account), "resource": resource})
            for figures in self._figures()
            for resource, amount in zip(RESOURCES, getattr(figures, field), strict=True)
        ]

    def _observe_field(self, field: str) -> list[Observation]:
        return [
            Observation(getattr(figures, field), {"account": _label(figures.account)})
            for figures in self._figures()
        ]

    def _observe_refused(self) -> list[Observation]:
        with self._lock:
            refused = self._refused.copy()
        return [
            Observation(count, {"account": account, "status": str(status)})
            for (account, status), count in refused.items()
        ]


def _label(account: str) -> str:
    return account[:MAX_LABEL_LENGTH] or NO_LABEL

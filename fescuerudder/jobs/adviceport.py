"""Port to the advice service, which decides which workers a policy allows for a step."""

from typing import Protocol

import attrs

from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import StepId


@attrs.frozen(kw_only=True)
class AdviceQuery:
    """Asks which of the given workers may run the tasks of a step.

    Args:
        step: the step.
        workers: ids of the workers.
        timeout_s: time to wait for the answer, in seconds.
    """

    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


@attrs.frozen(kw_only=True)
class Advice:
    """Answer to a query.

    Args:
        permits: permits of the allowed workers, by worker id.
        valid_s: time for which the permits are valid, in seconds.
    """

    permits: dict[str, str]
    valid_s: float


class AdviceUnavailableError(PlatformError):
    """The service gave no advice; queries have no effect, so they can be repeated."""


class AdvicePort(Protocol):
    """Queries the advice service, which answers the queries of an instance one at a time."""

    def ask(self, query: AdviceQuery) -> Advice:
        """Returns the advice.

        Raises:
            AdviceUnavailableError: the service gave no advice.
        """

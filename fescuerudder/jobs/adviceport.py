"""Port to the advice service, which alone knows the workers that a policy allows for a step."""

from typing import Protocol

import attrs

from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import StepId


@attrs.frozen(kw_only=True)
class AdviceQuery:
    """Asks which of some workers may run the tasks of a step.

    Args:
        step: the step.
        workers: ids of the workers.
        timeout_s: time for the answer, in seconds.
    """

    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


@attrs.frozen(kw_only=True)
class Advice:
    """Answer to a query.

    Args:
        permits: permit by the id of each worker that is allowed.
        valid_s: time for which the permits hold, in seconds.
    """

    permits: dict[str, str]
    valid_s: float


class AdviceUnavailableError(PlatformError):
    """The service gave no advice; asking has no effect, so it may be asked again."""


class AdvicePort(Protocol):
    """Asks the advice service; it answers one query of an instance after the other."""

    def ask(self, query: AdviceQuery) -> Advice:
        """Returns the advice.

        Raises:
            AdviceUnavailableError: there was none.
        """

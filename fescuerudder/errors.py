"""Errors of each layer. A layer converts the errors of the layer below into its own."""


class FescuerudderError(Exception):
    """Base of all errors of this package."""


class SettingsError(FescuerudderError):
    """Settings are invalid; `problems` lists every one of them."""

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class DocumentError(FescuerudderError):
    """A service document is invalid; `problems` names each place and fault."""

    def __init__(self, *, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformError(FescuerudderError):
    """A platform service could not be used."""


class StoreUnavailableError(PlatformError):
    """The store did not receive the operation; it certainly had no effect."""


class StoreRejectedError(StoreUnavailableError):
    """The store answered that it never applies this request, as with a row that is too large."""


class StoreOutcomeUnknownError(PlatformError):
    """The store may or may not have applied a write; its answer was lost."""


class ConflictError(PlatformError):
    """A check of a transaction failed; nothing was applied."""

    def __init__(self, *, failed_keys: list[str]) -> None:
        super().__init__(f"checks failed for {', '.join(failed_keys) or 'unnamed rows'}")
        self.failed_keys = failed_keys


class ListUnavailableError(PlatformError):
    """The list of instances could not be read."""


class WorkerUnreachableError(PlatformError):
    """No answer came from a worker; a command may or may not have taken effect."""


class WorkerRefusedError(PlatformError):
    """A worker refused a command; `reason` is the worker's code."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(f"worker refused: {reason}")
        self.reason = reason


class PeerError(FescuerudderError):
    """A peer could not be reached or did not answer in time."""


class KernelError(FescuerudderError):
    """A service is missing or failed to start."""


class RequestError(FescuerudderError):
    """A request was not answered.

    Args:
        message: reason, shown to the caller.
        status: HTTP status.
        outcome: `not_run` if it certainly did not run, otherwise `unknown`.
        details: further JSON fields of the answer.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        outcome: str = "not_run",
        details: dict[str, object] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.details = details or {}


class MalformedRequestError(RequestError):
    """The caller's request breaks the interface."""


class ShedError(RequestError):
    """A request got no slot: the queue was full or its time did not suffice."""


class UpstreamError(RequestError):
    """A worker did not answer a request completely."""


class IdempotencyError(RequestError):
    """The record of an idempotency key forbids running the request, or can't be written."""

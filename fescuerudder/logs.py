"""Structured logs: one JSON object a line on standard output."""

import logging
import sys
from typing import Any

import structlog
from structlog.typing import EventDict, Processor

from fescuerudder._logwriter import LogWriter

MAX_TEXT_LENGTH = 8000
"""Length up to which a text of a log line is written whole, about a hundred lines of a traceback.
Errors of libraries may quote what they were given, such as a body of a quarter of a megabyte."""


def shorten_texts(_: Any, __: str, event: EventDict) -> EventDict:
    """Cuts long texts of a log line in the middle; a structlog processor."""
    return {name: _shorten(value) for name, value in event.items()}


def _shorten(value: Any) -> Any:
    if not isinstance(value, str) or len(value) <= MAX_TEXT_LENGTH:
        return value
    half = MAX_TEXT_LENGTH // 2
    return f"{value[:half]} ... {len(value) - 2 * half} characters left out ... {value[-half:]}"


def _name_instance(instance: str) -> Processor:
    """Returns a processor that names the instance; context variables reach one thread only."""

    def add(_: Any, __: str, event: EventDict) -> EventDict:
        return {**event, "instance": instance}

    return add


def configure_logs(*, level: str, instance: str, observers: tuple[Processor, ...] = ()) -> None:
    """Sets up structlog for the process; every line names `instance`.

    Args:
        level: least level that is written.
        instance: id of the instance.
        observers: processors that see each line before it is rendered.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _name_instance(instance),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            shorten_texts,
            *observers,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=LogWriter(descriptor=sys.stdout.fileno())),
        cache_logger_on_first_use=True,
    )

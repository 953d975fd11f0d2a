"""Structured logs: one JSON object a line on standard output."""

import logging
import sys
from typing import Any

import structlog
from structlog.typing import EventDict, Processor

from fescuerudder._logwriter import LogWriter


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
            *observers,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=LogWriter(descriptor=sys.stdout.fileno())),
        cache_logger_on_first_use=True,
    )

"""Settings of the whole test run."""

import sys

import structlog

# Log lines on standard output would mix with the expected output of examples.
structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))

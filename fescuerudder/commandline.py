"""Runs one command line over a table of commands; exit codes and one-line errors."""

import io
import os
import sys
from contextlib import redirect_stderr

import fire
from fire import core as fire_core

from fescuerudder import __version__
from fescuerudder._usage import Commands, UsageError, check_command_line, tidy_help
from fescuerudder.client import OutcomeUnknownError
from fescuerudder.errors import FescuerudderError, SettingsError

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_INTERRUPTED = 130


def run_command_line(args: list[str], *, commands: Commands, name: str) -> int:
    """Runs one command line and returns its exit code; errors take one line on stderr.

    Args:
        args: the words behind the name of the program.
        commands: functions by command, in nested mappings for commands of several words.
        name: name of the program for errors and help.
    """
    if args == ["--version"]:
        print(__version__)
        return EXIT_DONE
    try:
        return _run_fire(commands, check_command_line(commands, args), name)
    except (UsageError, SettingsError) as exc:
        return _fail(name, exc, EXIT_USAGE)
    except OutcomeUnknownError as exc:
        return _fail(name, f"outcome unknown: {exc}", EXIT_UNKNOWN)
    except BrokenPipeError:
        # The reader closed the pipe; a flush at exit would raise the error again.
        sys.stdout = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except Exception as exc:
        is_own = isinstance(exc, FescuerudderError)
        return _fail(name, exc if is_own else f"{type(exc).__name__}: {exc}", EXIT_FAILED)


def _run_fire(commands: Commands, args: list[str], name: str) -> int:
    if args[-1:] == ["--help"]:
        return _print_help(commands, args, name)
    code = fire.Fire(commands, command=args, name=name, serialize=lambda _: None)
    return code if isinstance(code, int) else EXIT_DONE


def _print_help(commands: Commands, args: list[str], name: str) -> int:
    text = io.StringIO()
    show = fire_core.Display
    fire_core.Display = lambda lines, out: out.write("\n".join(lines) + "\n")
    try:
        with redirect_stderr(text):
            fire.Fire(commands, command=args, name=name)
    except fire_core.FireExit:
        pass
    finally:
        fire_core.Display = show
    print(tidy_help(text.getvalue()))
    return EXIT_DONE


def _fail(name: str, reason: object, code: int) -> int:
    print(f"{name}: {' '.join(str(reason).split())}", file=sys.stderr)
    return code

"""Strict reading of command lines. `fire` alone runs a command before it finds a wrong flag."""

import difflib
import inspect
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from fescuerudder.errors import FescuerudderError

HELP_FLAGS = ("--help", "-h")
_UNTRUE_HELP = re.compile(r"^ +(Type: Optional\[|Default: (None|''|False)$)|^INFO: Showing help")
_SHORT_FLAG = re.compile(r"^( +)-[a-z], --")
_TRUE_WORDS = ("true", "yes", "1")
_FALSE_WORDS = ("false", "no", "0")

Command: TypeAlias = Callable[..., Any]
Commands: TypeAlias = Mapping[str, Any]


class UsageError(FescuerudderError):
    """A command line is wrong; nothing was run."""


def check_command_line(commands: Commands, args: list[str]) -> list[str]:
    """Returns the arguments in the one form that `fire` reads without guessing.

    Raises:
        UsageError: the command or a flag is unknown, missing, doubled or lacks its value.
    """
    path, node, rest = _find_command(commands, args)
    if any(arg in HELP_FLAGS for arg in rest) or (not rest and isinstance(node, Mapping)):
        return [*path, "--help"]
    if isinstance(node, Mapping):
        raise UsageError(_unknown("command", rest[0], list(node)))
    values = _read_values(node, rest)
    _require_all(node, values)
    # A quoted literal reaches the command as typed; fire would read a bare 1e5 as a number.
    return [*path, *(f"--{name}={value!r}" for name, value in values.items())]


def _find_command(commands: Commands, args: list[str]) -> tuple[list[str], Any, list[str]]:
    path: list[str] = []
    node: Any = commands
    for arg in args:
        if not isinstance(node, Mapping) or arg not in node:
            break
        path.append(arg)
        node = node[arg]
    return path, node, args[len(path) :]


def _read_values(func: Command, args: list[str]) -> dict[str, str | bool]:
    values: dict[str, str | bool] = {}
    positional = _positional(func)
    pending = list(args)
    while pending:
        arg = pending.pop(0)
        if arg.startswith("--") and len(arg) > 2:
            name, value = _read_flag(func, arg, pending)
        elif arg.startswith("-"):
            raise UsageError(f"unknown flag {arg!r}; flags have the form --name value")
        elif positional:
            name, value = positional[0], arg
        else:
            raise UsageError(f"unexpected argument {arg!r}")
        if name in values:
            raise UsageError(f"--{_dashed(name)} is given twice")
        values[name] = value
        positional = [other for other in positional if other != name]
    return values


def _read_flag(func: Command, arg: str, pending: list[str]) -> tuple[str, str | bool]:
    flag, has_value, value = arg[2:].partition("=")
    name = flag.replace("-", "_")
    names = list(inspect.signature(func).parameters)
    if name not in names:
        raise UsageError(_unknown("flag", arg, [f"--{_dashed(known)}" for known in names]))
    if name in _switches(func):
        return name, _parse_switch(value if has_value else "true")
    if has_value:
        return name, value
    if not pending or pending[0].startswith("--"):
        raise UsageError(f"--{_dashed(name)} needs a value")
    return name, pending.pop(0)


def _require_all(func: Command, values: dict[str, str | bool]) -> None:
    params = inspect.signature(func).parameters.values()
    missing = [p for p in params if p.default is p.empty and p.name not in values]
    if missing:
        raise UsageError("missing " + ", ".join(_spell(p) for p in missing))


def _spell(param: inspect.Parameter) -> str:
    if param.kind is param.KEYWORD_ONLY:
        return f"--{_dashed(param.name)}"
    return param.name.upper()


def _positional(func: Command) -> list[str]:
    params = inspect.signature(func).parameters.values()
    return [p.name for p in params if p.kind is p.POSITIONAL_OR_KEYWORD]


def _switches(func: Command) -> list[str]:
    return [p.name for p in inspect.signature(func).parameters.values() if p.annotation is bool]


def _parse_switch(text: str) -> bool:
    if text.lower() in _TRUE_WORDS:
        return True
    if text.lower() in _FALSE_WORDS:
        return False
    raise UsageError(f"expected true or false, got {text!r}")


def _unknown(what: str, given: str, known: list[str]) -> str:
    close = difflib.get_close_matches(given.partition("=")[0], known, n=1)
    hint = f"; did you mean {close[0]}?" if close else f"; known: {', '.join(sorted(known))}"
    return f"unknown {what} {given!r}{hint}"


def _dashed(name: str) -> str:
    return name.replace("_", "-")


def tidy_help(text: str) -> str:
    """Returns a help text of `fire` without what this module does not accept."""
    lines = [line for line in text.splitlines() if not _UNTRUE_HELP.search(line)]
    return "\n".join(_SHORT_FLAG.sub(r"\1--", line) for line in lines).strip()

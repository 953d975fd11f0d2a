"""Command line: `python -m standins table|members|worker|relay --listen ip:port ...`."""

import importlib
import inspect
import sys
from typing import Any

import fire

STANDINS = ("table", "members", "worker", "relay")


def main() -> None:
    """Runs the stand-in named by the first argument."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in STANDINS:
        sys.exit(f"usage: python -m standins {'|'.join(STANDINS)} --listen ip:port ...")
    # Imports only the chosen stand-in: two dozen workers start at once on one machine.
    run = importlib.import_module(f"standins.{name}").run

    def command(**flags: Any) -> None:
        # fire reports unknown flags only after the function returned, so they are checked here.
        try:
            inspect.signature(run).bind(**flags)
        except TypeError as exc:
            sys.exit(f"standins {name}: {exc}")
        run(**flags)

    command.__doc__ = run.__doc__
    fire.Fire(command, command=sys.argv[2:], name=f"standins {name}")


if __name__ == "__main__":
    main()

"""Runs the command line: `python -m fescuerudder`."""

import sys

from fescuerudder.processsignals import COMMAND_SIGNALS, PROCESS_SIGNALS


def main() -> None:
    """Takes the signals of a command that serves, then imports and runs the command line."""
    PROCESS_SIGNALS.install(COMMAND_SIGNALS.get("".join(sys.argv[1:2]), ()))
    from fescuerudder import cli

    cli.main()


if __name__ == "__main__":
    main()

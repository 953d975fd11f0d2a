"""Runs the command line: `python -m fescuerudder`."""

from fescuerudder.cli import main

if __name__ == "__main__":
    main()

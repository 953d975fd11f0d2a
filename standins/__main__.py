"""Command line: `python -m standins table|members|worker|relay --listen ip:port ...`."""

import sys

import fire


def main() -> None:
    """Runs the stand-in named by the first argument."""
    # Imports only the chosen stand-in: two dozen workers start at once on one machine.
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in ("table", "members", "worker", "relay"):
        sys.exit("usage: python -m standins table|members|worker|relay --listen ip:port ...")
    module = __import__(f"standins.{name}", fromlist=["run"])
    fire.Fire(module.run, command=sys.argv[2:], name=f"standins {name}")


if __name__ == "__main__":
    main()

"""Builds the one file that ships: a zip application of pure-Python wheels.

The file runs every command of the product as one process straight from the archive:
nothing is unpacked, no child process is started.
"""

import compileall
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipapp

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUNTIME_LOCK = ROOT / "requirements-runtime.lock"
TARGET = ROOT / "dist" / "fescuerudder.pyz"
INTERPRETER = "/usr/bin/env python3"


def build(*, target: pathlib.Path = TARGET) -> pathlib.Path:
    """Builds the archive at `target` and returns its path.

    Raises:
        subprocess.CalledProcessError: pip found no pure-Python wheel for a dependency.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage = pathlib.Path(folder) / "app"
        _install_wheels(stage)
        shutil.copytree(
            ROOT / "fescuerudder",
            stage / "fescuerudder",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        _remove_scripts(stage)
        # The archive can't be written to at run time, so bytecode is placed beside the source.
        compileall.compile_dir(stage, quiet=1, legacy=True, stripdir=str(stage))
        zipapp.create_archive(
            stage,
            target,
            interpreter=INTERPRETER,
            main="fescuerudder.__main__:main",
            compressed=True,
        )
    return target


def _install_wheels(stage: pathlib.Path) -> None:
    """Installs the locked runtime dependencies as pure-Python wheels into `stage`."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps", "--no-compile"]
    command += ["--target", str(stage), "--platform", "any", "--implementation", "py"]
    command += ["--abi", "none", "--only-binary", ":all:", "--requirement", str(RUNTIME_LOCK)]
    subprocess.run(command, check=True)


def _remove_scripts(stage: pathlib.Path) -> None:
    """Removes console scripts of the dependencies; they don't work from the archive."""
    shutil.rmtree(stage / "bin", ignore_errors=True)


if __name__ == "__main__":
    print(build())

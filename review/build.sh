#!/usr/bin/env bash
# Checks that the stand-ins compile; they are Python without dependencies, so nothing is built.
cd "$(dirname "$0")" && exec python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("the stand-ins compile")
CHECK

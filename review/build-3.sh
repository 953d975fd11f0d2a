#!/usr/bin/env bash
# Builds the stand-ins of the third review: Python modules that need the standard library only.
set -eu
cd "$(dirname "$0")/.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
for module in review/common-3/platform_standins.py review/1[1-5]/case.py; do
  if [ -e "$module" ]; then
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
      "$module" "$folder/compiled.pyc"
  fi
done

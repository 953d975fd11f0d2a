#!/bin/sh
# Builds the stand-ins of the second review: they are plain Python without libraries, so they are
# only compiled, which also shows whether the machine's Python can run them. The nodes are built by
# the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/7 review/8 review/9 review/10

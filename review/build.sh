#!/bin/sh
# The stand-ins are Python programs of the standard library: this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PY

#!/bin/sh
# Installs the libraries and the package, with its byte code, under target/deps.
set -eu
deps=target/deps
# Libraries with native code serve one interpreter on one kind of machine only.
kind=$(python3 -c 'import sys, sysconfig; print(sys.version, sysconfig.get_platform())')
installed=$deps/.installed
if [ ! "$installed" -nt deploy/requirements.txt ] || [ "$(cat "$installed")" != "$kind" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps" || true
    echo "$kind" > "$installed"
fi
rm -rf "$deps/egrethook"
cp -r egrethook "$deps/egrethook"
find "$deps/egrethook" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/egrethook"

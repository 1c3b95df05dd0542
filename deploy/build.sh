#!/bin/sh
# Installs the libraries and the package, with its byte code, under target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps" || true
    touch "$deps/.installed"
fi
rm -rf "$deps/egrethook"
cp -r egrethook "$deps/egrethook"
find "$deps/egrethook" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/egrethook"

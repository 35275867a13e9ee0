#!/bin/sh
# Installs the libraries and lays the packages beside them in target/deps.
set -eu
deps=target/deps
mark=target/.libraries
if [ ! "$mark" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
  touch "$mark"
fi
rm -rf "$deps/shallotstand"
for source in libs/*/src apps/gateway/src apps/keeper/src platform/src; do
  cp -R "$source/." "$deps/"
done
find "$deps/shallotstand" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/shallotstand"

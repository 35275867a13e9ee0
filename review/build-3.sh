#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they need the libraries of the
# deploy file's build only, and are byte-compiled beside them.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
mkdir -p target/review-3
cp review/common3/*.py target/review-3/
PYTHONPATH=target/deps python3 -m compileall -q target/review-3
PYTHONPATH=target/deps:target/review-3 python3 -c "import deployment"

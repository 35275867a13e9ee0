#!/bin/sh
# Lays the stand-ins that the cases from review/6 on start in target/review-2.
# The libraries that they need are those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R apps/standins/src/. target/review-2/
find target/review-2 -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review-2

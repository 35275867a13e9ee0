#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] && [ -d target/review-3 ] || exit 2
PYTHONPATH=target/deps:target/review-3 exec python3 review/14/case.py

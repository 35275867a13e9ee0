#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/review-2:target/deps \
  exec python3 review/7/case.py

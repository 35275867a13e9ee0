#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/review-2:target/deps TROUBLE="${TROUBLE:-1}"
modules="aiohttp, orjson, uvloop, shallotstand.gateway.main, shallotstand.keeper.main"
python3 -c "import $modules, shallotstand.standins.fleet_platform" || exit 2
exec python3 review/7/case.py

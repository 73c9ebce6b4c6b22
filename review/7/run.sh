#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
exec node review/7/case.mjs

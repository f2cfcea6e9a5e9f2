#!/usr/bin/env bash
# Exits with 1 if UNASKED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragond ] && [ -x target/review-standin ] || { echo "build target/tarragond and review/build.sh first" >&2; exit 2; }
exec target/review-standin -scenario freeze -rule UNASKED -record review/2/record.txt

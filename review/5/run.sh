#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cowslipway ] && [ -x target/review-standin ] || { echo "build the project and review/build.sh first"; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review-standin single-slot review/5/record.txt

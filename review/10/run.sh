#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/vtnode ] && [ -x target/review2 ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/review2 cold "review/10/record.txt"

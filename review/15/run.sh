#!/usr/bin/env bash
# Plays the case with the stand-ins that review/build-3.sh builds. Exit status: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
kit=review/kit3/bin
for program in target/vtnode "$kit/vtstandin" "$kit/standins3"; do
	[ -x "$program" ] || { echo "missing: $program"; exit 2; }
done
# The command of the deploy file.
VTNODE="target/vtnode serve" VTSTANDIN="$kit/vtstandin" exec "$kit/standins3" cold "review/15/record.txt"

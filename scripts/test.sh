#!/usr/bin/env bash
# Runs all tests with the race detector and fixed seeds. It skips exactly the tests
# that KNOWN-RED.txt lists at the start of a line, a Go test by its name and a
# ginkgo spec as "spec PACKAGE: TEXT", and prints that file.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  names=$(grep -oE '^(Test|Fuzz)[A-Za-z0-9_/]+' KNOWN-RED.txt | sort -u | paste -sd'|' - || true)
  [ -z "$names" ] || skip=(-skip "^($names)\$")
fi
spec_package='' spec_text=''
if line=$(grep -m1 -E '^spec ' KNOWN-RED.txt 2>/dev/null); then
  line=${line#spec }
  spec_package=${line%%: *}
  spec_text=${line#*: }
fi
packages=()
while read -r package; do
  [ -n "$spec_package" ] && [ "$package" = "verbenatrestle/${spec_package#./}" ] || packages+=("$package")
done < <(go list ./...)
go test -race -count=1 -timeout 600s "${skip[@]}" "${packages[@]}"
[ -z "$spec_package" ] || go test -race -count=1 -timeout 600s "${skip[@]}" "$spec_package" -ginkgo.skip "$spec_text"
# The fleets of the planned size are simulated without the race detector only.
go test -count=1 -timeout 600s -run 'TestConfigurationReachesAllNodes|TestLargeConfigurationIsActiveInTime|TestStoreIsReadSoonAfterAnOutage|TestLossOfAllWatchersIsNoticed' ./process/fleet
# Short fault soaks of the programs, the second one with changes of the configuration
# throughout. `make soak` runs longer ones.
BIN=$(mktemp -d)
trap 'rm -rf "$BIN"' EXIT
go build -o "$BIN/" ./cmd/vtnode ./cmd/vtstandin
BIN="$BIN" OUT="$BIN/soak" NODES=4 SECONDS_LOAD=5 RATE=40 scripts/soak.sh "${SOAK_SEED:-1}"
BIN="$BIN" OUT="$BIN/soak" NODES=4 SECONDS_LOAD=8 RATE=40 CHANGE_EVERY=0.3 ROUTES=1000 scripts/soak.sh "${SOAK_SEED:-1}"

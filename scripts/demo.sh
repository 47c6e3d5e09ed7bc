#!/usr/bin/env bash
# demo.sh ORG SECONDS: runs the fleet of one organisation as separate processes on
# loopback addresses, under load, while a data centre is taken out of service and
# back in.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

org=${1:-kodumala}
duration=${2:-20}
# MIN_ANSWERED is the lowest share of the requests that must be answered.
readonly MIN_ANSWERED=0.999
# WARM_SECONDS is the duration of the light load before the counted one.
readonly WARM_SECONDS=6
fleet_init "$org"
make_secrets
OUT=$(mktemp -d)

# finish stops all processes and prints the line with the result last.
finish() {
  local status=$? line=
  trap - EXIT
  ((status == 0)) || show_logs
  stop_all
  [[ ! -s $OUT/result ]] || line=$(tail -n 1 "$OUT/result")
  rm -rf "$OUT"
  [[ -z $line ]] || echo "demo: $line"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# change_datacentre out|in takes the first data centre out of service or back in.
change_datacentre() {
  ctl datacentre "$1" "${DATACENTRES[0]}" >>"$OUT/ctl.log" 2>&1
  echo "${DATACENTRES[0]} taken $1"
}

# warm_up generates a light load that is not counted. The targets start cold, and
# the partitions of a service get their owners only when it is first configured.
warm_up() {
  "$BIN/vtstandin" load -ingress "$(addresses $NODE_CALLERS)" -journals "$(addresses $TARGET_PORT)" \
    -mix "$org" -rate "$((RATE / 5))" -duration "${WARM_SECONDS}s" -seed 2 >>"$OUT/warm.log" 2>&1 || true
}

echo "starting the platform, ${#NODES[@]} nodes and ${#NODES[@]} targets of $org"
start_platform
start_nodes
start_targets
wait_ready
ctl apply "examples/$org/"*.yaml >>"$OUT/ctl.log" 2>&1
wait_ready
warm_up

"$BIN/vtstandin" load -ingress "$(addresses $NODE_CALLERS)" -journals "$(addresses $TARGET_PORT)" \
  -mix "$org" -rate "$RATE" -duration "${duration}s" -min-answered "$MIN_ANSWERED" \
  2>&1 >"$OUT/result" &
load=$!
pids+=("$load")
labels+=(load)
third=$(awk "BEGIN { print $duration / 3 }")
sleep "$third"
change_datacentre out
sleep "$third"
change_datacentre in
status=0
wait "$load" || status=$?
unset 'pids[-1]' 'labels[-1]'

exited=$(ended)
if [[ -n $exited ]]; then
  echo "ended by itself:" $exited
  status=1
fi
sed '$d' "$OUT/result"
exit "$status"

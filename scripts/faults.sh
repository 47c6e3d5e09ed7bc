#!/usr/bin/env bash
# faults.sh [SCENARIO...]: injects faults under load into a fleet of one
# organisation that runs as separate processes, with a new fleet for each scenario.
# It prints one line per scenario and fails if an invariant was violated. SEED is
# the seed of the load, NET the first half of the IP addresses, and KEEP a
# directory for logs and reports.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-127.5}
source scripts/lib.sh
source scripts/trial.sh
source scripts/fault-scenarios.sh

readonly ALL_SCENARIOS=(owner-killed owner-frozen node-killed target-killed two-frozen
  datacentre-frozen platform-down platform-lossy operators-race crashing-request
  stop-target stop-node stop-datacentre turned-cold restart-in-outage)

# run_scenario NAME runs one scenario and prints its outcome. It must be run in a
# subshell, which at its end kills the processes that it started.
run_scenario() {
  extra=
  checked=
  trial_name="fault $1"
  "${1//-/_}"
  check_load
  checked=yes
  echo "fault $1: $(outcome) $(figures) $extra"
  ((${#violations[@]} == 0))
}

# outcome prints ok or the violations.
outcome() {
  ((${#violations[@]} > 0)) || { echo ok; return; }
  (IFS=';'; echo "FAILED (${violations[*]})")
}

scenarios=("$@")
((${#scenarios[@]} > 0)) || scenarios=("${ALL_SCENARIOS[@]}")
echo "faults: seed $SEED, $LOAD_RATE operations/s, load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
run_each run_scenario "${scenarios[@]}"
((${#failed[@]} == 0)) || { echo "faults: FAILED ${failed[*]}"; exit 1; }
echo "faults: ok"

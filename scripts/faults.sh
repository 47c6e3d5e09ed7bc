#!/usr/bin/env bash
# faults.sh [SCENARIO...]: faults under load, on real processes of one
# organisation, one fleet a scenario. Prints one line a scenario and exits
# non-zero if a promise was broken. SEED seeds the loads, NET chooses the
# addresses, and KEEP names a directory for the logs and reports.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-127.5}
source scripts/lib.sh
source scripts/trial.sh
source scripts/fault-scenarios.sh

readonly ALL_SCENARIOS=(owner-killed owner-frozen node-killed target-killed two-frozen
  datacentre-frozen platform-down platform-lossy operators-race crashing-request
  stop-target stop-node stop-datacentre turned-cold restart-in-outage)


# run_scenario NAME runs one scenario and prints its verdict. It is run in a
# process of its own, which ends what it started.
run_scenario() {
  extra=
  judged=
  trial_name="fault $1"
  "${1//-/_}"
  judge_load
  judged=yes
  echo "fault $1: $(verdict) $(figures) $extra"
  ((${#breaches[@]} == 0))
}

# verdict prints ok, or what was broken.
verdict() {
  ((${#breaches[@]} > 0)) || { echo ok; return; }
  (IFS=';'; echo "FAILED (${breaches[*]})")
}

scenarios=("$@")
((${#scenarios[@]} > 0)) || scenarios=("${ALL_SCENARIOS[@]}")
echo "faults: seed $SEED, $LOAD_RATE operations/s, load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
run_each run_scenario "${scenarios[@]}"
((${#failed[@]} == 0)) || { echo "faults: FAILED ${failed[*]}"; exit 1; }
echo "faults: ok"

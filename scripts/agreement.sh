#!/usr/bin/env bash
# agreement.sh [MEASURE...]: measures how the fleet of one organisation reaches
# agreement, and its service in the meantime, with separate processes. It prints one
# line per measure. The measures are: spread stalled platform-calls datacentre
# outage lost-owner.
#
# CHANGES is the number of timed changes of the configuration, SEED the seed of the
# load, NET the first half of the IP addresses, and KEEP a directory for logs and
# reports.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-127.11}
source scripts/lib.sh
source scripts/trial.sh

readonly ALL_MEASURES=(spread stalled platform-calls datacentre outage lost-owner)
readonly CHANGES=${CHANGES:-50} STALLED_CHANGES=${STALLED_CHANGES:-20}
readonly OUTAGE_SECONDS=${OUTAGE_SECONDS:-30} CALLS_SECONDS=${CALLS_SECONDS:-60}
# TERM_SECONDS is the lease term in seconds.
readonly TERM_SECONDS=2
# IN_FORCE_SECONDS limits the wait until a version is active on all nodes.
readonly IN_FORCE_SECONDS=15

# change_once I makes change number I, through the nodes in rotation, and prints its
# version.
change_once() {
  local file=$OUT/change.yaml node=${NODES[$1 % ${#NODES[@]}]}
  sed '$a\  lookups_per_second: '"$((10000 + $1))" "examples/$ORG/organisation.yaml" >"$file"
  VT_TOKEN=$ADMIN_TOKEN "$BIN/vtctl" -a "${IP_OF[$node]}:$NODE_ADMIN" -o json apply "$file" | jq .version
}

# slowest_delay VERSION waits until a version is active on all nodes, and prints the
# longest time since its acceptance in milliseconds.
slowest_delay() {
  local end=$((SECONDS + IN_FORCE_SECONDS)) slowest
  while ((SECONDS < end)); do
    slowest=$(ctl -o json status | jq --argjson v "$1" --argjson n "${#NODES[@]}" \
      'if ([.nodes[] | select(.version == $v and .delay_ms >= 0)] | length) == $n then [.nodes[].delay_ms] | max else empty end')
    [[ -z $slowest ]] || { echo "$slowest"; return; }
    sleep 0.05
  done
  echo "version $1 isn't in force everywhere after ${IN_FORCE_SECONDS}s" >&2
  return 1
}

# time_changes COUNT writes the slowest delay of each change to $OUT/delays.
time_changes() {
  local i version
  : >"$OUT/delays"
  for ((i = 1; i <= $1; i++)); do
    version=$(change_once "$i")
    slowest_delay "$version" >>"$OUT/delays" || add_violation "version $version isn't in force everywhere"
  done
}

# print_delays prints percentiles of $OUT/delays.
print_delays() {
  sort -n "$OUT/delays" | awk '{ d[NR] = $1 }
    function at(p,  i) { i = int(NR * p + 0.999999); return d[i < 1 ? 1 : i] }
    END { printf "changes=%d p50_ms=%s p99_ms=%s max_ms=%s", NR, at(0.5), at(0.99), d[NR] }'
}

# Each of the following measures starts its own fleet and sets line.

spread() {
  trial_start
  time_changes "$CHANGES"
  line="acceptance to in force on the last of ${#NODES[@]} nodes: $(print_delays) aim: p99.9 under 4000 at the target size, under 500 on one machine"
}

stalled() {
  trial_start
  platform_control '{"stall_watches": true}'
  time_changes "$STALLED_CHANGES"
  line="the same while the platform's watches are stalled: $(print_delays)"
}

platform_calls() {
  trial_start
  sleep 5
  local before after
  load_start "$CALLS_SECONDS"
  before=$(platform_calls_sum)
  at "$CALLS_SECONDS"
  after=$(platform_calls_sum)
  load_wait
  line="at steady state, ${#NODES[@]} nodes, over ${CALLS_SECONDS}s under load: calls_per_s=$(awk "BEGIN { printf \"%.2f\", ($after - $before) / $CALLS_SECONDS }") waiting_watches=$(platform_stat .waiting_watches)"
}

platform_stat() { http_get "$PLATFORM" /stats | tail -n +2 | jq "$1"; }
platform_calls_sum() { platform_stat '.reads + .writes + .watches'; }

# datacentre takes a data centre out of service under load and back in.
datacentre() {
  trial_start
  local dc=${DATACENTRES[0]} out_at last
  load_start 26
  at 8
  out_at=$(date +%s%3N)
  ctl datacentre out "$dc" >>"$OUT/ctl.log" 2>&1 || add_violation "datacentre out was refused"
  at 15
  last=$(last_new_work "$dc")
  ctl datacentre in "$dc" >>"$OUT/ctl.log" 2>&1 || add_violation "datacentre in was refused"
  load_wait
  line="out at 8 s and in at 15 s under load: failed=$(measure '.all.sent - .all.answered') $(transition_p99 8 15) last_new_work_there_ms=$((last - out_at)) $(figures) aim: failed=0"
  expect_zero failed '.all.sent - .all.answered'
}

# last_new_work DATACENTRE prints the Unix time in milliseconds of the last request
# that a target in the data centre admitted.
last_new_work() {
  local node one latest=0
  for node in $(nodes_in "$1"); do
    one=$(target_stat "$node" last_new_work_ms)
    ((one <= latest)) || latest=$one
  done
  echo "$latest"
}

# transition_p99 OUT IN prints the median and the highest p99 of the seconds before
# OUT, and of the three seconds after each change.
transition_p99() {
  measure "[.seconds[1:$1][].latency.p99_ms] as \$steady
    | [.seconds[$1:$1+3][], .seconds[$2:$2+3][] | .latency.p99_ms] as \$moving
    | \"p99_ms_by_second steady_median=\(\$steady | sort | .[length / 2 | floor]) steady_worst=\(\$steady | max) transition_median=\(\$moving | sort | .[length / 2 | floor]) transition_worst=\(\$moving | max)\""
}

outage() {
  trial_start
  load_start $((OUTAGE_SECONDS + 8))
  at 3
  platform_control '{"down": true}'
  at $((3 + OUTAGE_SECONDS))
  platform_control '{"down": false}'
  load_wait
  line="platform down for ${OUTAGE_SECONDS}s: idempotent $(group lookups) non-idempotent $(group filings) $(figures)"
}

# group FILTER prints the results of the lookups or the filings.
group() {
  measure "$1 | \"sent=\(total(.sent)) answered=\(total(.answered)) refused=\(total(.not_run)) unknown=\(total(.unknown))\""
}

lost_owner() {
  trial_start
  load_start 20
  at 5
  kill_process "node-$(nodes_of certification | head -n 1)"
  load_wait
  line="owner killed at 5 s: idempotent $(group lookups) non-idempotent $(group filings)"
  line+=" refused_for_s=$(span not_run) unknown_for_s=$(span unknown) $(figures) aim: unknown for at most one term of ${TERM_SECONDS}s"
}

# span FIELD prints the number of seconds from the first to the last planned start
# of operations with a result.
span() {
  measure "[.seconds[] | select(.$1 > 0) | .second] | if length == 0 then 0 else last - first + 1 end"
}

# run_measure NAME runs one measure. It must be run in a subshell.
run_measure() {
  line=
  checked=
  trial_name="agreement $1"
  "${1//-/_}"
  [[ ! -s $OUT/report.json ]] || check_load
  checked=yes
  echo "agreement $1: $line"
  ((${#violations[@]} == 0)) || { printf 'agreement %s: FAILED %s\n' "$1" "${violations[*]}"; return 1; }
}

measures=("$@")
((${#measures[@]} > 0)) || measures=("${ALL_MEASURES[@]}")
echo "agreement: seed $SEED, $LOAD_RATE operations/s, load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
run_each run_measure "${measures[@]}"
((${#failed[@]} == 0)) || { echo "agreement: FAILED ${failed[*]}"; exit 1; }

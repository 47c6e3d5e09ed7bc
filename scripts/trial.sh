#!/usr/bin/env bash
# Functions of the scripts that inject faults into a fleet under load and check the
# results of the callers. Source this file after scripts/lib.sh. It needs jq.
#
# The load generator receives each run from its target before the run begins, so
# that the runs of targets that are killed later are counted too.

command -v jq >/dev/null || { echo "jq is needed to read reports" >&2; exit 2; }

readonly COLLECTOR=${COLLECTOR:-$NET.0.2:9100}
readonly SEED=${SEED:-20261203}
# LOAD_RATE is the number of operations per second. WARM_SECONDS is the duration of
# a load that is not counted, in which partitions get owners and targets warm up.
readonly LOAD_RATE=${LOAD_RATE:-600} WARM_SECONDS=${WARM_SECONDS:-6}
# RECOVERED_SECONDS is the time at the end of a load in which the fleet must have
# recovered, and RECOVERED_SHARE the lowest share of operations that must be
# answered in it.
readonly RECOVERED_SECONDS=3 RECOVERED_SHARE=0.999

# violations lists the violated invariants.
violations=()
add_violation() { violations+=("$*"); }

# trial_start [FLAGS] starts a fleet of the organisation and warms it up. The flags
# are those of the targets.
trial_start() {
  fleet_init "${ORG:-kodumala}"
  make_secrets
  OUT=$(mktemp -d)
  trap trial_finish EXIT
  trap 'exit 130' INT TERM
  start_platform
  start_nodes
  start_targets -journal "http://$COLLECTOR/" "$@"
  wait_ready
  ctl apply "examples/$ORG/"*.yaml >>"$OUT/ctl.log" 2>&1
  wait_ready
  load_command "$WARM_SECONDS" $((SEED + 1)) -rate $((LOAD_RATE / 2)) >>"$OUT/warm.log" 2>&1 || true
}

# run_each FUNCTION NAME... calls the function with each name, in a subshell that
# ends at its first error, and sets failed to the names with errors. Do not call it
# in a condition, because the shell would then ignore errors in the function.
run_each() {
  local function=$1 name status
  shift
  failed=()
  for name; do
    declare -F "${name//-/_}" >/dev/null || { echo "unknown name $name" >&2; exit 2; }
  done
  for name; do
    set +e
    (set -e; "$function" "$name")
    status=$?
    set -e
    ((status == 0)) || failed+=("$name")
  done
}

# trial_finish kills all processes by PID. Planned stops are tested by separate
# trials.
trial_finish() {
  local status=$? i
  trap - EXIT
  [[ -n ${checked:-} ]] || { echo "${trial_name:-trial}: FAILED (broke off)"; show_logs; }
  [[ -z ${KEEP:-} ]] || keep_logs
  for i in "${!pids[@]}"; do
    kill -KILL "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$OUT"
  exit "$status"
}

# keep_logs copies settings, logs and the report to a directory in KEEP.
keep_logs() {
  local directory=$KEEP/${trial_name// /-}
  mkdir -p "$directory"
  cp -r "$OUT/." "$directory/"
}

# load_command SECONDS SEED FLAGS... runs the load generator.
load_command() {
  local seconds=$1 seed=$2
  shift 2
  "$BIN/vtstandin" load -ingress "$(addresses $NODE_CALLERS)" -collect "$COLLECTOR" \
    -mix "$ORG" -duration "${seconds}s" -seed "$seed" "$@"
}

# load_start SECONDS FLAGS... starts the counted load, and load_wait waits for its
# end.
load_start() {
  local seconds=$1
  shift
  load_command "$seconds" "$SEED" -rate "$LOAD_RATE" -report "$OUT/report.json" "$@" \
    >"$OUT/load.out" 2>"$OUT/load.log" &
  load_pid=$!
  load_began=$(date +%s%N)
}

load_wait() {
  wait "$load_pid" || true
  load_pid=
  [[ -s $OUT/report.json ]] || add_violation "the load gave no report"
}

# at SECONDS waits until a time after the start of the load.
at() {
  local left
  left=$(awk -v began="$load_began" -v now="$(date +%s%N)" -v at="$1" 'BEGIN { print at - (now - began) / 1e9 }')
  [[ $left == -* ]] || sleep "$left"
}

# pid_of LABEL prints the PID of a process that the script started.
pid_of() {
  local i
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} != "$1" ]] || { echo "${pids[i]}"; return; }
  done
  return 1
}

# signal NAME LABEL... sends a signal to processes.
signal() {
  local name=$1 label
  shift
  for label; do kill "-$name" "$(pid_of "$label")"; done
}

# forget LABEL waits for a process that is expected to end, removes it from pids,
# and sets ended_status to its exit status.
forget() {
  local i status=0
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} == "$1" ]] || continue
    wait "${pids[i]}" 2>/dev/null || status=$?
    unset "pids[i]" "labels[i]"
  done
  ended_status=$status
}

# kill_process LABEL kills a process by SIGKILL.
kill_process() {
  signal KILL "$1"
  forget "$1"
}

# stop_process LABEL stops a process by SIGTERM. An exit status other than 0 is a
# violation.
stop_process() {
  signal TERM "$1"
  forget "$1"
  ((ended_status == 0)) || add_violation "$1 stopped with status $ended_status"
}

# post IP:PORT PATH JSON sends a POST request to a stand-in.
post() {
  local host=${1%:*} port=${1##*:} status
  exec 4<>"/dev/tcp/$host/$port"
  printf 'POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s' "$2" "$1" "${#3}" "$3" >&4
  read -r _ status _ <&4
  exec 4>&-
  [[ $status == 200 ]] || { echo "POST $1$2: status $status" >&2; return 1; }
}

platform_control() { post "$PLATFORM" /control "$1"; }
target_control() { post "${IP_OF[$1]}:$TARGET_PORT" /control "$2"; }

# target_stat NODE FIELD prints a counter of the target beside a node.
target_stat() { http_get "${IP_OF[$1]}:$TARGET_PORT" /stats | tail -n +2 | jq -r ".$2"; }

# nodes_of SERVICE and nodes_in DATACENTRE print the names of the matching nodes.
nodes_of() {
  local node
  for node in "${NODES[@]}"; do [[ ${SERVICE_OF[$node]} != "$1" ]] || echo "$node"; done
}

nodes_in() {
  local node
  for node in "${NODES[@]}"; do [[ ${DC_OF[$node]} != "$1" ]] || echo "$node"; done
}

# measure FILTER prints the result of a jq filter on the report, in one line.
measure() {
  jq -r "def lookups: [.classes | to_entries[] | select(.key == \"register-viewing\" or .key == \"archive\" or .key == \"recipes\" or .key == \"labels\") | .value];
    def filings: [.classes | to_entries[] | select(.key == \"register-viewing\" or .key == \"archive\" or .key == \"recipes\" or .key == \"labels\" | not) | .value];
    def total(f): map(f) | add // 0;
    def bad: [.seconds[] | select(.sent > .answered) | .second];
    def unsure: [.seconds[] | select(.unknown > 0) | .second];
    $1" "$OUT/report.json"
}

# check_load adds the violations that the load generator found, and processes that
# ended unexpectedly.
check_load() {
  local field count exited
  for field in .doubled .lied .all.misrouted .all.truncated '(.unread // [] | length)'; do
    count=$(measure "$field")
    [[ $count == 0 ]] || add_violation "$field=$count"
  done
  exited=$(ended | tr '\n' ' ')
  [[ -z $exited ]] || add_violation "ended by itself: $exited"
}

# check_recovery adds a violation if too few operations were answered in the last
# seconds of the load.
check_recovery() {
  local share
  share=$(measure "[.seconds[-$((RECOVERED_SECONDS + 1)):-1][]] | (total(.answered)) / ([total(.sent), 1] | max)")
  awk "BEGIN { exit !($share < $RECOVERED_SHARE) }" && add_violation "not recovered: $share answered at the end" || true
}

# expect_zero WHAT FILTER adds a violation if the result of a filter is not zero.
expect_zero() {
  local got
  got=$(measure "$2")
  [[ $got == 0 ]] || add_violation "$1=$got"
}

# figures prints the results of the load.
figures() {
  measure '"sent=\(.all.sent) answered=\(.all.answered) not_run=\(.all.not_run) unknown=\(.all.unknown)"
    + " lookups_failed=\(lookups | total(.sent - .answered)) filings_unknown=\(filings | total(.unknown))"
    + " broken=\(.broken) resends=\(.resends) runs=\(.recorded_runs) doubled=\(.doubled) lied=\(.lied)"
    + " misrouted=\(.all.misrouted) truncated=\(.all.truncated) p99_ms=\(.all.latency.p99_ms)"
    + " failed_in_s=\(bad | if length == 0 then "none" else "\(first)-\(last)" end)"
    + " unknown_in_s=\(unsure | if length == 0 then "none" else "\(first)-\(last)" end)"'
}

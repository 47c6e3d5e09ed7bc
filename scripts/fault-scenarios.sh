#!/usr/bin/env bash
# The scenarios of faults.sh. Each one is a function that starts a fleet, generates a
# load, injects faults and checks the results of the callers. Times are in seconds
# since the start of the load.

# FREEZE_SECONDS is the time for which an owner is paused, longer than its lease term
# of 2 seconds, and CUT_SECONDS that for a data centre. OUTAGE_SECONDS is the
# length of the platform's outage.
readonly FREEZE_SECONDS=5 CUT_SECONDS=6 OUTAGE_SECONDS=${OUTAGE_SECONDS:-30}
# SILENCE_MS limits the time for which a data centre that was taken out of service
# may still receive new requests.
readonly SILENCE_MS=4000

owner_killed() {
  trial_start
  load_start 16
  at 3
  kill_process "node-$(nodes_of certification | head -n 1)"
  load_wait
  check_recovery
  expect_zero "lookups failed" 'lookups | total(.sent - .answered)'
}

owner_frozen() {
  trial_start
  local owner
  owner=$(nodes_of certification | head -n 1)
  load_start 18
  at 3
  signal STOP "node-$owner"
  at $((3 + FREEZE_SECONDS))
  signal CONT "node-$owner"
  load_wait
  check_recovery
}

node_killed() {
  trial_start
  load_start 12
  at 3
  kill_process "node-$(nodes_of register-viewing | head -n 1)"
  load_wait
  check_recovery
  expect_zero "lookups failed" 'lookups | total(.sent - .answered)'
}

target_killed() {
  trial_start
  local node
  load_start 14
  at 3
  node=$(nodes_of entry-filing | head -n 1)
  kill_process "target-$node"
  at 6
  start_target "$node" -journal "http://$COLLECTOR/" -seed 91
  load_wait
  check_recovery
  expect_zero "lookups failed" 'lookups | total(.sent - .answered)'
}

two_frozen() {
  trial_start
  local pair
  mapfile -t pair < <(nodes_of entry-filing | head -n 2)
  load_start 22
  at 2
  signal STOP "node-${pair[0]}"
  at 6
  signal CONT "node-${pair[0]}"
  signal STOP "node-${pair[1]}"
  at 10
  signal CONT "node-${pair[1]}"
  load_wait
  check_recovery
}

datacentre_frozen() {
  trial_start
  local cut
  mapfile -t cut < <(nodes_in "${DATACENTRES[0]}")
  load_start 20
  at 3
  signal STOP "${cut[@]/#/node-}" "${cut[@]/#/target-}"
  at $((3 + CUT_SECONDS))
  signal CONT "${cut[@]/#/node-}" "${cut[@]/#/target-}"
  load_wait
  check_recovery
}

platform_down() {
  trial_start
  load_start $((OUTAGE_SECONDS + 6))
  at 2
  platform_control '{"down": true}'
  at $((2 + OUTAGE_SECONDS))
  platform_control '{"down": false}'
  load_wait
  check_recovery
  expect_zero failed '.all.sent - .all.answered'
}

platform_lossy() {
  trial_start
  load_start 16
  at 2
  platform_control '{"lose_answers": 6, "slow_ms": 200}'
  local taken_out
  taken_out=$(date +%s%3N)
  ctl datacentre out "${DATACENTRES[0]}" >>"$OUT/ctl.log" 2>&1 || add_violation "datacentre out was refused"
  at 8
  check_silence "$taken_out" "${DATACENTRES[0]}"
  ctl datacentre in "${DATACENTRES[0]}" >>"$OUT/ctl.log" 2>&1 || add_violation "datacentre in was refused"
  platform_control '{"lose_answers": 0, "slow_ms": 0}'
  load_wait
  check_recovery
  expect_zero failed '.all.sent - .all.answered'
}

# check_silence SINCE_MS DATACENTRE adds a violation if targets of a data centre
# admitted requests later than SILENCE_MS after a Unix time in milliseconds.
check_silence() {
  local node last latest=0
  for node in $(nodes_in "$2"); do
    last=$(target_stat "$node" last_new_work_ms)
    ((last <= latest)) || latest=$last
  done
  silent_after_ms=$((latest - $1))
  ((silent_after_ms <= SILENCE_MS)) || add_violation "new work $silent_after_ms ms after the data centre was taken out"
  extra="last_new_work_ms=$silent_after_ms"
}

operators_race() {
  trial_start
  local i node services=(register-viewing certification entry-filing archive)
  load_start 14
  at 2
  racers=()
  for i in "${!services[@]}"; do
    race_apply "limit-$i" "${NODES[i]}" "$i" &
    racers+=($!)
    node=$(nodes_of "${services[i]}" | head -n 1)
    race "target-$i" "${NODES[i + 4]}" target out "$node" &
    racers+=($!)
  done
  wait "${racers[@]}" || true
  load_wait
  check_race
  check_recovery
  expect_zero failed '.all.sent - .all.answered'
}

# race ID NODE ARGUMENTS... makes a change through a node and records the exit status
# in $OUT/race.ends.
race() {
  local id=$1 node=$2 verb=$3 status=0
  shift 3
  VT_TOKEN=$ADMIN_TOKEN "$BIN/vtctl" -a "${IP_OF[$node]}:$NODE_ADMIN" "$verb" -operation-id "$id" "$@" \
    >>"$OUT/race.log" 2>&1 || status=$?
  echo "$id $status" >>"$OUT/race.ends"
}

# race_apply ID NODE I sets a value of the organisation that depends on I.
race_apply() {
  local file=$OUT/$1.yaml
  sed '$a\  lookups_per_second: '"$((10000 + $3))" "examples/$ORG/organisation.yaml" >"$file"
  race "$1" "$2" apply "$file"
}

# check_race checks that the history contains each accepted change once and no
# refused one, that changes to different resources were all accepted, and that all
# nodes have the same version.
check_race() {
  local id status times accepted=0 versions
  ctl -o json history >"$OUT/history.json"
  while read -r id status; do
    times=$(jq --arg id "$id" '[.[] | select(.operation_id == $id)] | length' "$OUT/history.json")
    ((status != 0)) || accepted=$((accepted + 1))
    [[ $status != 0 || $times == 1 ]] || add_violation "$id was accepted and is $times times in the history"
    [[ $status != 3 || $times == 0 ]] || add_violation "$id was refused and is in the history"
    [[ $status == 0 || $id != target-* ]] || add_violation "$id changed another resource and ended with status $status"
  done <"$OUT/race.ends"
  versions=$(ctl -o json status | jq '[.nodes[].version] | unique | length')
  [[ $versions == 1 ]] || add_violation "$versions active versions after the race"
  extra="accepted=$accepted of $(wc -l <"$OUT/race.ends")"
}

# crashing_request repeatedly sends a lookup and a filing that crash every target
# that runs them, through several nodes, during the load.
crashing_request() {
  trial_start
  local node lookups=() filings=()
  crashes=0
  load_start 16
  at 3
  for node in "${NODES[@]:0:6}"; do
    lookups+=("$(crash_once GET "$node" /register-viewing/climbs/crash)")
    restart_crashed
  done
  at 8
  local lookup_crashes=$crashes
  for node in "${NODES[@]:0:6}"; do
    filings+=("$(crash_once POST "$node" /entry-filing/entries)")
    restart_crashed
  done
  load_wait
  extra="crashes_by_lookup=$lookup_crashes told=$(IFS=,; echo "${lookups[*]}") crashes_by_filing=$((crashes - lookup_crashes)) told=$(IFS=,; echo "${filings[*]}")"
  ((lookup_crashes <= 2)) || add_violation "a lookup crashed $lookup_crashes targets"
  ((crashes - lookup_crashes <= 1)) || add_violation "a filing ran $((crashes - lookup_crashes)) times"
  [[ ${lookups[-1]} == 422/not-run ]] || add_violation "the crashing lookup was answered with ${lookups[-1]}"
  [[ ${filings[-1]} == */unknown || ${filings[-1]} == 422/* ]] || add_violation "the crashing filing was answered with ${filings[-1]}"
  expect_zero "lookups failed" 'lookups | total(.sent - .answered)'
  check_recovery
}

# CRASH_KEY is the idempotency key of the filing that crashes targets.
CRASH_KEY=$(random_hex)

# crash_once METHOD NODE PATH sends a crashing request through a node and prints the
# status and the outcome of the response.
crash_once() {
  local key=()
  [[ $1 == GET ]] || key=(-H "Idempotency-Key: $CRASH_KEY")
  curl -s -o /dev/null -m 10 -X "$1" -H "Host: ${ORG}.example" -H 'X-Crash: 1' "${key[@]}" \
    -w '%{http_code}/%header{vt-outcome}' "http://${IP_OF[$2]}:$NODE_CALLERS$3" || true
}

# restart_crashed counts the targets that have crashed and starts them again.
restart_crashed() {
  local label
  sleep 0.4
  for label in $(ended); do
    [[ $label == target-* ]] || continue
    forget "$label"
    ((ended_status == CRASH_STATUS)) || add_violation "$label ended with status $ended_status"
    crashes=$((crashes + 1))
    start_target "${label#target-}" -journal "http://$COLLECTOR/" -seed "$((100 + crashes))"
  done
}

# CRASH_STATUS is the exit status of a target that crashed.
readonly CRASH_STATUS=3

# check_planned_stop adds violations if a planned stop interrupted requests. All
# operations must be answered, and no connection may break during a request. Callers
# may find the listener of a stopped node closed.
check_planned_stop() {
  expect_zero failed '.all.sent - .all.answered'
  expect_zero "sends without an end" '[.reasons // {} | to_entries[] | select(.key | test("broke|timeout")) | .value] | add // 0'
  check_recovery
}

stop_target() {
  trial_start
  load_start 12
  at 3
  stop_process "target-$(nodes_of entry-filing | head -n 1)"
  stop_process "target-$(nodes_of register-viewing | head -n 1)"
  load_wait
  check_planned_stop
}

stop_node() {
  trial_start
  local node
  load_start 14
  at 3
  for node in $(nodes_of certification | head -n 1) $(nodes_of register-viewing | head -n 1); do
    stop_process "target-$node"
    stop_process "node-$node"
  done
  load_wait
  check_planned_stop
}

stop_datacentre() {
  trial_start
  local node
  load_start 20
  at 3
  for node in $(nodes_in "${DATACENTRES[0]}"); do
    stop_process "target-$node"
    stop_process "node-$node"
  done
  load_wait
  check_planned_stop
}

turned_cold() {
  trial_start
  local node overruns=0 second
  load_start 14
  for second in 3 5 7; do
    at "$second"
    for node in $(nodes_of register-viewing | head -n 2) $(nodes_of certification | head -n 1); do
      target_control "$node" '{"cold": true}'
    done
  done
  load_wait
  for node in "${NODES[@]}"; do overruns=$((overruns + $(target_stat "$node" overruns))); done
  extra="overruns=$overruns"
  ((overruns == 0)) || add_violation "targets collapsed from overload: overruns=$overruns"
  check_recovery
}

restart_in_outage() {
  trial_start
  local node
  node=$(nodes_of certification | head -n 1)
  load_start 22
  at 2
  platform_control '{"down": true}'
  at 3
  kill_process "node-$node"
  start_node "$node"
  at 10
  platform_control '{"down": false}'
  load_wait
  check_recovery
  expect_zero "lookups failed" 'lookups | total(.sent - .answered)'
}

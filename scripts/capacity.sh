#!/usr/bin/env bash
# capacity.sh: measures the resource usage of nodes and of the platform by the size
# of the fleet, with separate processes. For each size it starts a fleet with
# several services. It measures the fleet idle, under a light load, and during
# changes of the configuration, with the 4 services of one organisation and with
# 120 services; then idle with 120 services, and while a data centre is lost and
# returns. At the smallest size it also measures the processor time of requests by
# role. It prints one line per series, and a table of the extrapolations to the
# planned number of nodes.
#
# SIZES lists the sizes; QUICK=1 selects two small ones and short phases. NET is the
# first half of the IP addresses, SEED the seed of the load, and KEEP a directory
# for logs and snapshots. A fleet takes about 30 MB per node.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-127.4}
source scripts/lib.sh

readonly SEED=${SEED:-20261203}
if [[ ${QUICK:-} == 1 ]]; then
  readonly SIZES=${SIZES:-13 26} IDLE_SECONDS=${IDLE_SECONDS:-10} LOAD_SECONDS=${LOAD_SECONDS:-6} CHANGES=${CHANGES:-8}
else
  readonly SIZES=${SIZES:-13 26 52 104} IDLE_SECONDS=${IDLE_SECONDS:-20} LOAD_SECONDS=${LOAD_SECONDS:-10} CHANGES=${CHANGES:-20}
fi
# SETTLE_SECONDS is the wait between the start of a fleet and the idle phase. It
# keeps the start out of the phase: nodes list the members three times in their
# first seconds.
readonly SETTLE_SECONDS=${SETTLE_SECONDS:-18}
# LIGHT_RATE is the light load in requests per second and node, and ROLE_RATE the
# load of the ingress node when roles are measured, in requests per second.
readonly LIGHT_RATE=10 ROLE_RATE=300
# EVENT_SECONDS is the duration of the phases in which a data centre is lost and
# returns.
readonly EVENT_SECONDS=${EVENT_SECONDS:-10}
# TIMED_CHANGES is the number of changes that are timed until they are active on all
# nodes, and IN_FORCE_SECONDS the maximum time of one.
readonly TIMED_CHANGES=5 IN_FORCE_SECONDS=15
# CHANGE_PAUSE is the time between two changes, in seconds.
readonly CHANGE_PAUSE=0.3
# ORGANISATIONS is the number of organisations with 120 services, 4 each.
readonly ORGANISATIONS=30
readonly SERVICE_NAMES=(register-viewing certification entry-filing archive)

# fleet SIZE sets the nodes. They are spread over three data centres, and in each one
# every service has a range of consecutive addresses. The first node has no target.
fleet() {
  local size=$1 dc in_dc i name
  NODES=()
  SERVICE_OF=() IP_OF=() DC_OF=()
  for ((dc = 0; dc < 3; dc++)); do
    in_dc=$(((size + 2 - dc) / 3))
    for ((i = 1; i <= in_dc; i++)); do
      name=${DATACENTRES[dc]}-$i
      NODES+=("$name")
      DC_OF[$name]=${DATACENTRES[dc]}
      IP_OF[$name]=$NET.$((dc + 1)).$i
      SERVICE_OF[$name]=${SERVICE_NAMES[(i - 1) * 4 / in_dc]}
    done
  done
}

# start_target_ranges starts one process for each range of targets of one service in
# one data centre.
start_target_ranges() {
  local node first= count=0 seed=$SEED
  for node in "${NODES[@]:1}"; do
    if [[ -n $first && ${SERVICE_OF[$node]} == "${SERVICE_OF[$first]}" && ${DC_OF[$node]} == "${DC_OF[$first]}" ]]; then
      count=$((count + 1))
      continue
    fi
    [[ -z $first ]] || start_target "$first" -count "$count" -seed "$seed" -start-warm
    first=$node count=1 seed=$((seed + 1000))
  done
  start_target "$first" -count "$count" -seed "$seed" -start-warm
}

# write_places writes the name, PID and administration address of each node to
# $OUT/places.
write_places() {
  local i node
  : >"$OUT/places"
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} == node-* ]] || continue
    node=${labels[i]#node-}
    echo "$node ${pids[i]} ${IP_OF[$node]}:$NODE_ADMIN" >>"$OUT/places"
  done
}

# snapshot PHASE [VALUES] appends a snapshot of the fleet to $OUT/snapshots.
snapshot() {
  VT_TOKEN=$ADMIN_TOKEN "$BIN/vtbench" snapshot -places "$OUT/places" -platform "$PLATFORM" \
    -phase "$1" -values "${2:-}" -size "${#NODES[@]}" -out "$OUT/snapshots"
}

# object_bytes PREFIX prints the size in bytes of the platform's list of objects.
object_bytes() { http_get "$PLATFORM" "/v1/objects?prefix=$1" | tail -n +2 | wc -c; }

# organisations COUNT CHANGE writes organisations to $OUT/organisations.yaml. Only
# the services of the first one have targets; CHANGE is added to its limit.
organisations() {
  local i name
  for ((i = 0; i < $1; i++)); do
    name=$ORG$([[ $i == 0 ]] || echo "-$i")
    ((i == 0)) || echo "---"
    printf 'kind: organisation\nname: %s\ntemplate: summit-registers\nvalues:\n  host: %s.example\n  data_centres: [%s]\n  slots: 20\n  connections: 250\n' \
      "$name" "$name" "$(IFS=,; echo "${DATACENTRES[*]}")"
    ((i > 0)) || echo "  lookups_per_second: $((10000 + $2))"
  done >"$OUT/organisations.yaml"
}

change=0
# apply COUNT makes one change to COUNT organisations, through the nodes in rotation,
# and sets changed to its version.
apply() {
  local node
  change=$((change + 1))
  organisations "$1" "$change"
  node=${NODES[change % ${#NODES[@]}]}
  changed=$(VT_TOKEN=$ADMIN_TOKEN "$BIN/vtctl" -a "${IP_OF[$node]}:$NODE_ADMIN" -o json apply "$OUT/organisations.yaml" | jq .version)
}

# wait_in_force VERSION waits until a version is active on all nodes, and sets delay
# to the longest time since its acceptance in milliseconds.
wait_in_force() {
  local end=$((SECONDS + IN_FORCE_SECONDS))
  while ((SECONDS < end)); do
    delay=$(ctl -o json status | jq --argjson v "$1" --argjson n "${#NODES[@]}" \
      'if ([.nodes[] | select(.version == $v and .delay_ms >= 0)] | length) == $n then [.nodes[].delay_ms] | max else empty end')
    [[ -z $delay ]] || return 0
    sleep 0.1
  done
  echo "version $1 isn't in force on ${#NODES[@]} nodes after ${IN_FORCE_SECONDS}s" >&2
  return 1
}

# changes PHASE ORGANISATIONS measures changes of the configuration.
changes() {
  local i slowest=0
  apply "$2"
  wait_in_force "$changed"
  snapshot "$1"
  for ((i = 0; i < CHANGES; i++)); do
    apply "$2"
    sleep "$CHANGE_PAUSE"
  done
  wait_in_force "$changed"
  snapshot "$1" "changes=$CHANGES"
  snapshot "$1-timed"
  for ((i = 0; i < TIMED_CHANGES; i++)); do
    apply "$2"
    wait_in_force "$changed"
    ((delay <= slowest)) || slowest=$delay
  done
  snapshot "$1-timed" "in_force_ms_most=$slowest,configuration_list_bytes=$(object_bytes configuration)"
}

# drive RATE SECONDS FLAGS... runs the load generator. A failure is only printed as
# a warning.
drive() {
  local rate=$1 seconds=$2
  shift 2
  "$BIN/vtstandin" load -rate "$rate" -duration "${seconds}s" -seed "$SEED" -duplicates -1 "$@" \
    >>"$OUT/load.log" 2>>"$OUT/load.err" || echo "load at ${#NODES[@]} nodes: $(tail -n 1 "$OUT/load.log")" >&2
}

# role PHASE CLASS measures the processor time of requests of one class that are sent
# to the first node.
role() {
  printf 'host: %s.example\nclasses:\n  - {%s, weight: 1}\n' "$ORG" "$2" >"$OUT/mix.yaml"
  snapshot "$1"
  drive "$ROLE_RATE" "$LOAD_SECONDS" -ingress "${IP_OF[${NODES[0]}]}:$NODE_CALLERS" -mix-file "$OUT/mix.yaml"
  snapshot "$1" "requests=$((ROLE_RATE * LOAD_SECONDS))"
}

measure_size() {
  local size=$1
  fleet "$size"
  start_platform
  start_nodes
  start_target_ranges
  wait_ready
  ctl apply "examples/$ORG/"*.yaml >>"$OUT/ctl.log" 2>&1
  wait_ready
  drive $((LIGHT_RATE * size)) 3 -ingress "$(addresses $NODE_CALLERS)" -mix "$ORG"
  write_places
  sleep "$SETTLE_SECONDS"
  snapshot idle
  sleep "$IDLE_SECONDS"
  snapshot idle "members_list_bytes=$(object_bytes members/),ownership_list_bytes=$(object_bytes ownership/)"
  snapshot load
  drive $((LIGHT_RATE * size)) "$LOAD_SECONDS" -ingress "$(addresses $NODE_CALLERS)" -mix "$ORG"
  snapshot load
  if [[ $size == "${SIZES%% *}" ]]; then
    role lookups "name: lookup, method: GET, path: '/register-viewing/climbs/{id}', answer_bytes: 2048"
    role filings "name: filing, method: POST, path: /certification/certificates, keyed: true, body_bytes: 200, answer_bytes: 512"
  fi
  changes changes-4-services 1
  changes changes-120-services "$ORGANISATIONS"
  snapshot idle-120-services
  sleep "$IDLE_SECONDS"
  snapshot idle-120-services
  lose_datacentre
  stop_fleet
}

# lose_datacentre kills all nodes of the last data centre, starts them again, and
# measures both phases at the other nodes. It must be the last measurement of a
# fleet, because it removes the killed nodes from $OUT/places.
lose_datacentre() {
  local dc=${DATACENTRES[2]} node i
  write_places
  grep -v "^$dc-" "$OUT/places" >"$OUT/places.left"
  mv "$OUT/places.left" "$OUT/places"
  snapshot lost
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} == node-$dc-* ]] || continue
    kill -KILL "${pids[i]}"
    wait "${pids[i]}" 2>/dev/null || true
    unset "pids[i]" "labels[i]"
  done
  sleep "$EVENT_SECONDS"
  snapshot lost
  snapshot back
  for node in "${NODES[@]}"; do
    [[ ${DC_OF[$node]} != "$dc" ]] || start_node "$node"
  done
  sleep "$EVENT_SECONDS"
  snapshot back
}

# stop_fleet kills all processes. Planned stops are measured elsewhere.
stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=() labels=()
}

finish() {
  local status=$?
  trap - EXIT
  ((status == 0)) || show_logs
  stop_fleet
  [[ -z ${KEEP:-} ]] || { mkdir -p "$KEEP" && cp "$OUT"/* "$KEEP"/; }
  rm -rf "$OUT"
  exit "$status"
}

command -v jq >/dev/null || { echo "jq is needed to read versions" >&2; exit 2; }
fleet_init kodumala
make_secrets
OUT=$(mktemp -d)
trap finish EXIT
trap 'exit 130' INT TERM
echo "capacity: seed $SEED, sizes $SIZES, load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
for size in $SIZES; do
  measure_size "$size"
  echo "measured $size nodes" >&2
done
"$BIN/vtbench" capacity "$OUT/snapshots"

#!/usr/bin/env bash
# bench.sh: compares balancing policies and admission limits on loopback, with
# separate processes, in rounds that alternate between the policies. Options in the
# environment:
#
#   ORG        kodumala, flavour-trials or both (default)
#   POLICIES   policies to compare; "ours" is the node's default, "plain" round
#              robin without retries, hedges and an adaptive limit. A name may
#              carry settings: NAME+KEY=VALUE, as in ours+admission_limit=vegas
#   LIMITS     adaptive limits to compare, each with the node's default policy
#   SCENARIOS  steady noisy failfast coldreturn overload (default), uneven
#   SECONDS_PER_ROUND, ROUNDS   length of a round, and rounds of each policy
#   SEED       seed of the operations, service times and faults
#   RATE       load as a share of the capacity, instead of each scenario's own
#   SERVICE_MS mean service time in milliseconds, instead of the organisation's own
#   OUT        directory in which the rounds are kept; default a temporary one
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
NET=${NET:-127.7}
source scripts/lib.sh

readonly ORGS=${ORG:-kodumala flavour-trials}
readonly SCENARIOS=${SCENARIOS:-steady noisy failfast coldreturn overload}
readonly ROUNDS=${ROUNDS:-2} ROUND_SECONDS=${SECONDS_PER_ROUND:-4} SEED=${SEED:-20261203}
readonly ROOT=${OUT:-$(mktemp -d)}
policies=(${POLICIES:-plain random roundrobin leastreported twochoices ours oracle})
for limit in ${LIMITS:-}; do policies+=("ours+admission_limit=$limit"); done
# WARM_SECONDS is the duration of the load before each round, and START_SECONDS
# that before the first round; WARM_SHARE is this load as a share of the capacity.
readonly WARM_SECONDS=1 START_SECONDS=5 WARM_SHARE=0.6
# MEASURING_BUDGET is the measurement budget of a node in bytes per second.
readonly MEASURING_BUDGET=4096
# ORACLE_PORT is the port of the oracle, at the IP address of the platform.
readonly ORACLE_PORT=9001

# finish stops all processes and removes the rounds, unless OUT was set.
finish() {
  local status=$?
  trap - EXIT
  stop_all
  [[ -n ${OUT_KEPT:-} ]] || rm -rf "$ROOT"
  exit "$status"
}
OUT_KEPT=${OUT:-}
mkdir -p "$ROOT"
trap finish EXIT
trap 'exit 130' INT TERM

# share SCENARIO prints the load as a share of the capacity. In scenarios with slow,
# failing or cold targets it is low enough for the other targets of their services
# to take over the whole load.
share() {
  case $1 in
    steady) echo "${RATE_SHARE:-0.7}" ;;
    noisy | failfast | uneven) echo "${RATE_SHARE:-0.5}" ;;
    coldreturn) echo "${RATE_SHARE:-0.55}" ;;
    overload) echo "${RATE_SHARE:-1.5}" ;;
  esac
}
RATE_SHARE=${RATE:-}

# service_ms SCENARIO prints the mean service time in milliseconds. It is long
# enough for one machine to run the load of all slots.
service_ms() {
  local base=${SERVICE_MS:-}
  case $ORG in
    kodumala) base=${base:-40} ;;
    flavour-trials) base=${base:-20} ;;
  esac
  [[ $1 == overload ]] && base=$((2 * base))
  echo "$base"
}

# capacity SCENARIO prints the capacity of all slots in operations per second.
capacity() { awk "BEGIN { print ${#NODES[@]} * $SLOTS * 1000 / $(service_ms "$1") }"; }

# tune SCENARIO sets the service time of the current fleet.
tune() { "$BIN/vtbench" tune -targets "$(target_list)" -service-time "$(service_ms "$1")ms"; }

# plain_settings prints settings for round robin as in simple balancers: without
# retries and hedges, and with a fixed limit at the slots of the targets.
plain_settings() {
  echo "policy: roundrobin"
  echo "admission_limit: fixed"
  echo "budgets: {retry_share: 0, hedge_share: 0}"
}

# settings POLICY prints the settings of the nodes for a policy.
settings() {
  local part
  for part in ${1//+/ }; do
    case $part in
      ours) ;;
      oracle) echo "policy: oracle"; echo "oracle_address: http://${PLATFORM%:*}:$ORACLE_PORT/" ;;
      plain) plain_settings ;;
      *=*) echo "${part%%=*}: ${part#*=}" ;;
      *) echo "policy: $part" ;;
    esac
  done
}

# use_fleet NUMBER makes the fleet of a policy the current one.
use_fleet() {
  DC_OFFSET=$((10 * $1))
  PLATFORM=$NET.$DC_OFFSET.1:9000
  OUT=$ROOT/$ORG/fleet-$1
  mkdir -p "$OUT"
  fleet_init "$ORG"
}

# start_fleet NUMBER POLICY starts the platform, nodes and targets for a policy.
start_fleet() {
  local node seed=0 oracle=()
  use_fleet "$1"
  EXTRA_SETTINGS=$(settings "$2")
  start_platform
  if [[ $2 == oracle* ]]; then
    start oracle "$BIN/vtstandin" oracle -address "${PLATFORM%:*}:$ORACLE_PORT"
    oracle=(-oracle "${PLATFORM%:*}:$ORACLE_PORT")
  fi
  start_nodes
  for node in "${NODES[@]}"; do
    seed=$((seed + 1))
    start_target "$node" -seed "$((SEED + seed))" -node "$node" "${oracle[@]}" \
      -service-time "$(service_ms steady)ms" -start-warm
  done
}

# write_mix prints a mix in which each service has load in proportion to the number
# of its targets.
write_mix() {
  local entry service count
  echo "host: $ORG.example"
  echo "classes:"
  for entry in "${SERVICES[@]}"; do
    read -r service count <<<"$entry"
    case $service in
      entry-filing) path=/entry-filing/entries ;;
      certification) path=/certification/certificates ;;
      batches) path=/batches/bookings ;;
      panels) path=/panels/scores ;;
      *) path= ;;
    esac
    if [[ -n $path ]]; then
      echo "  - {name: $service, weight: $count, method: POST, path: $path, keyed: true, body_bytes: 300, answer_bytes: 512}"
    else
      echo "  - {name: $service, weight: $count, method: GET, path: \"/$service/items/{id}\", answer_bytes: 2048}"
    fi
  done
}

# target_list prints the targets, with service and data centre, for vtbench.
target_list() {
  local node list=()
  for node in "${NODES[@]}"; do
    list+=("${IP_OF[$node]}:$TARGET_PORT/${SERVICE_OF[$node]}/${DC_OF[$node]}")
  done
  (IFS=,; echo "${list[*]}")
}

# drive SHARE CAPACITY SECONDS SEED [FLAGS] generates load for the current fleet.
drive() {
  local rate seconds=$3 seed=$4
  rate=$(awk "BEGIN { print $1 * $2 }")
  shift 4
  "$BIN/vtstandin" load -ingress "$(addresses $NODE_CALLERS)" -mix-file "$ROOT/$ORG/mix.yaml" -rate "$rate" \
    -duration "${seconds}s" -seed "$seed" -max-sends 1 -duplicates -1 "$@" >>"$OUT/load.log" 2>&1
}

# round SCENARIO POLICY ROUND runs one round with the current fleet.
round() {
  local file=$ROOT/$ORG/rounds/$1.$2.$3 watch seed=$((SEED + $3)) capacity
  capacity=$(capacity "$1")
  tune "$1"
  drive "$WARM_SHARE" "$capacity" "$WARM_SECONDS" "$seed"
  VT_TOKEN=$ADMIN_TOKEN "$BIN/vtbench" watch -scenario "$1" -seed "$seed" -duration "${ROUND_SECONDS}s" \
    -capacity "$capacity" -targets "$(target_list)" -nodes "$(addresses $NODE_ADMIN)" -out "$file.watch.json" &
  watch=$!
  drive "$(share "$1")" "$capacity" "$ROUND_SECONDS" "$seed" -report "$file.load.json" || true
  wait "$watch"
}

# measure ORG runs all rounds of an organisation and prints its tables.
measure() {
  local i scenario number
  ORG=$1
  mkdir -p "$ROOT/$ORG/rounds"
  for i in "${!policies[@]}"; do start_fleet "$i" "${policies[i]}"; done
  write_mix >"$ROOT/$ORG/mix.yaml"
  for i in "${!policies[@]}"; do
    use_fleet "$i"
    wait_ready
    ctl apply "examples/$ORG/"*.yaml >>"$OUT/ctl.log" 2>&1
    wait_ready
    drive "$WARM_SHARE" "$(capacity steady)" "$START_SECONDS" "$SEED"
  done
  echo
  echo "== $ORG: ${#NODES[@]} targets of $SLOTS slots, mean service time $(service_ms steady) ms" \
    "($(service_ms overload) ms in overload), seed $SEED, $ROUNDS rounds of ${ROUND_SECONDS}s"
  for scenario in $SCENARIOS; do
    for ((number = 1; number <= ROUNDS; number++)); do
      for i in "${!policies[@]}"; do
        use_fleet "$i"
        round "$scenario" "${policies[i]}" "$number"
      done
    done
  done
  "$BIN/vtbench" table -dir "$ROOT/$ORG/rounds" -policies "$(IFS=,; echo "${policies[*]}")" \
    -slots "$SLOTS" -measuring-budget "$MEASURING_BUDGET"
  stop_all
}

make_secrets
for org in $ORGS; do measure "$org"; done

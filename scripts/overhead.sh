#!/usr/bin/env bash
# overhead.sh: measures the latency that one node and two nodes add to a request.
# One open-loop load draws the path of each request: directly to the target, through
# the node beside the target, or through another node and that one, with each hop
# protocol. So activity on the machine affects all paths alike. The script prints
# the overhead of each path, which is the latency less the target's own time, and
# the difference to the direct path.
#
# RATE is the number of requests per second on all paths together, DURATION the
# length of the measurement in seconds, WARMUP that of a load before it that is not
# counted, and SERVICE_TIME the mean service time of the targets.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-127.6}
source scripts/lib.sh

readonly TOTAL_RATE=${RATE:-1000} DURATION=${DURATION:-60} WARMUP=${WARMUP:-10} SEED=${SEED:-20261203}
readonly SERVICE_TIME=${SERVICE_TIME:-2ms}
readonly PROTOCOLS=(http1 h2c)
readonly LOOKUP_SERVICE=register-viewing FILING_SERVICE=certification SPREAD_SERVICE=entry-filing
# LOOKUP_BYTES is the size of a lookup's response body, and FILING_BYTES and
# ANSWER_BYTES are the mean size of a filing's request body and the size of its
# response body.
readonly LOOKUP_BYTES=2048 FILING_BYTES=600 ANSWER_BYTES=512

# fleet sets the nodes. Each protocol has one node without a target, one beside the
# only target of lookups, one beside the only target of filings, and three beside
# the targets of a service with several targets.
fleet() {
  fleet_init kodumala
  NODES=()
  local p i protocol service
  for p in "${!PROTOCOLS[@]}"; do
    protocol=${PROTOCOLS[p]}
    i=0
    for service in none "$LOOKUP_SERVICE" "$FILING_SERVICE" "$SPREAD_SERVICE"{,,}; do
      i=$((i + 1))
      add_node "$protocol-$i" "$service" "${DATACENTRES[i % 3]}" "$NET.$((p + 1)).$i"
    done
  done
}

# add_node NAME SERVICE DATACENTRE IP adds a node to the fleet.
add_node() {
  NODES+=("$1")
  SERVICE_OF[$1]=$2
  DC_OF[$1]=$3
  IP_OF[$1]=$4
}

protocol_of() { echo "${1%-*}"; }
host_of() { echo "overhead-$1.example"; }

# organisation PROTOCOL prints an organisation whose nodes use a hop protocol.
organisation() {
  cat <<YAML
kind: organisation
name: overhead-$1
template: summit-registers
values:
  host: $(host_of "$1")
  data_centres: [$(IFS=,; echo "${DATACENTRES[*]}")]
  slots: $SLOTS
  connections: $CONNECTIONS
YAML
}

# class NAME PROTOCOL INGRESS BASELINE KIND SERVICE prints the class of one path.
class() {
  echo "  - {name: $1, host: $(host_of "$2"), ingresses: ['$3'], baseline: '$4', weight: 1, $(kind "$5" "$6")}"
}

kind() {
  case $1 in
    lookup) echo "method: GET, path: '/$2/climbs/{id}', answer_bytes: $LOOKUP_BYTES" ;;
    filing) echo "method: POST, path: /$2/$(collection "$2"), keyed: true, body_bytes: $FILING_BYTES, answer_bytes: $ANSWER_BYTES" ;;
  esac
}

collection() {
  case $1 in
    "$FILING_SERVICE") echo certificates ;;
    "$SPREAD_SERVICE") echo entries ;;
  esac
}

# mix prints the mix of the load, with one class per path.
mix() {
  local protocol direct
  echo "host: $(host_of http1)"
  echo "classes:"
  paths lookup "$LOOKUP_SERVICE" 2
  paths filing "$FILING_SERVICE" 3
  for protocol in "${PROTOCOLS[@]}"; do
    class "filing/up-to-three-$protocol" "$protocol" "${IP_OF[$protocol-1]}:$NODE_CALLERS" filing/direct filing "$SPREAD_SERVICE"
  done
}

# paths KIND SERVICE NUMBER prints the classes of the paths to the only target of a
# service, which is beside the node with that number.
paths() {
  local first=${PROTOCOLS[0]} protocol
  class "$1/direct" "$first" "${IP_OF[$first-$3]}:$TARGET_PORT" "" "$1" "$2"
  class "$1/one-node" "$first" "${IP_OF[$first-$3]}:$NODE_CALLERS" "$1/direct" "$1" "$2"
  for protocol in "${PROTOCOLS[@]}"; do
    class "$1/two-nodes-$protocol" "$protocol" "${IP_OF[$protocol-1]}:$NODE_CALLERS" "$1/direct" "$1" "$2"
  done
}

start_fleet() {
  local node protocol
  for node in "${NODES[@]}"; do
    EXTRA_SETTINGS="hop_protocol: $(protocol_of "$node")" start_node "$node"
  done
  for node in "${NODES[@]}"; do
    [[ ${SERVICE_OF[$node]} != none ]] || continue
    ORG=overhead-$(protocol_of "$node") start_target "$node" -start-warm -service-time "$SERVICE_TIME"
  done
  wait_ready
  for protocol in "${PROTOCOLS[@]}"; do organisation "$protocol" >"$OUT/$protocol-organisation.yaml"; done
  ctl apply examples/kodumala/template.yaml "$OUT"/*-organisation.yaml >>"$OUT/ctl.log" 2>&1
  wait_ready
}

# drive SECONDS SEED FLAGS... runs the load generator.
drive() {
  local seconds=$1 seed=$2
  shift 2
  "$BIN/vtstandin" load -ingress "${IP_OF[http1-1]}:$NODE_CALLERS" -mix-file "$OUT/mix.yaml" \
    -journals "$(target_addresses)" -rate "$TOTAL_RATE" -duration "${seconds}s" -seed "$seed" -duplicates -1 "$@"
}

target_addresses() {
  local node list=()
  for node in "${NODES[@]}"; do
    [[ ${SERVICE_OF[$node]} == none ]] || list+=("${IP_OF[$node]}:$TARGET_PORT")
  done
  (IFS=,; echo "${list[*]}")
}

finish() {
  local status=$?
  trap - EXIT
  ((status == 0)) || show_logs
  stop_all
  [[ -n ${KEEP:-} ]] && echo "logs are in $OUT" >&2 || rm -rf "$OUT"
  exit "$status"
}

fleet
make_secrets
OUT=$(mktemp -d)
trap finish EXIT
trap 'exit 130' INT TERM
start_platform
start_fleet
mix >"$OUT/mix.yaml"
echo "overhead: seed $SEED, $TOTAL_RATE requests/s on all paths for ${DURATION}s, load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
drive "$WARMUP" "$((SEED + 1))" >"$OUT/warmup.log" 2>&1 || true
drive "$DURATION" "$SEED" -added ${REPORT:+-report "$REPORT"} 2>"$OUT/load.log"

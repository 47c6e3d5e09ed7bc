#!/usr/bin/env bash
# Functions that the demo and the measurements share. Source this file after
# `set -euo pipefail`, in the root of the repository.
#
# A script calls fleet_init once, then start_platform, start_nodes and
# start_targets. At its end it calls stop_all, which stops exactly the processes
# that the script started, by their PIDs.

readonly NODE_CALLERS=7000 NODE_HOP=7001 NODE_PEER=7002 NODE_ADMIN=7003 NODE_ANNOUNCE=7004
readonly TARGET_PORT=8000
# NET is the first half of all IP addresses, and BIN the directory of the programs.
# The third number of a node's IP address is DC_OFFSET plus the number of its data
# centre, from 1.
readonly NET=${NET:-127.0} BIN=${BIN:-bin}
PLATFORM=${PLATFORM:-$NET.0.1:9000}
DC_OFFSET=${DC_OFFSET:-0}
# STOP_SECONDS limits the planned stop of one process.
readonly STOP_SECONDS=40

# pids and labels hold the PIDs and names of the processes that the script started.
pids=()
labels=()

# fleet_init ORG sets DATACENTRES, REGION, SLOTS, CONNECTIONS, SERVICES (entries
# of the form "name count"), RATE (operations per second of the demo), and the
# fleet: NODES, and SERVICE_OF, IP_OF and DC_OF by node name.
fleet_init() {
  ORG=$1
  case $ORG in
    kodumala)
      DATACENTRES=(kochi-a kochi-b kochi-c) REGION=kerala-south SLOTS=20 CONNECTIONS=250 RATE=1000
      SERVICES=("register-viewing 4" "certification 3" "entry-filing 3" "archive 3") ;;
    flavour-trials)
      DATACENTRES=(launceston devonport burnie) REGION=tas-north SLOTS=10 CONNECTIONS=200 RATE=800
      SERVICES=("recipes 4" "batches 3" "panels 3" "labels 3") ;;
    *) echo "unknown organisation $ORG: kodumala or flavour-trials" >&2; return 2 ;;
  esac
  NODES=()
  declare -gA SERVICE_OF=() IP_OF=() DC_OF=()
  local in_dc=(0 0 0) entry service count i dc name
  for entry in "${SERVICES[@]}"; do
    read -r service count <<<"$entry"
    for ((i = 0; i < count; i++)); do
      dc=$((i % 3))
      in_dc[dc]=$((in_dc[dc] + 1))
      name=${DATACENTRES[dc]}-${in_dc[dc]}
      NODES+=("$name")
      SERVICE_OF[$name]=$service
      DC_OF[$name]=${DATACENTRES[dc]}
      IP_OF[$name]=$NET.$((DC_OFFSET + dc + 1)).${in_dc[dc]}
    done
  done
}

# addresses PORT prints the addresses of all nodes with a port, comma-separated.
addresses() {
  local node list=()
  for node in "${NODES[@]}"; do list+=("${IP_OF[$node]}:$1"); done
  (IFS=,; echo "${list[*]}")
}

# start LABEL COMMAND... starts a process and appends its output to
# $OUT/LABEL.log.
start() {
  local label=$1
  shift
  "$@" >>"$OUT/$label.log" 2>&1 &
  pids+=($!)
  labels+=("$label")
}

# alive PID succeeds if the process is running.
alive() { kill -0 "$1" 2>/dev/null; }

# ended prints the labels of the processes that have ended without stop_matching.
ended() {
  local i
  for i in "${!pids[@]}"; do
    alive "${pids[i]}" || echo "${labels[i]}"
  done
}

# stop_matching PREFIX stops the processes whose labels begin with PREFIX by
# SIGTERM, and by SIGKILL if they take longer than STOP_SECONDS.
stop_matching() {
  local i waited
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} == "$1"* ]] && kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  for i in "${!pids[@]}"; do
    [[ ${labels[i]} == "$1"* ]] || continue
    for ((waited = 0; waited < STOP_SECONDS * 10; waited++)); do
      alive "${pids[i]}" || break
      sleep 0.1
    done
    if alive "${pids[i]}"; then
      echo "${labels[i]} did not stop within ${STOP_SECONDS}s" >&2
      kill -KILL "${pids[i]}" 2>/dev/null || true
    fi
    wait "${pids[i]}" 2>/dev/null || echo "${labels[i]} stopped with status $?" >&2
    unset "pids[i]" "labels[i]"
  done
}

# stop_all stops all processes that the script started, the callers first.
stop_all() {
  stop_matching load
  stop_matching target-
  stop_matching node-
  stop_matching ""
}

# http_get IP:PORT PATH [TOKEN] prints the HTTP status in one line and then the
# body.
http_get() {
  local host=${1%:*} port=${1##*:} status line
  {
    exec 3<>"/dev/tcp/$host/$port"
  } 2>/dev/null || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n%s\r\n' "$2" "$1" "${3:+Authorization: Bearer $3$'\r\n'}" >&3
  read -r _ status _ <&3 || { exec 3>&-; return 1; }
  while read -r line <&3 && [[ -n ${line%$'\r'} ]]; do :; done
  echo "$status"
  cat <&3
  exec 3>&-
}

# wait_status IP:PORT PATH STATUS SECONDS [TOKEN] repeats a request until it has an
# HTTP status. It fails after SECONDS.
wait_status() {
  local end=$((SECONDS + $4)) got
  while :; do
    got=$(http_get "$1" "$2" "${5:-}" | head -n 1) || got=
    [[ $got == "$3" ]] && return 0
    ((SECONDS < end)) || { echo "$1$2: status ${got:-none} after $4s" >&2; return 1; }
    sleep 0.1
  done
}

# make_secrets sets ADMIN_TOKEN and PEER_KEY to random values.
make_secrets() {
  ADMIN_TOKEN=$(random_hex)
  PEER_KEY=$(random_hex)
}

random_hex() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

# write_settings NODE writes the settings of a node to $OUT/NODE.yaml, followed by
# EXTRA_SETTINGS.
write_settings() {
  local node=$1 ip=${IP_OF[$1]}
  cat >"$OUT/$node.yaml" <<YAML
name: $node
data_centre: ${DC_OF[$node]}
region: $REGION
listen:
  callers: $ip:$NODE_CALLERS
  hop: $ip:$NODE_HOP
  peer: $ip:$NODE_PEER
  admin: $ip:$NODE_ADMIN
  announce: $ip:$NODE_ANNOUNCE
platform:
  address: http://$PLATFORM
secrets:
  admin_token: "$ADMIN_TOKEN"
  peer_key: "$PEER_KEY"
${EXTRA_SETTINGS:-}
YAML
}

start_platform() {
  start platform "$BIN/vtstandin" platform -address "$PLATFORM" "$@"
  wait_status "$PLATFORM" /stats 200 10
}

# start_node NODE starts a node, and start_nodes starts all nodes.
start_node() {
  write_settings "$1"
  start "node-$1" "$BIN/vtnode" run -settings "$OUT/$1.yaml"
}

start_nodes() {
  local node
  for node in "${NODES[@]}"; do start_node "$node"; done
}

# start_target NODE [FLAGS] starts the target beside a node, and start_targets
# [FLAGS] starts all targets.
start_target() {
  local node=$1 ip=${IP_OF[$1]}
  shift
  start "target-$node" "$BIN/vtstandin" target -address "$ip:$TARGET_PORT" \
    -announce "http://$ip:$NODE_ANNOUNCE" -organisation "$ORG" -service "${SERVICE_OF[$node]}" \
    -slots "$SLOTS" -connections "$CONNECTIONS" -cold-limit 2 "$@"
}

start_targets() {
  local node seed=0
  for node in "${NODES[@]}"; do
    seed=$((seed + 1))
    start_target "$node" -seed "$seed" "$@"
  done
}

# wait_ready waits until all nodes are ready.
wait_ready() {
  local node
  for node in "${NODES[@]}"; do
    wait_status "${IP_OF[$node]}:$NODE_ADMIN" /v1/ready 200 30 "$ADMIN_TOKEN"
  done
}

# ctl ARGUMENTS... runs vtctl with the addresses of all nodes.
ctl() {
  VT_TOKEN=$ADMIN_TOKEN "$BIN/vtctl" -a "$(addresses $NODE_ADMIN)" "$@"
}

# show_logs prints the last lines of each log that is not empty, to explain a
# failure.
show_logs() {
  local log
  for log in "$OUT"/*.log; do
    [[ -s $log ]] || continue
    echo "--- $(basename "$log")" >&2
    tail -n 3 "$log" >&2
  done
}

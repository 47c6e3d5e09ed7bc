#!/usr/bin/env bash
# Fault soak: runs the programs as separate processes, injects faults from outside,
# and checks the records of callers and targets against the invariants.
# Usage: soak.sh SEED...
# NODES, SECONDS_LOAD and RATE set the size of a run, and OUT is the directory for
# its records. The first half of all IP addresses is NET. CHANGE_EVERY is the time in
# seconds between changes of the configuration throughout the run. Without it, changes
# are one of the faults. Configurations have ROUTES further routes. KINDS are the kinds
# of faults, all by default.
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-bin}
NODES=${NODES:-6}
SECONDS_LOAD=${SECONDS_LOAD:-25}
RATE=${RATE:-80}
OUT=${OUT:-out/soak}
NET=${NET:-127.7}
CHANGE_EVERY=${CHANGE_EVERY:-}
ROUTES=${ROUTES:-0}
SERVICES=(once-a safe-b)
CALM=8 # seconds without faults at the end of a run
CALM_CHANGES=4 # configurations in the first of these seconds, one each
SETTLING=3 # seconds without changes at the end of these seconds
SETTLED=5 # seconds without faults before the nodes that watch the store are killed
LOSS=3 # seconds until they are started anew
CLOCK_JUMP=2400 # milliseconds by which the time of day of some targets is off at their start
COLD=3s # time for which a target is cold after its start, as configured
FIRST_COORDINATORS=(2 0) # of the organisation with a quota, in fleets of up to six nodes
SURGE_RATE=250 # requests per second to the service of a cold target whose node is killed

declare -A pid_of
begin() { # NAME FILE COMMAND...: start a process and record its PID
  local name=$1 file=$2; shift 2
  "$@" >>"$file" 2>>"$dir/errors" &
  pid_of[$name]=$!
}
end() { # NAME [SIGNAL]: send a signal, SIGTERM by default, to a process of this script
  local pid=${pid_of[$1]:-}
  [ -n "$pid" ] && kill "-${2:-TERM}" "$pid" 2>/dev/null
}
control() { # METHOD URL [BODY]: one request; its failure is one more fault
  "$BIN/vtstandin" control -method "$1" -url "$2" -body "${3:-}" 2>/dev/null || true
}
ip() { echo "$NET.$((seed % 250)).$(( $1 + 10 ))"; }

settings() { # I: print the settings of node I
  local a; a=$(ip "$1")
  cat <<YAML
name: n$1
data_centre: z$(($1 % 3))
data_centres: [z0, z1, z2]
service: ${SERVICES[$(($1 % 2))]}
target: $a:7001
advertise_hop: $a:7013
store: $a:7014
listen: {callers: "$a:7002", hop: "$a:7003", readiness: "$a:7004", reports: "$a:7005", peers: "$a:7006", metrics: "$a:7007"}
limits: {repeat_ratio: 0.2, repeat_slack: 60, repeat_window_s: 10, cold_factor: 1.5, stop_s: ${1:+4}}
YAML
}
start_node() { begin "node$1" "$dir/node-$1" "$BIN/vtnode" serve -settings "$dir/settings-$1.yaml"; }
instances=0
start_target() { # I [FLAG...]: every second target leaves by a deregistration alone
  instances=$((instances + 1))
  local leave=("${@:2}"); [ $((instances % 2)) = 0 ] || leave+=(-deregister-first)
  begin "target$1" "$dir/ran-$instances" "$BIN/vtstandin" server -listen "$(ip "$1"):7001" -instance "i-$1-$instances" \
    -service "${SERVICES[$(($1 % 2))]}" -dc "z$(($1 % 3))" -node "$(ip "$1"):7005" -cold "$COLD" \
    -clock "$(((($1 + 1) % 3 - 1) * CLOCK_JUMP))ms" "${leave[@]}"
}
operator() { "$BIN/vtstandin" operator -store "$store" "$@" 2>/dev/null || true; } # the failure of a change is one more fault
config() { # VERSION: write a configuration
  version=$1
  operator -version "$1" -filler "$ROUTES" -acked "$dir/acked" -services "$(IFS=,; echo "${SERVICES[*]}")"
}
change_steadily() { # write a configuration every CHANGE_EVERY seconds until it is ended
  while :; do config $((version + 1)); sleep "$CHANGE_EVERY"; done
}
change() { # VERSION: write a configuration unless change_steadily does
  [ -n "$CHANGE_EVERY" ] || config "$1"
}

revive_targets() { # start the targets anew that a request has crashed
  local i
  for ((i = 0; i < NODES; i++)); do
    kill -0 "${pid_of[target$i]}" 2>/dev/null || start_target "$i"
  done
}

watches() { # I: whether node I watches the store for the others, by its log
  grep -E '"event":"(start|store_role)"' "$dir/node-$1" | tail -1 | grep -q '"active":true'
}
kill_watchers() { # end all nodes that watch the store at once, just before a change, and start them anew after LOSS
  local i killed=()
  for ((i = 0; i < NODES; i++)); do watches "$i" && killed+=("$i"); done
  for i in "${killed[@]}"; do end "node$i" KILL; lost_nodes+=",$(ip "$i"):7002"; done
  change $((version + 1)); sleep "$LOSS"; loss_end=$(date +%s%3N)
  for i in "${killed[@]}"; do wait "${pid_of[node$i]}" 2>/dev/null; start_node "$i"; done
  revive_targets; sleep 1
}
surges=0
turn_away() { # the store turns away the first coordinators, which are killed, while callers ask them for more than the quota
  local i first='' first_services=''
  for i in "${FIRST_COORDINATORS[@]}"; do
    first+=",$(ip "$i"):7002" first_services+=",${SERVICES[$((i % 2))]}"
    control POST "http://$(ip "$i"):7024/refuse"; end "node$i" KILL
  done
  sleep 0.5
  for i in "${FIRST_COORDINATORS[@]}"; do wait "${pid_of[node$i]}" 2>/dev/null; start_node "$i"; done
  surges=$((surges + 1))
  begin surge "$dir/told-surge-$surges" "$BIN/vtstandin" callers -nodes "${first:1}" -node-services "${first_services:1}" -services "$(IFS=,; echo "${SERVICES[*]}")" -rate 10 -prefix "s$seed-surge$surges"
  sleep 6
  end surge; wait "${pid_of[surge]}" 2>/dev/null
  for i in "${FIRST_COORDINATORS[@]}"; do control POST "http://$(ip "$i"):7024/pass"; done
}
kill_beside_cold() { # I: kill the node beside a target that has just started, under a surge of requests to its service
  surges=$((surges + 1))
  end "target$1" KILL; wait "${pid_of[target$1]}" 2>/dev/null; start_target "$1"
  begin surge "$dir/told-surge-$surges" "$BIN/vtstandin" callers -nodes "${nodes:1}" -node-services "${node_services:1}" -services "${SERVICES[$(($1 % 2))]}" -rate "$SURGE_RATE" -prefix "s$seed-surge$surges"
  sleep "0.$((RANDOM % 6 + 3))"
  end "node$1" KILL; wait "${pid_of[node$1]}" 2>/dev/null; start_node "$1"
  sleep 1.2
  end surge; wait "${pid_of[surge]}" 2>/dev/null
}

fault() { # KIND STORE_FAULT: inject a fault with parameters drawn by the seed; heal removes those that do not end by themselves
  local i=$((RANDOM % NODES)) modes=(delay reset silence cut-in cut-out refuse sever) m
  m=${modes[$((RANDOM % ${#modes[@]}))]}
  echo "$(date +%s.%N) fault $1 node $i $m" >>"$dir/faults"
  case $1 in
    hop) control POST "http://$(ip "$i"):7023/$m" ;;
    store) control POST "http://$(ip "$i"):7024/$m" ;;
    store_all) control POST "http://$store_control/" "{\"$2\":true}" ;;
    kill_node) end "node$i" KILL; wait "${pid_of[node$i]}" 2>/dev/null; sleep 0.3; start_node "$i" ;;
    sever_all) # the open connections between all nodes, and to the store, go silent
      for ((i = 0; i < NODES; i++)); do control POST "http://$(ip "$i"):7023/sever"; control POST "http://$(ip "$i"):7024/sever"; done ;;
    go_back) # the store comes back from an older copy, and the operator writes the configuration again
      control POST "http://$store_control/go-back/$((RANDOM % 3000 + 200))"; sleep "0.$((RANDOM % 9 + 1))"; change "$version" ;;
    kill_all)
      for ((i = 0; i < NODES; i++)); do end "node$i" KILL; done
      for ((i = 0; i < NODES; i++)); do wait "${pid_of[node$i]}" 2>/dev/null; start_node "$i"; done ;;
    kill_beside_cold) kill_beside_cold "$i" ;;
    stop_node) end "node$i" TERM; wait "${pid_of[node$i]}" 2>/dev/null; start_node "$i" ;;
    pause_node) end "node$i" STOP; sleep "0.$((RANDOM % 9 + 1))"; end "node$i" CONT ;;
    reload) sed -i "s/repeat_slack: .*, repeat_w/repeat_slack: $((RANDOM % 50 + 30)), repeat_w/" "$dir/settings-$i.yaml"; [ $((RANDOM % 2)) = 0 ] && end "node$i" HUP ;;
    crash_target) end "target$i" KILL; wait "${pid_of[target$i]}" 2>/dev/null; sleep 0.5; start_target "$i" ;;
    leave_target) end "target$i" TERM; wait "${pid_of[target$i]}" 2>/dev/null; start_target "$i" ;;
    leave_young) # a target leaves by a deregistration alone soon after its start
      end "target$i" KILL; wait "${pid_of[target$i]}" 2>/dev/null; start_target "$i" -deregister-first
      sleep "1.$((RANDOM % 5))"; end "target$i"; wait "${pid_of[target$i]}" 2>/dev/null; start_target "$i" ;;
    leave_kill_all) # a target leaves, and all nodes are killed after the acknowledgement, in an outage of the store or not
      [ $((RANDOM % 2)) = 0 ] && control POST "http://$store_control/" "{\"$2\":true}"
      end "target$i"; sleep 0.5
      for ((i = 0; i < NODES; i++)); do end "node$i" KILL; done
      for ((i = 0; i < NODES; i++)); do wait "${pid_of[node$i]}" 2>/dev/null; start_node "$i"; done ;;
    turn_away) turn_away ;;
    config) change $((version + RANDOM % 3 + 1)) ;;
    out) operator -out "z$((RANDOM % 3))" ;;
  esac
}
heal() {
  control POST "http://$store_control/" '{}'
  local i
  for ((i = 0; i < NODES; i++)); do
    control POST "http://$(ip "$i"):7023/pass"
    control POST "http://$(ip "$i"):7024/pass"
  done
  for i in 0 1 2; do operator -back "z$i"; done
}

soak() { # SEED
  seed=$1; RANDOM=$seed; instances=0; version=1; pid_of=()
  dir=$OUT/$seed; rm -rf "$dir"; mkdir -p "$dir"
  store=$(ip 200):7100; store_control=$(ip 200):7101
  begin store "$dir/store" "$BIN/vtstandin" store -listen "$store" -control "$store_control"
  local i nodes='' node_services='' kinds
  read -ra kinds <<<"${KINDS:-hop store store_all sever_all go_back kill_node kill_all kill_beside_cold stop_node pause_node reload crash_target leave_target leave_young leave_kill_all turn_away config out}"
  for ((i = 0; i < NODES; i++)); do
    settings "$i" >"$dir/settings-$i.yaml"
    begin "hop$i" "$dir/proxies" "$BIN/vtstandin" proxy -listen "$(ip "$i"):7013" -to "$(ip "$i"):7003" -control "$(ip "$i"):7023"
    begin "link$i" "$dir/proxies" "$BIN/vtstandin" proxy -listen "$(ip "$i"):7014" -to "$store" -control "$(ip "$i"):7024"
    nodes+=",$(ip "$i"):7002" node_services+=",${SERVICES[$((i % 2))]}"
  done
  sleep 0.3; config 1
  for ((i = 0; i < NODES; i++)); do start_node "$i"; start_target "$i"; done
  sleep 2
  begin callers "$dir/told-0" "$BIN/vtstandin" callers -nodes "${nodes:1}" -node-services "${node_services:1}" -services "$(IFS=,; echo "${SERVICES[*]}")" -rate "$RATE" -prefix "s$seed" -acked "$dir/acked" -poison 1.1s
  [ -z "$CHANGE_EVERY" ] || begin changes "$dir/changes" change_steadily
  local until=$((SECONDS + SECONDS_LOAD)) store_kinds=(down silent mute_watches lose_answers compacted)
  while [ $SECONDS -lt $until ]; do
    fault "${kinds[$((RANDOM % ${#kinds[@]}))]}" "${store_kinds[$((RANDOM % 5))]}"
    [ $((RANDOM % 3)) = 0 ] && heal
    revive_targets
    sleep "0.$((RANDOM % 8 + 1))"
  done
  heal
  change $((version + 1)) # the store may have executed an earlier one without an acknowledgement
  revive_targets; sleep "$SETTLED"
  local loss lost_nodes='' loss_end; loss=$(date +%s%3N)
  kill_watchers
  control POST "http://$store_control/" '{"mute_watches":true}'
  change $((version + 1)); sleep 1
  control POST "http://$store_control/" '{}'
  revive_targets; sleep 3
  local calm; calm=$(date +%s%3N)
  for ((i = 0; i < CALM_CHANGES; i++)); do change $((version + 1)); revive_targets; sleep 1; done
  sleep $((CALM - CALM_CHANGES - SETTLING))
  [ -z "$CHANGE_EVERY" ] || end changes
  sleep "$SETTLING"
  end callers; wait "${pid_of[callers]}" 2>/dev/null
  "$BIN/vtstandin" judge -dir "$dir" -calm "$calm" -loss "$loss" -loss-end "$loss_end" -lost-nodes "${lost_nodes:1}" >"$dir/verdict" 2>&1
  local status=$? name
  for name in "${!pid_of[@]}"; do end "$name" KILL; done
  wait 2>/dev/null
  echo "seed=$seed $(head -1 "$dir/verdict")"
  grep BROKEN "$dir/verdict" | head -5
  return $status
}

failed=0
for s in "$@"; do soak "$s" || { failed=$((failed + 1)); echo "FAILED seed=$s, kept in $OUT/$s"; }; done
echo "soak: $# seeds, $failed failed"
[ $failed = 0 ]

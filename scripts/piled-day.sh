#!/usr/bin/env bash
# Prints a short day for the bench in which many disruptions overlap, drawn by the
# seed. Usage: piled-day.sh SEED [KINDS [EXCLUDED]], where KINDS is the number of
# disruptions and EXCLUDED an extended regular expression of those that the site's
# contracts do not have, such as 'revoke|tenant|quota|idle_race'.
set -euo pipefail
seed=$1 kinds=${2:-12} excluded=${3:-}
RANDOM=$seed
LENGTH_S=12 # traffic of the day; all disruptions begin in its first two thirds

planned=(
  'kind = "revoke", count = 3, gap_s = 0.4, how = "last"'
  'kind = "revoke", count = 2, gap_s = 0.8'
  'kind = "config_change", how = "route"'
  'kind = "config_change", how = "weights"'
  'kind = "config_change", how = "timeout"'
  'kind = "config_change", how = "tenant"'
  'kind = "config_change", how = "quota down"'
  'kind = "config_storm", for_s = 3.0, gap_s = 0.33'
  'kind = "release", share = 0.45, x = 4.0, gap_s = 0.7'
  'kind = "scale_in", share = 0.15'
  'kind = "scale_out", share = 0.25, gap_s = 1.0'
  'kind = "roll_term", share = 0.45, x = 3.0, gap_s = 0.9'
  'kind = "roll_term", how = "busy", gap_s = 1.0'
  'kind = "evacuate", for_s = 4.0, how = "warm"'
  'kind = "evacuate", for_s = 4.0'
  'kind = "replace_with_reuse", share = 0.18, how = "drain"'
)
unplanned=(
  'kind = "replace_with_reuse", share = 0.2, how = "dark"'
  'kind = "replace_with_reuse", share = 0.2'
  'kind = "garble", how = "extra late", share = 0.6, x = 0.05, for_s = 5.0'
  'kind = "garble", how = "early", share = 0.6, x = 0.1, for_s = 5.0'
  'kind = "garble", how = "unframed", share = 0.5, x = 0.1, for_s = 5.0'
  'kind = "garble", how = "extra", share = 0.5, x = 0.05, for_s = 5.0'
  'kind = "answer_lost", how = "reset", share = 0.5, x = 0.1, for_s = 4.0'
  'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 4.0'
  'kind = "reset_conns", share = 0.5, x = 0.5'
  'kind = "reset_conns", how = "silent inner", share = 0.6'
  'kind = "reset_conns", how = "silent store", share = 0.6'
  'kind = "node_kill", share = 0.2, for_s = 1.0, how = "power"'
  'kind = "node_kill", share = 0.3'
  'kind = "herd_kill", share = 0.6'
  'kind = "node_cut", share = 0.25, for_s = 3.0, how = "reset revoke"'
  'kind = "node_cut", share = 0.2, for_s = 3.0'
  'kind = "core_cut", count = 1, for_s = 3.0'
  'kind = "platform_down", how = "nodes busy revoke meet", share = 0.35, for_s = 4.0'
  'kind = "platform_down", how = "reset", for_s = 3.0'
  'kind = "platform_lost", x = 0.4, for_s = 4.0'
  'kind = "platform_slow", x = 60.0, for_s = 4.0'
  'kind = "platform_compact", x = 4.0, for_s = 5.0, how = "drain"'
  'kind = "lossy", x = 0.04, for_s = 4.0'
  'kind = "cold_return", for_s = 2.0, how = "dark"'
  'kind = "idle_race", share = 0.6, x = 200.0, for_s = 5.0'
  'kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 4.0'
  'kind = "give_up", share = 0.3, for_s = 5.0'
  'kind = "burst", x = 2.0, for_s = 4.0'
  'kind = "hot_tenant", count = 1, x = 7.0, for_s = 4.0'
  'kind = "srv_grey", share = 0.2, for_s = 4.0, how = "errors", x = 0.5'
  'kind = "srv_crash", share = 0.2, for_s = 2.0'
  'kind = "srv_flap", share = 0.15, gap_s = 1.0, for_s = 5.0'
  'kind = "node_freeze", share = 0.2, for_s = 2.0'
  'kind = "node_slow", share = 0.2, x = 5.0, for_s = 4.0'
  'kind = "clock_step", x = 3000.0, share = 0.3, for_s = 3.0'
  'kind = "hup", share = 0.3, gap_s = 1.0'
  'kind = "zone_loss", for_s = 2.0'
  'kind = "after_ack_kill", for_s = 1.0'
  'kind = "poison", how = "deadly", class = "@c0", share = 0.01, for_s = 4.0'
)

# entries prints COUNT entries, drawn from the arguments behind it.
entries() { # COUNT ENTRY...
  local count=$1 i tenths; shift
  for ((i = 0; i < count; i++)); do
    tenths=$((RANDOM % (LENGTH_S * 10 * 2 / 3)))
    echo "  { at = $((tenths / 10)).$((tenths % 10)), ${*:$((RANDOM % $# + 1)):1} },"
  done
}

if [ -n "$excluded" ]; then
  mapfile -t planned < <(printf '%s\n' "${planned[@]}" | grep -vE "$excluded")
  mapfile -t unplanned < <(printf '%s\n' "${unplanned[@]}" | grep -vE "$excluded")
fi
echo "name = \"piled-$seed\""
echo "length_s = $LENGTH_S.0"
echo "plan = ["; entries $((kinds / 3)) "${planned[@]}"; echo "]"
echo "faults = ["; entries $((kinds - kinds / 3)) "${unplanned[@]}"; echo "]"

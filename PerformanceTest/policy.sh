#!/usr/bin/env bash
# Runs the policy benchmark for each workload and scenario: first with the baseline
# strategies, then with the default strategies, with the same seed.
# Usage: policy.sh [workload...]   (default: association daugava)
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_LONG=${SECONDS_LONG:-20}
SEED=${SEED:-1}
SCENARIOS=${SCENARIOS:-peak aggressive engine_lost outage}
declare -A ENGINES=(
  [association]="--prefills=4 --decodes=8 --plains=3"
  [daugava]="--prefills=6 --decodes=14 --plains=3"
)
declare -A ENGINE_FLAGS=(
  [association]="--prefill_us_per_token=50 --keep_log=false"
  [daugava]="--prefill_us_per_token=25 --keep_log=false"
)
WORKSPACES_association=ensenada,mazatlan,veracruz,campeche,progreso
WORKSPACES_daugava=riga,liepaja,jelgava,valmiera,cesis
BASELINE='[
 {"kind":"default","name":"queue_strategy","json":{"value":"fifo"}},
 {"kind":"default","name":"choose_strategy","json":{"value":"round_robin"}},
 {"kind":"default","name":"reserve_strategy","json":{"value":"after"}},
 {"kind":"default","name":"admit_strategy","json":{"value":"deadline"}},
 {"kind":"default","name":"share_strategy","json":{"value":"equal"}}]'
EDITS=$(mktemp -d)
trap 'rm -rf "$EDITS"' EXIT
echo "$BASELINE" > "$EDITS/baseline.json"
echo '[]' > "$EDITS/current.json"

for workload in ${@:-association daugava}; do
  build/PerfPolicy --workload="$workload" --print_edits > "$EDITS/items.json"
  names=WORKSPACES_$workload
  for scenario in $SCENARIOS; do
    for name in baseline current; do
      # shellcheck disable=SC2086
      python3 SystemTests/cluster.py --vms=6 ${ENGINES[$workload]} \
        --workspaces="${!names}" --engine_flags="${ENGINE_FLAGS[$workload]}" \
        --plain_flags="--keep_log=false" \
        --edits="$EDITS/items.json,$EDITS/$name.json" \
        --run="build/PerfPolicy --workload=$workload --scenario=$scenario \
          --name=$name --seconds=$SECONDS_LONG --seed=$SEED"
    done
  done
done

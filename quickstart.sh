#!/usr/bin/env bash
# Shows the whole system on loopback addresses: installs packages, builds,
# starts stand-ins and six VMs' processes, and walks through the main calls.
# Everything it starts is stopped at the end, also when a step fails.
set -euo pipefail
cd "$(dirname "$0")"

NETWORK=127.0.77
PLATFORM=$NETWORK.200:7000
PREFILLS=("$NETWORK.201:9001" "$NETWORK.201:9002")
DECODES=("$NETWORK.202:9001" "$NETWORK.202:9002" "$NETWORK.202:9003")
MANAGE=$NETWORK.203:9000
REGISTRY=$NETWORK.204:9000
ZONES=(zone-a zone-b zone-c)
VMS=6
OPERATOR_KEY=$(openssl rand -hex 16)
PERIDOTHOIST_PEER_SECRET=$(openssl rand -hex 16)
export PERIDOTHOIST_PEER_SECRET
LOGS=$(mktemp -d)
PIDS=()

say() { printf '\n== %s\n' "$*"; }

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2> /dev/null || true; done
  PIDS=()
}

on_exit() {
  local code=$?
  stop_all
  if [ "$code" = 0 ]; then
    rm -rf "$LOGS"
  else
    echo "quickstart failed; logs are in $LOGS" >&2
  fi
}
trap on_exit EXIT

# start NAME COMMAND...: starts a process and remembers its pid.
start() {
  local name=$1
  shift
  "$@" > "$LOGS/$name.out" 2> "$LOGS/$name.log" &
  PIDS+=("$!")
}

# wait_for URL: waits until it answers with success.
wait_for() {
  local n
  for n in $(seq 150); do
    curl -fs -o /dev/null --max-time 1 "$1" && return
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

entry_of() { echo "$NETWORK.$1:8080"; }
admin_of() { echo "$NETWORK.$1:7003"; }

start_vm() {
  local n=$1 zone=${ZONES[$((($1 - 1) % 3))]} controls k digest
  controls=$NETWORK.$n:7002
  for k in $(seq $VMS); do
    [ "$k" = "$n" ] || controls+=,$NETWORK.$k:7002
  done
  digest=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
  start "control-vm$n" build/peridothoist-control --vm="vm$n" --zone="$zone" \
    --admin_listen="$(admin_of "$n")" --peer_listen="$NETWORK.$n:7002" \
    --entry_address="$(entry_of "$n")" --entry_peer="$NETWORK.$n:7001" \
    --platform="http://$PLATFORM" --operator_keys="quickstart=$digest"
  start "entry-vm$n" build/peridothoist-entry --vm="vm$n" --zone="$zone" \
    --listen="$(entry_of "$n")" --peer_listen="$NETWORK.$n:7001" \
    --control="$controls" --platform="http://$PLATFORM" --entries_max_age=1
}

# The platform's list of VMs, as the platform itself would keep it.
list_vms() {
  local n rows=()
  for n in $(seq $VMS); do
    rows+=("{\"vm\":\"vm$n\",\"zone\":\"${ZONES[$(((n - 1) % 3))]}\",\"state\":\"live\",\"entry_address\":\"$(entry_of "$n")\",\"entry_peer\":\"$NETWORK.$n:7001\",\"control_peer\":\"$NETWORK.$n:7002\"}")
  done
  local IFS=,
  curl -fs -o /dev/null -X PUT "http://$PLATFORM/vms" -d "{\"vms\":[${rows[*]}]}"
}

ctl() {
  PERIDOTHOIST_OPERATOR_KEY=$OPERATOR_KEY \
    PERIDOTHOIST_CONTROL="http://$(admin_of 1),http://$(admin_of 2)" \
    build/peridothoistctl "$@"
}

say "packages and build"
bash .ci/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release

say "stand-ins for the platform, five engines and a registry"
start platform build/standin-platform --listen="$PLATFORM"
engines=()
for it in "${PREFILLS[@]}"; do engines+=("prefill:$it"); done
for it in "${DECODES[@]}"; do engines+=("decode:$it"); done
start engines build/standin-engine --manage="$MANAGE" \
  --engines="$(IFS=,; echo "${engines[*]}")"
start registry build/standin-plain --listen="$REGISTRY"
wait_for "http://$PLATFORM/stats"
list_vms

say "six VMs in three zones"
for n in $(seq $VMS); do start_vm "$n"; done
for n in $(seq $VMS); do wait_for "http://$(admin_of "$n")/readyz"; done

say "pools, upstreams, routes, a workspace and its key"

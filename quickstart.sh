#!/usr/bin/env bash
# Demonstrates the complete system on loopback addresses: installs packages, builds,
# starts stand-ins and the processes of six VMs, and makes the main calls. All
# processes that it started are stopped at the end, also when a step fails.
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

# start NAME COMMAND...: starts a process in the background and records its pid.
start() {
  local name=$1
  shift
  "$@" > "$LOGS/$name.out" 2> "$LOGS/$name.log" &
  PIDS+=("$!")
}

# wait_for URL: waits until the URL returns a success status.
wait_for() {
  local n
  for n in $(seq 150); do
    curl -fs -o /dev/null --max-time 1 "$1" && return
    sleep 0.1
  done
  echo "no success status from $1" >&2
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

# Sets the list of VMs in the platform stand-in. A real platform maintains it itself.
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

say "install packages and build"
bash .ci/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release

say "start stand-ins for the platform, five engines and a registry"
start platform build/standin-platform --listen="$PLATFORM"
engines=()
for it in "${PREFILLS[@]}"; do engines+=("prefill:$it"); done
for it in "${DECODES[@]}"; do engines+=("decode:$it"); done
start engines build/standin-engine --manage="$MANAGE" \
  --engines="$(IFS=,; echo "${engines[*]}")"
start registry build/standin-plain --listen="$REGISTRY"
wait_for "http://$PLATFORM/stats"
list_vms

say "start six VMs in three zones"
for n in $(seq $VMS); do start_vm "$n"; done
for n in $(seq $VMS); do wait_for "http://$(admin_of "$n")/readyz"; done

say "configure pools, upstreams, routes, a workspace and its key"
items() {
  local n=0 it
  echo '{"items":['
  echo '{"kind":"pool","name":"prefill","json":{"role":"prefill","model":"m1"}},'
  echo '{"kind":"pool","name":"decode","json":{"role":"decode","model":"m1"}},'
  echo '{"kind":"pool","name":"registry","json":{"role":"plain"}},'
  for it in "${PREFILLS[@]}"; do
    n=$((n + 1))
    echo "{\"kind\":\"upstream\",\"name\":\"pre$n\",\"json\":{\"pool\":\"prefill\",\"address\":\"$it\",\"zone\":\"${ZONES[$((n % 3))]}\"}},"
  done
  n=0
  for it in "${DECODES[@]}"; do
    n=$((n + 1))
    echo "{\"kind\":\"upstream\",\"name\":\"dec$n\",\"json\":{\"pool\":\"decode\",\"address\":\"$it\",\"zone\":\"${ZONES[$((n % 3))]}\",\"memory_pieces\":20,\"piece_tokens\":4096}},"
  done
  echo "{\"kind\":\"upstream\",\"name\":\"registry1\",\"json\":{\"pool\":\"registry\",\"address\":\"$REGISTRY\",\"zone\":\"zone-a\"}},"
  echo '{"kind":"route","name":"chat","json":{"path":"/v1/chat/completions","class":"draft","prefill_pool":"prefill","decode_pool":"decode"}},'
  echo '{"kind":"route","name":"certificates","json":{"path":"/certificates","class":"non_idempotent","idempotent":false,"plain_pool":"registry"}},'
  echo '{"kind":"route","name":"lookups","json":{"path":"/lookups","class":"lookup","plain_pool":"registry"}}'
  echo ']}'
}
items > "$LOGS/items.json"
ctl apply "$LOGS/items.json" --yes --wait
ctl workspaces create rafts rate_tokens_per_second=100000 \
  burst_tokens=200000 'pools=["prefill","decode","registry"]' --wait
ctl keys create rafts --output=json > "$LOGS/key.json"
KEY=$(python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])' < "$LOGS/key.json")
AUTH=(-H "Authorization: Bearer $KEY")
for n in $(seq $VMS); do wait_for "http://$(entry_of "$n")/readyz"; done

# call VM METHOD PATH BODY [CURL OPTIONS]: makes one call with the workspace's key.
call() {
  local n=$1 method=$2 path=$3 body=$4
  shift 4
  curl -sS --max-time 20 -X "$method" "http://$(entry_of "$n")$path" \
    "${AUTH[@]}" -H 'Content-Type: application/json' -d "$body" "$@"
}

# Waits until the new key is in force on all VMs, which takes up to three seconds.
for n in $(seq $VMS); do
  for k in $(seq 30); do
    curl -fs -o /dev/null "${AUTH[@]}" "http://$(entry_of "$n")/v1/entries" && break
    sleep 0.1
  done
done

say "ask which entries this caller should use"
curl -fsS "${AUTH[@]}" "http://$(entry_of 1)/v1/entries"
echo

say "request a streamed chat completion"
call 2 POST /v1/chat/completions \
  '{"model":"m1","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Summarise the service history of raft 4711."}]}' \
  -N | tee "$LOGS/stream.txt"
grep -q '^data: \[DONE\]' "$LOGS/stream.txt"

say "request a certificate on two VMs with the same Idempotency-Key"
call 3 POST /certificates '{"raft":"4711"}' -H 'Idempotency-Key: cert-4711' \
  > "$LOGS/first.json"
call 5 POST /certificates '{"raft":"4711"}' -H 'Idempotency-Key: cert-4711' \
  > "$LOGS/second.json"
cat "$LOGS/first.json"
echo
cmp "$LOGS/first.json" "$LOGS/second.json"
curl -fsS "http://$REGISTRY/ran" > "$LOGS/ran.json"
echo "requests that the registry ran: $(cat "$LOGS/ran.json")"
python3 - "$LOGS/ran.json" <<'PYTHON'
import json, sys
ran = json.load(open(sys.argv[1]))
counts = [count for key, count in ran.items() if "cert-4711" in key]
assert counts == [1], f"the certificate request ran {counts} times, not once"
PYTHON

say "request a lookup"
call 6 POST /lookups '{"raft":"4711"}'
echo

say "withdraw the key and check that all VMs reject it"
ctl keys withdraw "${KEY%%.*}"
sleep 3
for n in $(seq $VMS); do
  status=$(call "$n" POST /lookups '{"raft":"4711"}' -o /dev/null -w '%{http_code}')
  echo "vm$n: $status"
  [ "$status" = 401 ]
done

say "drain and stop all processes"
for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2> /dev/null || true; done
stop_all
echo "quickstart passed"

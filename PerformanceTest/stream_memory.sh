#!/usr/bin/env bash
# Measures the resident memory of the entry per open stream.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
python3 SystemTests/cluster.py --vms=3 --prefills=2 --decodes=2 \
  --engine_flags="--keep_log=false --memory_pieces=4000 --max_batch=4000 \
    --token_ms=1000 --batch_slope=0 --prefill_us_per_token=1" \
  --run="build/PerfStreamMemory --streams=${STREAMS:-5000}"

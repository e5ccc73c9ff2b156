#!/usr/bin/env bash
# Measures the latency that the entry adds to a call, and its processor time for
# streams.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 SystemTests/cluster.py --vms=3 --prefills=1 --decodes=1 \
  --plain_flags="--keep_log=false --run_ms=1" \
  --run="build/PerfEntryOverhead"
python3 SystemTests/cluster.py --vms=3 --prefills=2 --decodes=4 \
  --engine_flags="--keep_log=false --memory_pieces=200 --max_batch=200 \
    --token_ms=5 --batch_slope=0 --prefill_us_per_token=1" \
  --run="build/PerfStreamCost"

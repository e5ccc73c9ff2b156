#!/usr/bin/env bash
# Builds everything and runs every test. Tests named in KNOWN-RED.txt run too;
# their failures are printed and don't fail the run.
set -euo pipefail
cd "$(dirname "$0")"
bash .ci/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -n "$red" ]; then
  echo "known red, run apart (KNOWN-RED.txt):"
  (cd build && ctest -R "^($red)\$" --output-on-failure) || true
  (cd build && ctest -j 8 -E "^($red)\$" --output-on-failure)
else
  (cd build && ctest -j 8 --output-on-failure)
fi

#!/usr/bin/env bash
# Builds the project and runs all tests. The tests listed in KNOWN-RED.txt also run;
# their failures are printed but do not fail the run.
set -euo pipefail
cd "$(dirname "$0")"
bash .ci/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release
known_failing=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -n "$known_failing" ]; then
  echo "known failing tests of KNOWN-RED.txt, run separately:"
  (cd build && ctest -R "^($known_failing)\$" --output-on-failure) || true
  (cd build && ctest -j 8 -E "^($known_failing)\$" --output-on-failure)
else
  (cd build && ctest -j 8 --output-on-failure)
fi

#!/usr/bin/env bash
# The scripts' stand-ins are Python programs: nothing is to be compiled. Checks that
# they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import rig'

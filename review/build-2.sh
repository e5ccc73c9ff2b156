#!/bin/sh
# Builds the stand-ins that the scripts of this review start. All of them are Python
# programs without dependencies (review/rig_2.py, platform/tests/users_platform and
# SystemTests/harness), so there is nothing to compile: this shows that they load.
cd "$(dirname "$0")" || exit 1
python3 -B -c 'import rig_2; print("stand-ins load:", rig_2.run_command()[0])'

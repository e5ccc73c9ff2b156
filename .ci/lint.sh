#!/usr/bin/env bash
# Checks the format and runs the linter over every source file of ours.
# Needs a configured build in ./build for its compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '^Proto/Generated/')
printf '%s\0' "${files[@]}" | xargs -0 -n 20 -P "$(nproc)" \
  clang-format --dry-run --Werror
mapfile -t sources < <(git ls-files '*.cpp' | grep -v '^UnitTests/')
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" \
  clang-tidy --quiet -p build
echo "format and lint: ${#files[@]} files clean"

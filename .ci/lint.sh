#!/usr/bin/env bash
# Checks the format and runs the linter over every source file of ours.
# Needs a build in ./build, for its compile commands and the headers of each file.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '^Proto/Generated/')
printf '%s\0' "${files[@]}" | xargs -0 -n 20 -P "$(nproc)" \
  clang-format --dry-run --Werror
cache="${XDG_CACHE_HOME:-$HOME/.cache}/peridothoist-lint"
mkdir -p "$cache"
mapfile -t sources < <(git ls-files '*.cpp' | grep -v '^UnitTests/')
mapfile -t inputs < <(printf '%s\n' "${sources[@]}" | python3 .ci/lint_inputs.py)
[ "${#inputs[@]}" = "${#sources[@]}" ]
printf '%s\n' "${inputs[@]}" | xargs -n 2 -P "$(nproc)" \
  .ci/lint_file.sh "$cache"
echo "format and lint: ${#files[@]} files clean"

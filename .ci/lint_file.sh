#!/usr/bin/env bash
# Runs the linter over a file, unless it passed before with the same inputs.
# Usage: lint_file.sh CACHE DIGEST FILE
set -euo pipefail
passed="$1/$2"
[ "$2" != - ] && [ -e "$passed" ] && exit 0
clang-tidy --quiet -p build "$3"
[ "$2" = - ] || touch "$passed"

#!/usr/bin/env bash
# Installs the packages that the build and the tests need (packages.txt).
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r package; do
  dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null |
    grep -qx installed || missing+=("$package")
done < packages.txt
[ "${#missing[@]}" = 0 ] && exit 0
run=()
[ "$(id -u)" = 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" > /dev/null

#!/usr/bin/env bash
# Regenerates Proto/Generated from peer.proto; run after every change to it.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p Generated
protoc --cpp_out=Generated --grpc_out=Generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto

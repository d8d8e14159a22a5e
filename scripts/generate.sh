#!/usr/bin/env bash
# Regenerates the committed code of the messages between entry instances. Requires the package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=src/peer --cpp_out=src/peer src/peer/peer.proto

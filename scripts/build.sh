#!/usr/bin/env bash
# Configures and builds everything in build/. Prints only errors.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S . -B build -G Ninja "${launcher[@]}" >build.log 2>&1 || { cat build.log; exit 1; }
cmake --build build >>build.log 2>&1 || { grep -E 'error|FAILED' build.log | head -40; exit 1; }
rm -f build.log

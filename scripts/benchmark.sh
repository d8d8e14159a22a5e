#!/usr/bin/env bash
# Builds everything and runs one benchmark: benchmark.sh detection|load|path|fleet|capacity|quarantine [OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
detection | load | path | fleet | capacity | quarantine) ;;
*)
    echo "usage: $0 detection|load|path|fleet|capacity|quarantine [OPTION...]" >&2
    exit 2
    ;;
esac
scripts/install.sh
scripts/build.sh
exec "build/benchmark/$1_benchmark" "${@:2}"

#!/usr/bin/env bash
# Checks format and names: lint.sh format|tidy
set -euo pipefail
cd "$(dirname "$0")/.."
own() { git ls-files --cached --others --exclude-standard "$@" | grep -v '\.pb\.'; }
case "${1:-}" in
format)
    own '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
    ;;
tidy)
    own '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>&1 | grep -vE 'warnings generated|^Suppressed|^Use -header' || true
    exit "${PIPESTATUS[1]}"
    ;;
*)
    echo "usage: $0 format|tidy" >&2
    exit 2
    ;;
esac

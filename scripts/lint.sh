#!/usr/bin/env bash
# Checks the code, except the generated code, with clang-format or clang-tidy: lint.sh format|tidy. clang-tidy needs a
# configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
own() { git ls-files --cached --others --exclude-standard "$@" | grep -v '\.pb\.'; }
case "${1:-}" in
format)
    own '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
    ;;
tidy)
    status=0
    own '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet >build/tidy.log 2>&1 || status=$?
    grep -E 'error:' build/tidy.log || true
    exit "$status"
    ;;
*)
    echo "usage: $0 format|tidy" >&2
    exit 2
    ;;
esac

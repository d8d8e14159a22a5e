#!/usr/bin/env bash
# Builds the program of each case that has one, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -pthread "$source" review/standin/scene.cpp tests/support/net.cpp -o "target/review/case-$case"
done

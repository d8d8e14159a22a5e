#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -pthread -Wall -Wextra)
for name in review/standin-2/scene.cpp tests/support/net.cpp; do
    g++ "${flags[@]}" -c "$name" -o "target/review-2/$(basename "$name" .cpp).o"
done
for case in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    g++ "${flags[@]}" "$case" target/review-2/scene.o target/review-2/net.o -o "target/review-2/case-$number" -lxxhash
done

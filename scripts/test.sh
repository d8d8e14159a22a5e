#!/usr/bin/env bash
# Installs the required packages, builds, and runs all tests and checks. The last line is "N passed, N failed". The tests and
# checks that KNOWN-RED.txt lists may fail: such a failure is printed as red and not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || { echo "0 passed, 1 failed"; exit 1; }
scripts/build.sh || { echo "0 passed, 1 failed"; exit 1; }

passed=0
failed=0
note() {
    if [ "$2" -eq 0 ]; then
        passed=$((passed + 1))
        echo "ok   $1"
    elif grep -q "^test: $1\$" KNOWN-RED.txt; then
        echo "red  $1 (known, see KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
        echo "FAIL $1"
    fi
}

# Process tests have time limits and start several processes each, so at most half as many tests as cores run at once.
jobs=$(($(nproc) / 2))
ctest --test-dir build --output-on-failure --output-junit junit.xml -j "$((jobs > 0 ? jobs : 1))" >build/ctest.log 2>&1
ctest_status=$?
[ "$ctest_status" -eq 0 ] || cat build/ctest.log
while read -r name; do
    grep -qE "Test +#[0-9]+: $name \.+ +Passed" build/ctest.log
    note "$name" $?
done < <(ctest --test-dir build -N | sed -n 's/^ *Test *#[0-9]*: //p')

scripts/lint.sh format
note clang-format $?
scripts/lint.sh tidy
note clang-tidy $?
grep -v '^#' KNOWN-RED.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

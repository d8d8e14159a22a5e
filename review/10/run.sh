#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x target/cornelwind ] || exit 2
timeout -k 1 110 "$program" target/cornelwind "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

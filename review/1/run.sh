#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case1
[ -x "$program" ] && [ -x target/node/daemon/jaystaird ] || exit 2
timeout -k 2 116 "$program" "${TROUBLE:-1}" review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the trouble out. Needs the build of deploy/system.toml and
# review/build-2.sh. What it does and checks: case.cpp.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yw-gateway ] && [ -x target/review-2/case-7 ] || exit 2
timeout -k 5 110 target/review-2/case-7 review/7/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

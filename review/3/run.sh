#!/usr/bin/env bash
# Plays the case. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/anvilwick-gateway ] && [ -x target/review/rig ] || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
exec target/review/rig -record review/3/record.txt crash

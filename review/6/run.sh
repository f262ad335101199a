#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/target/review-2/review2
if [ ! -x "$bin" ] || [ ! -x "$root/target/anvilwick-gateway" ]; then
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
fi
exec "$bin" taken "$root" "$here/record.txt"

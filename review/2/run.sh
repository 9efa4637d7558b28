#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in "$root/target/filbertflow" "$root/review/build/stand"; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
		exit 2
	fi
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec "$root/review/build/stand" -case two-hosts -root "$root" -record "$here/record.txt" -trouble=$trouble

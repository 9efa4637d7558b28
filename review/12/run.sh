#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/filbertflow ] && [ -x target/standins-3 ] || { echo "run the build of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM
target/standins-3 late-listing target/filbertflow "$folder" review/12/record.txt &
pid=$!
wait "$pid"

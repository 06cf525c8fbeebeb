#!/usr/bin/env bash
# Runs the fault soak for about half an hour: scripts/soak_long.sh FIRST. Uses
# 56 seeds from FIRST on: most of the usual size, some with more shards, daemons
# and workers, and the last ones with a few hundred processes at a time.
# JAYDRIFT_SOAK_JOBS runs that many of the first 54 seeds at a time.
set -uo pipefail
cd "$(dirname "$0")/.."
first="${1:?first seed}"
status=0
# next COUNT [FLAGS]: runs that many seeds.
next() {
  local count="$1"
  shift
  scripts/soak.sh "$first" "$((first + count - 1))" "$@" || status=1
  first=$((first + count))
}
next 34
next 6 --length 30000
next 6 --shards 2 --workers 16
next 4 --daemons 3 --workers 4
next 4 --daemons 30 --workers 60
JAYDRIFT_SOAK_JOBS=2 next 2 --daemons 100 --workers 200 --shards 4
exit "$status"

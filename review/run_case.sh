#!/usr/bin/env bash
# run_case.sh FOLDER PROGRAM: runs a case of the review. The record goes into
# FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
set -uo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(cd "$1" && pwd)"
program="$root/target/review/$2"
if [ ! -x "$program" ] || [ ! -x "$root/target/jaydrift-scheduler" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
RECORD="$folder/record.txt" ROOT="$root" timeout 115 "$program" "$scratch"
status=$?
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac

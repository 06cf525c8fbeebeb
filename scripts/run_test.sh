#!/usr/bin/env bash
# Runs a test program: scripts/run_test.sh PROGRAM. Cases that KNOWN-RED.txt
# lists, as "NAME_test SUITE.CASE" at the start of an entry, run one by one; a
# failed check in one of them is printed and passed over. Any other failure, a
# listed case that crashes and one that does not exist fail the run.
set -uo pipefail
program="${1:?test program}"
name="$(basename "$program")"
list="${JAYDRIFT_KNOWN_RED:-$(dirname "$0")/../KNOWN-RED.txt}"
mapfile -t cases \
  < <(grep -oE "^$name [A-Za-z0-9_]+\.[A-Za-z0-9_]+\$" "$list" | cut -d ' ' -f 2)
status=0
for case in "${cases[@]}"; do
  code=0
  output="$("$program" --gtest_filter="$case" 2>&1)" || code=$?
  if ! grep -qF "[ RUN      ] $case" <<< "$output"; then
    echo "KNOWN-RED $name $case: no such case"
    status=1
  elif [ "$code" = 0 ]; then
    echo "KNOWN-RED $name $case: PASSES, take it off the list"
  elif [ "$code" = 1 ] && grep -q '^\[  FAILED  \]' <<< "$output"; then
    messages="$(sed '1,/^\[ RUN /d; /^\[  FAILED  \]/,$d' <<< "$output")"
    echo "KNOWN-RED $name $case: $(tr -s ' \n' ' ' <<< "$messages" | cut -c 1-600)"
  else
    printf '%s\n' "$output"
    echo "KNOWN-RED $name $case: ended with status $code"
    status=1
  fi
done
excluded="$(IFS=:; echo "${cases[*]}")"
"$program" ${excluded:+--gtest_filter="-$excluded"} || status=1
exit "$status"

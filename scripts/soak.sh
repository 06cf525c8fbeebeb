#!/usr/bin/env bash
# Runs the fault soak with a range of seeds: scripts/soak.sh FIRST LAST [FLAGS].
# Prints each seed that broke a promise and keeps the logs of its daemons.
# JAYDRIFT_SOAK_JOBS runs that many seeds at a time.
set -uo pipefail
cd "$(dirname "$0")/.."
build="${JAYDRIFT_BUILD_DIR:-build}"
first="${1:?first seed}" last="${2:?last seed}"
shift 2
folder="$(mktemp -d)"
one() {
  local seed="$1"
  shift
  if "$@" --seed "$seed" --folder "$folder/$seed" > "$folder/$seed.txt" 2>&1; then
    tail -n 1 "$folder/$seed.txt"
    rm -rf "${folder:?}/$seed"
  else
    grep -E 'VIOLATION|^jaydrift-soak' "$folder/$seed.txt"
    echo "seed $seed FAILED, see $folder/$seed.txt and $folder/$seed"
    return 1
  fi
}
export -f one
export folder
seq "$first" "$last" | xargs -P "${JAYDRIFT_SOAK_JOBS:-4}" -I SEED \
  bash -c 'one "$@"' soak SEED "$build/jaydrift-soak" \
  --program "$build/jaydrift-scheduler" "$@"

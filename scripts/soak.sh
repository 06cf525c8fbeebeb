#!/usr/bin/env bash
# Runs the fault soak with a range of seeds: scripts/soak.sh FIRST LAST [FLAGS],
# or with those of scripts/soak_seeds.txt: scripts/soak.sh known [FLAGS].
# Prints each seed that broke a promise and keeps the logs of its daemons.
# JAYDRIFT_SOAK_JOBS runs that many seeds at a time.
set -uo pipefail
cd "$(dirname "$0")/.."
build="${JAYDRIFT_BUILD_DIR:-build}"
if [ "${1:?first seed or known}" = known ]; then
  shift
  seeds() { sed 's/ *#.*//' scripts/soak_seeds.txt | grep .; }
else
  first="$1" last="${2:?last seed}"
  shift 2
  seeds() { seq "$first" "$last"; }
fi
folder="$(mktemp -d)"
one() {
  local words
  read -r -a words <<< "$1"
  local seed="${words[0]}"
  shift
  set -- "$@" "${words[@]:1}"
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
seeds | xargs -P "${JAYDRIFT_SOAK_JOBS:-4}" -I SEED \
  bash -c 'one "$@"' soak "SEED" "$build/jaydrift-soak" \
  --program "$build/jaydrift-scheduler" "$@"

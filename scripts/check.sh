#!/usr/bin/env bash
# Checks the format, the list of metrics and the lint.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
build="${JAYDRIFT_BUILD_DIR:-build}"
# clang-tidy ignores a configuration that it cannot read, so check it first.
if clang-tidy-14 --dump-config src/jaydrift/core/hash.cpp 2>&1 \
  | grep -q 'error:'; then
  echo "lint: .clang-tidy cannot be read" >&2
  exit 1
fi
git ls-files -co --exclude-standard '*.hpp' '*.cpp' \
  | xargs clang-format-14 --dry-run --Werror
echo "format: clean"
# Each metric of the scheduler must be documented.
grep -ohE 'ctx\.(observe|count|gauge)\("[a-z0-9_]+"' src/jaydrift/schedule/*.cpp \
  | grep -oE '[a-z0-9_]+"$' | tr -d '"' | sort -u | while read -r name; do
  grep -q "\`$name\`" docs/metrics.md || { echo "metrics: $name is not in docs/metrics.md" >&2; exit 1; }
done
echo "metrics: documented"
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'programs/*.cpp' 'bench/*.cpp' 'examples/*.cpp' \
  | grep -v '_test\.cpp$' \
  | xargs -r -P "$(nproc)" -n 2 clang-tidy-14 --quiet -p "$build"
echo "lint: clean"

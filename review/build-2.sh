#!/usr/bin/env bash
# Checks the stand-ins of the second review. They are Python scripts, so there
# is nothing to compile; they need Python 3.11 and no package.
set -euo pipefail
cd "$(dirname "$0")"
python="$(./standin-2/python.sh)"
for file in standin-2/*.py [0-9]*/case.py; do
  "$python" -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x ../target/jaydrift-scheduler ] || {
  echo "target/jaydrift-scheduler is missing: run the command build of deploy/system.toml first" >&2
  exit 1
}

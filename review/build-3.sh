#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: Python, standard library
# only. Checks the interpreter and that every file compiles; writes nothing
# into the repository.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin-3/*.py 1[1-5]/case.py << 'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed (tomllib)")
import asyncio, tomllib  # noqa: E401, F401

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
CHECK

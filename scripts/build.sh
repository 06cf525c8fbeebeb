#!/usr/bin/env bash
# Builds everything into build/ (or $JAYDRIFT_BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${JAYDRIFT_BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache > /dev/null
cmake --build "$build" -j "${JAYDRIFT_JOBS:-$(nproc)}"

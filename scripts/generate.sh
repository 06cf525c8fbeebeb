#!/usr/bin/env bash
# Regenerates the committed code of the Cap'n Proto schema.
set -euo pipefail
cd "$(dirname "$0")/../schema"
capnp compile -oc++ jaydrift.capnp

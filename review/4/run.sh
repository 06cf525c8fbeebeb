#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" case_fleet

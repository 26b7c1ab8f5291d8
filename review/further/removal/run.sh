#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# TROUBLE=0 runs the script without its disruption, which must pass; the default is 1. ZONES=3 has three zones.
TROUBLE=${TROUBLE:-1}
[[ $TROUBLE == [01] ]] || { echo "TROUBLE is 0 or 1" >&2; exit 2; }
export TROUBLE
exec "$(dirname "$0")/../../run-case.sh" further/removal

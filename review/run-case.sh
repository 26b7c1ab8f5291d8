#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Runs the case in folder $1 of review/, with its settings and logs in a temporary folder. Exits with the case's
# status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/review/$(basename "$1")
for needed in target/platform/HostServer "$program"; do
    if [[ ! -x $needed ]]; then
        echo "$needed is missing; build it first" >&2
        exit 2
    fi
done
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export WORK RECORD="review/$1/record.txt"
timeout --signal=KILL 115 "$program"
status=$?
((status <= 2)) || status=2
exit "$status"

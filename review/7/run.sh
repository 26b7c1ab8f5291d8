#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Plays the case; see claim.txt. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption, which must pass; the default is 1.
set -uo pipefail
TROUBLE=${TROUBLE:-1}
[[ $TROUBLE == [01] ]] || { echo "TROUBLE is 0 or 1" >&2; exit 2; }
export TROUBLE # the program reads it and writes it into the first line of record.txt
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=Build/review-2/case-$(basename "$folder")
[[ -x $program && -x target/platform/HostServer ]] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec "$program" "$folder/record.txt"

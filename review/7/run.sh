#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Plays the case; see claim.txt. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=Build/review-2/case-$(basename "$folder")
[[ -x $program && -x target/platform/HostServer ]] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec "$program" "$folder/record.txt"

#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Runs the fault soak on many seeds, a few in parallel, and prints the result line of each seed and every violation.
# Arguments: BUILD_DIRECTORY RUN_DIRECTORY [--seeds N] [--first N] [--jobs N] [-- FLAGS OF Build/Tests/soak]
# Also runs the seeds that failed in the past (Tests/Soak/Seeds.txt). Without --first, the seeds are new in each run.
set -euo pipefail
cd "$(dirname "$0")/.."
build_directory=$1
run_directory=$2/soak
shift 2
seeds=10
first=$(($(date +%s) % 1000000000))
jobs=4
while (($# > 0)); do
    case $1 in
    --seeds) seeds=$2 ;;
    --first) first=$2 ;;
    --jobs) jobs=$2 ;;
    --)
        shift
        break
        ;;
    *)
        echo "soak: $1 is unknown; see the head of Meta/soak.sh" >&2
        exit 2
        ;;
    esac
    shift 2
done
rm -rf "$run_directory"
mkdir -p "$run_directory"
kept_seeds=$(sed -nE 's/^([0-9]+) .*/\1/p' Tests/Soak/Seeds.txt)

# run_seed SEED [FLAGS OF THE PROGRAM]
run_seed() {
    "$build_directory/Tests/soak" --program "$build_directory/platform/HostServer" --directory "$run_directory" \
        --seeds "$1" "${@:2}" >"$run_directory/$1.txt" 2>&1 || echo "$1" >>"$run_directory/failed"
}
export -f run_seed
export build_directory run_directory

# Seeds from Seeds.txt are run with the default flags, with which they failed.
xargs -P "$jobs" -I{} bash -c 'run_seed {}' <<<"$kept_seeds"
seq "$first" $((first + seeds - 1)) | { grep -vxF "$kept_seeds" || true; } | xargs -r -P "$jobs" -I{} bash -c 'run_seed {} "$@"' run_seed "$@"
grep -hE '^seed [0-9]+: (answers|ends)|VIOLATION' "$run_directory"/*.txt || echo "soak: no seed came to its end"
if [[ -s $run_directory/failed ]]; then
    echo "soak: $(wc -l <"$run_directory/failed") seeds failed: $(tr '\n' ' ' <"$run_directory/failed"); logs in $run_directory"
    exit 1
fi
echo "soak: all seeds kept the promises"

#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Runs the benchmarks. Arguments: BUILD_DIRECTORY RUN_DIRECTORY [--quick | capacity | hosts | overload [FILE]]
set -euo pipefail
build_directory=$1
run_directory=$2
shift 2
if [[ ${1:-} == capacity ]]; then
    exec Meta/capacity.sh "$build_directory" "$run_directory"
fi
if [[ ${1:-} == hosts ]]; then
    exec "$build_directory/Utilities/hostbench"
fi
if [[ ${1:-} == overload ]]; then
    output=$run_directory/overload
    mkdir -p "$output"
    "$build_directory/Utilities/overloadbench" --experiment="${2:-Base/overload.yaml}" --output="$output"
    blocks=$(grep -c '^"' "$output/plot.dat")
    for measure in 2:in-time 3:refused; do
        gnuplot -e "set terminal png noenhanced size 1100,640; set output '$output/${measure#*:}.png'; set yrange [0:1];
            set title 'share ${measure#*:}'; set xlabel 'load, in parts of what the engines bear'; set key outside;
            plot for [i=0:$((blocks - 1))] '$output/plot.dat' index i using 1:${measure%%:*} with linespoints title columnheader(1)"
    done
    echo "wrote $output/cells.jsonl, table.md and plots"
    exit
fi
output=$run_directory/bench
mkdir -p "$output"
"$build_directory/Utilities/policybench" --output="$output" "$@"
# One plot per measure: policies by load, for the plain workload shapes.
for measure in 5:stall-p95-ms 9:gap-p99-ms 11:preemptions-per-1000; do
    column=$((${measure%%:*} + 1))
    for shape in toll hanak; do
        data=$output/$shape-${measure#*:}.dat
        awk -F'|' -v shape=" $shape " -v column="$column" '$2 == shape && ($4 ~ /forecast|clairvoyant|prompt_only|two_choices/) {
            gsub(/ /, ""); print $4, $3, $column }' "$output/table.md" | sort -s -k1,1 |
            awk '$1 != last { if (NR > 1) print "\n"; print "\"" $1 "\""; last = $1 } { print $2, $3 }' >"$data"
        gnuplot -e "set terminal png noenhanced size 900,540; set output '$output/$shape-${measure#*:}.png'; set logscale y;
            set title '$shape: ${measure#*:}'; set xlabel 'load, as a share of capacity'; set key left top;
            plot for [i=0:3] '$data' index i using 1:2 with linespoints title columnheader(1)" 2>/dev/null || true
    done
done
echo "wrote $output/cells.jsonl, table.md and plots"

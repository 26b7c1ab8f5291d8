#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Measures the cost slopes for docs/CAPACITY.md, both within one process and of entire processes on loopback.
# Arguments: BUILD_DIRECTORY RUN_DIRECTORY
set -euo pipefail
build_directory=$1
run_directory=$2/capacity
seconds=${LILAC_CAPACITY_SECONDS:-10}
# shellcheck source=Meta/Fleet.sh
source Meta/Fleet.sh
trap fleet_stop_all EXIT
trap "exit 1" INT TERM
rm -rf "$run_directory"
mkdir -p "$run_directory"
ticks_per_second=$(getconf CLK_TCK)

processor_ticks() { awk '{ print $14 + $15 }' "/proc/${fleet_pids[$1]}/stat"; }
resident_kilobytes() { awk '/VmRSS/ { print $2 }' "/proc/${fleet_pids[$1]}/status"; }
# metric STATUS_PORT NAME
metric() { curl -sf "http://127.0.0.1:$1/metrics" | awk -v name="$2" '$1 == name { print $2; found = 1 } END { if (!found) print 0 }'; }

# measure_idle_domain COUNT: the cost of control traffic per daemon, in one failure domain with COUNT daemons and no
# load.
measure_idle_domain() {
    local count=$1 number before_ticks before_bytes after_ticks after_bytes
    fleet_domains=(hall-a)
    fleet_hosts_per_domain=$((count < 3 ? 1 : count / 3))
    fleet_start platform FakePlatform --listen=127.0.0.1:9000
    fleet_wait_for "the platform" curl -sf http://127.0.0.1:9000/control/counts
    fleet_engines_per_domain=3
    fleet_host_list | curl -sf -X PUT --data-binary @- http://127.0.0.1:9000/control/hosts >/dev/null
    for ((number = 0; number < fleet_engines_per_domain; ++number)); do fleet_start_engine 0 "$number"; done
    for ((number = 0; number < fleet_hosts_per_domain; ++number)); do
        fleet_start_router "$number"
        fleet_start_gateway "$number"
        fleet_start_operator "$number"
    done
    fleet_wait_for "gateway 0 to be ready" fleet_ready 0
    sleep 8
    for role in router:8401 gateway:8201 operator:8601; do
        before_ticks=$(processor_ticks "${role%:*}-0")
        before_bytes=$(metric "${role#*:}" lilac_peer_gossip_bytes_sent_total)
        sleep "$seconds"
        after_ticks=$(processor_ticks "${role%:*}-0")
        after_bytes=$(metric "${role#*:}" lilac_peer_gossip_bytes_sent_total)
        awk -v role="${role%:*}" -v members="$((fleet_hosts_per_domain * 3))" -v ticks=$((after_ticks - before_ticks)) \
            -v bytes=$((after_bytes - before_bytes)) -v seconds="$seconds" -v per="$ticks_per_second" \
            -v resident="$(resident_kilobytes "${role%:*}-0")" 'BEGIN { printf "{\"part\":\"idle\",\"role\":\"%s\",\"members\":%d,\"core_percent\":%.2f,\"gossip_bytes_per_second\":%.0f,\"resident_kilobytes\":%d}\n", role, members, ticks / per / seconds * 100, bytes / seconds, resident }'
    done
    fleet_stop_all
}

# measure_streams STREAMS: the cost of STREAMS concurrent generations at one gateway and one router.
measure_streams() {
    local streams=$1 before_ticks tokens before_router peak=0 now
    fleet_domains=(hall-a)
    fleet_hosts_per_domain=1
    fleet_engines_per_domain=4
    mkdir -p "$run_directory"
    fleet_start_stand_ins
    fleet_wait_for "the platform" curl -sf http://127.0.0.1:9000/control/counts
    fleet_host_list | sed 's/24000/400000/' | curl -sf -X PUT --data-binary @- http://127.0.0.1:9000/control/hosts >/dev/null
    fleet_start_router 0
    fleet_start_gateway 0
    fleet_start_operator 0
    fleet_wait_for "the operators' interface" fleet_ctl get
    fleet_write_changes
    fleet_ctl apply "$run_directory/changes.json" >/dev/null
    fleet_wait_for "the configuration at the gateway" fleet_revision_is 8201 7
    fleet_wait_for "the configuration at the router" fleet_revision_is 8401 7
    sleep 3
    before_ticks=$(processor_ticks gateway-0)
    before_router=$(processor_ticks router-0)
    "$(fleet_bin loadgen)" --gateways=127.0.0.1:8001 --keys="$fleet_toll_key" --rate=100000 --requests="$streams" \
        --median_output=400 --deadline_milliseconds=60000 >"$run_directory/load.json" &
    local load=$!
    while kill -0 $load 2>/dev/null; do
        now=$(resident_kilobytes gateway-0)
        ((now > peak)) && peak=$now
        sleep 0.2
    done
    tokens=$(sed -E 's/.*"tokens":([0-9]+).*/\1/' "$run_directory/load.json")
    awk -v streams="$streams" -v tokens="$tokens" -v ticks=$(($(processor_ticks gateway-0) - before_ticks)) \
        -v router=$(($(processor_ticks router-0) - before_router)) -v per="$ticks_per_second" -v peak="$peak" \
        'BEGIN { printf "{\"part\":\"streams\",\"streams\":%d,\"tokens\":%d,\"gateway_microseconds_per_token\":%.1f,\"router_microseconds_per_request\":%.0f,\"gateway_peak_kilobytes\":%d}\n", streams, tokens, ticks / per / tokens * 1e6, router / per / streams * 1e6, peak }'
    fleet_stop_all
}

now_milliseconds() { date +%s%3N; }
all_events() {
    "$(fleet_bin timeline)" --servers=127.0.0.1:7001,127.0.0.1:7003,127.0.0.1:7005 --key="$fleet_operator_key" --maximum=4000
}

# Reaction times of the entire fleet: from the acceptance of a change until it is in force in the last process; from
# an engine's announcement that it is leaving until the last placement on it; and from the death of a pool's owner
# until its successor places a generation.
measure_reactions() {
    local number at owner last first
    fleet_domains=(hall-a hall-b hall-c)
    fleet_hosts_per_domain=2
    fleet_engines_per_domain=2
    fleet_start_everything >/dev/null
    for ((number = 1; number <= 20; ++number)); do
        echo "{\"putModel\":{\"id\":\"spread-$number\"}}" >"$run_directory/spread.json"
        fleet_ctl apply "$run_directory/spread.json" >/dev/null
        sleep 0.3
    done
    fleet_wait_for "the last change" fleet_revision_is 8401 27
    sleep 12
    all_events | awk '$3 == "E1202" { accepted[$NF] = int($1) } $3 == "E1201" && int($1) > last[$5] { last[$5] = int($1) }
        END { for (revision in accepted) if (revision + 0 > 7) { delay = last[revision] - accepted[revision]; sum += delay; ++count; if (delay > worst) worst = delay }
            printf "{\"part\":\"spread\",\"changes\":%d,\"processes\":18,\"mean_milliseconds\":%.0f,\"worst_milliseconds\":%d}\n", count, sum / count, worst }'
    "$(fleet_bin loadgen)" --gateways=127.0.0.1:8001,127.0.0.1:8002 --keys="$fleet_toll_key" --rate=40 --requests=1200 \
        --median_output=30 >"$run_directory/load.json" &
    sleep 5
    at=$(now_milliseconds)
    curl -sf http://127.0.0.1:9100/control/leave >/dev/null
    sleep 6
    last=$(all_events | awk '$3 == "E2102" && $7 == "engine-0-0," { last = $1 } END { sub(/[.].*/, "", last); print last }')
    echo "{\"part\":\"leaving\",\"last_placement_after_milliseconds\":$((last - at))}"
    curl -sf http://127.0.0.1:9100/control/stay >/dev/null
    sleep 3
    owner=$(all_events | awk '$3 == "E2304" && ($2 == "router-0" || $2 == "router-1") { owner = $2 } END { print owner }')
    at=$(now_milliseconds)
    fleet_kill "$owner"
    sleep 12
    first=$(all_events | awk -v at="$at" -v dead="$owner" '$3 == "E2102" && int($1) > at && $2 != dead && ($2 == "router-0" || $2 == "router-1") { sub(/[.].*/, "", $1); print $1; exit }')
    echo "{\"part\":\"owner_death\",\"next_placement_after_milliseconds\":$((first - at))}"
    fleet_stop_all
}

parts=${LILAC_CAPACITY_PARTS:-process idle streams reactions}
{
    # A group in a pipeline runs in a subshell, which does not inherit traps.
    trap fleet_stop_all EXIT
    if [[ $parts == *process* ]]; then "$(fleet_bin capacitybench)" 2>/dev/null; fi
    if [[ $parts == *idle* ]]; then for count in 6 15 21; do measure_idle_domain "$count"; done; fi
    if [[ $parts == *streams* ]]; then for streams in 50 150 400; do measure_streams "$streams"; done; fi
    if [[ $parts == *reactions* ]]; then measure_reactions; fi
} | tee "$run_directory/../capacity.jsonl"

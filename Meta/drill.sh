#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Runs the small fleet under load, injects faults in a random order derived from SEED, and then checks the history.
# The result depends only on the history, never on timing. Arguments: SEED
# LILAC_DRILL_KINDS="replace_all stop_gateway" restricts the kinds of fault. LILAC_DRILL_FAULTS and LILAC_DRILL_REQUESTS
# set the numbers of faults and requests.
set -euo pipefail
cd "$(dirname "$0")/.."
build_directory=${LILAC_BUILD_DIRECTORY:-$PWD/Build}
run_directory=${LILAC_RUN_DIRECTORY:-$PWD/Run/drill}
seed=$1
fault_count=${LILAC_DRILL_FAULTS:-17}
requests=${LILAC_DRILL_REQUESTS:-1800}
# shellcheck source=Meta/Fleet.sh
source Meta/Fleet.sh
trap fleet_stop_all EXIT
trap "exit 1" INT TERM
rm -rf "$run_directory"
RANDOM=$seed
host_count=$((${#fleet_domains[@]} * fleet_hosts_per_domain))

draw() { drawn=$((RANDOM % $1)); }
note() { echo "$(date +%H:%M:%S) $*"; }
platform_fault() { curl -sf "http://127.0.0.1:$((9000 + $1))/control/fault?mode=$2" >/dev/null; }
engine_control() { curl -sf "http://127.0.0.1:$((9100 + $1 * 10 + $2))/control/$3" >/dev/null; }

fault_kill_gateway() { note "kill gateway $1"; fleet_kill "gateway-$1"; sleep 1; fleet_start_gateway "$1"; }
fault_kill_router() { note "kill router $1"; fleet_kill "router-$1"; sleep 2; fleet_start_router "$1"; }
fault_kill_operator() { note "kill operator server $1"; fleet_kill "operator-$1"; sleep 1; fleet_start_operator "$1"; }
fault_kill_engine() { note "kill engine $1"; fleet_kill "engine-$(($1 / 2))-0"; sleep 1; fleet_start_engine $(($1 / 2)) 0; }
fault_freeze_router() {
    note "freeze router $1 past its lease"
    fleet_signal "router-$1" STOP
    sleep 19
    fleet_signal "router-$1" CONT
}
fault_freeze_gateway() { note "freeze gateway $1"; fleet_signal "gateway-$1" STOP; sleep 4; fleet_signal "gateway-$1" CONT; }
fault_stop_gateway() {
    note "planned stop of gateway $1"
    fleet_signal "gateway-$1" TERM
    wait "${fleet_pids[gateway-$1]}" || true
    fleet_start_gateway "$1"
}
fault_cut_streams() { note "cut streams of domain $(($1 / 2))"; engine_control $(($1 / 2)) 0 cut; engine_control $(($1 / 2)) 1 cut; }
fault_stall_engine() { note "stall an engine of domain $(($1 / 2))"; engine_control $(($1 / 2)) 1 freeze; sleep 4; engine_control $(($1 / 2)) 1 thaw; }
fault_leave_engine() { note "an engine of domain $(($1 / 2)) leaves for a while"; engine_control $(($1 / 2)) 1 leave; sleep 5; engine_control $(($1 / 2)) 1 stay; }
fault_cut_platform() { note "cut domain $(($1 / 2)) off from the platform"; platform_fault $(($1 / 2)) cut; sleep 5; platform_fault $(($1 / 2)) none; }
fault_lose_answers() { note "the platform loses answers to domain $(($1 / 2))"; platform_fault $(($1 / 2)) lose_answers; sleep 4; platform_fault $(($1 / 2)) none; }
fault_slow_platform() { note "the platform is slow for domain $(($1 / 2))"; platform_fault $(($1 / 2)) slow; sleep 5; platform_fault $(($1 / 2)) none; }
fault_platform_out() {
    note "the platform is out for everyone"
    local link
    for link in 0 1 2; do platform_fault $link unavailable; done
    sleep 5
    for link in 0 1 2; do platform_fault $link none; done
}
fault_race_operators() {
    note "two operators race"
    echo "{\"putModel\":{\"id\":\"raced-$RANDOM\"}}" >"$run_directory/race-a.json"
    echo "{\"putModel\":{\"id\":\"raced-$RANDOM\"}}" >"$run_directory/race-b.json"
    "$(fleet_bin lilacctl)" --server=127.0.0.1:7001 --key="$fleet_operator_key" apply "$run_directory/race-a.json" &
    local first=$!
    "$(fleet_bin lilacctl)" --server=127.0.0.1:7003 --key="$fleet_operator_key" apply "$run_directory/race-b.json" || true
    wait $first || true
}
fault_reclaim_engine() {
    note "an engine of domain $(($1 / 2)) is reclaimed with 3 s of notice"
    engine_control $(($1 / 2)) 0 leave
    sleep 3
    fleet_kill "engine-$(($1 / 2))-0"
    sleep 1
    fleet_start_engine $(($1 / 2)) 0
}
fault_replace_all() {
    note "all hosts are replaced one after another"
    local host role
    for ((host = 0; host < host_count; ++host)); do
        for role in gateway router operator; do
            fleet_signal "$role-$host" TERM
            wait "${fleet_pids[$role-$host]}" || true
            "fleet_start_$role" "$host"
        done
        fleet_wait_for "gateway $host to be ready" fleet_ready "$host"
    done
}
faults=(replace_all reclaim_engine kill_gateway kill_router kill_operator kill_engine freeze_router freeze_gateway stop_gateway cut_streams
    stall_engine leave_engine cut_platform lose_answers slow_platform platform_out race_operators)

gateway_list() {
    local host list=()
    for ((host = 0; host < host_count; ++host)); do list+=("127.0.0.1:$((8001 + host))"); done
    IFS=,
    echo "${list[*]}"
}

collect_revisions() {
    "$(fleet_bin timeline)" --servers=127.0.0.1:7001,127.0.0.1:7003,127.0.0.1:7005 --key="$fleet_operator_key" \
        --maximum=4000 --format=history >"$run_directory/revisions.history" || true
}

fleet_start_everything
note "load begins"
"$(fleet_bin loadgen)" --gateways="$(gateway_list)" --keys="$fleet_toll_key,$fleet_hanak_key" --service=lane-api \
    --rate=12 --requests="$requests" --seed="$seed" --median_output=80 --history="$run_directory/callers.history" \
    >"$run_directory/load.json" &
load=$!
if [[ -n ${LILAC_DRILL_KINDS:-} ]]; then read -ra faults <<<"$LILAC_DRILL_KINDS"; fi
for ((i = 0; i < fault_count; ++i)); do
    # Every kind of fault is injected once before any is repeated.
    if ((i % ${#faults[@]} == 0)); then
        mapfile -t order < <(for fault in "${faults[@]}"; do echo "$RANDOM $fault"; done | sort -n | cut -d' ' -f2)
    fi
    draw $host_count
    "fault_${order[i % ${#faults[@]}]}" "$drawn"
    sleep 1
done
wait $load
note "load ends"
fleet_wait_for "the operators' interface" fleet_ctl get
head=$(fleet_ctl get | sed -E 's/.*"revision":"([0-9]+)".*/\1/')
for ((host = 0; host < host_count; ++host)); do
    fleet_wait_for "revision $head at gateway $host" fleet_revision_is $((8201 + host)) "$head"
    fleet_wait_for "revision $head at router $host" fleet_revision_is $((8401 + host)) "$head"
done
note "revision $head is in force everywhere"
collect_revisions
cat "$run_directory/load.json"
"$(fleet_bin historycheck)" "$run_directory"/*.history

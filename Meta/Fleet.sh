# SPDX-License-Identifier: BSD-2-Clause
# shellcheck shell=bash
# Starts a small fleet on loopback: three failure domains with two hosts each, and the stand-ins. Sourced by the other
# scripts. The ids of all started processes are recorded, and only these processes are stopped.

fleet_domains=(hall-a hall-b hall-c)
fleet_hosts_per_domain=2
fleet_engines_per_domain=2
fleet_operator_key=operator-secret
fleet_toll_key=toll-secret
fleet_hanak_key=hanak-secret
declare -gA fleet_pids=()

fleet_bin() { find "$build_directory" -type f -name "$1" -perm -u+x -print -quit; }

# fleet_start NAME PROGRAM ARGUMENTS...
fleet_start() {
    local name=$1 program=$2
    shift 2
    "$(fleet_bin "$program")" "$@" >"$run_directory/$name.out" 2>"$run_directory/$name.log" &
    fleet_pids[$name]=$!
}

fleet_is_running() { kill -0 "${fleet_pids[$1]}" 2>/dev/null; }

# fleet_signal NAME SIGNAL
fleet_signal() { kill "-$2" "${fleet_pids[$1]}" 2>/dev/null || true; }

fleet_kill() {
    fleet_signal "$1" KILL
    wait "${fleet_pids[$1]}" 2>/dev/null || true
}

fleet_stop_all() {
    local name
    for name in "${!fleet_pids[@]}"; do
        fleet_signal "$name" CONT
        fleet_signal "$name" KILL
    done
    wait 2>/dev/null || true
    fleet_pids=()
}

# Prints the settings that all daemons of a host share. Arguments: DOMAIN_NUMBER MEMBER PEER_PORT STATUS_PORT
fleet_node_settings() {
    local domain_number=$1 member=$2 peer_port=$3 status_port=$4 host peers=() remote=()
    local first=$((domain_number * fleet_hosts_per_domain))
    for ((host = first; host < first + fleet_hosts_per_domain; ++host)); do
        peers+=("127.0.0.1:$((8301 + host))")
    done
    for ((host = 0; host < ${#fleet_domains[@]} * fleet_hosts_per_domain; host += fleet_hosts_per_domain)); do
        [[ $host -eq $first ]] || remote+=("127.0.0.1:$((8301 + host))")
    done
    cat <<YAML
node:
  member: $member
  failure_domain: ${fleet_domains[$domain_number]}
  peer_listen: 127.0.0.1:$peer_port
  status_listen: 127.0.0.1:$status_port
  platform: 127.0.0.1:$((9000 + domain_number))
  peers: [$(IFS=,; echo "${peers[*]}")]
  remote_peers: [$(IFS=,; echo "${remote[*]}")]
YAML
}

# fleet_start_gateway HOST, fleet_start_router HOST, fleet_start_operator HOST: HOST is the index over all domains,
# starting at 0.
fleet_start_gateway() {
    local host=$1 domain_number=$(($1 / fleet_hosts_per_domain))
    {
        fleet_node_settings "$domain_number" "gateway-$host" $((8101 + host)) $((8201 + host))
        printf 'gateway:\n  listen: 127.0.0.1:%d\n  balancer_lag: 500ms\n' $((8001 + host))
    } >"$run_directory/gateway-$host.yaml"
    fleet_start "gateway-$host" GatewayServer "--settings=$run_directory/gateway-$host.yaml"
}

fleet_start_router() {
    local host=$1 domain_number=$(($1 / fleet_hosts_per_domain))
    fleet_node_settings "$domain_number" "router-$host" $((8301 + host)) $((8401 + host)) \
        >"$run_directory/router-$host.yaml"
    fleet_start "router-$host" RouteServer "--settings=$run_directory/router-$host.yaml"
}

fleet_start_operator() {
    local host=$1 domain_number=$(($1 / fleet_hosts_per_domain)) hash
    hash=$("$(fleet_bin lilacctl)" hash "$fleet_operator_key")
    {
        fleet_node_settings "$domain_number" "operator-$host" $((8501 + host)) $((8601 + host))
        printf 'operator:\n  listen: 127.0.0.1:%d\n  operators: ["vesela:editor:%s"]\n' $((7001 + host)) "$hash"
    } >"$run_directory/operator-$host.yaml"
    fleet_start "operator-$host" OperatorServer "--settings=$run_directory/operator-$host.yaml"
}

fleet_start_engine() {
    local domain_number=$1 number=$2
    local name="engine-$domain_number-$number"
    # Each start gets its own name, so that the executions of a restarted engine differ from those before the restart.
    engine_starts=$((${engine_starts:-0} + 1))
    fleet_start "$name" FakeEngine --name="$name-start-$engine_starts" --model=tollwriter \
        --history="$run_directory/$name.history" --report_age_milliseconds=$((number * 2000)) \
        --listen="127.0.0.1:$((9100 + domain_number * 10 + number))"
}

fleet_start_stand_ins() {
    local domain_number number links=()
    for domain_number in "${!fleet_domains[@]}"; do
        links+=("127.0.0.1:$((9000 + domain_number))")
        for ((number = 0; number < fleet_engines_per_domain; ++number)); do
            fleet_start_engine "$domain_number" "$number"
        done
        fleet_start "service-$domain_number" FakeService --name="service-$domain_number" \
            --history="$run_directory/service-$domain_number.history" \
            --listen="127.0.0.1:$((9200 + domain_number))"
    done
    fleet_start platform FakePlatform --listen="$(IFS=,; echo "${links[*]}")" --host_list_lag_milliseconds=200
}

fleet_host_list() {
    local domain_number number separator=""
    echo '{"hosts":['
    for domain_number in "${!fleet_domains[@]}"; do
        for ((number = 0; number < fleet_engines_per_domain; ++number)); do
            printf '%s{"id":"engine-%d-%d","address":"127.0.0.1:%d","failure_domain":"%s","model":"tollwriter","capacity_tokens":24000}\n' \
                "$separator" "$domain_number" "$number" $((9100 + domain_number * 10 + number)) \
                "${fleet_domains[$domain_number]}"
            separator=,
        done
        printf ',{"id":"service-%d","address":"127.0.0.1:%d","failure_domain":"%s","service":"lane-api"}\n' \
            "$domain_number" $((9200 + domain_number)) "${fleet_domains[$domain_number]}"
    done
    echo ']}'
}

# fleet_wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds; fails after a minute.
fleet_wait_for() {
    local description=$1 deadline=$((SECONDS + 60))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS > deadline)); then
            echo "gave up waiting for $description" >&2
            return 1
        fi
        sleep 0.1
    done
}

fleet_ready() { curl -sf "http://127.0.0.1:$((8201 + $1))/health/ready"; }
fleet_revision_is() { curl -sf "http://127.0.0.1:$1/metrics" | grep -qx "lilac_configuration_revision $2"; }

fleet_write_changes() {
    local toll hanak
    toll=$("$(fleet_bin lilacctl)" hash "$fleet_toll_key")
    hanak=$("$(fleet_bin lilacctl)" hash "$fleet_hanak_key")
    cat >"$run_directory/changes.json" <<JSON
{"putModel":{"id":"tollwriter","adapters":["summaries"]}}
{"putOrganisation":{"id":"toll-association","apiKeyHashes":["$toll"],"weight":2}}
{"putOrganisation":{"id":"hanak","apiKeyHashes":["$hanak"],"weight":1}}
{"putRoute":{"organisation":"toll-association","name":"summary","model":"tollwriter","adapter":"summaries","weights":{"stall":1,"tokenGap":3,"preemption":1}}}
{"putRoute":{"organisation":"hanak","name":"summary","model":"tollwriter","weights":{"stall":3,"tokenGap":1,"preemption":1}}}
{"putService":{"name":"lane-api","organisations":["toll-association","hanak"],"repeatablePaths":["/receipts/"]}}
{"putResumeKey":{"id":"first","secretHexadecimal":"000102030405060708090a0b0c0d0e0f"}}
JSON
}

fleet_ctl() { "$(fleet_bin lilacctl)" --server="127.0.0.1:7001" --key="$fleet_operator_key" "$@"; }

fleet_start_everything() {
    local host count=$((${#fleet_domains[@]} * fleet_hosts_per_domain))
    mkdir -p "$run_directory"
    fleet_start_stand_ins
    fleet_wait_for "the platform" curl -sf http://127.0.0.1:9000/control/counts
    fleet_host_list | curl -sf -X PUT --data-binary @- http://127.0.0.1:9000/control/hosts >/dev/null
    for ((host = 0; host < count; ++host)); do
        fleet_start_router "$host"
        fleet_start_gateway "$host"
        fleet_start_operator "$host"
    done
    for ((host = 0; host < count; ++host)); do
        fleet_wait_for "gateway $host to be ready" fleet_ready "$host"
    done
    fleet_wait_for "the operators' interface" fleet_ctl get
    fleet_write_changes
    fleet_ctl apply "$run_directory/changes.json"
    for ((host = 0; host < count; ++host)); do
        fleet_wait_for "the configuration at gateway $host" fleet_revision_is $((8201 + host)) 7
        fleet_wait_for "the configuration at router $host" fleet_revision_is $((8401 + host)) 7
    done
}

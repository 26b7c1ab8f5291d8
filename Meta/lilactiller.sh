#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# The entry point for building, running and testing lilactiller; see usage() below.
set -euo pipefail
cd "$(dirname "$0")/.."
build_directory=${LILAC_BUILD_DIRECTORY:-$PWD/Build}
run_directory=${LILAC_RUN_DIRECTORY:-$PWD/Run}

usage() {
    cat <<'TEXT'
Meta/lilactiller.sh COMMAND
  setup              install the Debian packages that are missing
  build              setup, then build
  run                build, start a small fleet with its stand-ins on loopback, and serve until Ctrl-C
  run --once         the same, but stream one generation, look up one receipt, print the time line, stop and exit
  test               build and run all tests
  bench [--quick]    build and measure the decisions; writes Run/bench
  bench capacity     build and measure the slopes behind docs/CAPACITY.md
  bench hosts        build and measure what an entry host computes, by the number of hosts and engines
  bench overload [FILE]
                     build and play an experiment on loads beyond what the engines bear (Base/overload.yaml, where none
                     is named); writes Run/overload
  drill [SEED]       build and run the fleet under load and faults, then check the history of the run
  soak [--seeds N] [--first N] [--jobs N]
                     build, run HostServers under load and faults drawn from seeds, and check the promises meanwhile
  guards             take each guard out on a scratch copy and show that its test fails
  lint               check formatting and lint
  format             format all sources
TEXT
}

packages=(g++ cmake ninja-build ccache mold pkg-config git curl libpoco-dev libzmq3-dev cppzmq-dev libprotobuf-dev
    protobuf-compiler libgrpc++-dev libgrpc-dev protobuf-compiler-grpc libboost1.81-dev libgflags-dev
    libgoogle-glog-dev libyaml-cpp-dev librapidcheck-dev catch2 libxxhash-dev libssl-dev clang-format clang-tidy
    cppcheck gnuplot-nox openssl libbenchmark-dev)

setup() {
    local missing=() package
    for package in "${packages[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    ((${#missing[@]} == 0)) && return
    local as_root=()
    [[ $(id -u) -eq 0 ]] || as_root=(sudo --preserve-env=DEBIAN_FRONTEND)
    "${as_root[@]}" apt-get update -q
    export DEBIAN_FRONTEND=noninteractive
    "${as_root[@]}" apt-get install -qy --no-install-recommends "${missing[@]}"
}

build() {
    setup
    [[ -f $build_directory/build.ninja ]] || cmake -G Ninja -B "$build_directory" -S . >/dev/null
    ninja -C "$build_directory" --quiet
}

run_fleet() {
    # shellcheck source=Meta/Fleet.sh
    source Meta/Fleet.sh
    trap fleet_stop_all EXIT
    rm -rf "$run_directory"
    fleet_start_everything
    if [[ ${1:-} == --once ]]; then
        run_once
        return
    fi
    echo "Serving. Try: curl -N http://127.0.0.1:8001/v1/completions -H 'Authorization: Bearer $fleet_toll_key' \\"
    echo "  -d '{\"model\":\"summary\",\"prompt\":\"Lane 4 closed\",\"stream\":true}'"
    echo "Ctrl-C stops everything."
    trap 'exit 0' INT TERM
    wait
}

run_once() {
    echo "--- one generation"
    "$(fleet_bin loadgen)" --gateways=127.0.0.1:8001 --keys="$fleet_toll_key" --route=summary \
        --prompt="Lane 4 is closed after a barrier sensor failed. Draft the incident summary. [tokens=24]"
    echo "--- one receipt lookup"
    curl -sf -H "Authorization: Bearer $fleet_hanak_key" http://127.0.0.1:8001/v1/services/lane-api/receipts/4711
    echo
    echo "--- time line"
    "$(fleet_bin timeline)" --servers=127.0.0.1:7001,127.0.0.1:7003,127.0.0.1:7005 --key="$fleet_operator_key"
}

sources() { git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/Generated/'; }

case ${1:-} in
setup) setup ;;
build) build ;;
run)
    build
    run_fleet "${2:-}"
    ;;
test)
    build
    Meta/run-tests.sh "$build_directory"
    ;;
bench)
    build
    Meta/bench.sh "$build_directory" "$run_directory" "${@:2}"
    ;;
drill)
    build
    LILAC_BUILD_DIRECTORY=$build_directory Meta/drill.sh "${2:-1}"
    ;;
soak)
    build
    Meta/soak.sh "$build_directory" "$run_directory" "${@:2}"
    ;;
guards)
    setup
    Meta/prove-guards.sh
    ;;
lint)
    setup
    Meta/lint.sh "$build_directory"
    ;;
format)
    setup
    sources | xargs clang-format -i
    ;;
*)
    usage
    [[ ${1:-} == --help ]] || exit 2
    ;;
esac

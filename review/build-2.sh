#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Builds the stand-ins of the second review's scripts into Build/review-2. Needs g++ and libboost1.81-dev, which the
# deploy file names too. Run it after the build of the deploy file: the scripts start target/platform/HostServer.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p Build/review-2
for case in review/[4-8]/Case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -o "Build/review-2/case-$number" "$case" -lpthread
done

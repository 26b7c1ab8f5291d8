#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Builds the stand-ins, the cases, and what stands in further/, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -c review/standins/World.cpp -o target/review/World.o
for source in review/*/Case.cpp review/further/*/Case.cpp; do
    folder=$(dirname "$source")
    g++ -std=c++20 -O2 -Wall -Wextra "$source" target/review/World.o -o "target/review/$(basename "$folder")" -pthread
done

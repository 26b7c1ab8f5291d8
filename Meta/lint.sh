#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Checks formatting, lint rules and names. Arguments: BUILD_DIRECTORY
set -euo pipefail
build_directory=$1
cmake -G Ninja -B "$build_directory" -S . >/dev/null
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/Generated/')
clang-format --dry-run --Werror "${files[@]}"
for file in "${files[@]}"; do
    grep -q 'SPDX-License-Identifier' "$file" || { echo "$file: add the SPDX header"; exit 1; }
    [[ $file != *.h ]] || grep -q '#pragma once' "$file" || { echo "$file: add #pragma once"; exit 1; }
done
if grep -nE '\bm_[a-z]|\bstd::shared_mutex\b' "${files[@]}"; then
    echo "members carry no mark" && exit 1
fi
# Code that sends to backend servers must first check whether the server accepts work now. ForwardedRequest sends to other
# hosts.
senders='^Libraries/LibServing/(EnginePoller|ForwardedRequest|Generation|GenerationMove|ServiceCall)\.h$'
others=$(grep -lE 'connections\.(acquire|make_new)\(' "${files[@]}" | grep -E '^(Libraries|platform)/' | grep -vE "$senders" || true)
if [[ -n $others ]]; then
    echo "$others: sends to backend servers; ask Backend::takes_work_at first, then add it to the senders in Meta/lint.sh"
    exit 1
fi
# Callers may be told that a request has not run only if RunRecord is certain of it, or if it was refused before any dispatch.
tellers='^Libraries/LibServing/(ErrorResponse|RequestHandler|RunRecord)\.(h|cpp)$'
others=$(grep -lE 'RequestOutcome::NotRun\b' "${files[@]}" | grep -E '^(Libraries|platform)/' | grep -vE "$tellers" || true)
if [[ -n $others ]]; then
    echo "$others: let RunRecord::outcome decide whether a request has not run"
    exit 1
fi
# A generation may resume elsewhere only once its run is proved to be over (RunEnd.h), which GenerationMove::continuation asks for.
movers='^(Libraries/LibServing/(Dialect|GenerationMove)\.h|platform/Dialect\.(cpp|h))$'
others=$(grep -lE '\bcopy_name\(' "${files[@]}" | grep -E '^(Libraries|platform)/' | grep -vE "$movers" || true)
if [[ -n $others ]]; then
    echo "$others: let GenerationMove::continuation make what a generation resumes from"
    exit 1
fi
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep -E '^(AK|Libraries|platform|Services|StandIns|Utilities)/.*\.cpp$')
# cppcheck's tokenizer fails on chrono literals such as 25h; only clang-tidy checks the files that contain them.
cppcheck --quiet --error-exitcode=1 --enable=warning,performance,portability --inline-suppr --language=c++ --std=c++20 \
    --suppress=missingIncludeSystem --suppress=unknownMacro --suppress=syntaxError --suppress=cppcheckError --suppress=internalError -j "$(nproc)" "${sources[@]}"
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build_directory" --quiet 2>/dev/null
echo "lint: ${#files[@]} files are clean"

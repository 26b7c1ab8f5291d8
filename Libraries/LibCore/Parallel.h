/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <algorithm>
#include <atomic>
#include <concepts>
#include <cstddef>
#include <thread>
#include <vector>

namespace Core {

/// Calls `work` with each number below `count`, on one thread per processor, and returns when all calls are done.
template<std::invocable<size_t> Work>
void run_in_parallel(size_t count, Work const& work)
{
    std::atomic<size_t> next { 0 };
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (size_t number = next++; number < count; number = next++)
                work(number);
        });
    }
}

}
